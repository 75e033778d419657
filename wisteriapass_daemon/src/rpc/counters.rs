//! Control calls that read counters.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

/// How often something happened for one reason, since the process started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// Reason, as in the metrics.
    pub reason: String,
    /// Times.
    pub count: u64,
}

/// Counters of every daemon.
#[rpc(server, client, namespace = "counters")]
pub trait Counters {
    /// Returns how often requests were refused, by reason.
    #[method(name = "refusals")]
    fn refusals(&self) -> RpcResult<Vec<ReasonCount>>;

    /// Returns how often something was tried again, by reason.
    #[method(name = "retries")]
    fn retries(&self) -> RpcResult<Vec<ReasonCount>>;
}
