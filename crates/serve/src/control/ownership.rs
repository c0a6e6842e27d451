//! Reads of the zone's ownership table: they renew this instance's lease and
//! show which workers it has gained or lost. `claiming` decides on changes to
//! the table.

use super::command::Event;
use super::state::{Control, PendingSwap};
use reedford_core::messages::Handover;
use reedford_core::table::{PreviousOwner, ZoneTable};
use reedford_core::{Epoch, InstanceId, Now, WorkerId, ZoneId};
use reedford_settings::ms;
use reedford_store::{Entry, KeyValue as _, KvError, Listing, TransactionOutcome};
use std::time::Duration;

/// Prefix of the store keys that hold the tables of all zones.
const TABLES_PREFIX: &str = "reedford/zones/";

/// How long a claimant waits for a previous owner before it evicts, and before
/// it grants and loads.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct TakeoverWait {
    evict: Duration,
    open: Duration,
}

/// Times from which a claimed worker may be used: `open_from` for grants and
/// loads, `evict_from` for evictions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct OpeningTimes {
    open_from: Now,
    evict_from: Now,
}

impl Control {
    /// Starts a read of the tables of all zones.
    pub(super) fn read_tables(&mut self) {
        let kv = std::sync::Arc::clone(&self.clients.kv);
        let sent = self.clock.now();
        self.metrics.record_platform_call("table_read");
        self.tasks.spawn(async move {
            Event::TableRead {
                sent,
                result: kv.list(TABLES_PREFIX).await,
            }
        });
    }

