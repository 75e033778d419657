//! Control calls that read counters.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

/// Number of events with one reason since the process started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// Reason label in the metrics.
    pub reason: String,
    /// Number of events.
    pub count: u64,
}

/// Counters that every daemon serves.
#[rpc(server, client, namespace = "counters")]
pub trait Counters {
    /// Returns the number of refused requests by reason.
    #[method(name = "refusals")]
    fn refusals(&self) -> RpcResult<Vec<ReasonCount>>;

    /// Returns the number of retries by reason.
    #[method(name = "retries")]
    fn retries(&self) -> RpcResult<Vec<ReasonCount>>;
}
