//! What one router tells others of a target's slowness.

use super::{
    LASTING_HALF_LIFE_S, MAX_FACTOR, MAX_REPORT_AGE_MS, MIN_FACTOR, NEUTRAL_BAND,
    RECENT_HALF_LIFE_S, UNIT_DEVIATION,
};

/// Number of standard errors from which a difference is reported. Below it, routers of a fleet
/// whose targets are equally fast would report noise, and as they report no normal factors, noise
/// that slows a target would not cancel out.
const MIN_STANDARD_ERRORS: f64 = 2.5;

/// Weight of evidence from which a factor is reported.
const MIN_REPORTED_WEIGHT: f64 = 2.0;

/// Upper limit of the weight in a report, so that no router outvotes all others.
const MAX_REPORTED_WEIGHT: f64 = 200.0;

/// Slowness factors of a target as observed by some routers, with the weights of evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedReport {
    /// Lasting factor.
    pub lasting: f64,
    /// Weight of the lasting factor.
    pub lasting_weight: f64,
    /// Recent factor.
    pub recent: f64,
    /// Weight of the recent factor.
    pub recent_weight: f64,
    /// Age, in milliseconds.
    pub age_ms: u64,
}

impl SpeedReport {
    /// Returns whether others need to know: a factor differs from 1.0 by more than noise explains.
    pub fn is_significant(&self) -> bool {
        is_significant(self.lasting, self.lasting_weight)
            || is_significant(self.recent, self.recent_weight)
    }

    /// Returns how much the report matters, to send the most significant ones first.
    pub fn significance(&self) -> f64 {
        let lasting = standard_errors(self.lasting, self.lasting_weight);
        lasting.max(standard_errors(self.recent, self.recent_weight))
    }

    /// Returns the report with all values in their ranges; `None` if a value is no number.
    pub fn checked(self) -> Option<Self> {
        let values = [
            self.lasting,
            self.lasting_weight,
            self.recent,
            self.recent_weight,
        ];
        values.iter().all(|v| v.is_finite()).then(|| Self {
            lasting: self.lasting.clamp(MIN_FACTOR, MAX_FACTOR),
            lasting_weight: self.lasting_weight.clamp(0.0, MAX_REPORTED_WEIGHT),
            recent: self.recent.clamp(MIN_FACTOR, MAX_FACTOR),
            recent_weight: self.recent_weight.clamp(0.0, MAX_REPORTED_WEIGHT),
            age_ms: self.age_ms,
        })
    }

    /// Combines what several routers observed, with weights that are discounted by age; `None`
    /// without a report that is young enough. The result is as old as its parts on average, and its
    /// weights are those at that age.
    pub fn merge(reports: impl IntoIterator<Item = Self>) -> Option<Self> {
        let mut merged = Self::default();
        let (mut lasting_log, mut recent_log, mut age, mut total) = (0.0, 0.0, 0.0, 0.0);
        let checked = reports.into_iter().filter_map(Self::checked);
        for report in checked.filter_map(Self::discounted) {
            let weight = report.lasting_weight + report.recent_weight;
            lasting_log += report.lasting_weight * report.lasting.ln();
            recent_log += report.recent_weight * report.recent.ln();
            merged.lasting_weight += report.lasting_weight;
            merged.recent_weight += report.recent_weight;
            age += report.age_ms as f64 * weight;
            total += weight;
        }
        if total <= 0.0 {
            return None;
        }
        merged.lasting = mean_factor(lasting_log, merged.lasting_weight);
        merged.recent = mean_factor(recent_log, merged.recent_weight);
        merged.age_ms = (age / total).round() as u64;
        merged.lasting_weight /= remaining(merged.age_ms, LASTING_HALF_LIFE_S);
        merged.recent_weight /= remaining(merged.age_ms, RECENT_HALF_LIFE_S);
        Some(merged)
    }

    /// Returns the report as it is after a further time.
    pub fn aged(self, ms: u64) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(ms),
            ..self
        }
    }

    /// Returns the report with its weights discounted by its age; `None` if it is too old.
    pub(super) fn discounted(self) -> Option<Self> {
        (self.age_ms <= MAX_REPORT_AGE_MS).then(|| Self {
            lasting_weight: self.lasting_weight * remaining(self.age_ms, LASTING_HALF_LIFE_S),
            recent_weight: self.recent_weight * remaining(self.age_ms, RECENT_HALF_LIFE_S),
            ..self
        })
    }
}

/// Returns the share of the weight that is left of evidence of this age.
fn remaining(age_ms: u64, half_life_s: f64) -> f64 {
    0.5_f64.powf(age_ms as f64 / 1_000.0 / half_life_s)
}

/// Returns the factor of a mean logarithm.
fn mean_factor(log_sum: f64, weight: f64) -> f64 {
    if weight > 0.0 {
        (log_sum / weight).exp()
    } else {
        1.0
    }
}

fn is_significant(factor: f64, weight: f64) -> bool {
    (factor - 1.0).abs() > NEUTRAL_BAND
        && weight >= MIN_REPORTED_WEIGHT
        && standard_errors(factor, weight) >= MIN_STANDARD_ERRORS
}

/// Returns the distance of a factor from 1.0, in standard errors.
fn standard_errors(factor: f64, weight: f64) -> f64 {
    factor.ln().abs() * weight.sqrt() / UNIT_DEVIATION
}
