//! Implementation of the control calls that every daemon serves.

use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use wisteriapass_coord::order::FencingToken;

use crate::fleet::{ConfigInForce, Fleet, OrderExecutor};
use crate::prelude::*;
use crate::rpc::{ControlServer, Heartbeat, HeartbeatAnswer, ProcessRole, ProcessStatus};
use crate::shutdown::Shutdown;
use crate::side::LoadMonitor;

/// Serves control calls from the services of this process.
pub struct ControlService {
    name: String,
    role: ProcessRole,
    incarnation: String,
    config: Arc<ConfigInForce>,
    shutdown: Arc<Shutdown>,
    fleet: Arc<Fleet>,
    orders: Option<Arc<OrderExecutor>>,
    load: Option<Arc<LoadMonitor>>,
}

/// JSON-RPC error code for a refused order.
const ORDER_REFUSED: i32 = 1;

impl ControlService {
    /// Creates the service of a process.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(
        kernel: &Kernel,
        name: &str,
        role: ProcessRole,
        incarnation: &str,
    ) -> crate::kernel::Result<Self> {
        Ok(Self {
            name: name.into(),
            role,
            incarnation: incarnation.into(),
            config: kernel.find()?,
            shutdown: kernel.find()?,
            fleet: kernel.find()?,
            orders: kernel.find().ok(),
            load: kernel.find().ok(),
        })
    }
}

impl ControlServer for ControlService {
    fn status(&self) -> RpcResult<ProcessStatus> {
        Ok(ProcessStatus {
            name: self.name.clone(),
            role: self.role,
            incarnation: self.incarnation.clone(),
            revision: self.config.revision(),
            stopping: self.shutdown.is_requested(),
            working: self.shutdown.active_work() as u64,
        })
    }

    fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatAnswer> {
        let now = Instant::now();
        let load = self.load.as_ref();
        Ok(HeartbeatAnswer {
            load: load.and_then(|l| l.load_for(&heartbeat.from.name, now)),
            ..self.fleet.answer_heartbeat(&heartbeat, now)
        })
    }

    fn document(&self) -> RpcResult<Option<String>> {
        Ok(self
            .config
            .config_document()
            .map(|config_document| config_document.text().to_string()))
    }

    fn offer(&self, document: String) -> RpcResult<u64> {
        self.config.offer(&document);
        Ok(self.config.revision())
    }

    fn order(&self, token: FencingToken) -> RpcResult<()> {
        let refuse = |cause: String| ErrorObjectOwned::owned(ORDER_REFUSED, cause, None::<()>);
        let Some(orders) = &self.orders else {
            return Err(refuse(
                "a router carries out no orders; send it to a side process".into(),
            ));
        };
        orders.execute(token).map_err(refuse)
    }
}
