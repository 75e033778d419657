//! What the scheduler decides about one request.

use crate::{Refusal, TargetKey, Ticket, Time};

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it at this target.
    Run {
        /// The target.
        target: TargetKey,
    },
    /// Keep it; [`crate::Scheduler::poll`] decides again, at the latest at this time.
    Wait {
        /// Latest time of the final decision.
        until: Time,
    },
    /// Tell the caller no; the ticket is void.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When it would be served.
        retry_at: Time,
    },
    /// Run a second copy here; the first to answer wins and the other is cancelled.
    Hedge {
        /// The second target.
        target: TargetKey,
    },
}

/// A decision about a ticket that was waiting or running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketDecision {
    /// Which request.
    pub ticket: Ticket,
    /// What to do.
    pub decision: Decision,
}
