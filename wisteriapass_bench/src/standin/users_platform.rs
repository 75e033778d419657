//! Stand-ins for the users' platform: its key-value service and its targets, using its protocol.

mod store;
mod target;

pub use store::{SimulatedStore, StoreFault};
pub use target::{
    Behaviour, BreakOff, BreakPoint, CrashCondition, EndlessPart, Framing, ReceivedRequest,
    SimulatedTarget,
};
