//! A robust fit of a time by two measures of the load under which it was observed.

use smallvec::SmallVec;

use crate::Time;

/// Number of samples kept.
const SAMPLES: usize = 128;

/// Number of new samples after which the fit is renewed.
const REFIT_SAMPLES: usize = 16;

/// Shortest time between two samples that are kept, in milliseconds. Without it, all samples of a
/// busy router would be from the same fraction of a second.
const MIN_INTERVAL_MS: u64 = 10;

/// Rounds in which the effects of the two measures are separated.
const ROUNDS: usize = 3;

/// Ratio of the standard deviation to the median absolute deviation of a normal distribution.
const DEVIATION_PER_MAD: f64 = 1.48;

/// Bounds of the spread of the logarithms of samples: samples that agree still share errors, and
/// without a lower bound a few of them would count as proof.
const SPREAD_BOUNDS: (f64, f64) = (0.1, 2.0);

/// Shortest time that is predicted, in milliseconds.
const MIN_MS: f64 = 0.1;

/// A sample: two measures of the load, and the time.
type Sample = [f64; 3];

/// A fit of `ms = base + per_x * x + per_y * y`, with slopes that are not negative.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadFit {
    samples: Vec<Sample>,
    oldest: usize,
    new_samples: usize,
    sampled_at: Option<Time>,
    coefficients: Option<Coefficients>,
}

/// Result of a fit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Coefficients {
    pub base: f64,
    pub per_x: f64,
    per_y: f64,
    /// Spread of the logarithms of the samples about the fit, as a standard deviation.
    pub spread: f64,
}

impl Coefficients {
    /// Returns the predicted time, in milliseconds.
    pub fn predict(&self, x: f64, y: f64) -> f64 {
        (self.base + self.per_x * x + self.per_y * y).max(MIN_MS)
    }
}

impl LoadFit {
    /// Adds a sample, unless it follows the last one too closely.
    pub fn add(&mut self, now: Time, x: f64, y: f64, ms: f64) {
        let is_early = |at| now.millis_since(at) < MIN_INTERVAL_MS;
        if self.sampled_at.is_some_and(is_early) {
            return;
        }
        self.sampled_at = Some(now);
        let sample = [x, y, ms.max(MIN_MS)];
        if self.samples.len() < SAMPLES {
            self.samples.push(sample);
        } else {
            self.samples[self.oldest] = sample;
            self.oldest = (self.oldest + 1) % SAMPLES;
        }
        self.new_samples += 1;
        if self.new_samples >= REFIT_SAMPLES {
            self.new_samples = 0;
            self.coefficients = Some(fit(&self.samples));
        }
    }

    /// Returns the fit; `None` while there are too few samples.
    pub fn coefficients(&self) -> Option<&Coefficients> {
        self.coefficients.as_ref()
    }
}

/// Fits by alternating between the two measures, each against the residual of the other.
fn fit(samples: &[Sample]) -> Coefficients {
    let (mut per_x, mut per_y) = (0.0, 0.0);
    for _ in 0..ROUNDS {
        per_x = slope(samples, 0, |s| s[2] - per_y * s[1]);
        per_y = slope(samples, 1, |s| s[2] - per_x * s[0]);
    }
    let residuals = samples.iter().map(|s| s[2] - per_x * s[0] - per_y * s[1]);
    let mut result = Coefficients {
        base: median(residuals.collect()).max(0.0),
        per_x,
        per_y,
        spread: 0.0,
    };
    let ratios = samples.iter().map(|s| s[2] / result.predict(s[0], s[1]));
    let deviations = ratios.map(|ratio| ratio.ln().abs());
    let spread = median(deviations.collect()) * DEVIATION_PER_MAD;
    result.spread = spread.clamp(SPREAD_BOUNDS.0, SPREAD_BOUNDS.1);
    result
}

/// Returns the slope of a line through the medians of the lowest and the highest third.
fn slope(samples: &[Sample], axis: usize, value: impl Fn(&Sample) -> f64) -> f64 {
    let mut sorted: SmallVec<[&Sample; SAMPLES]> = samples.iter().collect();
    sorted.sort_by(|a, b| a[axis].total_cmp(&b[axis]));
    let third = sorted.len() / 3;
    let (low, high) = (&sorted[..third], &sorted[sorted.len() - third..]);
    let position = |part: &[&Sample]| median(part.iter().map(|s| s[axis]).collect());
    let height = |part: &[&Sample]| median(part.iter().map(|s| value(s)).collect());
    let width = position(high) - position(low);
    if width < 1.0 {
        return 0.0;
    }
    ((height(high) - height(low)) / width).max(0.0)
}

/// Returns the median, the lower one of two; 0 without values.
pub(super) fn median(mut values: SmallVec<[f64; SAMPLES]>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
