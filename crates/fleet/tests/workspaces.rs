//! Whose key a call has, and whether it may use a route.

use reedford_fleet::config::{CallKind, Route};
use reedford_fleet::workspaces::{
    Access, CallLimit, KeyDigest, LimitUnit, Workspace, WorkspaceConflict, Workspaces,
};
use std::time::Duration;
use test_case::test_case;

fn key(n: u8) -> KeyDigest {
    KeyDigest::from_bytes([n; 32])
}

fn workspace(name: &str, keys: &[u8]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys.iter().map(|n| key(*n)).collect(),
        priority: None,
        limit: None,
    }
}

fn route(public: bool) -> Route {
    Route {
        name: "r".into(),
        host: "h.example".into(),
        prefix: "/a/".into(),
        kind: CallKind::Once,
        services: vec![("s".into(), 1)],
        attempts: 1,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        max_gap: None,
        max_silence: None,
        priority: 0,
        public,
    }
}

struct AccessCase {
    public: bool,
    key: Option<u8>,
    expected: Result<&'static str, Access<'static>>,
}

#[test_case(AccessCase { public: false, key: Some(1), expected: Ok("a") }; "key")]
#[test_case(AccessCase { public: false, key: Some(3), expected: Ok("b") }; "key of another workspace")]
#[test_case(AccessCase { public: false, key: Some(9), expected: Err(Access::Denied) }; "unknown key")]
#[test_case(AccessCase { public: false, key: None, expected: Err(Access::Denied) }; "no key")]
#[test_case(AccessCase { public: true, key: None, expected: Err(Access::Public) }; "public route")]
#[test_case(AccessCase { public: true, key: Some(9), expected: Err(Access::Public) }; "public route with an unknown key")]
fn a_key_grants_access(case: AccessCase) {
    let all = vec![workspace("a", &[1, 2]), workspace("b", &[3])];
    let workspaces = Workspaces::new(all).expect("no conflict");
    let route = route(case.public);
    let access = workspaces.access(&route, case.key.map(key).as_ref());
    match (access, case.expected) {
        (Access::Granted(workspace), Ok(name)) => assert_eq!(&*workspace.name, name),
        (access, Err(expected)) => assert_eq!(access, expected),
        (access, Ok(name)) => panic!("{access:?} instead of {name}"),
    }
}

#[test_case(&[("a", &[1]), ("b", &[1])], WorkspaceConflict::Key("b".into()); "a key of two workspaces")]
#[test_case(&[("a", &[1]), ("a", &[2])], WorkspaceConflict::Name("a".into()); "two workspaces of a name")]
fn contradicting_workspaces_are_refused(all: &[(&str, &[u8])], expected: WorkspaceConflict) {
    let all = all.iter().map(|(name, keys)| workspace(name, keys));
    assert_eq!(Workspaces::new(all.collect()), Err(expected));
}

#[test]
fn digests_are_not_printed() {
    assert_eq!(format!("{:?}", key(7)), "KeyDigest(..)");
}

#[test_case(LimitUnit::Calls, Some(2_000), 1; "calls")]
#[test_case(LimitUnit::Tokens { unnamed: 200 }, Some(2_000), 2_000; "tokens")]
#[test_case(LimitUnit::Tokens { unnamed: 200 }, None, 200; "tokens that are not named")]
fn a_call_counts_by_the_unit_of_the_limit(unit: LimitUnit, tokens: Option<u64>, cost: u64) {
    let limit = CallLimit {
        per_s: 1.0,
        burst: 1.0,
        unit,
    };
    assert_eq!(limit.cost(tokens), cost);
}
