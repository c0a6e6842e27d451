//! The zone's table as it is read: the lease that it proves, and the workers
//! that are won and lost by it. How the table is changed is in `claiming`.

use super::command::Event;
use super::state::{Control, PendingSwap};
use reedford_core::messages::Handover;
use reedford_core::table::{PreviousOwner, ZoneTable};
use reedford_core::{Epoch, InstanceId, Now, WorkerId, ZoneId};
use reedford_settings::ms;
use reedford_store::{Entry, KeyValue as _, KvError, Listing, Swapped};
use std::time::Duration;

/// Where the tables of all zones are kept.
const TABLES_PREFIX: &str = "reedford/zones/";

/// How long a claimant waits for an old owner.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Wait {
    evict: Duration,
    open: Duration,
}

/// From when on a claimed worker may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Opening {
    open_from: Now,
    evict_from: Now,
}

impl Control {
    /// Reads the tables of all zones, soon.
    pub(super) fn read_tables(&mut self) {
        let kv = std::sync::Arc::clone(&self.clients.kv);
        let sent = self.clock.now();
        self.metrics.platform_call("table_read");
        self.tasks.spawn(async move {
            Event::TableRead {
                sent,
                result: kv.list(TABLES_PREFIX).await,
            }
        });
    }

    pub(super) fn on_table_read(&mut self, sent: Now, result: Result<Listing, KvError>) {
        self.timers.table.pending = false;
        // A read sent before our last swap ended may show the table from
        // before it, and so ownership that we have given away.
        if sent < self.membership.swap_ended {
            self.timers.table.due = Duration::ZERO;
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
            self.take_table(&entry);
        }
        self.prove_lease(sent);
        self.drop_lost_workers();
        self.open_won_workers();
        if self.membership.swap.is_none() {
            self.change_table();
        }
    }

    pub(super) fn on_swapped(&mut self, result: Result<Swapped, KvError>) {
        let pending = self.membership.swap.take();
        self.membership.swap_ended = self.clock.now();
        self.timers.table.due = Duration::ZERO;
        match result {
            Ok(Swapped::Done { .. }) => {
                for (to, handover) in pending.map(|p| p.handovers).unwrap_or_default() {
                    self.send_handover(&to, handover);
                }
            }
            // The workers come back with the next read, unless a late write
            // still gives them away. Either way that read decides.
            Ok(Swapped::Lost { .. }) => tracing::debug!(event = "table_swap_lost"),
            Err(error) => tracing::warn!(event = "table_swap_failed", %error),
        }
    }

    pub(super) fn on_hand_over(&mut self, handover: Handover) {
        self.timers.table.due = Duration::ZERO;
        let now = self.clock.now();
        let known = self.workers.get_mut(&handover.worker);
        let waiting = known
            .filter(|o| o.scheduler.epoch() == handover.epoch + 1 && o.scheduler.opens_at() > now);
        match waiting {
            Some(owned) => owned.scheduler.apply_handover(handover, now),
            None => {
                self.handovers.insert(handover.worker.clone(), handover);
            }
        }
    }

    /// After a pause of this process nothing can be said of the others: what
    /// they sent meanwhile has yet to be read. They get the time anew that a
    /// member has at the start, before they are taken for failed.
    pub(super) fn note_pause(&mut self) {
        let now = self.clock.now();
        let silence = ms(self.cfg.timeouts.peer_failed_ms);
        let paused = now > self.timers.ticked + silence / 2;
        self.timers.ticked = now;
        if paused && self.membership.joined_at.is_some() {
            tracing::warn!(event = "paused");
            self.membership.joined_at = Some(now);
        }
    }

    /// Time after joining, or after a pause, in which this instance takes no
    /// silent member for failed: the others have to read that it joined, and
    /// then to reach it.
    pub(super) fn settle_time(&self) -> Duration {
        ms(self.cfg.timeouts.lease_ms) + ms(self.cfg.timeouts.peer_failed_ms)
    }

    /// Refuses promises to members that went silent, so that their workers can
    /// be claimed, and gives them again to those that came back.
    pub(super) fn watch_members(&mut self) {
        let now = self.clock.now();
        let Some(joined_at) = self.membership.joined_at else {
            return;
        };
        if now < joined_at + self.settle_time() {
            return;
        }
        let alive = self.alive_members(now);
        for id in self.membership.table.members.keys() {
            if alive.contains(id) {
                self.membership.promises.allow(id);
            } else {
                self.membership.promises.refuse(id);
            }
        }
    }

    /// Starts a change of the table.
    pub(super) fn swap_table(&mut self, table: &ZoneTable, handovers: Vec<(InstanceId, Handover)>) {
        let Ok(value) = serde_json::to_vec(table) else {
            return;
        };
        let key = table_key(&self.me.zone);
        let kv = std::sync::Arc::clone(&self.clients.kv);
        let expected = self.membership.revision;
        self.membership.swap = Some(PendingSwap { handovers });
        self.metrics.platform_call("table_swap");
        self.tasks.spawn(async move {
            Event::Swapped {
                result: kv.swap(&key, expected, value).await,
            }
        });
    }

