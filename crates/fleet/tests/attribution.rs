//! Which request a response belongs to.

use reedford_fleet::attribution::{Attribution, Exchange};
use test_case::test_case;

struct Case {
    call: &'static str,
    number: u32,
    failed_before: bool,
    response: Option<&'static str>,
    is_success: bool,
    attribution: Attribution,
}

impl Case {
    /// A rejection of the second request on a connection.
    const LATER: Self = Self {
        call: "a",
        number: 2,
        failed_before: false,
        response: Some("a"),
        is_success: false,
        attribution: Attribution::This,
    };
}

#[test_case(Case { ..Case::LATER }; "its id")]
#[test_case(Case { is_success: true, ..Case::LATER }; "its id in a success")]
#[test_case(Case { response: Some("b"), attribution: Attribution::Other, ..Case::LATER }; "another id")]
#[test_case(Case { number: 1, response: Some("b"), attribution: Attribution::Other, ..Case::LATER }; "another id in the first response")]
#[test_case(Case { response: Some(""), attribution: Attribution::Other, ..Case::LATER }; "an empty id")]
#[test_case(Case { failed_before: true, attribution: Attribution::Unknown, ..Case::LATER }; "its id, sent again where it failed")]
#[test_case(Case { failed_before: true, is_success: true, attribution: Attribution::Unknown, ..Case::LATER }; "its id in a success, sent again where it failed")]
#[test_case(Case { failed_before: true, response: None, attribution: Attribution::Unknown, ..Case::LATER }; "no id, sent again where it failed")]
#[test_case(Case { number: 1, ..Case::LATER }; "its id, sent again on a new connection")]
#[test_case(Case { call: "", attribution: Attribution::Other, ..Case::LATER }; "an id after a request without one")]
#[test_case(Case { response: None, attribution: Attribution::Unknown, ..Case::LATER }; "no id")]
#[test_case(Case { number: 1, response: None, ..Case::LATER }; "no id in the first response")]
#[test_case(Case { number: 1, response: None, is_success: true, attribution: Attribution::Unknown, ..Case::LATER }; "no id in a success")]
#[test_case(Case { call: "", response: None, attribution: Attribution::Unknown, ..Case::LATER }; "a call without an id")]
#[test_case(Case { call: "", number: 1, response: None, is_success: true, ..Case::LATER }; "the first call on a connection, without an id")]
fn a_response_is_attributed_by_its_id_and_its_place(case: Case) {
    let exchange = Exchange {
        call: case.call,
        number: case.number,
        failed_before: case.failed_before,
    };
    let attribution = exchange.attribute(case.response, case.is_success);
    assert_eq!(attribution, case.attribution);
}
