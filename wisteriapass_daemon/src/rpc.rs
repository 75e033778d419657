//! Control calls between processes, by JSON-RPC.

mod caller;
mod counters;
mod messages;
mod router;
mod server;
mod side;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

pub use caller::{CallError, Caller};
pub use counters::{CountersClient, CountersServer, ReasonCount};
pub use messages::{Role, Status};
pub use router::{RouterControlClient, RouterControlServer};
pub use server::ControlServerHandle;
pub use side::{
    HomeClaim, Looked, Owned, OwnedRun, SideControlClient, SideControlServer, Withdrawal, Withdrawn,
};

/// Control calls of every daemon.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Returns what the process says of itself.
    #[method(name = "status")]
    fn status(&self) -> RpcResult<Status>;
}
