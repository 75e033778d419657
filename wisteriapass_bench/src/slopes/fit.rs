//! Linear fits through the samples of an axis.

use serde::Serialize;

use crate::slopes::points;
use crate::slopes::sample::Sample;
use crate::slopes::size::Axis;

/// Name of a metric and a function that reads it from a sample.
type Metric = (&'static str, fn(&Sample) -> f64);

/// Linear fit of a metric over an axis: `base + per_unit * n`.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Axis of the fit.
    pub axis: Axis,
    /// Name of the metric.
    pub figure: &'static str,
    /// Intercept.
    pub base: f64,
    /// Growth of the metric per unit of the axis.
    pub per_unit: f64,
    /// Largest absolute residual of a sample.
    pub worst_miss: f64,
}

impl Slope {
    /// Fits a line for each metric.
    pub fn fit_all(axis: Axis, samples: &[Sample]) -> Vec<Self> {
        let metrics: [Metric; 8] = [
            ("router_cpu_percent", |s| s.router.cpu_percent),
            ("router_resident_mb", |s| s.router.resident_mb),
            ("router_control_bytes_s", |s| s.router.control_bytes_s),
            ("side_cpu_percent", |s| s.side.cpu_percent),
            ("side_resident_mb", |s| s.side.resident_mb),
            ("side_control_bytes_s", |s| s.side.control_bytes_s),
            ("store_reads_s", |s| s.store_reads_s),
            ("store_writes_s", |s| s.store_writes_s),
        ];
        let fit = |(figure, read): Metric| Self::fit(axis, figure, &points(axis, samples, read));
        metrics.into_iter().map(fit).collect()
    }

    /// Fits a line by least squares.
    fn fit(axis: Axis, figure: &'static str, points: &[(f64, f64)]) -> Self {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let per_unit = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let base = mean_y - per_unit * mean_x;
        let residual = |p: &(f64, f64)| (p.1 - base - per_unit * p.0).abs();
        Self {
            axis,
            figure,
            base,
            per_unit,
            worst_miss: points.iter().map(residual).fold(0.0, f64::max),
        }
    }

    /// Returns the slope as one line.
    pub fn to_line(&self, json: bool) -> String {
        if json {
            let text = serde_json::to_string(self).unwrap_or_default();
            return format!("{{\"slope\":{text}}}");
        }
        format!(
            "{} over {}: {:.4} + {:.6} per unit (largest residual {:.4})",
            self.figure, self.axis, self.base, self.per_unit, self.worst_miss
        )
    }
}
