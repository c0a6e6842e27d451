//! The traces of requests through two entry instances, as a collector gets
//! them. `-- --nocapture` prints them.

mod collector;
mod program;

use collector::{Collector, Received};
use program::Program;
use reedford_operator::{OperatorRpcClient as _, client};
use reedford_settings::{Bounds, Timeouts};
use reedford_standins::caller::{Call, Caller};
use reedford_standins::engine::EngineConfig;
use reedford_standins::plain::PlainConfig;
use reedford_standins::platform::PlatformConfig;
use reedford_standins::site::{OPERATOR_TOKEN, Site, SiteConfig};
use reedford_wire::headers::{ATTEMPT_ID, TRACEPARENT};
use std::time::Duration;

const ZONE: &str = "zone-a";
/// The entry that is called.
const ENTRY: &str = "entry-1";
/// The home of the engine by rendezvous hashing. The other entry may own it at
/// first and then hands it over.
const OWNER: &str = "entry-2";
const CALLER_SPAN: &str = "00f067aa0ba902b7";
const LOOK_AGAIN: Duration = Duration::from_millis(20);
const RULES: &str = "\
group engines kind=engine base=base-7b # asked by Ada
adapter costing group=engines versions=1 repeatable=yes # asked by Ada
adapter booking group=engines versions=1 repeatable=no # asked by Bo
service orders group=shop repeatable-paths=/prices # asked by Bo
";

/// Who recorded a span.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum At {
    /// The entry instance that was called.
    Entry,
    /// The owner of the worker.
    Owner,
}

/// A span that must be there, and the one that it is in.
#[derive(Debug)]
struct Hop {
    name: &'static str,
    at: At,
    parent: Option<&'static str>,
}

struct Case {
    /// Last digit of the trace id.
    number: u8,
    call: Call,
    hops: &'static [Hop],
}

const fn hop(name: &'static str, at: At, parent: Option<&'static str>) -> Hop {
    Hop { name, at, parent }
}

const REQUEST: Hop = hop("request", At::Entry, None);
const CLAIM: Hop = hop("claim", At::Entry, Some("request"));
const PERMIT: Hop = hop("permit", At::Entry, Some("request"));
const OWNER_PERMIT: Hop = hop("owner_permit", At::Owner, Some("permit"));
const DISPATCH: Hop = hop("dispatch", At::Entry, Some("request"));
const RELAY: Hop = hop("relay", At::Entry, Some("request"));

