//! Estimated load of a target: exact for this router's own requests, from aging reports for those
//! of other routers.
//!
//! Handles late and lost load reports and ten routers that decide independently. Without it all
//! routers see the same free slot and fill it ten times, then see a full target and avoid it
//! (`loads --pattern lagging --without damping`). Two rules dampen this. Between two reports a
//! router takes only its share of the reported free slots, while slots freed by its own runs are
//! its own to fill again. And as a report ages, the load of each other router is assumed to equal
//! its own.

use rand::Rng;

use crate::{LoadReport, PolicyConfig, Time};

/// This router's view of the load of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadView {
    /// Own requests in flight.
    pub(crate) own_requests: u32,
    /// Own requests in flight that are not interactive.
    pub(crate) own_non_interactive: u32,
    /// Own requests in flight that have produced their first token.
    pub(crate) own_responding: u32,
    report: Option<LoadReport>,
    allowance: u32,
}

/// Estimated requests at a target, across all routers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) total: f64,
    pub(crate) non_interactive: f64,
    /// Weight of the underlying report, from 0 to 1.
    pub(crate) freshness: f64,
}

impl LoadView {
    /// Stores a report unless a later one is known.
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

    /// Returns the estimated load across all routers.
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

    /// Returns whether one more request stays within this router's share of the free slots.
    pub(crate) fn within_allowance(&self, load: Load, extra: u32, cfg: &PolicyConfig) -> bool {
        if !cfg.parts.damping || self.report.is_none() {
            return true;
        }
        load.freshness < 0.5 || self.own_requests < self.allowance + extra
    }

    /// Returns the weight of the last report, from 0 to 1.
    fn freshness(&self, now: Time, cfg: &PolicyConfig) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.secs_since(report.taken_at);
        let span = (cfg.report_stale_s - cfg.report_fresh_s).max(1e-3);
        ((cfg.report_stale_s - age) / span).clamp(0.0, 1.0)
    }
}
