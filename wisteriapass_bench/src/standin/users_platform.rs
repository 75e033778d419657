//! Stand-ins for the users' platform: its key-value service and its targets, by its protocol.

mod store;
mod target;

pub use store::{SimulatedStore, StoreFault};
pub use target::{Behaviour, CrashCondition, ReceivedRequest, SimulatedTarget};
