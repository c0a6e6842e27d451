//! Traces of requests through two entry instances, as a collector receives them.
//! Run with `-- --nocapture` to print them.

mod collector;
mod program;

use collector::{Collector, ReceivedSpan};
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
/// The entry instance that receives the requests.
const ENTRY: &str = "entry-1";
/// The first choice of rendezvous hashing as the owner of the engine. The other
/// entry instance may own the engine at first and then hands it over.
const OWNER: &str = "entry-2";
const CALLER_SPAN: &str = "00f067aa0ba902b7";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const RULES: &str = "\
group engines kind=engine base=base-7b # asked by Ada
adapter costing group=engines versions=1 repeatable=yes # asked by Ada
adapter booking group=engines versions=1 repeatable=no # asked by Bo
service orders group=shop repeatable-paths=/prices # asked by Bo
";

/// Entry instance that recorded a span.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Recorder {
    /// The entry instance that received the request.
    Entry,
    /// The owner of the worker.
    Owner,
}

/// A span that the trace has to contain, and its parent.
#[derive(Debug)]
struct ExpectedSpan {
    name: &'static str,
    recorder: Recorder,
    /// Name of the parent span; `None` if the parent is the span of the caller.
    parent: Option<&'static str>,
}

struct Case {
    /// Last digit of the trace id.
    number: u8,
    call: Call,
    spans: &'static [ExpectedSpan],
}

const fn span(
    name: &'static str,
    recorder: Recorder,
    parent: Option<&'static str>,
) -> ExpectedSpan {
    ExpectedSpan {
        name,
        recorder,
        parent,
    }
}

const REQUEST: ExpectedSpan = span("request", Recorder::Entry, None);
const CLAIM: ExpectedSpan = span("claim", Recorder::Entry, Some("request"));
const PERMIT: ExpectedSpan = span("permit", Recorder::Entry, Some("request"));
const OWNER_PERMIT: ExpectedSpan = span("owner_permit", Recorder::Owner, Some("permit"));
const DISPATCH: ExpectedSpan = span("dispatch", Recorder::Entry, Some("request"));
const RELAY: ExpectedSpan = span("relay", Recorder::Entry, Some("request"));

