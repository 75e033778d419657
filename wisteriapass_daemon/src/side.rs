//! Side process: runs requests at its target and keeps the answers, to which routers attach.

mod bill_copier;
mod control;
mod dispatch_server;
mod engine;
mod engine_wire;
mod executor;
mod load_monitor;
mod money;
mod run;
mod run_index;
mod runs;
mod service_call;

use std::net::SocketAddr;

use crate::kernel::Service;

pub use bill_copier::BillCopier;
pub use control::SideControlService;
pub use dispatch_server::serve;
pub use load_monitor::LoadMonitor;
pub use money::SideMoney;
pub use run::{NextEvent, Run};
pub use run_index::{RunIndex, homes_in};
pub use runs::Runs;

/// Identity of this side process.
#[derive(Clone, Debug)]
pub struct SideIdentity {
    /// Name of the target, in the inventory.
    pub name: String,
    /// Incarnation of this process.
    pub incarnation: String,
    /// Address of the target.
    pub target: SocketAddr,
}

impl Service for SideIdentity {
    const NAME: &'static str = "side";
}
