//! Which events of another instance go on with a stream.

use reedford_fleet::WeightVersion;
use reedford_fleet::event_order::{EventOrder, Mismatch};
use test_case::test_case;

struct Case {
    /// Last event that the caller had before this response.
    after: Option<&'static str>,
    /// Ids of the events since then, all of version 1.
    events: &'static [&'static str],
    /// Id of the first event of another instance.
    id: Option<&'static str>,
    /// Versions that the head of its response and the event name.
    versions: (Option<WeightVersion>, Option<WeightVersion>),
    result: Result<(), Mismatch>,
}

const CASE: Case = Case {
    after: None,
    events: &["1", "2", "3"],
    id: Some("4"),
    versions: (Some(1), None),
    result: Ok(()),
};

/// Guards against streams in which events are missing or come twice, or which go on at
/// another version without a sign, after another instance has taken them over.
#[test_case(CASE; "next")]
#[test_case(Case { id: Some("3"), result: Err(Mismatch::Id), ..CASE }; "last event again")]
#[test_case(Case { id: Some("1"), result: Err(Mismatch::Id), ..CASE }; "from the beginning")]
#[test_case(Case { id: Some("5"), result: Err(Mismatch::Id), ..CASE }; "one missing")]
#[test_case(Case { id: None, ..CASE }; "without an id")]
#[test_case(Case { events: &["3", "6", "9"], id: Some("12"), ..CASE }; "larger steps")]
#[test_case(Case { events: &["3", "6", "9"], id: Some("10"), result: Err(Mismatch::Id), ..CASE }; "within a step")]
#[test_case(Case { events: &["1", "5", "6"], id: Some("9"), ..CASE }; "varying steps")]
#[test_case(Case { events: &["1", "5", "6"], id: Some("6"), result: Err(Mismatch::Id), ..CASE }; "varying steps, again")]
#[test_case(Case { events: &[], id: Some("1"), ..CASE }; "nothing sent yet")]
#[test_case(Case { after: Some("7"), events: &[], id: Some("8"), ..CASE }; "resumed by the caller")]
#[test_case(Case { after: Some("7"), events: &[], id: Some("1"), result: Err(Mismatch::Id), ..CASE };
    "resumed by the caller, from the beginning")]
#[test_case(Case { after: Some("7"), events: &["8"], id: Some("10"), result: Err(Mismatch::Id), ..CASE };
    "resumed by the caller, one missing")]
#[test_case(Case { events: &["a", "b"], id: Some("c"), ..CASE }; "no numbers")]
#[test_case(Case { events: &["a", "b"], id: Some("b"), result: Err(Mismatch::Id), ..CASE }; "no numbers, again")]
#[test_case(Case { versions: (Some(2), None), result: Err(Mismatch::Version), ..CASE }; "another version")]
#[test_case(Case { versions: (Some(2), Some(2)), ..CASE }; "another version that the event names")]
#[test_case(Case { versions: (None, None), ..CASE }; "unknown version")]
fn another_instance_goes_on_after_the_last_event(case: Case) {
    let mut order = EventOrder::after(case.after.map(Into::into));
    for id in case.events {
        order.record(Some((*id).into()), Some(1));
    }
    let (head, event) = case.versions;
    assert_eq!(order.check(case.id, head, event), case.result);
    let last = case.events.last().copied().or(case.after);
    assert_eq!(order.last(), last);
}
