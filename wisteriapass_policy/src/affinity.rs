//! Where a shared prompt prefix is likely to be cached.
//!
//! Answers long shared templates and a hot prefix. Without it every target reads every template
//! again (`loads --pattern hot --without affinity`); without a bound by load, which `room` sets, one
//! target gets all of a hot prefix's work. Hints come late and with gaps, so they only add to a rule
//! that needs none: every router ranks the targets for a prefix by the same hash and so picks the
//! same one, its home.

use std::collections::HashMap;

use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::{PolicyConfig, TargetKey, Time};

/// Prefixes remembered; beyond it the stale ones are forgotten.
const MAX_PREFIXES: usize = 16_384;
/// Worth of the hash's choice against a hint's, as a share.
const HOME_SCORE: f64 = 0.6;

/// Which targets were said to hold which prefixes.
#[derive(Debug, Default)]
pub(crate) struct CacheHints {
    holders: HashMap<u64, PrefixHolders>,
}

/// Targets that were said to hold one prefix.
pub(crate) type PrefixHolders = SmallVec<[CacheHint; 4]>;

/// A target that was said to hold a prefix, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheHint {
    target: TargetKey,
    at: Time,
}

impl CacheHints {
    /// Takes a hint in.
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

    /// Returns the targets that were said to hold a prefix.
    pub(crate) fn holders(&self, prefix: u64) -> &[CacheHint] {
        self.holders.get(&prefix).map_or(&[], |h| h.as_slice())
    }

    /// Forgets hints that are worth nothing any more, or all if none is.
    fn evict_stale(&mut self, now: Time, cfg: &PolicyConfig) {
        let fresh = |h: &CacheHint| now.secs_since(h.at) < cfg.cache_hint_s;
        self.holders.retain(|_, holders| holders.iter().any(fresh));
        if self.holders.len() >= MAX_PREFIXES {
            self.holders.clear();
        }
    }
}

/// Returns how sure it is that a target holds a prefix with these holders, from 0 to 1.
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

/// Returns a target's rank for a prefix; the highest is its home.
pub(crate) fn rendezvous_weight(prefix: u64, target_hash: u64) -> u64 {
    XxHash64::oneshot(prefix, &target_hash.to_le_bytes())
}

/// Returns the worth of a target for a prefix, before the bound by load.
pub(crate) fn cache_score(hint_confidence: f64, is_home: bool) -> f64 {
    if is_home {
        return hint_confidence.max(HOME_SCORE);
    }
    hint_confidence
}
