//! The fleet as this process sees it: members, the configuration in force, orders to the target.

mod catch_up;
mod config;
mod follow;
mod heard_load;
mod heartbeat;
mod orders;
mod own;
mod partners;
mod service;

pub use catch_up::CatchUp;
pub use config::InForce;
pub use follow::{StartRule, follow};
pub use heard_load::HeardLoad;
pub use heartbeat::beat;
pub use orders::Orders;
pub use own::Own;
pub use service::{Fit, Fleet};
