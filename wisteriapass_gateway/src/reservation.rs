//! Money set aside for one request, settled when it is dropped.

use std::rc::Rc;

use crate::bank::Bank;

/// Events that a target may have sent beyond those that arrived when a stream ended early: what
/// is on its way within a few milliseconds.
const EVENTS_ON_THE_WAY: u64 = 2;

/// The most that a request can cost, and what it has cost so far, in tokens.
#[derive(Debug)]
pub struct Reservation {
    bank: Rc<Bank>,
    account: String,
    most: u64,
    prompt: u64,
    per_event: u64,
    sent: bool,
    events: u64,
    ended: bool,
}

impl Reservation {
    /// Creates one for `most` tokens that the bank has set aside.
    pub fn new(bank: Rc<Bank>, account: String, most: u64, prompt: u64, per_event: u64) -> Self {
        Self {
            bank,
            account,
            most,
            prompt,
            per_event,
            sent: false,
            events: 0,
            ended: false,
        }
    }

    /// Notes that a target may run it: the prompt is paid from here on.
    pub fn sent(&mut self) {
        self.sent = true;
    }

    /// Notes that the target said that it did not run it.
    pub fn not_run(&mut self) {
        self.sent = false;
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
        let on_the_way = if self.ended { 0 } else { EVENTS_ON_THE_WAY };
        let output = (self.events + on_the_way) * self.per_event;
        (self.prompt + output).min(self.most)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.used();
        self.bank.settle(&self.account, self.most, used);
    }
}
