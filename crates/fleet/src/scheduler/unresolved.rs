//! Orders without a response, which an engine may still carry out.
//!
//! An engine carries an order out only while the number of orders that it has
//! accepted is the one that the order states. An order without a response is
//! therefore resolved once that number is known to be higher: then the order was
//! carried out and its effect shows in a report, or it never will be.

use super::AdapterKey;
use super::order::{Order, OrderKind};
use crate::{ModelName, Now};
use std::time::Duration;

/// Time after which an order to an earlier incarnation of an engine is no longer
/// expected; orders are carried out late by seconds.
const LATE_ORDER_LIMIT: Duration = Duration::from_secs(30);

/// The orders to one engine whose outcome is unknown.
#[derive(Clone, Debug, Default)]
pub(super) struct UnresolvedOrders(Vec<UnresolvedOrder>);

#[derive(Clone, Debug)]
struct UnresolvedOrder {
    after: u64,
    kind: OrderKind,
    /// Set if it was sent to an earlier incarnation, which counted its orders
    /// independently.
    expires_at: Option<Now>,
}

impl UnresolvedOrders {
    pub(super) fn push(&mut self, order: Order) {
        self.0.push(UnresolvedOrder {
            after: order.after,
            kind: order.kind,
            expires_at: None,
        });
    }

    pub(super) const fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether one of them would be carried out in place of an order that states
    /// the same number of accepted orders.
    pub(super) fn compete_with(&self, order: &Order) -> bool {
        self.0.iter().any(|o| o.after == order.after)
    }

    /// Returns the adapters that they load.
    pub(super) fn loads(&self) -> impl Iterator<Item = AdapterKey> {
        let loads = |o: &&UnresolvedOrder| matches!(o.kind, OrderKind::LoadAdapter { .. });
        self.0.iter().filter(loads).filter_map(|o| o.kind.adapter())
    }

    /// Returns a base model that they load.
    pub(super) fn model(&self) -> Option<&ModelName> {
        self.0.iter().find_map(|o| match &o.kind {
            OrderKind::LoadModel { model } => Some(model),
            OrderKind::LoadAdapter { .. } | OrderKind::UnloadAdapter { .. } => None,
        })
    }

    /// Drops those that are resolved when the engine has accepted `orders` orders.
    pub(super) fn resolve(&mut self, orders: u64, now: Now) {
        self.0
            .retain(|o| o.after >= orders && o.expires_at.is_none_or(|at| at > now));
    }

    /// Marks them as sent to an earlier incarnation, and drops those that are no
    /// longer expected.
    pub(super) fn outlive_incarnation(&mut self, now: Now) {
        for order in &mut self.0 {
            order.expires_at.get_or_insert(now + LATE_ORDER_LIMIT);
        }
        self.resolve(0, now);
    }
}
