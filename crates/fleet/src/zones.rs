//! Selects the availability zone that places a call: usually the zone where it
//! arrived, but another one if that holds the adapter, is the adapter's home, or
//! is much less loaded.
//!
//! A few times a second, coordinators send each other the load of their zones and
//! the adapters held there. A zone decides by the last reports, without a query.
//! A call that was forwarded is never forwarded again; it returns to the first
//! zone when the other one refuses it.

use crate::scheduler::{AdapterHash, AdapterKey};
use crate::{Now, ZoneId};
use reedford_core::rendezvous;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Age at which another zone's report is no longer used; reports come four times a
/// second.
const REPORT_TTL: Duration = Duration::from_millis(1_200);
/// Round-trip time to another zone, with a margin, because a zone's report gives
/// the shortest wait on any engine: those that hold the adapter may be busier.
const ZONE_ROUND_TRIP: Duration = Duration::from_millis(60);
/// Calls are forwarded to their adapter's home zone while the wait there is below
/// this.
const MAX_HOME_WAIT: Duration = Duration::from_millis(250);
/// Expected wait at or above which less loaded zones are considered, including
/// those that would have to load the adapter.
const FORWARD_WAIT_THRESHOLD: Duration = Duration::from_millis(350);
/// Amount by which the wait must be shorter in a zone that has to load the
/// adapter: the round trip and the load.
const MIN_FORWARD_GAIN: Duration = Duration::from_millis(320);

/// The last report on another zone's load and adapters: its `LoadSummary`, which
/// the gateway sends as a `ZoneLoad`, with the time of receipt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneReport {
    /// Shortest wait for a first token on any engine.
    pub wait: Duration,
    /// Engines that accept calls.
    pub engines: usize,
    /// Adapter slots that are free or can be freed at once.
    pub free_slots: usize,
    /// Adapters that its engines hold or load.
    pub held: BTreeSet<AdapterHash>,
    /// When the report was received.
    pub at: Now,
}

/// A call at the zone where it arrived.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingCall<'a> {
    /// Adapter of the call; `None` for the base model.
    pub key: Option<&'a AdapterKey>,
    /// Whether an engine of this zone holds or loads the adapter.
    pub held: bool,
    /// Expected wait for the first token in this zone, including a load.
    pub expected: Duration,
}

/// Returns the zone to forward a call to; `None` to place it in `own_zone`.
#[must_use]
pub fn forward_zone<'a>(
    own_zone: &'a str,
    reports: &'a BTreeMap<ZoneId, ZoneReport>,
    call: ArrivingCall<'_>,
    now: Now,
) -> Option<&'a str> {
    let reports: Vec<(&str, &ZoneReport)> = reports
        .iter()
        .filter(|(_, report)| is_usable(report, now))
        .map(|(zone, report)| (&**zone, report))
        .collect();
    if !call.held
        && let Some(zone) =
            holding_zone(&reports, call).or_else(|| home_zone(own_zone, &reports, call))
    {
        return Some(zone);
    }
    less_loaded_zone(&reports, call)
}

/// Returns the zone to forward a call to that only instances in the zones `serving`
/// can run; `None` to place it in `own_zone`.
#[must_use]
pub fn forward_zone_among<'a>(
    own_zone: &'a str,
    reports: &'a BTreeMap<ZoneId, ZoneReport>,
    serving: &BTreeSet<&'a str>,
    now: Now,
) -> Option<&'a str> {
    if serving.contains(own_zone) {
        return None;
    }
    let wait = |zone: &str| {
        let report = reports.get(zone).filter(|r| is_usable(r, now));
        report.map_or(Duration::MAX, |report| report.wait)
    };
    serving.iter().copied().min_by_key(|zone| wait(zone))
}

fn is_usable(report: &ZoneReport, now: Now) -> bool {
    now.saturating_sub(report.at) < REPORT_TTL && report.engines > 0
}

/// Returns the least loaded zone that holds the call's adapter, if the call
/// starts sooner there than after a load in this zone, which does not hold it.
fn holding_zone<'a>(reports: &[(&'a str, &ZoneReport)], call: ArrivingCall<'_>) -> Option<&'a str> {
    let hash = call.key?.short_hash();
    let holding = reports
        .iter()
        .filter(|(_, report)| report.held.contains(&hash));
    let (zone, report) = holding.min_by_key(|(_, report)| report.wait)?;
    (report.wait + ZONE_ROUND_TRIP < call.expected).then_some(zone)
}

/// Returns the home zone of an adapter that this zone does not hold, if it is
/// another zone with a free slot and a short wait. With homes distributed over
/// all zones, each adapter is loaded from the weight store once instead of once
/// per zone.
fn home_zone<'a>(
    own_zone: &'a str,
    reports: &[(&'a str, &ZoneReport)],
    call: ArrivingCall<'_>,
) -> Option<&'a str> {
    let key = call.key?;
    let zones = reports.iter().map(|(zone, _)| *zone).chain([own_zone]);
    let home = rendezvous::first(&key.to_string(), zones)?;
    let (zone, report) = reports.iter().find(|(zone, _)| *zone == home)?;
    (report.free_slots > 0 && report.wait < MAX_HOME_WAIT).then_some(zone)
}

/// Returns the zone where a call would start much sooner.
fn less_loaded_zone<'a>(
    reports: &[(&'a str, &ZoneReport)],
    call: ArrivingCall<'_>,
) -> Option<&'a str> {
    if call.expected < FORWARD_WAIT_THRESHOLD {
        return None;
    }
    let hash = call.key.map(AdapterKey::short_hash);
    let wait = |report: &ZoneReport| {
        let holds = hash.is_none_or(|hash| report.held.contains(&hash));
        let overhead = if holds {
            ZONE_ROUND_TRIP
        } else {
            MIN_FORWARD_GAIN
        };
        (holds || report.free_slots > 0).then(|| report.wait.saturating_add(overhead))
    };
    let waits = reports
        .iter()
        .filter_map(|(zone, report)| Some((wait(report)?, *zone)));
    let (wait, zone) = waits.min()?;
    (wait < call.expected).then_some(zone)
}
