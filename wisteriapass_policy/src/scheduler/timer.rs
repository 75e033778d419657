//! Timers of the scheduler.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::{Ticket, Time};

/// Pending timers, the earliest on top.
pub(super) type Timers = BinaryHeap<Reverse<Timer>>;

/// Time at which a ticket has to be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub(super) at: Time,
    pub(super) kind: TimerKind,
    pub(super) ticket: Ticket,
}

/// Reason for checking a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The latest start of the request.
    Start,
    /// The first token is late.
    FirstToken,
}
