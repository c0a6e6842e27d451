//! The control thread's report for operators.

use reedford_operator::{AdapterStatus, InstanceStatus};

/// State of this instance.
#[derive(Clone, Debug)]
pub(crate) struct InstanceReport {
    pub(crate) status: InstanceStatus,
    pub(crate) adapters: Vec<AdapterStatus>,
}
