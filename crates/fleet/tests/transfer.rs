//! How large values get from one node to many others.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reedford_fleet::Now;
use reedford_fleet::transfer::{
    Bodies, BodyInfo, DecodeError, LinkShare, PART_BYTES, RecentValues, Reception, digest,
};
use std::time::Duration;
use test_case::test_case;

/// Largest value of the store.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A configuration with so many routes, whose names have no order.
fn configuration(version: u64, routes: u64) -> Vec<u8> {
    let route = |n: u64| {
        let name = (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"name":"r-{name:016x}","host":"h.example","prefix":"/{name:x}/","type":"streaming","timeoutMs":5000,"sloMs":1000,"service":"engines","attempts":2,"resumable":true,"gapTargetMs":500}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"version":{version},"routes":[{}]}}"#, routes.join(",")).into_bytes()
}

fn noise(bytes: usize) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(7);
    (0..bytes).map(|_| rng.random()).collect()
}

/// Encodes a value for a receiver that has `base`.
fn encode(bodies: &mut Bodies, value: &[u8], base: Option<&[u8]>) -> BodyInfo {
    let base = base.map(|base| (digest(base), base));
    bodies.encode(value, base).expect("the body is compressed")
}

/// Receives all parts that are left. Returns their number.
fn receive(bodies: &Bodies, reception: &mut Reception) -> usize {
    let body = bodies.get(reception.info().id).expect("the body is kept");
    let mut parts = 0;
    while let Some(offset) = reception.next_offset() {
        let part = body.part(offset).expect("the body has the part");
        reception.push(part).expect("the part is the next one");
        parts += 1;
    }
    parts
}

struct Transfer {
    base: Option<Vec<u8>>,
    value: Vec<u8>,
    /// Most parts that it may take.
    parts: usize,
}

#[test_case(Transfer { base: Some(configuration(1, 4_250)), value: configuration(2, 4_251), parts: 1 };
    "one route more goes in one part")]
#[test_case(Transfer { base: Some(configuration(1, 4_250)), value: configuration(2, 4_250), parts: 1 };
    "a new version of the same routes goes in one part")]
#[test_case(Transfer { base: Some(configuration(2, 4_251)), value: configuration(1, 10), parts: 1 };
    "most routes removed")]
#[test_case(Transfer { base: None, value: configuration(1, 4_250), parts: 16 };
    "a first configuration of a megabyte goes in a quarter of its size")]
#[test_case(Transfer { base: None, value: noise(MAX_VALUE_BYTES), parts: 65 };
    "the largest value, which can't be compressed")]
#[test_case(Transfer { base: Some(noise(MAX_VALUE_BYTES)), value: vec![1; MAX_VALUE_BYTES], parts: 1 };
    "control characters")]
#[test_case(Transfer { base: None, value: b"x".to_vec(), parts: 1 }; "one byte")]
fn a_body_is_received_as_it_was_sent(case: Transfer) {
    let mut bodies = Bodies::default();
    let mut values = RecentValues::default();
    if let Some(base) = &case.base {
        values.record(base);
    }
    let info = encode(&mut bodies, &case.value, case.base.as_deref());
    let mut reception = Reception::new(info, Now::ZERO);
    let parts = receive(&bodies, &mut reception);
    assert!(parts <= case.parts, "{parts} parts");
    assert!(reception.decode(&values) == Ok(case.value));
}

/// Guards against a description by which a node receives bytes without end.
#[test]
fn no_part_of_a_body_that_is_too_large_is_kept() {
    let info = BodyInfo {
        id: 1,
        size: 1 << 30,
        decoded_digest: 2,
        decoded_size: MAX_VALUE_BYTES,
        base: None,
    };
    let mut reception = Reception::new(info, Now::ZERO);
    let pushed = reception.push(&noise(PART_BYTES));
    assert_eq!(pushed, Err(DecodeError::TooLarge(info.size)));
    assert_eq!(reception.next_offset(), Some(0));
}

#[test]
fn a_transfer_that_broke_off_goes_on_at_the_next_part() {
    let value = noise(3 * PART_BYTES);
    let mut bodies = Bodies::default();
    let info = encode(&mut bodies, &value, None);
    let body = bodies.get(info.id).expect("the body is kept");
    let mut reception = Reception::new(info, Now::ZERO);
    reception
        .push(body.part(0).expect("a part"))
        .expect("the first part");
    assert_eq!(reception.next_offset(), Some(PART_BYTES));
    // The same body is requested once more.
    let again = encode(&mut bodies, &value, None);
    assert_eq!(reception.info(), &again);
    receive(&bodies, &mut reception);
    assert!(reception.decode(&RecentValues::default()) == Ok(value));
}

/// A herd of nodes that request the same change at the same time.
#[test]
fn a_change_is_encoded_once_for_all_nodes_with_the_same_base() {
    let (before, after) = (configuration(1, 100), configuration(2, 101));
    let mut bodies = Bodies::default();
    let first = encode(&mut bodies, &after, Some(&before));
    for _ in 0..100 {
        assert_eq!(encode(&mut bodies, &after, Some(&before)), first);
    }
    let whole = encode(&mut bodies, &after, None);
    assert!(bodies.get(first.id).is_some() && bodies.get(whole.id).is_some());
}

