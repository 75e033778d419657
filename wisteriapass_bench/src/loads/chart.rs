//! Text chart that compares the policies on one pattern.

use std::fmt::Write;

use super::Summary;

/// Width of the longest bar, in characters.
const WIDTH: f64 = 40.0;

/// Renders the chart of one pattern with one line per policy.
pub(super) fn render(summaries: &[Summary]) -> String {
    let mut out = String::new();
    let Some(first) = summaries.first() else {
        return out;
    };
    let _ = writeln!(
        out,
        "{}: goodput in tokens/s, upper bound {:.0}",
        first.pattern, first.bound
    );
    for summary in summaries {
        let _ = writeln!(out, "{}", render_line(summary));
    }
    out
}

fn render_line(summary: &Summary) -> String {
    let fraction = summary.goodput / summary.bound.max(1e-9);
    let bar = "#".repeat((fraction.clamp(0.0, 1.0) * WIDTH) as usize);
    format!(
        "  {:<18} {bar:<40} {:>6.0} {:>4.0}%  worst share {:>4.2}  p95 first token {:>5.0} ms  \
         refused {:>5.0}  retries in time {:>3.0}% of {:>4.0}  wasted {:>7.0}",
        summary.policy,
        summary.goodput,
        fraction * 100.0,
        summary.worst_share,
        summary.p95_first_token_ms,
        summary.refused,
        summary.come_back_right * 100.0,
        summary.came_back,
        summary.wasted_tokens,
    )
}
