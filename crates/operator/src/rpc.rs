//! The methods.

use crate::status::{AdapterStatus, InstanceStatus, RulesInForce};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// The methods of an entry instance for operators. All are queries: what
/// operators change, they change through the platform's service.
#[rpc(client, server)]
pub trait OperatorRpc {
    /// State of the instance and of the workers that it knows.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<InstanceStatus>;

    /// Adapter versions that are resident or waited for, by name and version.
    #[method(name = "adapters")]
    async fn adapters(&self) -> RpcResult<Vec<AdapterStatus>>;

    /// The rules in force at the instance.
    #[method(name = "rules")]
    async fn rules(&self) -> RpcResult<RulesInForce>;
}