    pub(super) fn on_table_read(&mut self, sent: Now, result: Result<Listing, KvError>) {
        self.periodic.table.pending = false;
        // A read sent before this instance's last swap ended may show the
        // table before that swap, with workers that have been handed over.
        if sent < self.membership.swap_ended {
            self.periodic.table.due = Duration::ZERO;
            return;
        }
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => {
                tracing::debug!(event = "table_read_failed", %error);
                return;
            }
        };
        self.membership.read_sent = sent;
        self.membership.table = ZoneTable::default();
        self.membership.revision = 0;
        for entry in listing.entries {
            self.apply_table(&entry);
        }
        self.renew_lease(sent);
        self.drop_lost_workers();
        self.add_gained_workers();
        if self.membership.swap.is_none() {
            self.change_table();
        }
    }

    pub(super) fn on_table_swapped(&mut self, result: Result<TransactionOutcome, KvError>) {
        let pending = self.membership.swap.take();
        self.membership.swap_ended = self.clock.now();
        self.periodic.table.due = Duration::ZERO;
        match result {
            Ok(TransactionOutcome::Committed { .. }) => {
                for (to, handover) in pending.map(|p| p.handovers).unwrap_or_default() {
                    self.send_handover(&to, handover);
                }
            }
            Ok(TransactionOutcome::Conflict { .. }) => tracing::debug!(event = "table_swap_lost"),
            // The next read decides who owns the workers: it shows them as
            // still owned here, unless the write takes effect late.
            Err(error) => tracing::warn!(event = "table_swap_failed", %error),
        }
    }

    /// Applies a handover at once if this instance owns the worker already and
    /// waits for the previous owner, else keeps it until a read of the table
    /// shows the ownership.
    pub(super) fn on_hand_over(&mut self, handover: Handover) {
        self.periodic.table.due = Duration::ZERO;
        let now = self.clock.now();
        let owned = self.workers.get_mut(&handover.worker);
        let waiting_worker = owned
            .filter(|o| o.scheduler.epoch() == handover.epoch + 1 && o.scheduler.opens_at() > now);
        match waiting_worker {
            Some(owned) => owned.scheduler.apply_handover(handover, now),
            None => {
                self.handovers.insert(handover.worker.clone(), handover);
            }
        }
    }

    /// Detects that this process was paused. Summaries that peers sent in the
    /// meantime are still unread, so the settle time starts again before any
    /// member without a recent summary counts as failed.
    pub(super) fn detect_pause(&mut self) {
        let now = self.clock.now();
        let failure_timeout = ms(self.cfg.timeouts.peer_failed_ms);
        let paused = now > self.periodic.last_tick + failure_timeout / 2;
        self.periodic.last_tick = now;
        if paused && self.membership.settling_since.is_some() {
            tracing::warn!(event = "paused");
            self.membership.settling_since = Some(now);
        }
    }

    /// Returns the time after joining, or after a pause, during which no member
    /// counts as failed. In this time, the other members read that this
    /// instance has joined, and then send it a summary.
    pub(super) fn settle_time(&self) -> Duration {
        ms(self.cfg.timeouts.lease_ms) + ms(self.cfg.timeouts.peer_failed_ms)
    }

    /// Refuses promises to members that are not alive, so that their workers
    /// can be claimed, and allows them again for members that have returned.
    pub(super) fn update_promises(&mut self) {
        let now = self.clock.now();
        let Some(settling_since) = self.membership.settling_since else {
            return;
        };
        if now < settling_since + self.settle_time() {
            return;
        }
        let alive = self.alive_members(now);
        for id in self.membership.table.members.keys() {
            if alive.contains(id) {
                self.membership.given_promises.allow(id);
            } else {
                self.membership.given_promises.refuse(id);
            }
        }
    }

    /// Starts a compare-and-swap of the zone's table. `handovers` are sent once
    /// it has succeeded.
    pub(super) fn swap_table(&mut self, table: &ZoneTable, handovers: Vec<(InstanceId, Handover)>) {
        let Ok(value) = serde_json::to_vec(table) else {
            return;
        };
        let key = table_key(&self.me.zone);
        let kv = std::sync::Arc::clone(&self.clients.kv);
        let expected = self.membership.revision;
        self.membership.swap = Some(PendingSwap { handovers });
        self.metrics.record_platform_call("table_swap");
        self.tasks.spawn(async move {
            Event::TableSwapped {
                result: kv.compare_and_swap(&key, expected, value).await,
            }
        });
    }

    fn apply_table(&mut self, entry: &Entry) {
        let Some(zone) = entry.key.strip_prefix(TABLES_PREFIX) else {
            return;
        };
        let table: ZoneTable = match serde_json::from_slice(&entry.value) {
            Ok(table) => table,
            Err(error) => {
                tracing::error!(event = "table_unreadable", zone, %error);
                return;
            }
        };
        if *zone == *self.me.zone {
            self.membership.table = table;
            self.membership.revision = entry.revision;
        } else {
            self.membership.foreign.insert(zone.into(), table);
        }
    }

    /// Renews the lease if the table read at `sent` lists this run as a member.
    fn renew_lease(&mut self, sent: Now) {
        let me = &self.me;
        let membership = &mut self.membership;
        if !membership.table.has_member(&me.instance, me.incarnation) {
            membership.lease.on_membership_lost();
            membership.settling_since = None;
            return;
        }
        let others = membership
            .table
            .members
            .iter()
            .filter(|(id, _)| **id != me.instance);
        let others = others.map(|(id, m)| (id.clone(), m.incarnation)).collect();
        membership.lease.on_table_read(sent, others);
        if membership.settling_since.is_none() {
            membership.settling_since = Some(self.clock.now());
            tracing::info!(event = "joined", zone = %me.zone, instance = %me.instance);
        }
    }

    /// Stops scheduling the workers that the table no longer shows as owned by
    /// this instance under the same epoch.
    fn drop_lost_workers(&mut self) {
        let owned = self
            .membership
            .table
            .owned_by(&self.me.instance, self.me.incarnation);
        let lost: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(id, o)| owned.get(*id) != Some(&o.scheduler.epoch()))
            .map(|(id, _)| id.clone())
            .collect();
        for worker in lost {
            tracing::warn!(event = "worker_lost", %worker);
            self.drop_worker(&worker);
        }
    }

    /// Adds the workers that the table shows as newly owned.
    fn add_gained_workers(&mut self) {
        let owned = self
            .membership
            .table
            .owned_by(&self.me.instance, self.me.incarnation);
        let handing_over = self.membership.swap.is_some();
        for (worker, epoch) in owned {
            if self.workers.contains_key(&worker) || handing_over {
                continue;
            }
            self.add_gained_worker(&worker, epoch);
        }
    }

    fn add_gained_worker(&mut self, worker: &WorkerId, epoch: Epoch) {
        let now = self.clock.now();
        let handover = self.handovers.remove(worker);
        // A handover with the same epoch is this instance's own, whose table
        // swap has failed.
        let handover = handover.filter(|h| h.epoch + 1 == epoch || h.epoch == epoch);
        let opening = match &handover {
            Some(_) => OpeningTimes {
                open_from: now,
                evict_from: now,
            },
            None => self.opening_times(worker, now),
        };
        let added = self.add_worker(worker, epoch, opening.open_from, opening.evict_from);
        if !added {
            return;
        }
        let wait_ms = (opening.open_from - now).as_millis() as u64;
        let handed_over = handover.is_some();
        tracing::info!(event = "worker_owned", %worker, epoch, wait_ms, handed_over);
        if let (Some(handover), Some(owned)) = (handover, self.workers.get_mut(worker)) {
            owned.scheduler.apply_handover(handover, now);
        }
    }

    /// Returns the times from which a worker that this instance has just read
    /// as its own may be used, if the previous owner sent no handover.
    ///
    /// The previous owner's lease is valid for the lease time after either a
    /// read that was ordered before this instance's swap, or promises of all
    /// members in the table that it last read. This instance claims only after
    /// its own promise to the previous owner has expired, and makes none until
    /// that owner has read the claim. If the table that the previous owner last
    /// read lists this instance, then not all members in that table promise to
    /// it, and waiting for the lease time is enough. Otherwise it may extend
    /// its lease by promises for as long as these may replace reads, and that
    /// is how long this instance waits.
    fn opening_times(&self, worker: &WorkerId, now: Now) -> OpeningTimes {
        let ownership = self.membership.table.workers.get(worker);
        let previous = ownership.into_iter().flat_map(|o| &o.previous);
        let waits = previous.map(|previous| self.takeover_wait(previous));
        let wait = waits.max().unwrap_or_default();
        OpeningTimes {
            open_from: now + wait.open,
            evict_from: now + wait.evict,
        }
    }

    /// Returns how long to wait for a previous owner.
    ///
    /// A previous owner's process has ended if the table no longer lists its
    /// incarnation: either it left the table itself, or the same instance has
    /// joined with a new incarnation. Other members don't remove a previous
    /// owner (see `is_previous_owner`).
    fn takeover_wait(&self, previous: &PreviousOwner) -> TakeoverWait {
        let times = &self.membership.times;
        // The previous owner is this instance or an ended earlier run of it:
        // only requests that it granted, and handed over as permits, may still
        // be in progress.
        let is_self = previous.owner == self.me.instance;
        let table = &self.membership.table;
        let ended = is_self || !table.has_member(&previous.owner, previous.incarnation);
        if ended {
            return TakeoverWait {
                open: Duration::ZERO,
                evict: times.dispatch,
            };
        }
        if self.has_read_member(&previous.owner, &self.me.instance) {
            return TakeoverWait {
                open: times.claim_wait(),
                evict: times.evict_wait(),
            };
        }
        TakeoverWait {
            open: times.joiner_wait(),
            evict: times.joiner_wait(),
        }
    }

    /// Whether `id`, according to its last summary, has read a table that lists
    /// `member`. It then can't extend its lease by promises without `member`'s.
    pub(super) fn has_read_member(&self, id: &InstanceId, member: &InstanceId) -> bool {
        let members = &self.membership.table.members;
        let (Some(peer), Some(member)) = (members.get(id), members.get(member)) else {
            return false;
        };
        let summary = self.membership.peer_states.get(id).map(|p| &p.summary);
        summary.is_some_and(|s| s.incarnation == peer.incarnation && s.table >= member.joined)
    }
}

fn table_key(zone: &ZoneId) -> String {
    format!("{TABLES_PREFIX}{zone}")
}
