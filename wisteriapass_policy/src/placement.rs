//! Places a request on a target, based on what one router sees itself.
//!
//! Costs are in prompt tokens: what a target has to read before this request's first event, and
//! what the request makes it read. The cost covers these loads: shared prompt prefixes that are
//! requested repeatedly (each has a home, so that it is read once and not at every target); a
//! prefix that becomes hot (its home is bypassed once more tokens wait there than reading the
//! prefix again costs); long prompts among short requests (they go where the fewest tokens are
//! pending); targets that fail or become silent (they lose rank at once and regain it gradually).
//! All routers compute the same homes, so a target has more load from this router's requests than
//! the average over targets suggests.
//!
//! Targets that are slower than others: queues there count more, homes that are lastingly slow are
//! skipped, and a long prompt goes where it meets its latency goal. Reading counts as at other
//! targets: it would shift all long prompts to the fast ones, where short ones wait behind them.
//! While no target is slower than others, none of this has an effect.

mod cost;
mod held_prefix;
mod homes;
mod latency_goal;
mod passed_over;
mod ranking;

use twox_hash::XxHash64;

pub use self::cost::Cost;
pub use self::held_prefix::HeldPrefix;
pub use self::latency_goal::LatencyGoal;
pub use self::passed_over::PassedOver;
pub use self::ranking::Ranking;
use crate::Time;

/// Half-life of a failure, in seconds.
const FAILURE_HALF_LIFE_S: f64 = 1.5;

/// Maximum failure score; re-entry after a long failure takes about ten seconds.
const MAX_FAILURE_SCORE: f64 = 8.0;

/// Failure score from which a target is used only if no other is left.
const SUSPECT_SCORE: f64 = 2.0;

/// What a router knows of one target when it places a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Key of the target.
    pub key: K,
    /// Hash of the target's name.
    pub hash: u64,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Requests of this router in flight there.
    pub running: u32,
    /// Prompt tokens of those requests whose answer has not started.
    pub pending_prompt_tokens: u64,
    /// Whether it recently read the prompt's shared prefix, as far as this router knows.
    pub has_prefix: bool,
    /// Whether it is in the router's failure domain.
    pub in_same_domain: bool,
    /// Recent failures, from [`FailureScore::value`].
    pub recent_failures: f64,
    /// Whether it has requests of this router in flight and has sent nothing for longer than usual.
    pub silent: bool,
    /// How many times the usual time it takes now; 1.0 if it is as fast as others. See
    /// [`TargetSpeed::slowness`](crate::target_speed::TargetSpeed::slowness).
    pub slowness: f64,
    /// The same without spells of some hundred milliseconds.
    pub lasting_slowness: f64,
}

impl<K> Candidate<K> {
    /// Returns whether the target is preferred to unhealthy ones. A failed domain accepts requests
    /// without ever answering.
    fn is_healthy(&self) -> bool {
        self.recent_failures < SUSPECT_SCORE && !self.silent
    }
}

/// The prompt of a request, as far as it affects placement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt {
    /// Identifier of the longest prefix that other requests share.
    pub shared_prefix: Option<u64>,
    /// Length of that prefix, in tokens.
    pub shared_tokens: u64,
    /// Length of the whole prompt, in tokens; zero for a request without a prompt.
    pub tokens: u64,
    /// Latency goal of its first event, if known in terms of tokens.
    pub goal: Option<LatencyGoal>,
}

/// Failures of a target, decaying over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    failures: f64,
    at: Time,
}

impl FailureScore {
    /// Records a failure of this weight.
    pub fn record_failure(&mut self, now: Time, weight: f64) {
        self.failures = (self.value(now) + weight).min(MAX_FAILURE_SCORE);
        self.at = now;
    }

    /// Records a success, which halves the score.
    pub fn record_success(&mut self, now: Time) {
        self.failures = self.value(now) / 2.0;
        self.at = now;
    }

    /// Returns the decayed score.
    pub fn value(&self, now: Time) -> f64 {
        self.failures * 0.5_f64.powf(now.secs_since(self.at) / FAILURE_HALF_LIFE_S)
    }
}

/// Chooses a target for a request; `tie_seed` breaks ties.
pub fn choose_target<K: Copy>(
    candidates: &[Candidate<K>],
    prompt: Prompt,
    routers: usize,
    tie_seed: u64,
) -> Option<K> {
    Ranking::new(candidates, prompt, routers).choose(tie_seed)
}

/// Returns how many requests of this router run at the healthy target that has the fewest, or at any
/// target if none is healthy.
///
/// A request that may crash its target goes to one of these, as what runs there ends with it.
pub fn fewest_running<K>(candidates: &[Candidate<K>]) -> Option<u32> {
    let healthy = candidates.iter().filter(|c| c.is_healthy());
    let fewest = healthy.map(|c| c.running).min();
    fewest.or_else(|| candidates.iter().map(|c| c.running).min())
}

fn seeded_hash(hash: u64, seed: u64) -> u64 {
    XxHash64::oneshot(seed, &hash.to_le_bytes())
}

/// Returns the hash of a name, as used for targets and relays.
pub fn hash_name(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