fn cases() -> [Case; 4] {
    [
        Case {
            number: 1,
            call: Call::chat("costing@1", "What does it cost?", false),
            hops: &[REQUEST, PERMIT, OWNER_PERMIT, DISPATCH],
        },
        Case {
            number: 2,
            call: Call::chat("costing@1", "What does it cost?", true),
            hops: &[REQUEST, PERMIT, OWNER_PERMIT, DISPATCH, RELAY],
        },
        Case {
            number: 3,
            call: Call::chat("booking@1", "Book it.", false).at_most_once("key-3"),
            hops: &[REQUEST, CLAIM, PERMIT, OWNER_PERMIT, DISPATCH],
        },
        Case {
            number: 4,
            call: Call::plain("orders", "/orders", "{}").at_most_once("key-4"),
            hops: &[REQUEST, CLAIM, DISPATCH],
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn the_hops_of_a_request_are_one_trace() {
    let collector = Collector::start().await;
    let site = Site::start(site()).await.expect("a site");
    let entries = [ENTRY, OWNER].map(|name| {
        let settings = settings(name, &site, &collector.url());
        Program::start(name, &settings)
    });
    wait_until_settled(&entries).await;
    let callers = entries[0].callers;
    let mut attempts = Vec::new();
    for case in cases() {
        let call = case
            .call
            .with_header(TRACEPARENT, &traceparent(case.number));
        let answer = Caller::default().send(callers, &call).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        attempts.push(answer.header(ATTEMPT_ID).to_owned());
    }
    let untraced = Call::chat("costing@1", "And now?", false);
    let answer = Caller::default().send(callers, &untraced).await;
    let untraced = answer.expect("an answer").header(ATTEMPT_ID).to_owned();
    for program in entries {
        let stopping = tokio::task::spawn_blocking(|| program.stop());
        stopping.await.expect("it stops");
    }
    let heard = site.engines["engine-1"].record().traceparents;
    for (case, attempt) in cases().iter().zip(&attempts) {
        let spans = collector.trace(&trace_id(case.number));
        print_trace(&spans);
        check(case, &spans);
        let dispatch = find(&spans, "dispatch");
        assert_eq!(dispatch.fields["attempt"], *attempt);
        assert_eq!(find(&spans, "request").fields["attempt"], *attempt);
        assert_eq!(find(&spans, "request").fields["outcome"], "done");
        let expected = format!("00-{}-{}-01", dispatch.trace, dispatch.id);
        match heard.get(attempt.as_str()) {
            Some(heard) => assert_eq!(**heard, *expected),
            None => assert_eq!(case.number, 4, "the engine got no context"),
        }
    }
    begins_a_trace(&collector, &untraced);
    site.stop().await.expect("a stop");
}

/// Without a context of its caller, a request begins a trace of its own.
fn begins_a_trace(collector: &Collector, attempt: &str) {
    let roots: Vec<Received> = collector.all();
    let roots = roots.iter().filter(|span| span.parent.is_empty());
    let roots: Vec<&Received> = roots.collect();
    assert_eq!(roots.len(), 1, "{roots:#?}");
    assert_eq!(roots[0].name, "request");
    assert_eq!(roots[0].fields["attempt"], attempt);
}

fn check(case: &Case, spans: &[Received]) {
    assert_eq!(spans.len(), case.hops.len(), "{spans:#?}");
    for hop in case.hops {
        let span = find(spans, hop.name);
        let parent = hop.parent.map(|name| find(spans, name).id.as_str());
        assert_eq!(span.parent, parent.unwrap_or(CALLER_SPAN), "{hop:?}");
        let at = match hop.at {
            At::Entry => ENTRY,
            At::Owner => OWNER,
        };
        assert_eq!(span.service, format!("reedford/{at}"), "{hop:?}");
    }
}

fn find<'a>(spans: &'a [Received], name: &str) -> &'a Received {
    let span = spans.iter().find(|span| span.name == name);
    span.unwrap_or_else(|| panic!("no span {name} in {spans:#?}"))
}

/// Waits until both entries take requests and know the engine's home as its
/// owner.
async fn wait_until_settled(entries: &[Program; 2]) {
    while !(knows_owner(&entries[0]).await
        && knows_owner(&entries[1]).await
        && is_served(entries).await)
    {
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

async fn knows_owner(program: &Program) -> bool {
    let client = client(program.operators, OPERATOR_TOKEN, Duration::from_secs(5));
    let status = client.expect("a client").status().await.expect("a status");
    let mut engines = status.workers.iter();
    status.ready && engines.any(|w| w.owner.as_deref() == Some(OWNER))
}

/// Whether both entries answer a request that is not traced.
async fn is_served(entries: &[Program; 2]) -> bool {
    let call = Call::chat("costing@1", "Ready?", false);
    let untraced = "00-ffffffffffffffffffffffffffffffff-00f067aa0ba902b7-00";
    let call = call.with_header(TRACEPARENT, untraced);
    for program in entries {
        let answer = Caller::default().send(program.callers, &call).await;
        if answer.expect("an answer").status != 200 {
            return false;
        }
    }
    true
}

fn print_trace(spans: &[Received]) {
    let Some(first) = spans.first() else { return };
    println!("trace {}", first.trace);
    for span in spans {
        let mut depth = 0;
        let mut at = span;
        while let Some(parent) = spans.iter().find(|s| s.id == at.parent) {
            depth += 1;
            at = parent;
        }
        println!(
            "{:>7.3} ms {:>7.3} ms  {:16}  {}{} id={} {:?}",
            (span.start_ns - first.start_ns) as f64 / 1e6,
            (span.end_ns - span.start_ns) as f64 / 1e6,
            span.service,
            "  ".repeat(depth),
            span.name,
            span.id,
            span.fields,
        );
    }
}

fn trace_id(number: u8) -> String {
    format!("4bf92f3577b34da6a3ce929d0e0e473{number}")
}

fn traceparent(number: u8) -> String {
    format!("00-{}-{CALLER_SPAN}-01", trace_id(number))
}

fn site() -> SiteConfig {
    SiteConfig {
        zones: vec![ZONE.into()],
        engines: vec![EngineConfig {
            id: "engine-1".into(),
            group: "engines".into(),
            zone: ZONE.into(),
            base: "base-7b".into(),
            ..EngineConfig::default()
        }],
        plains: vec![PlainConfig {
            id: "shop-1".into(),
            group: "shop".into(),
            zone: ZONE.into(),
            ..PlainConfig::default()
        }],
        timeouts: Timeouts::default(),
        bounds: Bounds::default(),
        platform: PlatformConfig::default(),
        rules: RULES.into(),
    }
}

fn settings(name: &str, site: &Site, traces: &str) -> String {
    let platform = site.platform.zones()[ZONE];
    format!(
        "instance: {name}\nzone: {ZONE}\nzones: [{ZONE}]\ncallers: 127.0.0.1:0\n\
         peers: 127.0.0.1:0\noperators: 127.0.0.1:0\noperator_token: {OPERATOR_TOKEN}\n\
         platform: [\"{platform}\"]\ntrace_endpoint: {traces}\n"
    )
}
