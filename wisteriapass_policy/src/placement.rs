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

mod homes;
mod latency_goal;

use twox_hash::XxHash64;

use self::homes::Homes;
pub use self::latency_goal::LatencyGoal;
use crate::Time;

/// Weight of a token that this request makes a target read, relative to a token already pending
/// there. Reading it delays this request and all others running there.
const READ_WEIGHT: f64 = 6.0;

/// Share of a prompt's shared tokens that its second home is assumed to hold. The second home takes
/// what the first has no capacity for, and rarely holds all of it.
const SECOND_HOME_SHARE: f64 = 0.5;

/// Tokens that a running request counts as; it makes each step slightly longer.
const RUNNING_TOKENS: f64 = 100.0;

/// Tokens that a request beyond the slots counts as; a running one has to finish first.
const QUEUED_TOKENS: f64 = 4_000.0;

/// Tokens that all slots of a target count as, for requests without a prompt.
const SLOTS_TOKENS: f64 = 10_000.0;

/// Exponent of a target's slowness in the cost of its queue. The queue of a slow target is longer for
/// the same requests, so the count of requests contains a part of its slowness already. With a larger
/// exponent the other targets get more than their share, which no router sees, and near the capacity
/// more requests are late than without slowness.
const SLOWNESS_EXPONENT: f64 = 0.25;

/// Tokens by which slowness counts where nothing runs yet; three running requests.
const BASE_TOKENS: f64 = 300.0;

/// Bonus of a target in the router's own failure domain, in tokens; breaks ties.
const SAME_DOMAIN_TOKENS: f64 = 150.0;

/// Weight of this router's own request count at a target when estimating the other routers' load
/// there; the rest is the average over all targets. The own count is small and says little alone.
const OWN_COUNT_WEIGHT: f64 = 0.5;

/// Cost of one failure, in tokens; about the longest prompt.
const FAILURE_TOKENS: f64 = 20_000.0;

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
    let context = PlacementContext::new(candidates, prompt, routers);
    let any_healthy = candidates.iter().any(Candidate::is_healthy);
    let usable = || candidates.iter().filter(|c| !any_healthy || c.is_healthy());
    let any_timely = usable().any(|c| context.is_timely(c));
    let candidates = usable().filter(|c| !any_timely || context.is_timely(c));
    let candidates = candidates.map(|c| (context.cost(c), seeded_hash(c.hash, tie_seed), c.key));
    let best = candidates.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    best.map(|(_, _, key)| key)
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

/// Values that are the same for all targets when one request is placed.
#[derive(Clone, Copy, Debug)]
struct PlacementContext {
    prompt: Prompt,
    other_routers: f64,
    mean_running: f64,
    mean_pending: f64,
    homes: Option<Homes>,
    /// Latency goal, if it decides.
    goal: Option<LatencyGoal>,
}

impl PlacementContext {
    fn new<K>(candidates: &[Candidate<K>], prompt: Prompt, routers: usize) -> Self {
        let mean = |of: fn(&Candidate<K>) -> f64| {
            let sum: f64 = candidates.iter().map(of).sum();
            sum / candidates.len().max(1) as f64
        };
        let any_slow = candidates.iter().any(|c| c.slowness > 1.0);
        let is_long = |goal: &LatencyGoal| goal.is_long(prompt.tokens);
        Self {
            prompt,
            other_routers: routers.saturating_sub(1) as f64,
            mean_running: mean(|c| f64::from(c.running)),
            mean_pending: mean(|c| c.pending_prompt_tokens as f64),
            homes: prompt
                .shared_prefix
                .map(|prefix| Homes::new(candidates, prefix)),
            goal: prompt.goal.filter(|goal| any_slow && is_long(goal)),
        }
    }

    /// Returns the cost of a target in tokens; the lowest is the best.
    fn cost<K>(&self, c: &Candidate<K>) -> f64 {
        let bonus = if c.in_same_domain {
            SAME_DOMAIN_TOKENS
        } else {
            0.0
        };
        let weight = c.slowness.powf(SLOWNESS_EXPONENT);
        let queue_cost = self.queue_cost(c) * weight;
        let base_cost = (weight - 1.0) * BASE_TOKENS;
        queue_cost + self.read_cost(c) + base_cost + c.recent_failures * FAILURE_TOKENS - bonus
    }

    /// Returns whether a long prompt is expected to meet its latency goal at a target.
    fn is_timely<K>(&self, c: &Candidate<K>) -> bool {
        let tokens = c.pending_prompt_tokens as f64 + self.unread_tokens(c);
        self.goal
            .is_some_and(|goal| goal.is_met(tokens, c.slowness))
    }

    /// Returns the work ahead of the request at a target, across all routers.
    fn queue_cost<K>(&self, c: &Candidate<K>) -> f64 {
        let running = self.estimate_total(f64::from(c.running), self.mean_running);
        let pending = self.estimate_total(c.pending_prompt_tokens as f64, self.mean_pending);
        let slots = f64::from(c.slots.max(1));
        let queued = (running + 1.0 - slots).max(0.0) * QUEUED_TOKENS;
        if self.prompt.tokens == 0 {
            return running / slots * SLOTS_TOKENS + queued;
        }
        pending + running * RUNNING_TOKENS + queued
    }

    /// Returns the cost of what the target has to read for this request.
    fn read_cost<K>(&self, c: &Candidate<K>) -> f64 {
        self.unread_tokens(c) * READ_WEIGHT
    }

    /// Returns the tokens of the prompt that the target has to read.
    fn unread_tokens<K>(&self, c: &Candidate<K>) -> f64 {
        let cached_share = match self.homes {
            _ if c.has_prefix => 1.0,
            Some(homes) if homes.first == c.hash => 1.0,
            Some(homes) if homes.second == c.hash => SECOND_HOME_SHARE,
            _ => 0.0,
        };
        self.prompt.tokens as f64 - cached_share * self.prompt.shared_tokens as f64
    }

    /// Estimates a count across all routers from this router's count.
    fn estimate_total(&self, own: f64, mean: f64) -> f64 {
        own + self.other_routers * (OWN_COUNT_WEIGHT * own + (1.0 - OWN_COUNT_WEIGHT) * mean)
    }
}

fn seeded_hash(hash: u64, seed: u64) -> u64 {
    XxHash64::oneshot(seed, &hash.to_le_bytes())
}

/// Returns the hash of a name, as used for targets and relays.
pub fn hash_name(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
