//! Counters of the engines and entry instances, read before and after a run.

mod metrics;

pub use metrics::{Counters, parse_counters};

use crate::engine::{EngineRecord, EngineStats};
use crate::load::report::share;
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::{BodyExt as _, Empty};
use hyper::Uri;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one HTTP read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Substring in the names of counters that count retries.
const RETRIES_SUBSTRING: &str = "retries";

/// Increases of the engines' counters during a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// Steps in which at least one request ran.
    pub busy_steps: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens that full batches would have generated in the busy steps.
    pub token_room: u64,
    /// Ratio of `tokens` to `token_room`, from 0 to 1; 0 without busy steps.
    pub batch_efficiency: f64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Adapters unloaded.
    pub evictions: u64,
    /// Highest number of requests that have run at once in one engine, since
    /// its start.
    pub max_running: u32,
    /// Broken invariants that the engines recorded, since their start.
    pub violations: u64,
    /// Engines whose counters could not be read.
    pub unread: Vec<SocketAddr>,
}

/// Increases of the entry instances' counters during a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EntryReport {
    /// Sum of the counters whose name contains `retries`.
    pub retries: f64,
    /// Increase of each counter, summed over labels and instances.
    pub counters: Counters,
    /// Entry instances whose counters could not be read.
    pub unread: Vec<SocketAddr>,
}

/// All counters at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    engines: BTreeMap<SocketAddr, EngineSample>,
    entries: BTreeMap<SocketAddr, Counters>,
}

/// Counters of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct EngineSample {
    stats: EngineStats,
    violations: u64,
}

/// Reads counters over HTTP.
#[derive(Clone, Debug)]
pub struct Probe {
    client: Client<HttpConnector, Empty<Bytes>>,
    engines: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
}

impl Probe {
    /// Returns a probe of the given engines and entry instances.
    #[must_use]
    pub fn new(engines: Vec<SocketAddr>, entries: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            engines,
            entries,
        }
    }

    /// Reads all counters. Engines and instances that can't be read are left
    /// out.
    pub async fn sample(&self) -> Sample {
        let engines = join_all(self.engines.iter().map(|address| self.engine(*address)));
        let entries = join_all(self.entries.iter().map(|address| self.counters(*address)));
        let (engines, entries) = tokio::join!(engines, entries);
        Sample {
            engines: engines.into_iter().flatten().collect(),
            entries: entries.into_iter().flatten().collect(),
        }
    }

    /// Returns the increases of the counters from one sample to a later one.
    #[must_use]
    pub fn changes(&self, before: &Sample, after: &Sample) -> (EngineReport, EntryReport) {
        (
            engine_report(&self.engines, before, after),
            entry_report(&self.entries, before, after),
        )
    }

    async fn engine(&self, address: SocketAddr) -> Option<(SocketAddr, EngineSample)> {
        let stats = self.get(address, "/control/stats").await?;
        let record = self.get(address, "/control/record").await?;
        let record: EngineRecord = serde_json::from_slice(&record).ok()?;
        let sample = EngineSample {
            stats: serde_json::from_slice(&stats).ok()?,
            violations: record.violations.len() as u64,
        };
        Some((address, sample))
    }

    async fn counters(&self, address: SocketAddr) -> Option<(SocketAddr, Counters)> {
        let body = self.get(address, "/metrics").await?;
        let text = std::str::from_utf8(&body).ok()?;
        Some((address, parse_counters(text)))
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let uri: Uri = format!("http://{address}{path}").parse().ok()?;
        let read = async {
            let response = self.client.get(uri).await.ok()?;
            let is_ok = response.status().is_success();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            is_ok.then_some(body)
        };
        tokio::time::timeout(READ_TIMEOUT, read).await.ok()?
    }
}

fn engine_report(engines: &[SocketAddr], before: &Sample, after: &Sample) -> EngineReport {
    let mut report = EngineReport::default();
    for address in engines {
        let Some(now) = after.engines.get(address) else {
            report.unread.push(*address);
            continue;
        };
        let earlier = before.engines.get(address).copied();
        add_engine_increase(&mut report, earlier.unwrap_or_default().stats, now.stats);
        report.violations += now.violations;
    }
    report.batch_efficiency = share(report.tokens, report.token_room);
    report
}

fn add_engine_increase(report: &mut EngineReport, before: EngineStats, after: EngineStats) {
    let busy_steps = increase(before.busy_steps, after.busy_steps);
    report.busy_steps += busy_steps;
    report.tokens += increase(before.tokens, after.tokens);
    report.token_room += busy_steps * u64::from(after.batch_limit);
    report.loads += increase(before.loads, after.loads);
    report.failed_loads += increase(before.failed_loads, after.failed_loads);
    report.evictions += increase(before.unloads, after.unloads);
    report.max_running = report.max_running.max(after.max_running);
}

/// Returns the increase of a counter. A counter that decreased was reset to 0
/// by a restart in between.
const fn increase(before: u64, after: u64) -> u64 {
    if after >= before {
        after - before
    } else {
        after
    }
}

fn entry_report(entries: &[SocketAddr], before: &Sample, after: &Sample) -> EntryReport {
    let mut report = EntryReport::default();
    for address in entries {
        let Some(now) = after.entries.get(address) else {
            report.unread.push(*address);
            continue;
        };
        for (name, value) in now {
            let earlier = before
                .entries
                .get(address)
                .and_then(|earlier| earlier.get(name));
            let earlier = earlier
                .copied()
                .filter(|earlier| earlier <= value)
                .unwrap_or(0.0);
            *report.counters.entry(name.clone()).or_default() += value - earlier;
        }
    }
    let retries = report
        .counters
        .iter()
        .filter(|(name, _)| name.contains(RETRIES_SUBSTRING));
    report.retries = retries.fold(0.0, |sum, (_, value)| sum + value);
    report
}
