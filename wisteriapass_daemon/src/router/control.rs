//! Answering the control calls of a router.

use jsonrpsee::core::RpcResult;
use wisteriapass_coord::budget::{Transfer, TransferRequest};
use wisteriapass_coord::once::Bill;

use crate::prelude::*;
use crate::router::MoneyManager;
use crate::rpc::RouterControlServer;

/// Answers a router's control calls from its services.
pub struct RouterControlService {
    money: Arc<MoneyManager>,
}

impl RouterControlService {
    /// Creates the answers.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            money: kernel.find()?,
        })
    }
}

impl RouterControlServer for RouterControlService {
    fn lend(&self, ask: TransferRequest) -> RpcResult<Transfer> {
        Ok(self.money.lend(&ask))
    }

    fn take_bills(&self, bills: Vec<Bill>) -> RpcResult<()> {
        self.money.take_bills(bills);
        Ok(())
    }
}
