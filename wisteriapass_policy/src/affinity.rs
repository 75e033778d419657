//! Estimates where a shared prompt prefix is cached.
//!
//! Handles long shared templates and a hot prefix. Without it every target reads every template
//! again (`loads --pattern hot --without affinity`). The load limit in `headroom` keeps one target
//! from getting all requests of a hot prefix. Cache hints arrive late and incomplete, so they only
//! supplement a rule that works without them: all routers rank the targets of a prefix by the same
//! rendezvous hash and thus agree on one target, its home.

use std::collections::HashMap;

use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::{PolicyConfig, TargetKey, Time};

/// Maximum number of prefixes kept; above it stale ones are evicted.
const MAX_PREFIXES: usize = 16_384;
/// Cache score of the home target, relative to a fresh hint.
const HOME_SCORE: f64 = 0.6;

/// Targets that reported which prefixes they hold.
#[derive(Debug, Default)]
pub(crate) struct CacheHints {
    holders: HashMap<u64, PrefixHolders>,
}

/// Targets that reported holding one prefix.
pub(crate) type PrefixHolders = SmallVec<[CacheHint; 4]>;

/// A target that reported holding a prefix, and when it did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheHint {
    target: TargetKey,
    at: Time,
}

impl CacheHints {
    /// Records that a target holds a prefix or has dropped it.
    pub(crate) fn record(
        &mut self,
        now: Time,
        target: TargetKey,
        prefix: u64,
        held: bool,
        cfg: &PolicyConfig,
    ) {
        if held && self.holders.len() >= MAX_PREFIXES {
            self.evict_stale(now, cfg);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|h| h.target != target);
        if held {
            holders.push(CacheHint { target, at: now });
        }
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Returns the targets that reported holding a prefix.
    pub(crate) fn holders(&self, prefix: u64) -> &[CacheHint] {
        self.holders.get(&prefix).map_or(&[], |h| h.as_slice())
    }

    /// Evicts prefixes whose hints have all expired, or every prefix if that frees nothing.
    fn evict_stale(&mut self, now: Time, cfg: &PolicyConfig) {
        let fresh = |h: &CacheHint| now.secs_since(h.at) < cfg.cache_hint_s;
        self.holders.retain(|_, holders| holders.iter().any(fresh));
        if self.holders.len() >= MAX_PREFIXES {
            self.holders.clear();
        }
    }
}

/// Returns the confidence that a target still holds a prefix, from 0 to 1.
pub(crate) fn hint_confidence(
    now: Time,
    target: TargetKey,
    holders: &[CacheHint],
    cfg: &PolicyConfig,
) -> f64 {
    let Some(hint) = holders.iter().find(|h| h.target == target) else {
        return 0.0;
    };
    (1.0 - now.secs_since(hint.at) / cfg.cache_hint_s).max(0.0)
}

/// Returns the rendezvous weight of a target for a prefix; the highest marks its home.
pub(crate) fn rendezvous_weight(prefix: u64, target_hash: u64) -> u64 {
    XxHash64::oneshot(prefix, &target_hash.to_le_bytes())
}

/// Returns the score of a target for a prefix, before load limits.
pub(crate) fn cache_score(hint_confidence: f64, is_home: bool) -> f64 {
    if is_home {
        return hint_confidence.max(HOME_SCORE);
    }
    hint_confidence
}
