//! JSON-RPC control calls between processes.

mod client;
mod counters;
mod load;
mod messages;
mod router;
mod server;
mod side;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use wisteriapass_coord::order::FencingToken;

pub use client::{CallError, RpcClient};
pub use counters::{CountersClient, CountersServer, ReasonCount};
pub use load::TargetLoad;
pub use messages::{Heartbeat, HeartbeatAnswer, ProcessRole, ProcessStatus};
pub use router::{RouterControlClient, RouterControlServer};
pub use server::ControlServerHandle;
pub use side::{
    HomeClaim, LookupAnswer, OwnedRun, OwnedRuns, SideControlClient, SideControlServer,
    WithdrawalAnswer, WithdrawalOutcome,
};

/// Control calls that every daemon serves.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Returns the status of the process.
    #[method(name = "status")]
    fn status(&self) -> RpcResult<ProcessStatus>;

    /// Receives a heartbeat and answers it.
    #[method(name = "heartbeat")]
    fn heartbeat(&self, beat: Heartbeat) -> RpcResult<HeartbeatAnswer>;

    /// Returns the configuration document in force, as JSON text.
    #[method(name = "document")]
    fn document(&self) -> RpcResult<Option<String>>;

    /// Offers a configuration document; returns the revision that is in force afterwards.
    #[method(name = "offer")]
    fn offer(&self, document: String) -> RpcResult<u64>;

    /// Carries out an order from the key-value service; only side processes support it.
    #[method(name = "order", blocking)]
    fn order(&self, token: FencingToken) -> RpcResult<()>;
}
