//! A queued request and its score in the fair order.

use crate::{AccountKey, PolicyConfig, Priority, TargetKey, Ticket, Time};

#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) account: AccountKey,
    pub(crate) priority: Priority,
    pub(crate) work: f64,
    pub(crate) offered_at: Time,
    pub(crate) is_retry: bool,
    /// Target that is likely to hold its prefix.
    pub(crate) home: Option<TargetKey>,
}

impl QueuedRequest {
    /// Returns the score of a request, in seconds of an account's share; the lowest goes first.
    pub(crate) fn score(&self, now: Time, lead: f64, share: f64, cfg: &PolicyConfig) -> f64 {
        let lead_s = if cfg.parts.fairness {
            lead / share
        } else {
            0.0
        };
        let head_start = match self.priority {
            _ if self.is_retry => cfg.returned_lead_s,
            Priority::Interactive if cfg.parts.priority => cfg.interactive_lead_s,
            Priority::Standard if cfg.parts.priority => cfg.standard_lead_s,
            _ => 0.0,
        };
        // Without fairness this is arrival order within a class.
        let ageing = if cfg.parts.fairness { cfg.ageing } else { 1.0 };
        lead_s - head_start - now.secs_since(self.offered_at) * ageing
    }
}
