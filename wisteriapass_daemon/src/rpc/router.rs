//! Control calls of routers.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use wisteriapass_coord::budget::{Ask, Transfer};
use wisteriapass_coord::once::Bill;

/// Control calls of a router.
#[rpc(server, client, namespace = "router")]
pub trait RouterControl {
    /// Lends money to a router that ran dry; a repeat gets the same money again.
    #[method(name = "lend")]
    fn lend(&self, ask: Ask) -> RpcResult<Transfer>;

    /// Takes the open bills of a side process that stops.
    #[method(name = "take_bills")]
    fn take_bills(&self, bills: Vec<Bill>) -> RpcResult<()>;
}
