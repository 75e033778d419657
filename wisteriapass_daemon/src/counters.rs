//! Implementation of the control calls that read counters.

use jsonrpsee::core::RpcResult;

use crate::metrics::{REFUSALS, RETRIES};
use crate::prelude::*;
use crate::rpc::{CountersServer, ReasonCount};

/// Serves the counters from the metrics of this process.
pub struct CountersService {
    metrics: Arc<Metrics>,
}

impl CountersService {
    /// Creates the service of a process.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if the metrics are missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            metrics: kernel.find()?,
        })
    }
}

impl CountersServer for CountersService {
    fn refusals(&self) -> RpcResult<Vec<ReasonCount>> {
        Ok(self.metrics.by_reason(REFUSALS))
    }

    fn retries(&self) -> RpcResult<Vec<ReasonCount>> {
        Ok(self.metrics.by_reason(RETRIES))
    }
}
