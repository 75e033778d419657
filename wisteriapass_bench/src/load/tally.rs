//! Statistics of a history.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;
use wisteriapass_daemon::api::{Ran, Reason};

use super::{CallId, Event, Outcome, Record};

/// Significant decimal digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Distribution of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// Number of measurements.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Latency {
    /// Summarizes latencies in microseconds.
    pub fn of(latencies_us: impl IntoIterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS)
            .expect("the number of digits is between 0 and 5");
        for us in latencies_us {
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

/// Counts and latencies of the attempts in a history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts with a complete answer.
    pub answered: u64,
    /// Complete answers without the content expected for their request.
    pub unexpected: u64,
    /// Attempts that ended with neither an answer nor a refusal.
    pub lost: u64,
    /// Refusals with an unknown outcome: the request may have run.
    pub outcome_unknown: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Billed tokens according to the answers.
    pub billed_tokens: u64,
    /// Time until the first piece of streamed answers.
    pub first_piece: Latency,
    /// Time until the end of complete answers.
    pub whole: Latency,
}

impl Tally {
    /// Summarizes a history.
    pub fn of(records: &[Record]) -> Self {
        let mut tally = Self::default();
        let mut sent_at_us = HashMap::<(CallId, u32), u64>::new();
        let mut first_piece_us = Vec::new();
        let mut whole_us = Vec::new();
        for record in records {
            let attempt_id = (record.call, record.attempt);
            let elapsed_us = |sent_at_us: &HashMap<_, u64>| {
                let sent = sent_at_us.get(&attempt_id).copied();
                record.at_us - sent.unwrap_or(record.at_us)
            };
            match &record.event {
                Event::Sent { .. } => {
                    tally.sent += 1;
                    sent_at_us.insert(attempt_id, record.at_us);
                }
                Event::FirstPiece => first_piece_us.push(elapsed_us(&sent_at_us)),
                Event::Ended(outcome) => {
                    tally.add_outcome(outcome);
                    if outcome.answered().is_some() {
                        whole_us.push(elapsed_us(&sent_at_us));
                    }
                }
            }
        }
        tally.first_piece = Latency::of(first_piece_us);
        tally.whole = Latency::of(whole_us);
        tally
    }

    /// Returns the number of refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    fn add_outcome(&mut self, outcome: &Outcome) {
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
