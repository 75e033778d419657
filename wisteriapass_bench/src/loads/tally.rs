//! What callers of a play got.

use hdrhistogram::Histogram;
use wisteriapass_policy::{Priority, Refusal};

use super::arrivals::{ACCOUNTS, Request};

/// Counts of a play.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    /// Tokens of answers in time to what arrived while it was measured, by account.
    pub(super) good: [f64; ACCOUNTS],
    /// Tokens of answers in time that were completed while it was measured, by class.
    pub(super) done: [f64; 3],
    /// Tokens asked for, by account; requests that come back count once.
    pub(super) asked: [f64; ACCOUNTS],
    /// Times to first token by class, in milliseconds.
    pub(super) first_token: [Histogram<u64>; 3],
    /// Times from arrival to refusal, in milliseconds.
    pub(super) refused_after: Histogram<u64>,
    /// Refusals by reason, in the order of [`Refusal::ALL`].
    pub(super) refused: [u64; Refusal::ALL.len()],
    /// Requests cut off at their deadline.
    pub(super) cut: u64,
    /// Requests answered in time.
    pub(super) answered: u64,
    /// Tokens generated for nobody.
    pub(super) wasted: f64,
    /// Slots seen busy, and seen at all, over targets that work as they should.
    pub(super) busy: [f64; 2],
    /// Prompts with a shared prefix whose target held it, and all such prompts.
    pub(super) held: [f64; 2],
    /// Callers that came back as told within the play.
    pub(super) returned: u64,
    /// Those of them that were answered in time.
    pub(super) returned_well: u64,
}

impl Tally {
    /// Creates an empty tally.
    pub(super) fn new() -> Self {
        let empty = || {
            let mut histogram = Histogram::new_with_bounds(1, 1_000_000, 3)
                .unwrap_or_else(|e| unreachable!("fixed bounds are valid: {e}"));
            histogram.auto(true);
            histogram
        };
        Self {
            good: [0.0; ACCOUNTS],
            done: [0.0; 3],
            asked: [0.0; ACCOUNTS],
            first_token: [empty(), empty(), empty()],
            refused_after: empty(),
            refused: [0; Refusal::ALL.len()],
            cut: 0,
            answered: 0,
            wasted: 0.0,
            busy: [0.0; 2],
            held: [0.0; 2],
            returned: 0,
            returned_well: 0,
        }
    }

    /// Counts an answer in time to a request that is measured.
    pub(super) fn answered(&mut self, request: &Request) {
        self.good[request.account] += f64::from(request.output);
        self.answered += 1;
    }

    /// Counts the tokens of an answer in time.
    pub(super) fn done(&mut self, request: &Request) {
        self.done[class(request.priority)] += f64::from(request.output);
    }

    /// Counts a first token.
    pub(super) fn first_token(&mut self, request: &Request, secs: f64) {
        let ms = (secs * 1e3) as u64;
        self.first_token[class(request.priority)].saturating_record(ms.max(1));
    }

    /// Counts a refusal.
    pub(super) fn refused(&mut self, reason: Refusal, after_s: f64) {
        self.refused_after
            .saturating_record(((after_s * 1e3) as u64).max(1));
        let place = Refusal::ALL.iter().position(|&r| r == reason);
        self.refused[place.unwrap_or(0)] += 1;
    }
}

/// Returns a class's place.
pub(super) fn class(priority: Priority) -> usize {
    Priority::ALL
        .iter()
        .position(|&p| p == priority)
        .unwrap_or(0)
}
