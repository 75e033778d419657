//! Answering the control calls that every daemon has.

use jsonrpsee::core::RpcResult;

use crate::prelude::*;
use crate::router::InForce;
use crate::rpc::{ControlServer, Role, Status};
use crate::stop::Stop;

/// Answers control calls from the services of this process.
pub struct ControlService {
    name: String,
    role: Role,
    incarnation: String,
    config: Arc<InForce>,
    stop: Arc<Stop>,
}

impl ControlService {
    /// Creates the answers of a process.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(
        kernel: &Kernel,
        name: &str,
        role: Role,
        incarnation: &str,
    ) -> crate::kernel::Result<Self> {
        Ok(Self {
            name: name.into(),
            role,
            incarnation: incarnation.into(),
            config: kernel.find()?,
            stop: kernel.find()?,
        })
    }
}

impl ControlServer for ControlService {
    fn status(&self) -> RpcResult<Status> {
        Ok(Status {
            name: self.name.clone(),
            role: self.role,
            incarnation: self.incarnation.clone(),
            revision: self.config.revision(),
            stopping: self.stop.is_raised(),
            working: self.stop.working() as u64,
        })
    }
}
