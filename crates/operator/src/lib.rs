//! The operators' interface of an entry instance: JSON-RPC over HTTP.
//!
//! The instance implements [`OperatorRpcServer`]; [`client()`] creates the client.
//! Each call carries the operators' token as `authorization: Bearer TOKEN`. Calls
//! without it are rejected.

mod client;
mod rpc;
mod status;
mod token;

pub use client::{CreateClientError, client};
pub use rpc::{OperatorRpcClient, OperatorRpcServer};
pub use status::{AdapterStatus, InstanceStatus, LeaseStatus, RulesInForce, WorkerStatus};
pub use token::{bearer_header, bearer_matches};
