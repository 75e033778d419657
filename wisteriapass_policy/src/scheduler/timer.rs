//! Times at which the scheduler has to look at a ticket again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::{Ticket, Time};

/// Alarms, the earliest on top.
pub(super) type Alarms = BinaryHeap<Reverse<Alarm>>;

/// A time to look at a ticket, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Alarm {
    pub(super) at: Time,
    pub(super) kind: AlarmKind,
    pub(super) ticket: Ticket,
}

/// Why to look at a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AlarmKind {
    /// It has to have started by now.
    Start,
    /// Its first token is late.
    FirstToken,
}
