//! What a coordinator knows of the engine.

use super::{Adapters, Bounds, Engine, Mutation, Order, OrderKind, OrderOutcome, Report};

/// What occupies the slots of an engine with a certain count.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct View {
    accepted: u8,
    held: Adapters,
    /// Held adapters that are completely loaded and not being evicted.
    loaded: Adapters,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Coordinator {
    /// Latest incarnation of the engine that it knows.
    pub(super) incarnation: u8,
    /// Highest count of this incarnation that it knows.
    known_count: u8,
    /// Whether the next report shows a state from after the last outcome of an order.
    report_is_newer: bool,
    /// `None` until a report is taken over.
    view: Option<View>,
    pub(super) pending: Option<Order>,
    /// Loads of unknown outcome, which may have been or may still be carried out.
    unknown: Vec<Order>,
}

impl Coordinator {
    /// Returns the order that it may send now, of this kind for this adapter.
    pub(super) fn order(
        &self,
        kind: OrderKind,
        adapter: usize,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) -> Option<Order> {
        let view = self.view.filter(|_| self.pending.is_none())?;
        let bit = 1 << adapter;
        let allowed = match kind {
            OrderKind::Load => self.may_load(&view, adapter, mutation, bounds),
            OrderKind::Unload if mutation == Some(Mutation::EvictionBeforeLoadCompletes) => {
                view.held & bit != 0
            }
            OrderKind::Unload => view.loaded & bit != 0,
        };
        allowed.then_some(Order {
            kind,
            adapter,
            incarnation: self.incarnation,
            after: view.accepted,
        })
    }

    fn may_load(
        &self,
        view: &View,
        adapter: usize,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) -> bool {
        let ordered_already = view.held & 1 << adapter != 0 && view.loaded & 1 << adapter == 0
            || self.unknown.iter().any(|o| o.adapter == adapter);
        if ordered_already && mutation == Some(Mutation::LoadOrderedTwice) {
            return true;
        }
        let occupied = view.held.count_ones() + self.unknown.len() as u32;
        view.held & 1 << adapter == 0 && occupied < bounds.slots
    }

    /// Applies the engine's response to the pending order.
    pub(super) fn on_outcome(&mut self, outcome: OrderOutcome, mutation: Option<Mutation>) {
        self.report_is_newer = false;
        let (Some(order), Some(mut view)) = (self.pending.take(), self.view.take()) else {
            return;
        };
        let bit = 1 << order.adapter;
        match (outcome, order.kind) {
            (OrderOutcome::Accepted, OrderKind::Load) => view.held |= bit,
            (OrderOutcome::Accepted, OrderKind::Unload) => {
                view.loaded &= !bit;
                if mutation == Some(Mutation::AcceptedEvictionFreesSlot) {
                    view.held &= !bit;
                }
            }
            (OrderOutcome::Done, OrderKind::Load) => {
                view.held |= bit;
                view.loaded |= bit;
            }
            (OrderOutcome::Done, OrderKind::Unload) => {
                view.held &= !bit;
                view.loaded &= !bit;
            }
            (OrderOutcome::Conflict, _) if mutation == Some(Mutation::ConflictKeepsContents) => {}
            (OrderOutcome::Conflict | OrderOutcome::Refused, _) => return,
        }
        if matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Conflict) {
            view.accepted += 1;
        }
        self.known_count = view.accepted;
        self.view = Some(view);
    }

    /// Gives up waiting for the response to the pending order, and returns the
    /// order.
    pub(super) fn give_up(&mut self, mutation: Option<Mutation>) -> Option<Order> {
        let order = self.pending.take()?;
        self.report_is_newer = false;
        if mutation == Some(Mutation::UnknownCountedAsNotArrived) {
            return Some(order);
        }
        self.view = None;
        if order.kind == OrderKind::Load {
            self.unknown.push(order);
            self.unknown.sort_unstable();
        }
        Some(order)
    }

    /// Records that reports have caught up with the engine.
    pub(super) const fn on_report_caught_up(&mut self) {
        self.report_is_newer = true;
    }

    /// Records that the load of `order` can't be carried out any more.
    pub(super) fn on_expired(&mut self, order: &Order) {
        if let Some(i) = self.unknown.iter().position(|o| o == order) {
            self.unknown.remove(i);
        }
    }

    /// Applies a report.
    pub(super) fn on_report(
        &mut self,
        report: &Report,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) {
        let needs_newer = bounds.keeps_id && mutation != Some(Mutation::ReportOlderThanOutcome);
        if needs_newer && !self.report_is_newer {
            return;
        }
        if report.busy && mutation != Some(Mutation::BusyReportBelieved) {
            return;
        }
        let mut accepted = report.accepted;
        let earlier = report.incarnation < self.incarnation;
        if earlier && mutation != Some(Mutation::ReportOfEarlierIncarnation) {
            return;
        }
        if report.incarnation > self.incarnation {
            self.on_restart(report.incarnation, mutation, bounds);
            if self.view.is_some() {
                return;
            }
        } else if accepted < self.known_count && !earlier {
            if mutation != Some(Mutation::ReportOlderThanOrder) {
                return;
            }
            accepted = self.known_count;
        }
        self.known_count = accepted;
        self.view = Some(View {
            accepted,
            held: report.resident,
            loaded: report.resident & !report.evicting,
        });
        self.exclude_unknown(report, mutation, bounds);
    }

    /// Records that the engine has restarted. Under another id it refuses the orders
    /// of the incarnation before.
    pub(super) fn on_restart(
        &mut self,
        incarnation: u8,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) {
        self.incarnation = incarnation;
        if !bounds.keeps_id || mutation == Some(Mutation::RestartExcludesUnderSameId) {
            self.unknown
                .retain(|order| order.incarnation >= incarnation);
        }
        if mutation != Some(Mutation::RestartKeepsView) {
            self.known_count = 0;
            self.view = None;
        }
    }

    /// Drops the loads of unknown outcome that can't be carried out any more and
    /// whose effect the report shows if they were.
    fn exclude_unknown(&mut self, report: &Report, mutation: Option<Mutation>, bounds: &Bounds) {
        let count_excludes =
            !bounds.keeps_id || mutation == Some(Mutation::CountExcludesAcrossRestarts);
        let any_excludes = mutation == Some(Mutation::ReportOfSameCountExcludes);
        self.unknown.retain(|order| {
            let excluded = count_excludes && order.after < report.accepted;
            !excluded && !any_excludes
        });
    }

    /// Returns the coordinator that takes over from this one.
    pub(super) fn successor(&self, mutation: Option<Mutation>) -> Self {
        let mut successor = Self::default();
        if mutation != Some(Mutation::PredecessorIgnored) {
            successor.unknown.clone_from(&self.unknown);
        }
        successor
    }

    /// Returns whether its view is of the engine's present count and lacks
    /// something that occupies a slot there.
    pub(super) fn misses_content_of(&self, engine: &Engine) -> bool {
        let may_arrive = self.unknown.iter().fold(0, |set, o| set | 1 << o.adapter);
        self.view.is_some_and(|view| {
            self.incarnation == engine.incarnation
                && view.accepted == engine.accepted
                && engine.contents() & !(view.held | may_arrive) != 0
        })
    }
}
