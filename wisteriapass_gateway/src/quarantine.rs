//! Quarantine of requests that crash their targets: detects that a target died, and shares the
//! findings between all routers.

mod probe;
mod shared;

pub use probe::{ProbeResult, Probes};
pub use shared::{QuarantineCall, SharedQuarantine};
