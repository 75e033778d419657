//! How long runs are kept after their end.

use crate::Millis;

/// What a sweep keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Answers of runs that ended before are dropped.
    pub answers_since: Millis,
    /// The oldest answers are dropped while all fill more bytes than this.
    pub max_answer_bytes: usize,
    /// That a non-idempotent run ran is forgotten if its answer was dropped before.
    ///
    /// It must lie before the end of the run's claim, or a repeat might run it again.
    pub outcomes_since: Millis,
}
