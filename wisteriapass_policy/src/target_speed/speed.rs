//! How slow one target is.

use super::evidence::{Evidence, EvidenceLimits};
use super::service_model::{FirstEvent, OutputPause, ServiceModel};
use super::{
    LASTING_HALF_LIFE_S, MAX_FACTOR, MIN_FACTOR, NEUTRAL_BAND, RECENT_HALF_LIFE_S, SpeedReport,
};
use crate::Time;

/// Weight of the assumption that a target is as fast as the others, against the evidence for the
/// lasting factor. With it, the noise of a few samples moves no factor.
const LASTING_PRIOR: f64 = 6.0;

/// Weight of the lasting factor against the evidence for the recent one. It is small, as a spell is
/// over by the time that a larger one is outweighed.
const RECENT_PRIOR: f64 = 1.5;

/// Weight of evidence below which the lasting factor does not move.
const MIN_LASTING_WEIGHT: f64 = 3.0;

/// Weight of evidence below which the recent factor does not move: more than one sample.
const MIN_RECENT_WEIGHT: f64 = 1.5;

/// Upper limit of the weight of own evidence for the recent factor. Otherwise the many events before
/// a target becomes slow would outweigh the first ones after, and the spell would be over before it
/// shows.
const MAX_RECENT_WEIGHT: f64 = 2.5;

/// Largest step of a sample in the lasting factor, as a logarithm: one outlier counts no more than a
/// sample that is twice as slow.
const MAX_LASTING_STEP: f64 = 0.7;

/// The same of the recent factor, which has to follow a target that becomes slow by 2.5.
const MAX_RECENT_STEP: f64 = 1.0;

/// Weight of slow samples relative to fast ones in the lasting factor. Load of other routers, which
/// this one does not see, makes samples slower and never faster.
const SLOW_SAMPLE_SHARE: f64 = 0.5;

/// Slowness of one target as observed by this router and reported by others. It belongs to one
/// incarnation of the target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpeed {
    lasting: Evidence,
    recent: Evidence,
    /// End of the last pause that counted for the lasting factor.
    pause_ended: Time,
    reported: Option<(Time, SpeedReport)>,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            lasting: Evidence::new(EvidenceLimits {
                half_life_s: LASTING_HALF_LIFE_S,
                max_weight: f64::INFINITY,
                max_step: MAX_LASTING_STEP,
                slow_share: SLOW_SAMPLE_SHARE,
            }),
            recent: Evidence::new(EvidenceLimits {
                half_life_s: RECENT_HALF_LIFE_S,
                max_weight: MAX_RECENT_WEIGHT,
                max_step: MAX_RECENT_STEP,
                slow_share: 1.0,
            }),
            pause_ended: Time::default(),
            reported: None,
        }
    }
}

impl TargetSpeed {
    /// Records the first event of an answer. It counts for the lasting factor alone: when it comes, the
    /// queue that it waited in is gone.
    pub fn record_first_event(&mut self, model: &mut ServiceModel, now: Time, event: FirstEvent) {
        if let Some(ratio) = model.add_first_event(now, event) {
            self.lasting.add(now, ratio.value, ratio.weight);
        }
    }

    /// Records that an answer has not begun by now, which counts only if it is late already.
    pub fn record_missing_event(&mut self, model: &ServiceModel, now: Time, event: FirstEvent) {
        let Some(ratio) = model.first_event_ratio(event) else {
            return;
        };
        if ratio.value.ln() > self.lasting.log() {
            self.lasting.add(now, ratio.value, ratio.weight);
        }
    }

    /// Records a pause between two events of a stream.
    pub fn record_pause(&mut self, model: &mut ServiceModel, now: Time, pause: OutputPause) {
        let Some(ratio) = model.add_pause(now, pause) else {
            return;
        };
        self.recent.add(now, ratio.value, ratio.weight);
        // Streams of one target pause together. Only the part of the pause that no other stream has
        // shown yet is new evidence for the lasting factor.
        let new_ms = now.secs_since(self.pause_ended) * 1_000.0;
        let new_share = (new_ms / pause.ms.max(1.0)).min(1.0);
        self.lasting.add(now, ratio.value, ratio.weight * new_share);
        self.pause_ended = now;
    }

    /// Replaces what other routers observed.
    pub fn set_reported(&mut self, now: Time, report: Option<SpeedReport>) {
        self.reported = report.map(|report| (now, report));
    }

    /// Returns the lasting factor.
    pub fn lasting(&self, model: &ServiceModel, now: Time) -> f64 {
        factor(self.lasting_log(model, now))
    }

