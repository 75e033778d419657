//! Control calls between processes, by JSON-RPC.

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
pub use messages::{Heartbeat, HeartbeatAnswer, Role, Status};
pub use router::{RouterControlClient, RouterControlServer};
pub use server::ControlServerHandle;
pub use side::{
    HomeClaim, LookupAnswer, OwnedRun, OwnedRuns, SideControlClient, SideControlServer,
    WithdrawalAnswer, WithdrawalOutcome,
};

/// Control calls of every daemon.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Returns what the process says of itself.
    #[method(name = "status")]
    fn status(&self) -> RpcResult<Status>;

    /// Takes a heartbeat.
    #[method(name = "heartbeat")]
    fn heartbeat(&self, beat: Heartbeat) -> RpcResult<HeartbeatAnswer>;

    /// Returns the configuration document in force, as JSON text.
    #[method(name = "document")]
    fn document(&self) -> RpcResult<Option<String>>;

    /// Offers a configuration document; returns the revision that is in force afterwards.
    #[method(name = "offer")]
    fn offer(&self, document: String) -> RpcResult<u64>;

    /// Has an order carried out that stands in the key-value service; side processes only.
    #[method(name = "order", blocking)]
    fn order(&self, token: FencingToken) -> RpcResult<()>;
}
