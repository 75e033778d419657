//! Quarantine of requests that crash their targets: detects that a target died, and shares the
//! findings between all routers. A request that is suspected is sent one copy at a time, as a trial.

mod probe;
mod shared;
mod shared_trials;
mod trial_guard;

pub use probe::{ProbeResult, Probes};
pub use shared::{QuarantineCall, SharedQuarantine};
pub use shared_trials::{EndedTrial, SharedTrials};
pub use trial_guard::TrialGuard;