    /// Returns the factor by which the target is expected to be slower now.
    pub fn current(&self, model: &ServiceModel, now: Time) -> f64 {
        factor(self.current_log(model, now))
    }

    /// Returns the factor for placement: that of now if the target is slow, else the lasting one. All
    /// routers would send to a target that is fast for a moment.
    pub fn slowness(&self, model: &ServiceModel, now: Time) -> f64 {
        let current = self.current(model, now);
        if current >= 1.0 {
            return current;
        }
        self.lasting(model, now).min(1.0)
    }

    /// Returns the expected time from sending a request to its first event, in milliseconds, with
    /// this many tokens of its own to read, and with this router's pending prompt tokens and running
    /// requests there; `None` while too little is known of the service.
    pub fn expected_first_event_ms(
        &self,
        model: &ServiceModel,
        now: Time,
        tokens_to_read: u64,
        pending_tokens: u64,
        running: u32,
    ) -> Option<f64> {
        let usual = model.first_event_ms(tokens_to_read + pending_tokens, running)?;
        Some(usual * self.current(model, now))
    }

    /// Returns what this router observed itself.
    pub fn report(&self, model: &ServiceModel, now: Time) -> SpeedReport {
        let own = self.own_evidence(model, now);
        SpeedReport {
            lasting: own.lasting_log.exp(),
            lasting_weight: own.lasting_weight,
            recent: own.recent_log.exp(),
            recent_weight: own.recent_weight,
            age_ms: 0,
        }
    }

    /// Returns the logarithm of the lasting factor before the median is subtracted, and its weight.
    pub(super) fn lasting_evidence(&self, now: Time) -> (f64, f64) {
        (self.lasting.log(), self.lasting.weight(now))
    }

    /// Returns the same of the recent factor.
    pub(super) fn recent_evidence(&self, now: Time) -> (f64, f64) {
        (self.recent.log(), self.recent.weight(now))
    }

    fn own_evidence(&self, model: &ServiceModel, now: Time) -> WeightedLogs {
        WeightedLogs {
            lasting_log: self.lasting.log() - model.lasting_median(),
            lasting_weight: self.lasting.weight(now),
            recent_log: self.recent.log() - model.recent_median(),
            recent_weight: self.recent.weight(now),
        }
    }

    fn reported_evidence(&self, now: Time) -> WeightedLogs {
        let aged = |(at, report): (Time, SpeedReport)| report.aged(now.millis_since(at));
        let discounted = self.reported.map(aged).and_then(SpeedReport::discounted);
        let Some(report) = discounted else {
            return WeightedLogs::default();
        };
        WeightedLogs {
            lasting_log: report.lasting.ln(),
            lasting_weight: report.lasting_weight,
            recent_log: report.recent.ln(),
            recent_weight: report.recent_weight,
        }
    }

    fn lasting_log(&self, model: &ServiceModel, now: Time) -> f64 {
        let (own, others) = (self.own_evidence(model, now), self.reported_evidence(now));
        let weight = own.lasting_weight + others.lasting_weight;
        if weight < MIN_LASTING_WEIGHT {
            return 0.0;
        }
        let sum = own.lasting_log * own.lasting_weight + others.lasting_log * others.lasting_weight;
        sum / (weight + LASTING_PRIOR)
    }

    /// Returns the logarithm of the current factor. Reports of other routers are old in relation to a
    /// spell, so they count only for a target that this router has no recent samples of.
    fn current_log(&self, model: &ServiceModel, now: Time) -> f64 {
        let lasting = self.lasting_log(model, now);
        let own = self.own_evidence(model, now);
        let others = self.reported_evidence(now);
        let has_weight = |e: &&WeightedLogs| e.recent_weight >= MIN_RECENT_WEIGHT;
        let Some(recent) = [&own, &others].into_iter().find(has_weight) else {
            return lasting;
        };
        let sum = recent.recent_log * recent.recent_weight + lasting * RECENT_PRIOR;
        sum / (recent.recent_weight + RECENT_PRIOR)
    }
}

/// Logarithms of the lasting and the recent factor, with their weights.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedLogs {
    lasting_log: f64,
    lasting_weight: f64,
    recent_log: f64,
    recent_weight: f64,
}

/// Returns the factor of a logarithm, or 1.0 if the difference is within the noise.
fn factor(log: f64) -> f64 {
    let factor = log.exp().clamp(MIN_FACTOR, MAX_FACTOR);
    if (factor - 1.0).abs() <= NEUTRAL_BAND {
        1.0
    } else {
        factor
    }
}
