//! Which requests crash the targets that run them; all routers of a fleet share what they know.
//!
//! A poison crashes each target that starts to run a request with it and arrives again and again, at
//! any router: without a quarantine, each copy and each retry costs another target. It is a whole
//! request, or one part of a prompt in requests that differ otherwise; each has a fingerprint, and both
//! are treated alike. The fingerprints of every request in flight at a target that died are recorded.
//! One that was in flight at three such targets is banned, unless their deaths have another cause, or
//! it was answered since or just before. One that is a single death short of a ban is a suspect of
//! which one copy at a time is sent, as a trial.
//!
//! The table does no I/O and reads no clock: callers pass in the time, and messages between
//! processes carry ages only. Merging tables is a join, so messages may be lost, duplicated, delayed
//! and reordered.

mod admission;
mod blame;
mod clearance;
mod completions;
mod death;
mod death_history;
mod delta;
mod fingerprint;
mod incarnation;
mod mass_failure;
mod table;
mod trial;
mod trials;
mod verdict;

pub use admission::Admission;
pub use delta::{Cursor, DeathRecord, FingerprintDeaths, QuarantineDelta};
pub use fingerprint::Fingerprint;
pub use incarnation::Incarnation;
pub use table::Quarantine;
pub use trial::TrialEnd;
pub use trials::Trials;
pub use verdict::Verdict;

/// Target deaths after which a fingerprint is banned: one or two may be a coincidence.
pub const DEATHS_TO_BAN: usize = 3;

/// Duration of a first ban from its last death, in milliseconds: by then a caller that retries the
/// request has given up, or somebody has looked into it.
pub const INITIAL_BAN_MS: i64 = 5 * 60 * 1_000;

/// Maximum duration of a ban, in milliseconds.
pub const MAX_BAN_MS: i64 = 60 * 60 * 1_000;

/// Time after the end of a ban in which a single death bans again, in milliseconds.
pub const PROBATION_MS: i64 = 60 * 60 * 1_000;

/// Age at which a death is discarded if its fingerprint was never banned, in milliseconds.
pub const DEATH_RETENTION_MS: i64 = 60 * 60 * 1_000;

/// Maximum number of fingerprints in a table.
pub const MAX_FINGERPRINTS: usize = 1_024;

/// Maximum number of deaths that are kept per fingerprint; the latest are kept.
pub const MAX_DEATHS_PER_FINGERPRINT: usize = 16;

/// Maximum number of fingerprints in one message: about 12 KB if each has one death.
pub const MAX_FINGERPRINTS_PER_DELTA: usize = 256;

/// Maximum duration of a trial, in milliseconds: a router that dies with a trial holds back the other
/// copies of a suspect for no longer than this.
pub const MAX_TRIAL_MS: u64 = 60 * 1_000;

/// Time for which no trial begins after the target of one died, in milliseconds: twice the time in
/// which deaths are simultaneous, so that the next death counts at routers with late messages, too.
pub const TRIAL_PAUSE_MS: u64 = 1_000;

/// Maximum number of trials in a table.
pub const MAX_TRIALS: usize = MAX_FINGERPRINTS;
