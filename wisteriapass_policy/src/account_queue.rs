//! One account's part of a pool's queue.

use std::collections::VecDeque;

use crate::queued_request::QueuedRequest;
use crate::{Priority, Time};

/// Requests of each class that are looked at for one with a given home.
const LOOK_AHEAD: usize = 4;

/// One account's part of the queue.
#[derive(Debug, Default)]
pub(crate) struct AccountQueue {
    /// Work given so far by weight, in tokens.
    pub(crate) virtual_time: f64,
    pub(crate) queues: [VecDeque<QueuedRequest>; 3],
    pub(crate) work: [f64; 3],
    pub(crate) retry_work: f64,
    /// The account's fair share when last computed, in tokens a second.
    pub(crate) share: f64,
    pub(crate) weight: f64,
    /// Until when the account's promised share is taken.
    pub(crate) promised_until: Time,
    /// When the account last offered work.
    pub(crate) last_offer: Time,
}

impl AccountQueue {
    /// Returns the waiting work of callers that came back as told, in tokens.
    pub(crate) fn retry_work(&self) -> f64 {
        self.retry_work
    }

    /// Returns the waiting work in a class and above, in tokens.
    pub(crate) fn work_above(&self, priority: Priority) -> f64 {
        self.work[..=priority.index()].iter().sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Returns the first request of each class.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (f64, &QueuedRequest)> {
        let virtual_time = self.virtual_time;
        self.queues
            .iter()
            .filter_map(|q| q.front())
            .map(move |w| (virtual_time, w))
    }

    /// Returns the first few requests of each class.
    pub(crate) fn first_few(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.queues.iter().flat_map(|q| q.iter().take(LOOK_AHEAD))
    }

    /// Returns how far ahead the account is with all its waiting work done.
    pub(crate) fn projected_virtual_time(&self) -> f64 {
        self.virtual_time + self.work.iter().sum::<f64>() / self.weight.max(1e-3)
    }
}
