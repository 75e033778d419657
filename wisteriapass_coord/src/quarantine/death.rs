//! The end of a target that had a request under way.

use super::Incarnation;

/// The end of a target, as held against one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Death {
    /// When it was noticed first, in milliseconds; before the process's own start it is negative.
    pub at: i64,
    /// The target.
    pub incarnation: Incarnation,
    /// Whether it has another cause, or the request ran to a whole answer since.
    pub excused: bool,
    /// Whether this process has settled that, so that nobody has to look again.
    pub settled: bool,
}

impl Death {
    /// Joins what another book knows of the same death; returns whether that is news.
    ///
    /// The earliest time wins: each way between books makes a death look younger.
    pub fn join(&mut self, other: &Self) -> bool {
        self.at = self.at.min(other.at);
        let is_news = other.excused && !self.excused;
        self.excused |= other.excused;
        is_news
    }
}
