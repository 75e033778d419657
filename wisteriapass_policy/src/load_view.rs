//! How full a target is: own outstanding work exactly, the other routers' by aged reports.
//!
//! Answers lagging and lost load reports and ten routers that decide each on its own. Without it
//! all routers see the same free slot and fill it ten times, then see it full and leave it alone
//! (`loads --pattern lagging --without damping`). Two rules damp that. Between two reports a router
//! takes of the reported free slots only its share, while slots that its own runs leave are its
//! own to fill again. And as a report ages, the other routers' work is taken to be like its own.

use rand::Rng;

use crate::{LoadReport, PolicyConfig, Time};

/// What this router knows of one target's load.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadView {
    /// Own requests in flight.
    pub(crate) own_requests: u32,
    /// Own requests in flight that are not interactive.
    pub(crate) own_non_interactive: u32,
    /// Own requests in flight that gave their first token.
    pub(crate) own_responding: u32,
    report: Option<LoadReport>,
    allowance: u32,
}

/// Estimated requests at a target, of all routers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// All of them.
    pub(crate) total: f64,
    /// Those that are not interactive.
    pub(crate) non_interactive: f64,
    /// How much the report behind it is worth, from 0 to 1.
    pub(crate) freshness: f64,
}

impl LoadView {
    /// Takes a report in, unless a later one is known.
    pub(crate) fn record_report(
        &mut self,
        report: LoadReport,
        slots: f64,
        routers: f64,
        rng: &mut impl Rng,
    ) {
        if self.report.is_some_and(|r| r.taken_at >= report.taken_at) {
            return;
        }
        let free = slots - f64::from(report.running + report.queued);
        let share = free.max(0.0) / routers;
        let base = share.floor();
        let extra = u32::from(rng.random_bool((share - base).clamp(0.0, 1.0)));
        self.allowance = report.of_receiver + base as u32 + extra;
        self.report = Some(report);
    }

    /// Returns the estimated load of all routers.
    pub(crate) fn load(&self, now: Time, routers: f64, cfg: &PolicyConfig) -> Load {
        let own_requests = f64::from(self.own_requests);
        let own_non_interactive = f64::from(self.own_non_interactive);
        let other_routers = routers - 1.0;
        let Some(report) = self.report else {
            return Load {
                total: own_requests * routers,
                non_interactive: own_non_interactive * routers,
                freshness: 0.0,
            };
        };
        let freshness = self.freshness(now, cfg);
        let weight = if cfg.parts.damping { freshness } else { 1.0 };
        let reported_others =
            f64::from((report.running + report.queued).saturating_sub(report.of_receiver));
        let all = f64::from(report.running + report.queued).max(1.0);
        let non_interactive_share = 1.0 - f64::from(report.interactive) / all;
        let others_total = reported_others * weight + own_requests * other_routers * (1.0 - weight);
        let others_non_interactive = reported_others * non_interactive_share * weight
            + own_non_interactive * other_routers * (1.0 - weight);
        Load {
            total: own_requests + others_total,
            non_interactive: own_non_interactive + others_non_interactive,
            freshness,
        }
    }

    /// Returns whether one more request keeps within this router's share of the free slots.
    pub(crate) fn within_allowance(&self, load: Load, extra: u32, cfg: &PolicyConfig) -> bool {
        if !cfg.parts.damping || self.report.is_none() {
            return true;
        }
        load.freshness < 0.5 || self.own_requests < self.allowance + extra
    }

    /// Returns how much the last report is worth, from 0 to 1.
    fn freshness(&self, now: Time, cfg: &PolicyConfig) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.secs_since(report.taken_at);
        let span = (cfg.report_stale_s - cfg.report_fresh_s).max(1e-3);
        ((cfg.report_stale_s - age) / span).clamp(0.0, 1.0)
    }
}
