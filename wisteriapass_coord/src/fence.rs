//! Fencing of dead routers and recovery of their tokens: which origins are live, which are refused,
//! and what they are proved to have spent.
//!
//! A lapsed lease only makes an origin suspect. Its tokens become free again once every side
//! process that may have run work paid by it refuses the origin and has reported what was spent.
//! Whether the state of a side process covers the whole life of the origin is decided from store
//! revisions, not from clocks.

mod ack;
mod list;
mod registry;
mod retirement;

pub use ack::SideAck;
pub use list::FenceList;
pub use registry::{Registration, Registry};
pub use retirement::{RetirementDecision, decide_retirement};
