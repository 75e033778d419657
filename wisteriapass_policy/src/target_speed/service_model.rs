//! What is usual at the targets of one service: times by load, and the median slowness.

use smallvec::SmallVec;

use super::UNIT_DEVIATION;
use super::load_fit::{Coefficients, LoadFit, median};
use super::speed::TargetSpeed;
use crate::Time;
use crate::placement::LatencyGoal;

/// Number of targets with evidence from which their median is the usual slowness. The median of
/// fewer could be that of slow ones alone.
const MIN_MEDIAN_TARGETS: usize = 4;

/// Weight of evidence from which a target counts for the median.
const MIN_MEDIAN_WEIGHT: f64 = 1.0;

/// Time after which the median is computed anew, in milliseconds.
const MEDIAN_INTERVAL_MS: u64 = 50;

/// A first event, with the load at the time when its request was sent.
#[derive(Clone, Copy, Debug)]
pub struct FirstEvent {
    /// Prompt tokens that the target had to read before: those of the request, and those of this
    /// router's requests whose answers had not started.
    pub tokens_ahead: u64,
    /// This router's other requests running there.
    pub running: u32,
    /// Time from sending to the event, in milliseconds.
    pub ms: f64,
}

/// A pause between two events of a stream.
#[derive(Clone, Copy, Debug)]
pub struct OutputPause {
    /// Prompt tokens of this router's requests there whose answers had not started.
    pub pending_tokens: u64,
    /// This router's requests running there.
    pub running: u32,
    /// Tokens of the event that ended the pause.
    pub tokens: u64,
    /// Length, in milliseconds.
    pub ms: f64,
}

impl OutputPause {
    /// Returns the time per token, in milliseconds.
    fn ms_per_token(&self) -> f64 {
        self.ms / self.tokens.max(1) as f64
    }
}

/// Ratio of an observed time to the usual one at this load, and its weight.
pub(super) struct Ratio {
    pub value: f64,
    pub weight: f64,
}

impl Ratio {
    fn new(ms: f64, usual: &Coefficients, usual_ms: f64) -> Self {
        let precision = (UNIT_DEVIATION / usual.spread).powi(2);
        Self {
            value: ms / usual_ms,
            weight: precision.min(1.0),
        }
    }
}

/// Usual times at the targets of one service, as seen by one router.
#[derive(Clone, Debug, Default)]
pub struct ServiceModel {
    first_events: LoadFit,
    pauses: LoadFit,
    lasting_median: f64,
    recent_median: f64,
    median_at: Option<Time>,
}

impl ServiceModel {
    /// Returns the usual time to the first event, in milliseconds, with this many tokens to read and
    /// other running requests of this router; `None` while too few samples are known.
    pub fn first_event_ms(&self, tokens_ahead: u64, running: u32) -> Option<f64> {
        let usual = self.first_events.coefficients()?;
        Some(usual.predict(tokens_ahead as f64, f64::from(running)))
    }

    /// Returns a latency goal in terms of prompt tokens; `None` while the speed of reading is not
    /// known.
    pub fn latency_goal(&self, goal_ms: f64) -> Option<LatencyGoal> {
        let usual = self.first_events.coefficients()?;
        (usual.per_x > 0.0).then(|| LatencyGoal {
            base_tokens: usual.base / usual.per_x,
            max_tokens: goal_ms / usual.per_x,
        })
    }

    /// Returns whether the median has to be computed anew.
    pub fn is_median_due(&self, now: Time) -> bool {
        let is_recent = |at| now.millis_since(at) < MEDIAN_INTERVAL_MS;
        !self.median_at.is_some_and(is_recent)
    }

    /// Computes the median slowness over the targets of the service, if it is due.
    pub fn update_median<'a>(
        &mut self,
        now: Time,
        targets: impl Iterator<Item = &'a TargetSpeed> + Clone,
    ) {
        if !self.is_median_due(now) {
            return;
        }
        self.median_at = Some(now);
        let lasting = targets.clone().map(|t| t.lasting_evidence(now));
        self.lasting_median = usual_log(lasting);
        self.recent_median = usual_log(targets.map(|t| t.recent_evidence(now)));
    }

    /// Adds a first event; returns its ratio to the usual time.
    pub(super) fn add_first_event(&mut self, now: Time, event: FirstEvent) -> Option<Ratio> {
        let ratio = self.first_event_ratio(event);
        let (tokens, running) = (event.tokens_ahead as f64, f64::from(event.running));
        self.first_events.add(now, tokens, running, event.ms);
        ratio
    }

    /// Returns the ratio of the time to a first event to the usual time.
    pub(super) fn first_event_ratio(&self, event: FirstEvent) -> Option<Ratio> {
        let usual = self.first_events.coefficients()?;
        let usual_ms = usual.predict(event.tokens_ahead as f64, f64::from(event.running));
        Some(Ratio::new(event.ms, usual, usual_ms))
    }

    /// Adds a pause; returns its ratio to the usual one.
    pub(super) fn add_pause(&mut self, now: Time, pause: OutputPause) -> Option<Ratio> {
        let (pending, running) = (pause.pending_tokens as f64, f64::from(pause.running));
        let ms = pause.ms_per_token();
        let usual = self.pauses.coefficients();
        let ratio = usual.map(|usual| Ratio::new(ms, usual, usual.predict(pending, running)));
        self.pauses.add(now, pending, running, ms);
        ratio
    }

    pub(super) fn lasting_median(&self) -> f64 {
        self.lasting_median
    }

    pub(super) fn recent_median(&self) -> f64 {
        self.recent_median
    }
}

/// Returns the median over targets that have evidence, given as logarithms and weights; 0 if that
/// may not stand for the service.
fn usual_log(targets: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut count = 0;
    let mut logs = SmallVec::new();
    for (log, weight) in targets {
        count += 1;
        if weight >= MIN_MEDIAN_WEIGHT {
            logs.push(log);
        }
    }
    if logs.len() < MIN_MEDIAN_TARGETS.min(count) {
        return 0.0;
    }
    median(logs)
}
