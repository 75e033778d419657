//! Sums over a history.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;
use wisteriapass_daemon::api::{Ran, Reason};

use super::{CallId, Event, Outcome, Record};

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// Percentiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// How many were measured.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest.
    pub max_us: u64,
}

impl Latency {
    /// Sums up latencies in microseconds.
    pub fn of(all: impl IntoIterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new(DIGITS).expect("the digits are from 0 to 5");
        for us in all {
            histogram.record(us).ok();
        }
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// What became of the tries in a history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Tries sent.
    pub sent: u64,
    /// Tries with a whole answer.
    pub answered: u64,
    /// Whole answers that belong to another request.
    pub unexpected: u64,
    /// Tries that ended with neither answer nor refusal.
    pub lost: u64,
    /// Refusals that say that the request may have run.
    pub outcome_unknown: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Tokens that answers say were billed.
    pub billed_tokens: u64,
    /// Time to the first piece of streamed answers.
    pub first_piece: Latency,
    /// Time to the end of whole answers.
    pub whole: Latency,
}

impl Tally {
    /// Sums up a history.
    pub fn of(records: &[Record]) -> Self {
        let mut tally = Self::default();
        let mut sent_at = HashMap::<(CallId, u32), u64>::new();
        let mut firsts = Vec::new();
        let mut wholes = Vec::new();
        for record in records {
            let this_try = (record.call, record.attempt);
            let since = |sent_at: &HashMap<_, u64>| {
                let sent = sent_at.get(&this_try).copied();
                record.at_us - sent.unwrap_or(record.at_us)
            };
            match &record.event {
                Event::Sent { .. } => {
                    tally.sent += 1;
                    sent_at.insert(this_try, record.at_us);
                }
                Event::FirstPiece => firsts.push(since(&sent_at)),
                Event::Ended(outcome) => {
                    tally.end(outcome);
                    if outcome.answered().is_some() {
                        wholes.push(since(&sent_at));
                    }
                }
            }
        }
        tally.first_piece = Latency::of(firsts);
        tally.whole = Latency::of(wholes);
        tally
    }

    /// Returns the number of refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    fn end(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Answered(answered) => {
                self.answered += 1;
                self.unexpected += u64::from(!answered.is_expected);
                self.billed_tokens += answered.billed_tokens.unwrap_or_default();
            }
            Outcome::Refused(refused) => {
                let reason = refused.refusal.reason;
                *self.refused.entry(reason).or_default() += 1;
                self.outcome_unknown += u64::from(refused.refusal.ran == Ran::OutcomeUnknown);
            }
            Outcome::Lost(_) => self.lost += 1,
        }
    }
}
