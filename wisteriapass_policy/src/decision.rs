//! Decisions of the scheduler about a request.

use crate::{Refusal, TargetKey, Ticket, Time};

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the request at this target.
    Run {
        /// The target.
        target: TargetKey,
    },
    /// Keep the request queued; [`crate::Scheduler::poll`] decides again, at the latest at this
    /// time.
    Wait {
        /// Latest time of the final decision.
        until: Time,
    },
    /// Refuse the request; the ticket becomes invalid.
    Refuse {
        /// Reason of the refusal.
        reason: Refusal,
        /// Time at which a retry would be served.
        retry_at: Time,
    },
    /// Run a second copy here; the first copy to answer wins and the other is cancelled.
    Hedge {
        /// Target of the second copy.
        target: TargetKey,
    },
}

/// A decision about a ticket that was waiting or running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketDecision {
    /// The request.
    pub ticket: Ticket,
    /// The decision.
    pub decision: Decision,
}
