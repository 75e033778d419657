//! Text chart of a pattern, for people.

use std::fmt::Write;

use super::Summary;

/// Width of the longest bar, in characters.
const WIDTH: f64 = 40.0;

/// Returns the chart of one pattern, a line a policy.
pub(super) fn text(summaries: &[Summary]) -> String {
    let mut out = String::new();
    let Some(first) = summaries.first() else {
        return out;
    };
    let _ = writeln!(
        out,
        "{}: goodput in tokens/s of a bound of {:.0}",
        first.pattern, first.bound
    );
    for s in summaries {
        let _ = writeln!(out, "{}", line(s));
    }
    out
}

/// Returns one policy's line.
fn line(s: &Summary) -> String {
    let share = s.goodput / s.bound.max(1e-9);
    let bar = "#".repeat((share.clamp(0.0, 1.0) * WIDTH) as usize);
    format!(
        "  {:<18} {bar:<40} {:>6.0} {:>4.0}%  worst share {:>4.2}  p95 first token {:>5.0} ms  \
         refused {:>5.0}  come-back right {:>3.0}% of {:>4.0}  wasted {:>7.0}",
        s.policy,
        s.goodput,
        share * 100.0,
        s.worst_share,
        s.p95_first_token_ms,
        s.refused,
        s.come_back_right * 100.0,
        s.came_back,
        s.wasted_tokens,
    )
}
