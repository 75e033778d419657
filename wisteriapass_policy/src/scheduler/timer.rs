//! Times at which the scheduler has to look at a ticket again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::{Ticket, Time};

/// Alarms, the earliest on top.
pub(super) type Timers = BinaryHeap<Reverse<Timer>>;

/// A time to look at a ticket, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub(super) at: Time,
    pub(super) kind: TimerKind,
    pub(super) ticket: Ticket,
}

/// Why to look at a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// It has to have started by now.
    Start,
    /// Its first token is late.
    FirstToken,
}
