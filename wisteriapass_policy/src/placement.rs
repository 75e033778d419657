//! Placing one request on a target, from what one router sees itself.
//!
//! Ranks are in prompt tokens: what a target has to read before this request's first event, and
//! what the request makes it read. Answers these loads: shared prompt parts asked for again and
//! again (each has a home, so that it is read once and not at every target); one part that becomes
//! hot (its home is given up when more waits there than reading the part again costs); long
//! prompts among short requests (they go where least is unread); targets that fail or fall silent
//! (they lose rank at once and get it back in steps). All routers reckon with the same homes, so a
//! target has more of what this router sent there than of what is sent on the average.

use twox_hash::XxHash64;

use crate::Time;

/// Weight of a token that this request makes a target read, against one that others wait to have
/// read: it delays this request, and all that run beside it.
const READ_WEIGHT: f64 = 6.0;

/// Part of a prompt's shared tokens that its second home is taken to hold: it takes what the first
/// has no room for, and seldom all.
const SECOND_HOME_SHARE: f64 = 0.5;

/// Tokens that a running request counts as: it makes each step a little longer.
const RUNNING_TOKENS: f64 = 100.0;

/// Tokens that a request beyond the slots counts as: one of those that run has to end first.
const QUEUED_TOKENS: f64 = 4_000.0;

/// Tokens that the whole of a target's slots counts as for requests without a prompt.
const SLOTS_TOKENS: f64 = 10_000.0;

/// Advantage of a target in the router's own failure domain, in tokens: breaks ties.
const SAME_DOMAIN_TOKENS: f64 = 150.0;

/// How far the other routers' requests at a target are like this router's; the rest is like the
/// average over all targets. A router's own count is small, and alone says little.
const OWN_COUNT_WEIGHT: f64 = 0.5;

/// Rank lost by one failure, in tokens: about the longest prompt.
const FAILURE_TOKENS: f64 = 20_000.0;

/// Time in which half of a failure is forgotten, in seconds.
const FAILURE_HALF_LIFE_S: f64 = 1.5;

/// Most failures that count: re-entry after a long failure takes some ten seconds.
const MAX_FAILURE_SCORE: f64 = 8.0;

/// Failures from which on a target is asked only when no other is left.
const SUSPECT_SCORE: f64 = 2.0;

/// What a router knows of one target when it places a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Names the target.
    pub key: K,
    /// Identifies the target in hashes.
    pub hash: u64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// This router's requests there.
    pub running: u32,
    /// Prompt tokens of those whose answer has not begun.
    pub pending_prompt_tokens: u64,
    /// Whether it read the prompt's shared parts of late, as far as this router knows.
    pub has_prefix: bool,
    /// Whether it is in the router's failure domain.
    pub in_same_domain: bool,
    /// Failures of late, by [`Trouble::now`].
    pub recent_failures: f64,
    /// Whether it has requests of this router under way and sent nothing for longer than is usual.
    pub silent: bool,
}

impl<K> Candidate<K> {
    /// Returns whether it is asked before others: a domain that goes dark takes what is sent there
    /// without a word.
    fn is_healthy(&self) -> bool {
        self.recent_failures < SUSPECT_SCORE && !self.silent
    }
}

/// The prompt of a request, as far as it decides about its place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt {
    /// Its deepest part that other requests share.
    pub shared_prefix: Option<u64>,
    /// Tokens up to the end of that part.
    pub shared_tokens: u64,
    /// All its tokens; none for a request without a prompt.
    pub tokens: u64,
}

/// Failures of a target, forgotten with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    failures: f64,
    at: Time,
}

impl FailureScore {
    /// Counts a failure of this weight.
    pub fn record_failure(&mut self, now: Time, weight: f64) {
        self.failures = (self.value(now) + weight).min(MAX_FAILURE_SCORE);
        self.at = now;
    }

    /// Counts a success: each takes half of what is left.
    pub fn record_success(&mut self, now: Time) {
        self.failures = self.value(now) / 2.0;
        self.at = now;
    }

    /// Returns the failures that still count.
    pub fn value(&self, now: Time) -> f64 {
        self.failures * 0.5_f64.powf(now.secs_since(self.at) / FAILURE_HALF_LIFE_S)
    }
}

/// Chooses a target for a request; `draw` breaks ties.
pub fn choose_target<K: Copy>(
    candidates: &[Candidate<K>],
    prompt: Prompt,
    routers: usize,
    tie_seed: u64,
) -> Option<K> {
    let context = PlacementContext::new(candidates, prompt, routers);
    let any_healthy = candidates.iter().any(Candidate::is_healthy);
    let candidates = candidates.iter().filter(|c| !any_healthy || c.is_healthy());
    let candidates = candidates.map(|c| (context.cost(c), seeded_hash(c.hash, tie_seed), c.key));
    let best = candidates.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    best.map(|(_, _, key)| key)
}

/// What is the same for all targets when one request is placed.
#[derive(Clone, Copy, Debug)]
struct PlacementContext {
    prompt: Prompt,
    other_routers: f64,
    mean_running: f64,
    mean_pending: f64,
    homes: Option<(u64, u64)>,
}

impl PlacementContext {
    fn new<K>(candidates: &[Candidate<K>], prompt: Prompt, routers: usize) -> Self {
        let mean = |of: fn(&Candidate<K>) -> f64| {
            let sum: f64 = candidates.iter().map(of).sum();
            sum / candidates.len().max(1) as f64
        };
        Self {
            prompt,
            other_routers: routers.saturating_sub(1) as f64,
            mean_running: mean(|c| f64::from(c.running)),
            mean_pending: mean(|c| c.pending_prompt_tokens as f64),
            homes: prompt.shared_prefix.map(|prefix| homes(candidates, prefix)),
        }
    }

    /// Returns a target's rank in tokens; the lowest is the best.
    fn cost<K>(&self, c: &Candidate<K>) -> f64 {
        let bonus = if c.in_same_domain {
            SAME_DOMAIN_TOKENS
        } else {
            0.0
        };
        self.queue_cost(c) + self.read_cost(c) + c.recent_failures * FAILURE_TOKENS - bonus
    }

    /// Returns what a target has to do first, by all routers.
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

    /// Returns what this request makes a target read.
    fn read_cost<K>(&self, c: &Candidate<K>) -> f64 {
        let cached_share = match self.homes {
            _ if c.has_prefix => 1.0,
            Some((first, _)) if first == c.hash => 1.0,
            Some((_, second)) if second == c.hash => SECOND_HOME_SHARE,
            _ => 0.0,
        };
        (self.prompt.tokens as f64 - cached_share * self.prompt.shared_tokens as f64) * READ_WEIGHT
    }

    /// Returns what all routers have at a target, from what this router has there.
    fn estimate_total(&self, own: f64, mean: f64) -> f64 {
        own + self.other_routers * (OWN_COUNT_WEIGHT * own + (1.0 - OWN_COUNT_WEIGHT) * mean)
    }
}

/// Returns the first two targets in a part's order, which is the same at all routers.
fn homes<K>(candidates: &[Candidate<K>], prefix: u64) -> (u64, u64) {
    let mut first = (0, 0);
    let mut second = (0, 0);
    for c in candidates {
        let rank = (seeded_hash(c.hash, prefix), c.hash);
        if rank > first {
            second = first;
            first = rank;
        } else if rank > second {
            second = rank;
        }
    }
    (first.1, second.1)
}

fn seeded_hash(hash: u64, seed: u64) -> u64 {
    XxHash64::oneshot(seed, &hash.to_le_bytes())
}

/// Returns what identifies a target in hashes.
pub fn hash_name(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
