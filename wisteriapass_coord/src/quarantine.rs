//! Which requests crash the targets that run them, as all routers of a fleet learn it together.
//!
//! Answers a request that ends each target that begins to run it and comes again and again, at any
//! router: without this, each copy and each repeat costs another target. Every request that was under
//! way at a target that ended is noted. One that was under way at three of them is banned, unless
//! their ends have another cause, or it has run to a whole answer since or just before.
//!
//! A book is pure: callers pass in the time, and only ages travel between processes. Merging books
//! is a join; news may be lost, doubled, late and in any order.

mod completions;
mod death;
mod death_history;
mod delta;
mod fingerprint;
mod incarnation;
mod table;
mod verdict;

pub use delta::{Cursor, DeathRecord, QuarantineDelta, RequestDeaths};
pub use fingerprint::Fingerprint;
pub use incarnation::Incarnation;
pub use table::Quarantine;
pub use verdict::Verdict;

/// Targets that a request has to end before it is banned: one may be chance, and two may be.
pub const DEATHS_TO_BAN: usize = 3;

/// Length of a first ban, in milliseconds, from its last death: a caller that repeats a request
/// has given up by then, or somebody has looked at it.
pub const INITIAL_BAN_MS: i64 = 5 * 60 * 1_000;

/// Longest ban, in milliseconds.
pub const MAX_BAN_MS: i64 = 60 * 60 * 1_000;

/// Time behind a ban's end in which one more death bans again, in milliseconds.
pub const PROBATION_MS: i64 = 60 * 60 * 1_000;

/// Age at which a death of a request that was never banned is forgotten, in milliseconds.
pub const DEATH_RETENTION_MS: i64 = 60 * 60 * 1_000;

/// Requests in a book.
pub const MAX_REQUESTS: usize = 1_024;

/// Deaths that are kept of one request, the latest of them.
pub const MAX_DEATHS_PER_REQUEST: usize = 16;

/// Requests in one message: some 12 KB where each has one death.
pub const MAX_REQUESTS_PER_DELTA: usize = 256;
