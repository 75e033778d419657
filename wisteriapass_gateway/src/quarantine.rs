//! Requests that crash the targets that run them: finding out that a target died, and what all
//! routers know of it.

mod probe;
mod shared;

pub use probe::{ProbeResult, Probes};
pub use shared::{QuarantineCall, SharedQuarantine};
