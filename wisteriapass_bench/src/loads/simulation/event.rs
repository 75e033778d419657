//! Events of a simulation and their order.

use std::cmp::Ordering;

use wisteriapass_policy::{LoadReport, Time};

use crate::loads::engine::RunId;

/// An event of a simulation.
#[derive(Clone, Copy, Debug)]
pub(in crate::loads) enum Event {
    /// A request arrives at its router.
    RequestArrival { request: usize },
    /// A run arrives at its target.
    RunArrival { run: RunId },
    /// A run generates its first token.
    FirstToken { run: RunId },
    /// A run may report progress.
    Progress { run: RunId },
    /// A run generates its last token.
    RunEnd { run: RunId },
    /// The deadline of a request passes.
    Deadline { request: usize },
    /// A target publishes its load.
    PublishLoad { target: usize },
    /// A load report arrives at a router.
    LoadReported {
        router: usize,
        target: usize,
        report: LoadReport,
    },
    /// A cache hint arrives at a router.
    CacheHint {
        router: usize,
        target: usize,
        prefix: u64,
        held: bool,
    },
    /// A router polls its scheduler at the time that the scheduler requested.
    Wake { router: usize },
}

/// An event with its time; events at the same time are handled in the order of scheduling.
#[derive(Clone, Copy, Debug)]
pub(in crate::loads) struct ScheduledEvent {
    pub(in crate::loads) at: Time,
    pub(in crate::loads) sequence: u64,
    pub(in crate::loads) event: Event,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}
