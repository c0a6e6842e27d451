//! The metrics of an entry instance, and the page that documents them.

use crate::support::{ENTRIES, ZONES, start_site};
use http_body_util::{BodyExt as _, Empty};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use reedford_standins::caller::{Call, Caller};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const PAGE: &str = include_str!("../../docs/operators/metrics.md");
const SOURCE: &str = include_str!("../../crates/serve/src/metrics.rs");
const PREFIX: &str = "reedford_";

/// Returns the names of metrics that follow `before` in `text`.
fn metric_names(text: &str, before: &str) -> BTreeSet<String> {
    let start = format!("{before}{PREFIX}");
    let found = text.split(&start).skip(1).map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_');
        format!("{PREFIX}{}", &rest[..end.unwrap_or(rest.len())])
    });
    found.collect()
}

async fn scrape(callers: SocketAddr) -> String {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let url = format!("http://{callers}/metrics").parse();
    let response = client.get(url.expect("a URL")).await.expect("a response");
    assert_eq!(response.status(), 200);
    let body = response.into_body().collect().await.expect("a body");
    String::from_utf8(body.to_bytes().to_vec()).expect("text")
}

#[test]
fn the_page_lists_every_metric() {
    let known = metric_names(SOURCE, "\"");
    assert!(known.len() >= 16, "{known:?}");
    assert_eq!(metric_names(PAGE, "| `"), known);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_exports_metrics_of_its_own_workers() {
    let site = start_site().await;
    let call = Call::chat("costing@1", "What does it cost?", false);
    let response = Caller::default().send(site.callers("entry-1"), &call).await;
    assert_eq!(response.expect("a response").status, 200);
    for (entry, zone) in ENTRIES.iter().zip(ZONES) {
        let text = scrape(site.callers(entry)).await;
        let shown = metric_names(&text, "# TYPE ");
        assert!(shown.is_subset(&metric_names(PAGE, "| `")), "{shown:?}");
        for name in ["batch_running", "batch_limit", "queue"] {
            let own = format!("{PREFIX}{name}{{worker=\"engine-{zone}\"}} ");
            let all = format!("{PREFIX}{name}{{");
            assert_eq!(text.matches(&own).count(), 1, "{text}");
            assert_eq!(text.matches(&all).count(), 1, "{text}");
        }
    }
    let text = scrape(site.callers("entry-1")).await;
    let done = "reedford_requests_total{class=\"standard\",outcome=\"done\"} 1\n";
    assert!(text.contains(done), "{text}");
    assert!(
        text.contains("reedford_load_stall_seconds_count 1\n"),
        "{text}"
    );
    site.stop().await.expect("a stop");
}
