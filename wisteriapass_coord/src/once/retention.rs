//! Retention of runs after they end.

use crate::Millis;

/// Limits on what a sweep keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Answers of runs that ended before this time are dropped.
    pub answers_since: Millis,
    /// Maximum total size of the answers in bytes; the oldest are dropped first.
    pub max_answer_bytes: usize,
    /// Non-idempotent runs whose answers were dropped before this time are forgotten entirely.
    ///
    /// They have to be remembered until their claims expire; otherwise a repeat might run the
    /// request again.
    pub outcomes_since: Millis,
}
