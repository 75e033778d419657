//! Side process: runs requests at the target beside it and keeps their answers for attachment.

mod control;
mod copies;
mod engine;
mod engine_wire;
mod executor;
mod front;
mod index;
mod load;
mod money;
mod run;
mod runs;
mod service;

use std::net::SocketAddr;

use crate::kernel::Service;

pub use control::SideControlService;
pub use copies::BillCopier;
pub use front::serve;
pub use index::{RunIndex, homes_in};
pub use load::LoadMonitor;
pub use money::SideMoney;
pub use run::{NextEvent, Run};
pub use runs::Runs;

/// What a side process knows of itself.
#[derive(Clone, Debug)]
pub struct SideIdentity {
    /// Name of the target beside it.
    pub name: String,
    /// Incarnation of this process.
    pub incarnation: String,
    /// Address of the target.
    pub target: SocketAddr,
}

impl Service for SideIdentity {
    const NAME: &'static str = "side";
}
