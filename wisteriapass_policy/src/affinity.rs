//! Where a shared prompt prefix is likely to be cached.
//!
//! Answers long shared templates and a hot prefix. Without it every target reads every template
//! again (`loads --pattern hot --without affinity`); without a bound by load, which `room` sets, one
//! target gets all of a hot prefix's work. Hints come late and with gaps, so they only add to a rule that needs
//! none: every router ranks the targets for a prefix by the same hash and so picks the same ones.

use std::hash::Hasher;

use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::{PolicyConfig, Time};

/// Prefix hints kept for one target; the oldest goes first.
const HINTS: usize = 64;
/// Worth of the hash's choice against a hint's, as a share.
const HOME_WORTH: f64 = 0.6;

/// Prefixes that one target was said to hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheHints {
    held: SmallVec<[Hint; 4]>,
}

/// One prefix and when it was last known to be held.
#[derive(Clone, Copy, Debug)]
struct Hint {
    prefix: u64,
    at: Time,
}

impl CacheHints {
    /// Takes a hint in.
    pub(crate) fn set(&mut self, now: Time, prefix: u64, held: bool) {
        self.held.retain(|h| h.prefix != prefix);
        if !held {
            return;
        }
        if self.held.len() == HINTS {
            self.held.remove(0);
        }
        self.held.push(Hint { prefix, at: now });
    }

    /// Returns how sure it is that the target holds a prefix, from 0 to 1.
    pub(crate) fn belief(&self, now: Time, prefix: u64, cfg: &PolicyConfig) -> f64 {
        let Some(hint) = self.held.iter().find(|h| h.prefix == prefix) else {
            return 0.0;
        };
        (1.0 - now.secs_since(hint.at) / cfg.cache_hint_s).max(0.0)
    }
}

/// Returns a target's rank for a prefix; the highest is its home.
pub(crate) fn rank(prefix: u64, target_hash: u64) -> u64 {
    let mut hasher = XxHash64::with_seed(prefix);
    hasher.write_u64(target_hash);
    hasher.finish()
}

/// Returns the worth of a target for a prefix, before the bound by load.
pub(crate) fn worth(belief: f64, home: bool) -> f64 {
    if home {
        return belief.max(HOME_WORTH);
    }
    belief
}
