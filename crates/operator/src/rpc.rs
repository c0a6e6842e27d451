//! JSON-RPC methods.

use crate::status::{AdapterStatus, InstanceStatus, RulesInForce};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// Methods of an entry instance for operators. All are queries; operators make
/// changes through the platform's service.
#[rpc(client, server)]
pub trait OperatorRpc {
    /// Returns the state of the instance and of the workers that it knows.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<InstanceStatus>;

    /// Returns the adapter versions that are resident or that requests wait for,
    /// ordered by name and version.
    #[method(name = "adapters")]
    async fn adapters(&self) -> RpcResult<Vec<AdapterStatus>>;

    /// Returns the rules in force at the instance.
    #[method(name = "rules")]
    async fn rules(&self) -> RpcResult<RulesInForce>;
}
