//! Lines through the samples of an axis.

use serde::Serialize;

use crate::slopes::points;
use crate::slopes::sample::Sample;
use crate::slopes::size::Axis;

/// Name of a figure and where a sample has it.
type Figure = (&'static str, fn(&Sample) -> f64);

/// A figure as a line over an axis: `base + per_unit * n`.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What grows.
    pub axis: Axis,
    /// Name of the figure.
    pub figure: &'static str,
    /// Figure at zero.
    pub base: f64,
    /// Growth of the figure by one unit of the axis.
    pub per_unit: f64,
    /// Largest distance of a sample from the line.
    pub worst_miss: f64,
}

impl Slope {
    /// Fits a line through each figure.
    pub fn all(axis: Axis, samples: &[Sample]) -> Vec<Self> {
        let figures: [Figure; 8] = [
            ("router_cpu_percent", |s| s.router.cpu_percent),
            ("router_resident_mb", |s| s.router.resident_mb),
            ("router_control_bytes_s", |s| s.router.control_bytes_s),
            ("side_cpu_percent", |s| s.side.cpu_percent),
            ("side_resident_mb", |s| s.side.resident_mb),
            ("side_control_bytes_s", |s| s.side.control_bytes_s),
            ("store_reads_s", |s| s.store_reads_s),
            ("store_writes_s", |s| s.store_writes_s),
        ];
        let fit = |(figure, of): Figure| Self::fit(axis, figure, &points(axis, samples, of));
        figures.into_iter().map(fit).collect()
    }

    /// Fits a line by least squares.
    fn fit(axis: Axis, figure: &'static str, points: &[(f64, f64)]) -> Self {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let per_unit = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = mean_y - per_unit * mean_x;
        let miss = |p: &(f64, f64)| (p.1 - base - per_unit * p.0).abs();
        Self {
            axis,
            figure,
            base,
            per_unit,
            worst_miss: points.iter().map(miss).fold(0.0, f64::max),
        }
    }

    /// Returns the slope as one line.
    pub fn line(&self, json: bool) -> String {
        if json {
            let text = serde_json::to_string(self).unwrap_or_default();
            return format!("{{\"slope\":{text}}}");
        }
        format!(
            "{} over {}: {:.4} + {:.6} a unit (worst miss {:.4})",
            self.figure, self.axis, self.base, self.per_unit, self.worst_miss
        )
    }
}
