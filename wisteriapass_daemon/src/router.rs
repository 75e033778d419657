//! Router: takes requests from callers and has them run at targets.

mod answer;
mod asked;
mod attempt;
mod carry;
mod control;
mod follower;
mod front;
mod incarnations;
mod locate;
mod money;
mod offers;
mod openai;
mod pipeline;
mod scheduling;
mod turn;
mod unsettled;

pub use control::RouterControlService;
pub use front::serve;
pub use incarnations::Incarnations;
pub use locate::Locator;
pub use money::{Money, Peers};
pub use offers::prefix_hash;
pub use scheduling::Scheduling;
pub use unsettled::Unsettled;

pub use crate::fleet::ConfigInForce;
use crate::kernel::Service;

/// What a router knows of itself.
#[derive(Clone, Debug)]
pub struct RouterIdentity {
    /// Name in the inventory.
    pub name: String,
    /// Incarnation of this process.
    pub incarnation: String,
    /// Failure domain it sits in.
    pub failure_domain: String,
}

impl Service for RouterIdentity {
    const NAME: &'static str = "router";
}
