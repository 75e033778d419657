//! The routers of a failure domain, and which of them should serve.

use std::collections::BTreeMap;

use super::known_router::KnownRouter;
use super::mark::Mark;
use super::{ChangeReason, Phase, RouterReport, Standing};
use crate::Time;
use crate::placement::hash_name;

/// Time for which a silent router counts as part of the domain, in milliseconds. The balancer
/// counts dead routers until their VMs are replaced. A router too many costs less than one too few,
/// with which the balancer uses all routers.
const SILENT_MS: u64 = 120_000;

/// Time for which a router serves at least when it serves instead of another one, unless it is
/// marked, in milliseconds. The other one may be back soon, and gone again.
const REPLACEMENT_MS: u64 = 3_000;

/// A new standing of a router.
#[derive(Clone, Debug)]
pub struct NextStanding {
    /// Name of the router.
    pub router: String,
    /// Its standing.
    pub standing: Standing,
    /// Why it changes.
    pub reason: ChangeReason,
}

/// The routers of a failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainRouters {
    routers: BTreeMap<String, KnownRouter>,
    /// Highest bandwidth of a router, in Mbit/s.
    most_mbps: f64,
}

impl DomainRouters {
    /// Records a report; returns whether the router is new or had been silent.
    pub fn record(&mut self, now: Time, report: RouterReport) -> bool {
        self.most_mbps = self.most_mbps.max(report.link_mbps);
        if let Some(known) = self.routers.get_mut(&report.router) {
            return known.apply(now, report);
        }
        let name = report.router.clone();
        self.routers.insert(name, KnownRouter::new(now, report));
        true
    }

    /// Forgets routers that have been silent for long.
    pub fn forget_silent(&mut self, now: Time) {
        let is_recent = |r: &KnownRouter| now.millis_since(r.reported_at) < SILENT_MS;
        self.routers.retain(|_, r| is_recent(r));
        self.most_mbps = self.max_mbps(|_| true);
    }

    /// Returns a router.
    pub fn get(&self, name: &str) -> Option<&KnownRouter> {
        self.routers.get(name)
    }

    /// Returns all routers.
    pub fn iter(&self) -> impl Iterator<Item = &KnownRouter> {
        self.routers.values()
    }

    /// Returns the number of routers that report.
    pub fn reporting(&self, now: Time) -> usize {
        self.iter().filter(|r| !r.is_silent(now)).count()
    }

    /// Returns whether some routers have a multiple of the bandwidth of others.
    pub fn has_difference(&self) -> bool {
        self.iter().any(|r| self.is_weak(r))
    }

    /// Returns whether a router is marked.
    pub fn has_marks(&self, now: Time) -> bool {
        self.iter().any(|r| r.is_marked(now))
    }

    /// Sets the standing of a router.
    pub fn set_standing(&mut self, now: Time, next: &NextStanding) {
        if let Some(router) = self.routers.get_mut(&next.router) {
            router.standing = next.standing;
            router.changed_at = Some(now);
        }
    }

    /// Marks the serving routers that are crowded while a much stronger one serves; returns their
    /// names.
    pub fn mark_crowded(&mut self, now: Time) -> Vec<String> {
        let most = self.max_mbps(|r| r.is_serving(now));
        let is_crowd_moving = self.iter().any(|r| r.was_marked_recently(now));
        let is_crowded = |r: &KnownRouter| {
            let is_new = r.is_serving(now) && !r.is_marked(now);
            let has_crowd = r.is_crowded(now) || (is_crowd_moving && r.has_moved_crowd());
            is_new && r.is_weaker_than(most) && has_crowd
        };
        let mut marked = Vec::new();
        for (name, router) in &mut self.routers {
            if is_crowded(router) {
                router.mark = Some(Mark::new(now, router.mark));
                marked.push(name.clone());
            }
        }
        marked
    }

