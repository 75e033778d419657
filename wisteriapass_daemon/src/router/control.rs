//! Server side of a router's control calls.

use jsonrpsee::core::RpcResult;
use wisteriapass_coord::budget::{Transfer, TransferRequest};
use wisteriapass_coord::once::Bill;

use crate::prelude::*;
use crate::router::MoneyManager;
use crate::rpc::RouterControlServer;

/// Handles the control calls of a router.
pub struct RouterControlService {
    money: Arc<MoneyManager>,
}

impl RouterControlService {
    /// Creates the handler.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            money: kernel.find()?,
        })
    }
}

impl RouterControlServer for RouterControlService {
    fn lend(&self, request: TransferRequest) -> RpcResult<Transfer> {
        Ok(self.money.lend(&request))
    }

    fn take_bills(&self, bills: Vec<Bill>) -> RpcResult<()> {
        self.money.take_bills(bills);
        Ok(())
    }
}
