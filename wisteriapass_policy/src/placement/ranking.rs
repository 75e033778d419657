//! The candidates of one request, ranked by their costs.

use super::homes::Homes;
use super::{Candidate, Cost, HeldPrefix, LatencyGoal, PassedOver, Prompt, seeded_hash};

/// Weight of a token that this request makes a target read, relative to a token already pending
/// there. Reading it delays this request and all others running there.
const READ_WEIGHT: f64 = 6.0;

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

/// Bonus of a target in the router's own failure domain, in tokens; breaks ties.
const SAME_DOMAIN_TOKENS: f64 = 150.0;

/// Weight of this router's own request count at a target when estimating the other routers' load
/// there; the rest is the average over all targets. The own count is small and says little alone.
const OWN_COUNT_WEIGHT: f64 = 0.5;

/// Cost of one failure, in tokens; about the longest prompt.
const FAILURE_TOKENS: f64 = 20_000.0;

/// The candidates of one request, ranked by their costs. Routing takes its choice, and explanations
/// show what the choice goes by.
#[derive(Clone, Copy, Debug)]
pub struct Ranking<'a, K> {
    candidates: &'a [Candidate<K>],
    prompt: Prompt,
    other_routers: f64,
    mean_running: f64,
    mean_pending: f64,
    homes: Option<Homes>,
    /// Latency goal, if it decides.
    goal: Option<LatencyGoal>,
    any_healthy: bool,
    /// Whether a candidate that may be chosen meets the goal.
    any_timely: bool,
}

impl<'a, K: Copy> Ranking<'a, K> {
    /// Ranks the candidates of a request, for one of `routers` routers.
    pub fn new(candidates: &'a [Candidate<K>], prompt: Prompt, routers: usize) -> Self {
        let mean = |of: fn(&Candidate<K>) -> f64| {
            let sum: f64 = candidates.iter().map(of).sum();
            sum / candidates.len().max(1) as f64
        };
        let any_slow = candidates.iter().any(|c| c.slowness > 1.0);
        let is_long = |goal: &LatencyGoal| goal.is_long(prompt.tokens);
        let mut ranking = Self {
            candidates,
            prompt,
            other_routers: routers.saturating_sub(1) as f64,
            mean_running: mean(|c| f64::from(c.running)),
            mean_pending: mean(|c| c.pending_prompt_tokens as f64),
            homes: prompt
                .shared_prefix
                .map(|prefix| Homes::new(candidates, prefix)),
            goal: prompt.goal.filter(|goal| any_slow && is_long(goal)),
            any_healthy: candidates.iter().any(Candidate::is_healthy),
            any_timely: false,
        };
        let mut usable = candidates.iter().filter(|c| ranking.is_usable(c));
        ranking.any_timely = usable.any(|c| ranking.is_timely(c));
        ranking
    }

    /// Returns the best candidate; `tie_seed` decides between those of equal cost.
    pub fn choose(&self, tie_seed: u64) -> Option<K> {
        let eligible = self.candidates.iter();
        let eligible = eligible.filter(|c| self.passed_over(c).is_none());
        let ranked = eligible.map(|c| {
            let total = self.cost(c).total();
            (total, seeded_hash(c.hash, tie_seed), c.key)
        });
        let best = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, _, key)| key)
    }

    /// Returns why a candidate is not chosen whatever it costs, if so.
    pub fn passed_over(&self, c: &Candidate<K>) -> Option<PassedOver> {
        if !self.is_usable(c) {
            return Some(PassedOver::Unhealthy);
        }
        if self.any_timely && !self.is_timely(c) {
            return Some(PassedOver::Late);
        }
        None
    }

    /// Returns the cost of a candidate.
    pub fn cost(&self, c: &Candidate<K>) -> Cost {
        Cost {
            queue: self.queue_cost(c),
            slowness_weight: c.slowness.powf(SLOWNESS_EXPONENT),
            read: self.unread_tokens(c) * READ_WEIGHT,
            failures: c.recent_failures * FAILURE_TOKENS,
            domain_bonus: if c.in_same_domain {
                SAME_DOMAIN_TOKENS
            } else {
                0.0
            },
        }
    }

    /// Returns whether, and why, a candidate is assumed to hold the shared prefix.
    pub fn held_prefix(&self, c: &Candidate<K>) -> HeldPrefix {
        match self.homes {
            _ if c.has_prefix => HeldPrefix::Sent,
            Some(homes) if homes.first == c.hash => HeldPrefix::Home,
            Some(homes) if homes.second == c.hash => HeldPrefix::SecondHome,
            _ => HeldPrefix::None,
        }
    }

    /// Returns the tokens of the prompt that a candidate has to read.
    pub fn unread_tokens(&self, c: &Candidate<K>) -> f64 {
        let held_share = self.held_prefix(c).share();
        self.prompt.tokens as f64 - held_share * self.prompt.shared_tokens as f64
    }

    /// Returns whether a candidate is healthy, or none is.
    fn is_usable(&self, c: &Candidate<K>) -> bool {
        !self.any_healthy || c.is_healthy()
    }

    /// Returns whether a long prompt is expected to meet its latency goal at a target.
    fn is_timely(&self, c: &Candidate<K>) -> bool {
        let tokens = c.pending_prompt_tokens as f64 + self.unread_tokens(c);
        self.goal
            .is_some_and(|goal| goal.is_met(tokens, c.slowness))
    }

    /// Returns the work ahead of the request at a target, across all routers.
    fn queue_cost(&self, c: &Candidate<K>) -> f64 {
        let running = self.estimate_total(f64::from(c.running), self.mean_running);
        let pending = self.estimate_total(c.pending_prompt_tokens as f64, self.mean_pending);
        let slots = f64::from(c.slots.max(1));
        let queued = (running + 1.0 - slots).max(0.0) * QUEUED_TOKENS;
        if self.prompt.tokens == 0 {
            return running / slots * SLOTS_TOKENS + queued;
        }
        pending + running * RUNNING_TOKENS + queued
    }

    /// Estimates a count across all routers from this router's count.
    fn estimate_total(&self, own: f64, mean: f64) -> f64 {
        own + self.other_routers * (OWN_COUNT_WEIGHT * own + (1.0 - OWN_COUNT_WEIGHT) * mean)
    }
}