#[derive(Clone, Copy)]
enum Fault {
    /// The receiver no longer has the base.
    BaseForgotten,
    /// A byte is not the one that was sent.
    Changed,
    /// There is a part too many.
    PartTooMany,
    /// The description names another size.
    Oversized,
}

#[test_case(Fault::BaseForgotten)]
#[test_case(Fault::Changed)]
#[test_case(Fault::PartTooMany)]
#[test_case(Fault::Oversized)]
fn a_body_that_is_not_the_one_described_is_not_used(fault: Fault) {
    let (before, after) = (configuration(1, 500), configuration(2, 900));
    let mut bodies = Bodies::default();
    let mut values = RecentValues::default();
    values.record(&before);
    let mut info = encode(&mut bodies, &after, Some(&before));
    let body = bodies.get(info.id).expect("the body is kept");
    let mut part = body.part(0).expect("a part").to_vec();
    match fault {
        Fault::BaseForgotten => {
            for n in 0..10 {
                values.record(&noise(PART_BYTES + n));
            }
        }
        Fault::Changed => part[100] ^= 1,
        Fault::PartTooMany => {}
        Fault::Oversized => info.decoded_size = usize::MAX,
    }
    let mut reception = Reception::new(info, Now::ZERO);
    reception.push(&part).expect("the first part");
    match fault {
        Fault::PartTooMany => assert_eq!(reception.push(&part), Err(DecodeError::Corrupt)),
        _ => assert!(reception.decode(&values).is_err()),
    }
}

struct Rate {
    /// Parts that an earlier sender sent.
    before: usize,
    /// Parts received since.
    parts: usize,
    elapsed: Duration,
    is_too_slow: bool,
}

/// A body of 40 parts from a coordinator whose link is busy, which is due within two seconds.
#[test_case(Rate { before: 0, parts: 0, elapsed: Duration::from_millis(400), is_too_slow: false };
    "too early to tell")]
#[test_case(Rate { before: 0, parts: 0, elapsed: Duration::from_millis(600), is_too_slow: true };
    "nothing came")]
#[test_case(Rate { before: 0, parts: 11, elapsed: Duration::from_millis(500), is_too_slow: false };
    "fast enough")]
#[test_case(Rate { before: 0, parts: 9, elapsed: Duration::from_millis(500), is_too_slow: true };
    "a little too slow")]
#[test_case(Rate { before: 20, parts: 6, elapsed: Duration::from_millis(500), is_too_slow: false };
    "fast enough for the rest")]
#[test_case(Rate { before: 0, parts: 39, elapsed: Duration::from_millis(2_100), is_too_slow: true };
    "over time")]
#[test_case(Rate { before: 0, parts: 40, elapsed: Duration::from_millis(2_100), is_too_slow: false };
    "complete")]
fn a_transfer_is_given_up_if_its_rate_is_too_low(rate: Rate) {
    const LIMIT: Duration = Duration::from_secs(2);
    let value = noise(40 * PART_BYTES - 1_000);
    let mut bodies = Bodies::default();
    let info = encode(&mut bodies, &value, None);
    let body = bodies.get(info.id).expect("the body is kept");
    let mut reception = Reception::new(info, Now::ZERO);
    let receive = |reception: &mut Reception, parts| {
        for _ in 0..parts {
            let offset = reception.next_offset().expect("the body is not complete");
            let part = body.part(offset).expect("the body has the part");
            reception.push(part).expect("the part is the next one");
        }
    };
    receive(&mut reception, rate.before);
    let began = Duration::from_secs(30);
    reception.resume(began);
    receive(&mut reception, rate.parts);
    assert_eq!(
        reception.is_too_slow(LIMIT, began + rate.elapsed),
        rate.is_too_slow
    );
}

#[test]
fn small_values_are_not_compressed_against() {
    let mut values = RecentValues::default();
    values.record(&[1; PART_BYTES - 1]);
    assert_eq!(values.newest(), None);
    let large = vec![1; PART_BYTES];
    values.record(&large);
    assert_eq!(values.newest(), Some(digest(&large)));
}

/// Twenty nodes that request parts of a configuration at once from a coordinator whose
/// link is narrow, while callers' streams use it.
#[test]
fn parts_for_a_herd_of_nodes_take_half_of_the_link() {
    const LINK_BYTES_PER_S: f64 = 1.25e6;
    const NODES: usize = 20;
    let mut share = LinkShare::new(Some(LINK_BYTES_PER_S));
    let now = Duration::from_secs(1);
    let waits: Vec<Duration> = (0..NODES).map(|_| share.take(PART_BYTES, now)).collect();
    assert_eq!(waits[0], Duration::ZERO);
    let sent = (NODES - 1) * PART_BYTES;
    let used = sent as f64 / waits[NODES - 1].as_secs_f64();
    assert!(
        (used - LINK_BYTES_PER_S / 2.0).abs() < 1.0,
        "{used} bytes/s"
    );
    // What was not used is not made up for.
    let later = now + Duration::from_secs(60);
    assert_eq!(share.take(PART_BYTES, later), Duration::ZERO);
    assert!(share.take(PART_BYTES, later) > Duration::ZERO);
}

#[test]
fn parts_do_not_wait_if_the_bandwidth_is_not_known() {
    let mut share = LinkShare::new(None);
    for _ in 0..100 {
        assert_eq!(share.take(PART_BYTES, Now::ZERO), Duration::ZERO);
    }
}
