//! Which requests crash the targets that run them; all routers of a fleet share what they know.
//!
//! A poison request crashes each target that starts to run it and arrives again and again, at any
//! router: without a quarantine, each copy and each retry costs another target. Every request in
//! flight at a target that died is recorded. A request that was in flight at three such targets is
//! banned, unless their deaths have another cause, or it has completed since or just before. One that
//! is a single death short of a ban is a suspect of which one copy at a time is sent, as a trial.
//!
//! The table does no I/O and reads no clock: callers pass in the time, and messages between
//! processes carry ages only. Merging tables is a join, so messages may be lost, duplicated, delayed
//! and reordered.

mod admission;
mod completions;
mod death;
mod death_history;
mod delta;
mod fingerprint;
mod incarnation;
mod table;
mod trial;
mod trials;
mod verdict;

pub use admission::Admission;
pub use delta::{Cursor, DeathRecord, QuarantineDelta, RequestDeaths};
pub use fingerprint::Fingerprint;
pub use incarnation::Incarnation;
pub use table::Quarantine;
pub use trial::TrialEnd;
pub use trials::Trials;
pub use verdict::Verdict;

/// Target deaths after which a request is banned: one or two may be a coincidence.
pub const DEATHS_TO_BAN: usize = 3;

/// Duration of a first ban from its last death, in milliseconds: by then a caller that retries the
/// request has given up, or somebody has looked into it.
pub const INITIAL_BAN_MS: i64 = 5 * 60 * 1_000;

/// Maximum duration of a ban, in milliseconds.
pub const MAX_BAN_MS: i64 = 60 * 60 * 1_000;

/// Time after the end of a ban in which a single death bans the request again, in milliseconds.
pub const PROBATION_MS: i64 = 60 * 60 * 1_000;

/// Age at which a death is discarded if its request was never banned, in milliseconds.
pub const DEATH_RETENTION_MS: i64 = 60 * 60 * 1_000;

/// Maximum number of requests in a table.
pub const MAX_REQUESTS: usize = 1_024;

/// Maximum number of deaths that are kept per request; the latest are kept.
pub const MAX_DEATHS_PER_REQUEST: usize = 16;

/// Maximum number of requests in one message: about 12 KB if each has one death.
pub const MAX_REQUESTS_PER_DELTA: usize = 256;

/// Maximum duration of a trial, in milliseconds: a router that dies with a trial holds back the other
/// copies of a suspect for no longer than this.
pub const MAX_TRIAL_MS: u64 = 60 * 1_000;

/// Time for which no trial begins after the target of one died, in milliseconds: twice the time in
/// which deaths are simultaneous, so that the next death counts at routers with late messages, too.
pub const TRIAL_PAUSE_MS: u64 = 1_000;

/// Maximum number of trials in a table.
pub const MAX_TRIALS: usize = MAX_REQUESTS;
