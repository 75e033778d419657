//! The part of a pool's queue that belongs to one account.

use std::collections::VecDeque;

use crate::queued_request::QueuedRequest;
use crate::{Priority, Time};

/// Requests of each class that are searched for one with a given home.
const LOOK_AHEAD: usize = 4;

#[derive(Debug, Default)]
pub(crate) struct AccountQueue {
    /// Dispatched work divided by weight, in tokens.
    pub(crate) virtual_time: f64,
    pub(crate) queues: [VecDeque<QueuedRequest>; 3],
    pub(crate) work: [f64; 3],
    pub(crate) retry_work: f64,
    /// Fair share of the account when last computed, in tokens per second.
    pub(crate) share: f64,
    pub(crate) weight: f64,
    /// Time up to which the account's promised share is allotted.
    pub(crate) promised_until: Time,
    pub(crate) last_offer: Time,
}

impl AccountQueue {
    /// Returns the queued work of retried requests, in tokens.
    pub(crate) fn retry_work(&self) -> f64 {
        self.retry_work
    }

    /// Returns the queued work in this class and more urgent ones, in tokens.
    pub(crate) fn work_above(&self, priority: Priority) -> f64 {
        self.work[..=priority.index()].iter().sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Returns the first request of each class, with the account's virtual time.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (f64, &QueuedRequest)> {
        let virtual_time = self.virtual_time;
        self.queues
            .iter()
            .filter_map(|q| q.front())
            .map(move |w| (virtual_time, w))
    }

    /// Returns the first [`LOOK_AHEAD`] requests of each class.
    pub(crate) fn first_few(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.queues.iter().flat_map(|q| q.iter().take(LOOK_AHEAD))
    }

    /// Returns the virtual time of the account once all its queued work is done.
    pub(crate) fn projected_virtual_time(&self) -> f64 {
        self.virtual_time + self.work.iter().sum::<f64>() / self.weight.max(1e-3)
    }
}
