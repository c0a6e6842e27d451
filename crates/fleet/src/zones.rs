//! Chooses the availability zone that places a call: mostly the one where it
//! arrived, another one when that has the adapter, is its home, or is much less
//! busy.
//!
//! Coordinators tell each other a few times a second how busy their zones are
//! and which adapters they hold. A zone acts on what it heard without asking;
//! a call that was passed on is never passed on again, and comes back when the
//! other zone has no place for it.

use crate::scheduler::{AdapterKey, AdapterMark};
use crate::{Now, ZoneId};
use reedford_core::rendezvous;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Age at which another zone's word is no longer believed; it comes four times
/// a second.
const WORD_LIFE: Duration = Duration::from_millis(1_200);
/// Way to another zone and back, with a margin for what its word does not tell:
/// the engines that hold the adapter may be busier than others.
const WAY: Duration = Duration::from_millis(60);
/// Wait in an adapter's home zone up to which its calls go there.
const HOME_WAIT: Duration = Duration::from_millis(250);
/// Expected wait from which a zone that has to load the adapter is looked at.
const SPILL_FROM: Duration = Duration::from_millis(350);
/// Amount by which its wait has to be shorter: the way there and the load.
const SPILL_GAIN: Duration = Duration::from_millis(320);

/// What a zone told of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneWord {
    /// Shortest wait for a first token.
    pub wait: Duration,
    /// Engines that can be used.
    pub engines: usize,
    /// Places for adapters that could be had at once.
    pub free_places: usize,
    /// Adapters that its engines serve, or will.
    pub held: BTreeSet<AdapterMark>,
    /// When it was heard.
    pub at: Now,
}

/// A call, as seen by the zone where it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its adapter.
    pub key: Option<&'a AdapterKey>,
    /// Whether an engine of this zone has the adapter.
    pub held: bool,
    /// Expected wait for the first token here, a load included.
    pub expected: Duration,
}

/// The zone that a call is passed on to; `None` to place it in `own`.
#[must_use]
pub fn elsewhere<'a>(
    own: &'a str,
    words: &'a BTreeMap<ZoneId, ZoneWord>,
    call: Arrival<'_>,
    now: Now,
) -> Option<&'a str> {
    let open = |word: &ZoneWord| now.saturating_sub(word.at) < WORD_LIFE && word.engines > 0;
    let words: Vec<(&str, &ZoneWord)> = words
        .iter()
        .filter(|(_, word)| open(word))
        .map(|(zone, word)| (&**zone, word))
        .collect();
    if !call.held
        && let Some(zone) = holder(&words, call).or_else(|| home(own, &words, call))
    {
        return Some(zone);
    }
    less_busy(&words, call)
}

/// The least busy zone that has an adapter which the own zone has not got, if
/// the call starts sooner there than after a load here.
fn holder<'a>(words: &[(&'a str, &ZoneWord)], call: Arrival<'_>) -> Option<&'a str> {
    let mark = call.key?.mark();
    let holding = words.iter().filter(|(_, word)| word.held.contains(&mark));
    let (zone, word) = holding.min_by_key(|(_, word)| word.wait)?;
    (word.wait + WAY < call.expected).then_some(zone)
}

/// The home of an adapter that no zone is known to hold. With homes shared over
/// all zones, each adapter is fetched from the store once and not once a zone.
fn home<'a>(own: &'a str, words: &[(&'a str, &ZoneWord)], call: Arrival<'_>) -> Option<&'a str> {
    let key = call.key?;
    let zones = words.iter().map(|(zone, _)| *zone).chain([own]);
    let home = rendezvous::first(&key.to_string(), zones)?;
    let (zone, word) = words.iter().find(|(zone, _)| *zone == home)?;
    (word.free_places > 0 && word.wait < HOME_WAIT).then_some(zone)
}

/// The zone where a call would start much sooner.
fn less_busy<'a>(words: &[(&'a str, &ZoneWord)], call: Arrival<'_>) -> Option<&'a str> {
    if call.expected < SPILL_FROM {
        return None;
    }
    let mark = call.key.map(AdapterKey::mark);
    let wait = |word: &ZoneWord| {
        let has = mark.is_none_or(|mark| word.held.contains(&mark));
        let there = if has { WAY } else { SPILL_GAIN };
        (has || word.free_places > 0).then(|| word.wait.saturating_add(there))
    };
    let waits = words
        .iter()
        .filter_map(|(zone, word)| Some((wait(word)?, *zone)));
    let (wait, zone) = waits.min()?;
    (wait < call.expected).then_some(zone)
}
