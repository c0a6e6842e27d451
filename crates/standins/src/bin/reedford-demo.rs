//! Demonstration: starts a whole site in one process and sends a few calls.

use eyre::Result;
use reedford_settings::{Bounds, Timeouts};
use reedford_standins::caller::{Call, CallResponse, Caller};
use reedford_standins::engine::EngineConfig;
use reedford_standins::plain::PlainConfig;
use reedford_standins::platform::PlatformConfig;
use reedford_standins::site::{Site, SiteConfig};
use reedford_wire::headers;

/// Availability zones of the site.
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// The rules of the site.
const RULES: &str = "\
group engines kind=engine base=base-7b # asked by the demonstration
adapter costing group=engines versions=1,2 repeatable=yes # asked by the demonstration
adapter handbook group=engines versions=1 repeatable=yes # asked by the demonstration
adapter booking group=engines versions=1 repeatable=no # asked by the demonstration
service orders group=shop repeatable-paths=/prices # asked by the demonstration
";

/// Models to call, with the entry instance that each call is sent to.
const CALLS: [(&str, &str); 8] = [
    ("costing@1", "entry-1"),
    ("costing@2", "entry-2"),
    ("costing@1", "entry-3"),
    ("handbook@1", "entry-1"),
    ("handbook@1", "entry-2"),
    ("booking@1", "entry-3"),
    ("booking@1", "entry-1"),
    ("costing@9", "entry-2"),
];

#[tokio::main]
async fn main() -> Result<()> {
    let mut site = Site::start(config()).await?;
    for (entry, zone) in [("entry-1", 0), ("entry-2", 0), ("entry-3", 1)] {
        site.start_entry(entry, ZONES[zone]).await?;
    }
    site.wait_until_open(4).await?;
    let caller = Caller::default();
    for (at, (model, entry)) in CALLS.iter().enumerate() {
        let call = Call::chat(model, "What does the blend cost?", at % 3 == 1);
        let call = if model.starts_with("booking") {
            call.at_most_once("order-17")
        } else {
            call
        };
        print_response(
            model,
            entry,
            &caller.send(site.callers(entry), &call).await?,
        );
    }
    let order = Call::plain("orders", "/orders", "{\"tonnes\":4}").at_most_once("order-18");
    for entry in ["entry-1", "entry-3"] {
        print_response(
            "POST /orders",
            entry,
            &caller.send(site.callers(entry), &order).await?,
        );
    }
    let runs = site
        .plains
        .values()
        .map(|plain| plain.record().len())
        .sum::<usize>();
    println!("The order was sent twice with one key and ran {runs} time(s).");
    site.stop().await
}

fn print_response(requested: &str, entry: &str, response: &CallResponse) {
    let stall = response.header(headers::LOAD_STALL_MS);
    println!(
        "{requested:13} at {entry}: {} model={} target={} load_stall_ms={} {}",
        response.status,
        response.header(headers::MODEL),
        response.header(headers::TARGET),
        if stall.is_empty() { "0" } else { stall },
        response.error_field("message"),
    );
}

fn config() -> SiteConfig {
    let engine = |number: usize| EngineConfig {
        id: format!("engine-{number}").into(),
        group: "engines".into(),
        zone: ZONES[number % ZONES.len()].into(),
        base: "base-7b".into(),
        slots: 2,
        ..EngineConfig::default()
    };
    let shop = PlainConfig {
        id: "shop-1".into(),
        group: "shop".into(),
        zone: ZONES[0].into(),
        ..PlainConfig::default()
    };
    SiteConfig {
        zones: ZONES.map(Into::into).to_vec(),
        engines: (1..=4).map(engine).collect(),
        plains: vec![shop],
        timeouts: Timeouts::default(),
        bounds: Bounds::default(),
        platform: PlatformConfig::default(),
        rules: RULES.into(),
    }
}
