//! Money set aside for one request, settled when it is dropped.

use std::rc::Rc;

use crate::bank::Bank;
use crate::facts::TokenWork;

/// The most that a request can cost, and what it has cost so far, in tokens.
///
/// A run whose end is not known is paid in full: behind a cut its target may go on to the end.
#[derive(Debug)]
pub struct Reservation {
    bank: Rc<Bank>,
    account: String,
    work: TokenWork,
    per_event: u64,
    most: u64,
    /// Output of runs before, whose end is not known.
    lost: u64,
    sent: bool,
    events: u64,
    ended: bool,
}

impl Reservation {
    /// Creates one for work whose most the bank has set aside.
    pub fn new(bank: Rc<Bank>, account: String, work: TokenWork, per_event: u64) -> Self {
        Self {
            bank,
            account,
            work,
            per_event,
            most: work.most(),
            lost: 0,
            sent: false,
            events: 0,
            ended: false,
        }
    }

    /// Notes that a target may run it: the prompt is paid from here on.
    pub fn sent(&mut self) {
        self.sent = true;
    }

    /// Notes that no target has run it.
    pub fn not_run(&mut self) {
        self.sent = false;
    }

    /// Sets the output of another run aside, after one whose end is not known.
    ///
    /// Returns whether there is money for it.
    pub fn renew(&mut self) -> bool {
        let output = self.work.max_output;
        if !self.bank.reserve_more(&self.account, output) {
            return false;
        }
        self.most += output;
        self.lost += output;
        self.events = 0;
        true
    }

    /// Notes an event that arrived.
    pub fn event(&mut self) {
        self.events += 1;
    }

    /// Notes that the answer arrived whole.
    pub fn ended(&mut self) {
        self.ended = true;
    }

    /// Returns what it has cost, in tokens.
    fn used(&self) -> u64 {
        if !self.sent {
            return 0;
        }
        if !self.ended {
            return self.most;
        }
        let output = self.events * self.per_event;
        self.work.prompt + self.lost + output.min(self.work.max_output)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.used();
        self.bank.settle(&self.account, self.most, used);
    }
}
