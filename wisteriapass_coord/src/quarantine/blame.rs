//! Verdicts: which of the fingerprints that were in flight at the same targets are to blame.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::death_history::DeathHistory;
use super::{DEATHS_TO_BAN, Fingerprint, Incarnation, Quarantine, Verdict};

/// Maximum number of deaths of which poisons with fewer deaths may be to blame. It bounds the trials
/// of a poison that comes beside ever new ones.
const MAX_AMBIGUOUS_DEATHS: usize = 8;

impl Quarantine {
    /// Returns whether a fingerprint is banned, whatever else was in flight at its targets.
    pub fn verdict(&self, now: u64, fingerprint: &Fingerprint) -> Verdict {
        let Some(history) = self.histories.get(fingerprint) else {
            return Verdict::Clear;
        };
        let counted = self.counted_targets(fingerprint, history);
        history.verdict(now, |target| counted.contains(target))
    }

    /// Returns whether a prompt part is banned in a request that has all of `request`.
    ///
    /// The deaths that it has in common with another poison may be due to that, unless the request has
    /// both. If only these ban it, it is a suspect instead: a trial tells which one is to blame.
    pub fn verdict_in(
        &self,
        now: u64,
        fingerprint: &Fingerprint,
        request: &[Fingerprint],
    ) -> Verdict {
        let Some(history) = self.histories.get(fingerprint) else {
            return Verdict::Clear;
        };
        let counted = self.counted_targets(fingerprint, history);
        let deaths = counted.len();
        let ambiguous = self.ambiguous_targets(fingerprint, history, deaths, request);
        let verdict = history.verdict(now, |target| {
            counted.contains(target) && !ambiguous.contains(target)
        });
        match verdict {
            Verdict::Clear | Verdict::Suspect { .. } if deaths >= DEATHS_TO_BAN => {
                Verdict::Suspect { deaths }
            }
            verdict => verdict,
        }
    }

    /// Returns the fingerprints that are currently banned.
    pub fn banned(&self, now: u64) -> Vec<Fingerprint> {
        let is_banned = |f: &&Fingerprint| self.verdict(now, f).banned_until().is_some();
        self.histories.keys().filter(is_banned).copied().collect()
    }

    /// Returns the targets whose deaths count. Those that may ban must not be part of a mass failure.
    fn counted_targets(
        &self,
        fingerprint: &Fingerprint,
        history: &DeathHistory,
    ) -> SmallVec<[Incarnation; 4]> {
        let may_ban = history.counted_deaths() >= DEATHS_TO_BAN;
        let counted = history.deaths().filter(|death| {
            let is_exempt = !may_ban || death.is_classified;
            !death.is_excluded && (is_exempt || !self.is_mass_failure(fingerprint, history, death))
        });
        counted.map(|death| death.incarnation).collect()
    }

    /// Returns the targets of which another poison, which the request does not have, may be to blame.
    ///
    /// A poison was in flight at all targets that it crashed. What came beside several poisons has
    /// more deaths than each of them; beyond a number of deaths, one with fewer explains nothing.
    fn ambiguous_targets(
        &self,
        fingerprint: &Fingerprint,
        history: &DeathHistory,
        deaths: usize,
        request: &[Fingerprint],
    ) -> BTreeSet<Incarnation> {
        let mut ambiguous = BTreeSet::new();
        if deaths == 0 {
            return ambiguous;
        }
        let least = if deaths > MAX_AMBIGUOUS_DEATHS {
            deaths
        } else {
            DEATHS_TO_BAN
        };
        for (other, other_history) in &self.histories {
            let is_beside = other == fingerprint || request.contains(other);
            let may_explain = other_history.counted_deaths() >= least;
            if !is_beside && may_explain && history.has_common_death(other_history) {
                let targets = other_history.deaths().filter(|death| !death.is_excluded);
                ambiguous.extend(targets.map(|death| death.incarnation));
            }
        }
        ambiguous
    }
}
