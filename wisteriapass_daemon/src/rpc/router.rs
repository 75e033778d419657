//! Control calls of routers.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use wisteriapass_coord::budget::{Transfer, TransferRequest};
use wisteriapass_coord::once::Bill;

/// Control calls of a router.
#[rpc(server, client, namespace = "router")]
pub trait RouterControl {
    /// Lends money to a router whose budget ran out; a repeated call returns the same transfer.
    #[method(name = "lend")]
    fn lend(&self, ask: TransferRequest) -> RpcResult<Transfer>;

    /// Accepts the open bills of a stopping side process.
    #[method(name = "take_bills")]
    fn take_bills(&self, bills: Vec<Bill>) -> RpcResult<()>;
}
