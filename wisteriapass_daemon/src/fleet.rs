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

pub use catch_up::DocumentSync;
pub use config::ConfigInForce;
pub use follow::{StartRule, follow};
pub use heard_load::ReceivedLoad;
pub use heartbeat::exchange_heartbeats;
pub use orders::OrderExecutor;
pub use own::LocalMember;
pub use service::{Eligibility, Fleet};
