//! The operators' interface of an entry instance: JSON-RPC over HTTP.
//!
//! [`OperatorRpcServer`] is implemented by the instance, [`client()`] gives the
//! other side. Each call carries the operators' token as
//! `authorization: Bearer TOKEN`; without it nothing is told or done.

mod client;
mod rpc;
mod status;
mod token;

pub use client::{ClientError, client};
pub use rpc::{OperatorRpcClient, OperatorRpcServer};
pub use status::{AdapterStatus, InstanceStatus, LeaseStatus, RulesInForce, WorkerStatus};
pub use token::{bearer, bearer_matches};
