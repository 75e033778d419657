//! Router: accepts requests from callers and runs them at targets.

mod answer;
mod attempt;
mod checked_request;
mod control;
mod execution;
mod frontend;
mod money;
mod openai;
mod pipeline;
mod resources;
mod run_locator;
mod run_stream;
mod scheduled_request;
mod scheduler_driver;
mod side_incarnations;
mod unsettled;

pub use control::RouterControlService;
pub use frontend::serve;
pub use money::{MoneyManager, Peers};
pub use resources::prefix_hash;
pub use run_locator::RunLocator;
pub use scheduler_driver::SchedulerDriver;
pub use side_incarnations::SideIncarnations;
pub use unsettled::UnsettledReservations;

pub use crate::fleet::ConfigInForce;
use crate::kernel::Service;

/// Identity of this router.
#[derive(Clone, Debug)]
pub struct RouterIdentity {
    /// Name of the router in the inventory.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Failure domain of the router.
    pub failure_domain: String,
}

impl Service for RouterIdentity {
    const NAME: &'static str = "router";
}
