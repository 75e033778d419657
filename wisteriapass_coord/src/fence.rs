//! Fencing a dead router's money: who lives, which origins are refused, what is proved spent.
//!
//! A lapsed lease only raises the suspicion. The money is free again when every side process that
//! may have worked for the origin refuses it and has said what was spent; the service's revisions,
//! not clocks, tell whether a side process's memory reaches back far enough.

mod ack;
mod list;
mod proof;
mod registry;

pub use ack::SideAck;
pub use list::FenceList;
pub use proof::{RetirementDecision, decide_retirement};
pub use registry::{Registration, Registry};
