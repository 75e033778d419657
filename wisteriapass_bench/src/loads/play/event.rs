//! What happens in a play, and when.

use std::cmp::Ordering;

use wisteriapass_policy::{LoadReport, Time};

use crate::loads::engine::RunId;

/// What happens in a play.
#[derive(Clone, Copy, Debug)]
pub(in crate::loads) enum Event {
    /// A request comes to its router.
    Arrive { request: usize },
    /// A run comes to its target.
    Reach { run: RunId },
    /// A run gives its first token.
    FirstToken { run: RunId },
    /// A run gives a sign of progress.
    Progress { run: RunId },
    /// A run gives its last token.
    End { run: RunId },
    /// A request's time is up.
    Deadline { request: usize },
    /// A target takes a load report.
    Report { target: usize },
    /// A load report comes to a router.
    Reported {
        router: usize,
        target: usize,
        report: LoadReport,
    },
    /// A cache hint comes to a router.
    Hint {
        router: usize,
        target: usize,
        prefix: u64,
        held: bool,
    },
    /// A router wakes as its scheduler asked.
    Wake { router: usize },
}

/// An event with its time; those of one time keep the order in which they were made.
#[derive(Clone, Copy, Debug)]
pub(in crate::loads) struct Timed {
    pub(in crate::loads) at: Time,
    pub(in crate::loads) order: u64,
    pub(in crate::loads) event: Event,
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timed {}
