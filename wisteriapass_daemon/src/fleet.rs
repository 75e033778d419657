//! The fleet as this process knows it: members, the configuration in force, and the orders to the
//! target.

mod config;
mod document_sync;
mod heartbeat;
mod local_member;
mod order_executor;
mod partners;
mod platform_follower;
mod received_load;
mod service;

pub use config::ConfigInForce;
pub use document_sync::DocumentSync;
pub use heartbeat::exchange_heartbeats;
pub use local_member::LocalMember;
pub use order_executor::OrderExecutor;
pub use platform_follower::{StartRule, follow_platform};
pub use received_load::ReceivedLoad;
pub use service::{Eligibility, Fleet};
