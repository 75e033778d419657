//! Control calls of routers.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use wisteriapass_coord::budget::{Ask, Transfer};

/// Control calls of a router.
#[rpc(server, client, namespace = "router")]
pub trait RouterControl {
    /// Lends money to a router that ran dry; a repeat gets the same money again.
    #[method(name = "lend")]
    fn lend(&self, ask: Ask) -> RpcResult<Transfer>;
}