    fn take_table(&mut self, entry: &Entry) {
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

    fn prove_lease(&mut self, sent: Now) {
        let me = &self.me;
        let membership = &mut self.membership;
        if !membership.table.has_member(&me.instance, me.incarnation) {
            membership.lease.on_membership_lost();
            membership.joined_at = None;
            return;
        }
        let others = membership
            .table
            .members
            .iter()
            .filter(|(id, _)| **id != me.instance);
        let others = others.map(|(id, m)| (id.clone(), m.incarnation)).collect();
        membership.lease.on_table_read(sent, others);
        if membership.joined_at.is_none() {
            membership.joined_at = Some(self.clock.now());
            tracing::info!(event = "joined", zone = %me.zone, instance = %me.instance);
        }
    }

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

    fn open_won_workers(&mut self) {
        let owned = self
            .membership
            .table
            .owned_by(&self.me.instance, self.me.incarnation);
        let handing_over = self.membership.swap.is_some();
        for (worker, epoch) in owned {
            if self.workers.contains_key(&worker) || handing_over {
                continue;
            }
            self.open_won_worker(&worker, epoch);
        }
    }

    fn open_won_worker(&mut self, worker: &WorkerId, epoch: Epoch) {
        let now = self.clock.now();
        let handover = self.handovers.remove(worker);
        let handover = handover.filter(|h| h.epoch + 1 == epoch || h.epoch == epoch);
        let opening = match &handover {
            Some(_) => Opening {
                open_from: now,
                evict_from: now,
            },
            None => self.opening(worker, now),
        };
        let opened = self.open_worker(worker, epoch, opening.open_from, opening.evict_from);
        if !opened {
            return;
        }
        let wait_ms = (opening.open_from - now).as_millis() as u64;
        let handed_over = handover.is_some();
        tracing::info!(event = "worker_owned", %worker, epoch, wait_ms, handed_over);
        if let (Some(handover), Some(owned)) = (handover, self.workers.get_mut(worker)) {
            owned.scheduler.apply_handover(handover, now);
        }
    }

    /// From when on a worker that the table read just now shows as ours may be
    /// used, when its old owner handed nothing over.
    ///
    /// The old owner proves its ownership for the lease time, either by a read
    /// that was ordered before our swap, or by promises of all members of the
    /// table that it last read. We claim only after our own promise to it has
    /// ended, and give none until it has read our claim. If that table named
    /// us, its promises are not unanimous and the lease time is all there is to
    /// wait for. Otherwise it may go on by promises for as long as they may
    /// stand in for reads, and we wait for that.
    fn opening(&self, worker: &WorkerId, now: Now) -> Opening {
        let ownership = self.membership.table.workers.get(worker);
        let previous = ownership.into_iter().flat_map(|o| &o.previous);
        let waits = previous.map(|previous| self.wait_for(previous));
        let wait = waits.max().unwrap_or_default();
        Opening {
            open_from: now + wait.open,
            evict_from: now + wait.evict,
        }
    }

    /// How long to wait for an old owner.
    ///
    /// A member's process has ended when the table no longer names its run: it
    /// left by itself, or its name joined with a new run.
    fn wait_for(&self, previous: &PreviousOwner) -> Wait {
        let times = &self.membership.times;
        // What this run itself did as an owner is over, but for requests that
        // it granted and whose pins it has handed on.
        let own = previous.owner == self.me.instance;
        let table = &self.membership.table;
        let ended = own || !table.has_member(&previous.owner, previous.incarnation);
        if ended {
            return Wait {
                open: Duration::ZERO,
                evict: times.dispatch,
            };
        }
        if self.knew(&previous.owner, &self.me.instance) {
            return Wait {
                open: times.claim_wait(),
                evict: times.evict_wait(),
            };
        }
        Wait {
            open: times.joiner_wait(),
            evict: times.joiner_wait(),
        }
    }

    /// Whether `id`, when it was last heard of, had read a table that names
    /// `member`: then it can't go on by promises without that member's.
    pub(super) fn knew(&self, id: &InstanceId, member: &InstanceId) -> bool {
        let members = &self.membership.table.members;
        let (Some(old), Some(member)) = (members.get(id), members.get(member)) else {
            return false;
        };
        let heard = self.membership.heard.get(id).map(|h| &h.summary);
        heard.is_some_and(|h| h.incarnation == old.incarnation && h.table >= member.joined)
    }
}

fn table_key(zone: &ZoneId) -> String {
    format!("{TABLES_PREFIX}{zone}")
}
