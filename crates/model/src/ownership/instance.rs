//! State of one entry instance: its claim, its lease and its pending reads,
//! promise requests and swaps.

use super::{LEASE_TICKS, MARGIN_TICKS, Mutation, PROMISE_LIMIT_TICKS, Table};

/// A pending read of the table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Read {
    /// Ticks since the read was sent, on the reader's clock, plus, for a relayed
    /// response, the age of the read at the peer.
    pub(super) age: u8,
    /// The table in the response, once the read was served.
    pub(super) shown: Option<Table>,
}

/// A pending request to all other members for promises, which prove the lease
/// once all of them have promised.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Ask {
    /// Ticks since the request was sent.
    pub(super) age: u8,
    /// Members that have to promise, as a mask.
    pub(super) needed: u8,
    /// Members that have promised, as a mask.
    pub(super) promised: u8,
}

/// A compare-and-swap of the table by this instance.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) enum Swap {
    #[default]
    None,
    Sent,
    /// The swap took effect; the table after it. The response has not arrived.
    Landed(Table),
    /// The store rejected the swap; the response has not arrived.
    Rejected,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Instance {
    /// Epoch of the instance's ownership or claim; 0 for none.
    pub(super) epoch: u8,
    /// Highest epoch that the instance knows.
    pub(super) seen: u8,
    /// Members in the instance's last read of the table, as a mask.
    pub(super) members: u8,
    /// Ticks until the instance's proof of ownership ends.
    pub(super) lease: u8,
    /// Ticks since the instance sent the last read that listed it as owner, at
    /// most [`PROMISE_LIMIT_TICKS`].
    pub(super) unread: u8,
    /// Ticks until the wait of the instance's claim ends.
    pub(super) wait: u8,
    /// Epoch of the settled ownership that the claim replaces: [`Table::settled`]
    /// at the time of the claim.
    pub(super) replaced: u8,
    pub(super) read: Option<Read>,
    pub(super) ask: Option<Ask>,
    pub(super) swap: Swap,
}

impl Instance {
    /// Returns whether the instance may load and evict now.
    pub(super) fn may_evict(&self) -> bool {
        self.epoch > 0 && self.lease > 0 && self.wait == 0
    }

    /// Advances the instance's clock by one tick.
    pub(super) fn tick(&mut self, mutation: Option<Mutation>) {
        self.lease = self.lease.saturating_sub(1);
        self.wait = self.wait.saturating_sub(1);
        self.unread = (self.unread + 1).min(PROMISE_LIMIT_TICKS);
        if let Some(read) = &mut self.read {
            read.age = (read.age + 1).min(LEASE_TICKS);
        }
        if let Some(ask) = &mut self.ask {
            ask.age = (ask.age + 1).min(LEASE_TICKS);
        }
        let accepts_late = mutation == Some(Mutation::LeaseFromReadAnswer);
        self.read = self.read.filter(|r| r.age < LEASE_TICKS || accepts_late);
        let accepts_late = mutation == Some(Mutation::LeaseFromLastPromise);
        self.ask = self.ask.filter(|a| a.age < LEASE_TICKS || accepts_late);
    }

    /// Records an epoch as known, and gives up an ownership with a lower one.
    pub(super) fn learn_epoch(&mut self, epoch: u8) {
        self.seen = self.seen.max(epoch);
        if self.epoch < self.seen {
            self.resign();
        }
    }

    fn resign(&mut self) {
        self.epoch = 0;
        self.lease = 0;
        self.wait = 0;
        self.replaced = 0;
        self.members = 0;
        self.unread = 0;
        self.ask = None;
    }

    /// Starts the instance's claim, and the wait before it may act as owner.
    /// `table` is the table after the swap.
    pub(super) fn start_claim(
        &mut self,
        own_index: usize,
        table: &Table,
        mutation: Option<Mutation>,
    ) {
        if table.epoch < self.seen {
            return;
        }
        let settled = match mutation {
            Some(Mutation::UnsettledClaimCounts) => table.epoch - 1,
            _ => table.settled,
        };
        let margin = if mutation == Some(Mutation::NoMargin) {
            0
        } else {
            MARGIN_TICKS
        };
        let needs_no_acknowledgement = table.joined_before(own_index, settled)
            || mutation == Some(Mutation::JoinerWithoutAcknowledgement);
        let wait = match mutation {
            Some(Mutation::NoClaimWait) => 0,
            Some(Mutation::WaitFromSwapSent) => self.wait,
            _ if needs_no_acknowledgement => LEASE_TICKS + margin,
            _ => PROMISE_LIMIT_TICKS + LEASE_TICKS + margin,
        };
        self.epoch = table.epoch;
        self.seen = table.epoch;
        self.members = table.members();
        self.wait = wait;
        self.replaced = settled;
        // The instance may request promises only after a read that lists it as
        // owner.
        self.unread = PROMISE_LIMIT_TICKS;
    }

    /// Handles the response to the pending read.
    pub(super) fn receive_read(&mut self, own_index: usize, mutation: Option<Mutation>) {
        let Some(Read {
            age,
            shown: Some(table),
        }) = self.read.take()
        else {
            return;
        };
        let owns_worker = usize::from(table.owner) == own_index;
        if let Swap::Landed(landed) = self.swap
            && table.epoch >= landed.epoch
        {
            self.swap = Swap::None;
        }
        if owns_worker && table.epoch > self.epoch {
            self.start_claim(own_index, &table, mutation);
        }
        if !owns_worker {
            self.learn_epoch(table.epoch);
        }
        if owns_worker && table.epoch == self.epoch {
            let accepts_late = mutation == Some(Mutation::LeaseFromReadAnswer);
            let age = if accepts_late { 0 } else { age };
            self.lease = self.lease.max(LEASE_TICKS - age);
            self.unread = self.unread.min(age);
            self.members = table.members();
        }
    }

    /// Requests a promise from all other members in the last read.
    pub(super) fn request_promises(&mut self, own_index: usize) {
        self.ask = Some(Ask {
            age: 0,
            needed: self.members & !(1 << own_index),
            promised: 0,
        });
    }

    /// Records a promise. The lease is proved once all needed promises have
    /// arrived.
    pub(super) fn receive_promise(&mut self, from: usize, mutation: Option<Mutation>) {
        let Some(ask) = &mut self.ask else {
            return;
        };
        ask.promised |= 1 << from;
        let complete = ask.promised == ask.needed || mutation == Some(Mutation::NotUnanimous);
        if !complete {
            return;
        }
        let accepts_late = mutation == Some(Mutation::LeaseFromLastPromise);
        let age = if accepts_late { 0 } else { ask.age };
        self.lease = self.lease.max(LEASE_TICKS - age);
        self.ask = None;
    }
}
