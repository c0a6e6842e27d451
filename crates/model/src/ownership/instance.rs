//! What one entry instance knows, and how it concludes that it is the owner.

use super::{MARGIN, Mutation, PROMISE_LIMIT, TTL, Table};

/// A read of the table on its way.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Read {
    /// Ticks since it was sent, on the reader's clock.
    pub(super) age: u8,
    /// What the store answered.
    pub(super) shown: Option<Table>,
}

/// A question to all other members for a promise.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Ask {
    /// Ticks since it was sent.
    pub(super) age: u8,
    /// Members that have to promise.
    pub(super) needed: u8,
    /// Members that have promised.
    pub(super) promised: u8,
}

/// A swap of the table by this instance.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) enum Swap {
    #[default]
    None,
    Sent,
    Landed(Table),
    Rejected,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Instance {
    /// Epoch under which it takes itself for the owner; 0 for none.
    pub(super) epoch: u8,
    /// Highest epoch that it knows of.
    pub(super) seen: u8,
    /// Members as last read.
    pub(super) members: u8,
    /// Ticks that its proof of ownership still lasts.
    pub(super) lease: u8,
    /// Ticks since it sent the last read that showed it as owner, up to
    /// [`PROMISE_LIMIT`].
    pub(super) unread: u8,
    /// Ticks of its claim's wait that are left.
    pub(super) wait: u8,
    /// The settled epoch that its claim replaced.
    pub(super) replaced: u8,
    pub(super) read: Option<Read>,
    pub(super) ask: Option<Ask>,
    pub(super) swap: Swap,
}

impl Instance {
    /// Whether it would load or evict now.
    pub(super) fn may_evict(&self) -> bool {
        self.epoch > 0 && self.lease > 0 && self.wait == 0
    }

    /// One tick of its clock.
    pub(super) fn tick(&mut self, mutation: Option<Mutation>) {
        self.lease = self.lease.saturating_sub(1);
        self.wait = self.wait.saturating_sub(1);
        self.unread = (self.unread + 1).min(PROMISE_LIMIT);
        if let Some(read) = &mut self.read {
            read.age = (read.age + 1).min(TTL);
        }
        if let Some(ask) = &mut self.ask {
            ask.age = (ask.age + 1).min(TTL);
        }
        let late_counts = mutation == Some(Mutation::LeaseFromReadAnswer);
        self.read = self.read.filter(|r| r.age < TTL || late_counts);
        let late_counts = mutation == Some(Mutation::LeaseFromLastPromise);
        self.ask = self.ask.filter(|a| a.age < TTL || late_counts);
    }

    /// Ends its ownership on learning of a higher epoch.
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

    /// Starts the claim that `table`, as left by the own swap, shows.
    pub(super) fn start_claim(&mut self, me: usize, table: &Table, mutation: Option<Mutation>) {
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
            MARGIN
        };
        let needs_no_acknowledgement =
            table.is_older(me, settled) || mutation == Some(Mutation::JoinerWithoutAcknowledgement);
        let wait = match mutation {
            Some(Mutation::NoClaimWait) => 0,
            Some(Mutation::WaitFromSwapSent) => self.wait,
            _ if needs_no_acknowledgement => TTL + margin,
            _ => PROMISE_LIMIT + TTL + margin,
        };
        self.epoch = table.epoch;
        self.seen = table.epoch;
        self.members = table.members();
        self.wait = wait;
        self.replaced = settled;
        // Only a read of its own lets it ask for promises.
        self.unread = PROMISE_LIMIT;
    }

    /// Takes in the answer of its read.
    pub(super) fn receive_read(&mut self, me: usize, mutation: Option<Mutation>) {
        let Some(Read {
            age,
            shown: Some(table),
        }) = self.read.take()
        else {
            return;
        };
        let mine = usize::from(table.owner) == me;
        if let Swap::Landed(landed) = self.swap
            && table.epoch >= landed.epoch
        {
            self.swap = Swap::None;
        }
        if mine && table.epoch > self.epoch {
            self.start_claim(me, &table, mutation);
        }
        if !mine {
            self.learn_epoch(table.epoch);
        }
        if mine && table.epoch == self.epoch {
            let late_counts = mutation == Some(Mutation::LeaseFromReadAnswer);
            let age = if late_counts { 0 } else { age };
            self.lease = self.lease.max(TTL - age);
            self.unread = self.unread.min(age);
            self.members = table.members();
        }
    }

    /// Asks all other members, as last read, for a promise.
    pub(super) fn ask_promises(&mut self, me: usize) {
        self.ask = Some(Ask {
            age: 0,
            needed: self.members & !(1 << me),
            promised: 0,
        });
    }

    /// Takes in a promise.
    pub(super) fn receive_promise(&mut self, from: usize, mutation: Option<Mutation>) {
        let Some(ask) = &mut self.ask else {
            return;
        };
        ask.promised |= 1 << from;
        let complete = ask.promised == ask.needed || mutation == Some(Mutation::NotUnanimous);
        if !complete {
            return;
        }
        let late_counts = mutation == Some(Mutation::LeaseFromLastPromise);
        let age = if late_counts { 0 } else { ask.age };
        self.lease = self.lease.max(TTL - age);
        self.ask = None;
    }
}
