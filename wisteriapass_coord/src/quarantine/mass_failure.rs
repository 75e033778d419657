//! Deaths that come with those of many other targets, which have a cause of their own.

use std::collections::HashSet;

use smallvec::SmallVec;

use super::death::Death;
use super::death_history::DeathHistory;
use super::{DEATHS_TO_BAN, Fingerprint, Quarantine};

/// Time around a death in which other deaths count as simultaneous, in milliseconds: a rack or a
/// failure domain fails all at once, whereas two requests that each crash a target every third of a
/// second are not a mass failure together.
const SIMULTANEOUS_MS: i64 = 500;

/// Number of targets that die simultaneously without the fingerprint in flight, from which on a death
/// is attributed to the same mass failure.
const MASS_FAILURE_TARGETS: usize = 4;

/// Number of targets that die simultaneously, with or without the fingerprint in flight, from which
/// on this is a single event: whatever takes down many targets also hits those at which a harmless
/// request is in flight.
const SINGLE_EVENT_TARGETS: usize = 6;

/// Number of deaths of a fingerprint that count in such an event: one more death elsewhere bans it.
const COUNTED_PER_EVENT: usize = 2;

/// Targets that died simultaneously with another one, without the fingerprint in question in flight.
struct SimultaneousDeaths {
    total: usize,
    /// Those whose death no other poison explains.
    unexplained: usize,
}

impl Quarantine {
    /// Returns whether a death is attributed to a mass failure.
    ///
    /// Even if many targets die simultaneously, two deaths count, because several requests with one
    /// fingerprint may be in flight at the same time.
    pub(super) fn is_mass_failure(
        &self,
        fingerprint: &Fingerprint,
        history: &DeathHistory,
        death: &Death,
    ) -> bool {
        let others = self.simultaneous_deaths(fingerprint, history, death);
        if others.unexplained >= MASS_FAILURE_TARGETS {
            return true;
        }
        let cluster = history.cluster(death, SIMULTANEOUS_MS);
        cluster.deaths + others.total >= SINGLE_EVENT_TARGETS && cluster.before >= COUNTED_PER_EVENT
    }

    /// Counts the targets that died simultaneously with a death, without its fingerprint in flight.
    ///
    /// Deaths with another poison in flight are explained by that: several may arrive at the same
    /// time. What is harmless and in flight everywhere explains no deaths, because it is answered
    /// elsewhere.
    fn simultaneous_deaths(
        &self,
        fingerprint: &Fingerprint,
        history: &DeathHistory,
        death: &Death,
    ) -> SimultaneousDeaths {
        let is_near = |d: &Death| (d.at - death.at).abs() < SIMULTANEOUS_MS;
        let mut all = HashSet::new();
        let mut explained = HashSet::new();
        for (other, other_history) in &self.histories {
            if other == fingerprint || !other_history.deaths().any(is_near) {
                continue;
            }
            let near = other_history.deaths().filter(|d| is_near(d));
            let separate = near.filter(|d| !history.contains(d.incarnation));
            let separate: SmallVec<[&Death; 4]> = separate.collect();
            let simultaneous = separate.iter().filter(|d| !d.is_excluded).count();
            let before = other_history
                .deaths()
                .filter(|d| !d.is_excluded && !is_near(d))
                .count();
            if simultaneous >= DEATHS_TO_BAN || before + 1 >= DEATHS_TO_BAN {
                explained.extend(separate.iter().map(|d| d.incarnation));
            }
            all.extend(separate.iter().map(|d| d.incarnation));
        }
        SimultaneousDeaths {
            total: all.len(),
            unexplained: all.difference(&explained).count(),
        }
    }
}
