//! What an answer to a fingerprint excuses.

/// Time after an answer in which a death doesn't count, in milliseconds: what is constantly in flight
/// everywhere is also in flight at any target that fails.
const GRACE_MS: i64 = 1_000;

/// Time for which an answer excuses further deaths, in milliseconds.
const EXCUSE_MS: i64 = 10 * 60 * 1_000;

/// Number of deaths that an answer to a prompt part excuses after the grace time. A part that rarely
/// comes by itself is in flight with a poisonous one at several deaths before it is answered again.
const EXCUSED_DEATHS: usize = 2;

/// What the last answer to a fingerprint excuses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Clearance {
    /// When it was answered, in milliseconds; `None` if that is not known.
    answered_at: Option<i64>,
    /// Number of further deaths that are excused.
    excuses: usize,
}

impl Clearance {
    /// Returns the clearance of a request that was answered.
    pub fn of_request(answered_at: i64) -> Self {
        Self {
            answered_at: Some(answered_at),
            excuses: 0,
        }
    }

    /// Returns the clearance of a prompt part that was answered.
    pub fn of_prompt_part(answered_at: i64) -> Self {
        Self {
            answered_at: Some(answered_at),
            excuses: EXCUSED_DEATHS,
        }
    }

    /// Returns whether a death came before the answer or within its grace time.
    pub fn covers(&self, death_at: i64) -> bool {
        self.answered_at.is_some_and(|at| death_at <= at + GRACE_MS)
    }

    /// Excuses a death, if any excuse is left for it.
    pub fn excuse(&mut self, death_at: i64) -> bool {
        if self.covers(death_at) {
            return true;
        }
        let is_recent = self
            .answered_at
            .is_some_and(|at| death_at <= at + EXCUSE_MS);
        if !is_recent || self.excuses == 0 {
            return false;
        }
        self.excuses -= 1;
        true
    }
}
