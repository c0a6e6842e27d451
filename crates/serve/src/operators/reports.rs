//! What operators are shown, as the control thread tells it.

use reedford_operator::{AdapterStatus, InstanceStatus};

/// The state of this instance.
#[derive(Clone, Debug)]
pub(crate) struct InstanceReport {
    pub(crate) status: InstanceStatus,
    pub(crate) adapters: Vec<AdapterStatus>,
}
