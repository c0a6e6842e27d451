//! The control thread's report for operators.

use reedford_operator::{AdapterStatus, InstanceStatus};

/// Status of this instance and of the adapters on all known workers.
#[derive(Clone, Debug)]
pub(crate) struct InstanceReport {
    pub(crate) status: InstanceStatus,
    pub(crate) adapters: Vec<AdapterStatus>,
}
