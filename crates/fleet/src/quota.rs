//! Limits of workspaces, summed over all nodes.
//!
//! Each availability zone holds an equal part of a workspace's limit in a token
//! bucket ([`ZoneQuotas`]), kept by the zone's coordinator. A zone whose part is used
//! up charges a call to another zone, whose coordinator decides. Parts need no
//! agreement between zones: their sum is the limit, and a zone that is cut off keeps to
//! its own. A new coordinator starts with an empty bucket, because it doesn't know what
//! the previous one has spent.
//!
//! A model call is charged with the request for its placement. Other calls are admitted
//! by their node and charged afterwards ([`NodeQuotas`]). A node that reaches no
//! coordinator uses a reserve that is certainly its own, an equal part of the overshoot
//! that the platform tolerates.

mod bucket;
mod node;
mod zone;

pub use node::{NodeQuotas, NodeRefusal, Usage};
pub use zone::{ChargeOutcome, ZoneQuotas, ZoneUse};

/// How far a limit may be exceeded in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Share of the limit, in addition to the limit.
    pub overshoot: f64,
    /// Units, in addition to the limit and the share of it.
    pub slack: f64,
}

/// Share of the slack up to which zones together may exceed their parts at one time;
/// the rest is the nodes' reserve.
const ZONE_SLACK_SHARE: f64 = 0.3;
