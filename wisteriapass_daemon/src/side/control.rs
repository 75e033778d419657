//! Answering the control calls of a side process.

use jsonrpsee::core::RpcResult;

use crate::prelude::*;
use crate::rpc::{SideControlServer, Withdrawal};
use crate::side::{Runs, SideIdentity};

/// Answers a side process's control calls from its services.
pub struct SideControlService {
    side: Arc<SideIdentity>,
    runs: Arc<Runs>,
}

impl SideControlService {
    /// Creates the answers.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            side: kernel.find()?,
            runs: kernel.find()?,
        })
    }
}

impl SideControlServer for SideControlService {
    fn withdraw(&self, run: String, attempt: u32) -> RpcResult<Withdrawal> {
        let withdrawn = self.runs.withdraw(&run, attempt, Instant::now());
        Ok(Withdrawal {
            incarnation: self.side.incarnation.clone(),
            withdrawn,
        })
    }

    fn cancel(&self, run: String) -> RpcResult<bool> {
        Ok(self.runs.cancel(&run))
    }
}
