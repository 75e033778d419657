//! A latency goal in terms of prompt tokens.

/// Share of a latency goal from which reading a prompt makes it a long one. Shorter ones are late
/// because of queues, which the cost covers.
const LONG_SHARE: f64 = 0.25;

/// Latency goal of a first event, in the tokens that a target of usual speed reads in that time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyGoal {
    /// Time that a first event takes without anything to read, in tokens.
    pub base_tokens: f64,
    /// The goal, in tokens.
    pub max_tokens: f64,
}

impl LatencyGoal {
    /// Returns whether reading a prompt takes a large share of the goal.
    pub(super) fn is_long(&self, prompt_tokens: u64) -> bool {
        prompt_tokens as f64 >= self.max_tokens * LONG_SHARE
    }

    /// Returns whether the goal is met at a target with this many tokens to read.
    pub(super) fn is_met(&self, tokens: f64, slowness: f64) -> bool {
        (self.base_tokens + tokens) * slowness <= self.max_tokens
    }
}