fn cases() -> [Case; 4] {
    [
        Case {
            number: 1,
            call: Call::chat("costing@1", "What does it cost?", false),
            spans: &[REQUEST, PERMIT, OWNER_PERMIT, DISPATCH],
        },
        Case {
            number: 2,
            call: Call::chat("costing@1", "What does it cost?", true),
            spans: &[REQUEST, PERMIT, OWNER_PERMIT, DISPATCH, RELAY],
        },
        Case {
            number: 3,
            call: Call::chat("booking@1", "Book it.", false).at_most_once("key-3"),
            spans: &[REQUEST, CLAIM, PERMIT, OWNER_PERMIT, DISPATCH],
        },
        Case {
            number: 4,
            call: Call::plain("orders", "/orders", "{}").at_most_once("key-4"),
            spans: &[REQUEST, CLAIM, DISPATCH],
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn the_spans_of_a_request_form_one_trace() {
    let collector = Collector::start().await;
    let site = Site::start(site_config()).await.expect("a site");
    let entries = [ENTRY, OWNER].map(|name| {
        let settings = settings(name, &site, &collector.url());
        Program::start(name, &settings)
    });
    wait_until_owner_is_known(&entries).await;
    let callers = entries[0].callers;
    let mut attempts = Vec::new();
    for case in cases() {
        let call = case
            .call
            .with_header(TRACEPARENT, &traceparent(case.number));
        let response = Caller::default().send(callers, &call).await;
        let response = response.expect("a response");
        assert_eq!(response.status, 200, "{}", response.body);
        attempts.push(response.header(ATTEMPT_ID).to_owned());
    }
    let untraced = Call::chat("costing@1", "And now?", false);
    let response = Caller::default().send(callers, &untraced).await;
    let untraced = response.expect("a response").header(ATTEMPT_ID).to_owned();
    for program in entries {
        let shutdown = tokio::task::spawn_blocking(|| program.stop());
        shutdown.await.expect("it stops");
    }
    let traceparents = site.engines["engine-1"].record().traceparents;
    for (case, attempt) in cases().iter().zip(&attempts) {
        let spans = collector.trace(&trace_id(case.number));
        print_trace(&spans);
        check_spans(case, &spans);
        let dispatch = find(&spans, "dispatch");
        assert_eq!(dispatch.fields["attempt"], *attempt);
        assert_eq!(find(&spans, "request").fields["attempt"], *attempt);
        assert_eq!(find(&spans, "request").fields["outcome"], "done");
        let expected = format!("00-{}-{}-01", dispatch.trace, dispatch.id);
        match traceparents.get(attempt.as_str()) {
            Some(traceparent) => assert_eq!(**traceparent, *expected),
            None => assert_eq!(case.number, 4, "the engine got no context"),
        }
    }
    check_root_span(&collector, &untraced);
    site.stop().await.expect("a stop");
}

/// Checks that a request without a trace context of its caller starts a new trace.
fn check_root_span(collector: &Collector, attempt: &str) {
    let roots: Vec<ReceivedSpan> = collector.all();
    let roots = roots.iter().filter(|span| span.parent.is_empty());
    let roots: Vec<&ReceivedSpan> = roots.collect();
    assert_eq!(roots.len(), 1, "{roots:#?}");
    assert_eq!(roots[0].name, "request");
    assert_eq!(roots[0].fields["attempt"], attempt);
}

fn check_spans(case: &Case, spans: &[ReceivedSpan]) {
    assert_eq!(spans.len(), case.spans.len(), "{spans:#?}");
    for expected in case.spans {
        let span = find(spans, expected.name);
        let parent = expected.parent.map(|name| find(spans, name).id.as_str());
        assert_eq!(span.parent, parent.unwrap_or(CALLER_SPAN), "{expected:?}");
        let instance = match expected.recorder {
            Recorder::Entry => ENTRY,
            Recorder::Owner => OWNER,
        };
        assert_eq!(span.service, format!("reedford/{instance}"), "{expected:?}");
    }
}

fn find<'a>(spans: &'a [ReceivedSpan], name: &str) -> &'a ReceivedSpan {
    let span = spans.iter().find(|span| span.name == name);
    span.unwrap_or_else(|| panic!("no span {name} in {spans:#?}"))
}

/// Waits until both entry instances serve requests and know [`OWNER`] as the owner of
/// the engine.
async fn wait_until_owner_is_known(entries: &[Program; 2]) {
    while !(knows_owner(&entries[0]).await
        && knows_owner(&entries[1]).await
        && both_serve(entries).await)
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn knows_owner(program: &Program) -> bool {
    let client = client(program.operators, OPERATOR_TOKEN, Duration::from_secs(5));
    let status = client.expect("a client").status().await.expect("a status");
    let mut engines = status.workers.iter();
    status.ready && engines.any(|w| w.owner.as_deref() == Some(OWNER))
}

/// Returns whether both entry instances serve a request that is not sampled.
async fn both_serve(entries: &[Program; 2]) -> bool {
    let call = Call::chat("costing@1", "Ready?", false);
    let unsampled = "00-ffffffffffffffffffffffffffffffff-00f067aa0ba902b7-00";
    let call = call.with_header(TRACEPARENT, unsampled);
    for program in entries {
        let response = Caller::default().send(program.callers, &call).await;
        if response.expect("a response").status != 200 {
            return false;
        }
    }
    true
}

fn print_trace(spans: &[ReceivedSpan]) {
    let Some(first) = spans.first() else { return };
    println!("trace {}", first.trace);
    for span in spans {
        let mut depth = 0;
        let mut ancestor = span;
        while let Some(parent) = spans.iter().find(|s| s.id == ancestor.parent) {
            depth += 1;
            ancestor = parent;
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

fn site_config() -> SiteConfig {
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

fn settings(name: &str, site: &Site, trace_endpoint: &str) -> String {
    let platform = site.platform.zones()[ZONE];
    format!(
        "instance: {name}\nzone: {ZONE}\nzones: [{ZONE}]\ncallers: 127.0.0.1:0\n\
         peers: 127.0.0.1:0\noperators: 127.0.0.1:0\noperator_token: {OPERATOR_TOKEN}\n\
         platform: [\"{platform}\"]\ntrace_endpoint: {trace_endpoint}\n"
    )
}
