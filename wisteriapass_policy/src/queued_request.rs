//! One waiting request, and its place in the order.

use crate::{AccountKey, PolicyConfig, Priority, TargetKey, Ticket, Time};

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) account: AccountKey,
    pub(crate) priority: Priority,
    pub(crate) work: f64,
    pub(crate) since: Time,
    pub(crate) returned: bool,
    /// Target that is likely to hold its prefix.
    pub(crate) home: Option<TargetKey>,
}

impl Waiting {
    /// Returns a request's place in the order, in seconds of an account's share; the least goes first.
    pub(crate) fn score(&self, now: Time, lead: f64, share: f64, cfg: &PolicyConfig) -> f64 {
        let ahead = if cfg.parts.fairness {
            lead / share
        } else {
            0.0
        };
        let head_start = match self.priority {
            _ if self.returned => cfg.returned_lead_s,
            Priority::Interactive if cfg.parts.priority => cfg.interactive_lead_s,
            Priority::Standard if cfg.parts.priority => cfg.standard_lead_s,
            _ => 0.0,
        };
        // With fairness off this is arrival order within a class.
        let ageing = if cfg.parts.fairness { cfg.ageing } else { 1.0 };
        ahead - head_start - now.secs_since(self.since) * ageing
    }
}