    /// Returns the routers that serve while others are to stand by: all strong ones, and as many
    /// weak ones as are missing to `required`.
    pub fn choose_serving(&self, now: Time, required: usize) -> Vec<String> {
        let usable = || self.routers.iter().filter(|(_, r)| r.is_usable(now));
        let strong = usable().filter(|(_, r)| !self.is_weak(r));
        let mut chosen: Vec<String> = strong.map(|(name, _)| name.clone()).collect();
        let mut weak: Vec<_> = usable().filter(|(_, r)| self.is_weak(r)).collect();
        weak.sort_by_cached_key(|(name, r)| {
            let is_standby = r.standing == Standing::Standby;
            let was_marked = r.mark.is_some();
            let since = r.changed_at.unwrap_or_default();
            let hash = hash_name(name);
            (r.is_marked(now), is_standby, was_marked, since, hash)
        });
        let missing = required.saturating_sub(chosen.len());
        chosen.extend(weak.iter().take(missing).map(|(name, _)| (*name).clone()));
        chosen
    }

    /// Returns the changes after which all routers stand by.
    pub fn leave(&self) -> Vec<NextStanding> {
        let serving = self.changeable(Standing::Serving);
        let next = serving.map(|(name, _)| NextStanding {
            router: name.clone(),
            standing: Standing::Standby,
            reason: ChangeReason::DomainOut,
        });
        next.collect()
    }

    /// Returns the changes after which the chosen routers serve and other weak ones stand by.
    pub fn keep_chosen(&self, now: Time, chosen: &[String]) -> Vec<NextStanding> {
        let is_wholly_out = self.changeable(Standing::Serving).next().is_none();
        let joining = self.changeable(Standing::Standby);
        let joining = joining.filter(|(name, _)| chosen.contains(name));
        let joining = joining.map(|(name, _)| NextStanding {
            router: name.clone(),
            standing: Standing::Serving,
            reason: if is_wholly_out {
                ChangeReason::DomainBack
            } else {
                ChangeReason::Replacement
            },
        });
        let leaving = self.changeable(Standing::Serving);
        let leaving = leaving.filter(|(name, r)| {
            let is_recent = |at| now.millis_since(at) < REPLACEMENT_MS;
            let keeps = r.changed_at.is_some_and(is_recent) && !r.is_marked(now);
            let may_leave = self.is_weak(r) && !r.is_silent(now) && !keeps;
            may_leave && !chosen.contains(name)
        });
        let leaving = leaving.map(|(name, r)| NextStanding {
            router: name.clone(),
            standing: Standing::Standby,
            reason: if r.is_marked(now) {
                ChangeReason::Crowded
            } else {
                ChangeReason::StrongFirst
            },
        });
        joining.chain(leaving).collect()
    }

    /// Returns the changes by which up to `limit` routers serve again, those that were never marked
    /// first.
    pub fn return_some(&self, now: Time, limit: usize) -> Vec<NextStanding> {
        let mut standby: Vec<_> = self.changeable(Standing::Standby).collect();
        standby.sort_by_cached_key(|(name, r)| {
            let order = (!r.is_usable(now), self.is_weak(r), r.mark.is_some());
            (order, hash_name(name))
        });
        let returning = standby.into_iter().take(limit);
        let next = returning.map(|(name, _)| NextStanding {
            router: name.clone(),
            standing: Standing::Serving,
            reason: ChangeReason::MarksEnded,
        });
        next.collect()
    }

    /// Returns the routers with a standing that may change; a stopping router keeps its standing.
    fn changeable(&self, standing: Standing) -> impl Iterator<Item = (&String, &KnownRouter)> {
        let may_change = |r: &KnownRouter| r.report.phase != Phase::Stopping;
        let routers = self.routers.iter();
        routers.filter(move |(_, r)| r.standing == standing && may_change(r))
    }

    fn is_weak(&self, router: &KnownRouter) -> bool {
        router.is_weaker_than(self.most_mbps)
    }

    fn max_mbps(&self, counts: impl Fn(&KnownRouter) -> bool) -> f64 {
        let counted = self.iter().filter(|r| counts(r));
        counted.map(|r| r.report.link_mbps).fold(0.0, f64::max)
    }
}
