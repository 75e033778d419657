//! Decides when a target is ordered to load or unload a model.
//!
//! Handles demand that moves between models (drafts in the morning, checklists of a workshop).
//! Without orders the targets of an idle model stay unused while callers of another model are
//! refused. Without hysteresis two models take the same target from each other, and each load costs
//! minutes of lost work and of the weight store's rate.
//!
//! A model gets a target only after its demand was above `load_above` of its capacity for `hold_s`,
//! and only from a model that was below `unload_below` and would stay below `load_above` without
//! the target. The gap between the two thresholds prevents an order from causing its reverse. Loads
//! are at least `store_interval_s` apart, which is the weight store's rate. Only the holder of the
//! lease on orders may send one, with its fencing token. A target that does not check tokens gets
//! its orders through its side process, which does.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{NameKey, TargetKey, Time};

/// Settings of model orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrdersConfig {
    /// Demand as a share of capacity above which a model needs another target.
    pub load_above: f64,
    /// Demand as a share of capacity below which a model can give up a target.
    pub unload_below: f64,
    /// Time for which demand has to stay above `load_above`, in seconds.
    pub hold_s: f64,
    /// Minimum interval between two loads, in seconds; the rate limit of the weight store.
    pub store_interval_s: f64,
}

impl Default for OrdersConfig {
    fn default() -> Self {
        Self {
            load_above: 0.9,
            unload_below: 0.5,
            hold_s: 30.0,
            store_interval_s: 60.0,
        }
    }
}

/// Demand for one model, and the targets that hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: NameKey,
    /// Offered work including refused work, in tokens per second.
    pub offered: f64,
    /// Targets that hold only this model, each with its rate in tokens per second.
    pub targets: Vec<(TargetKey, f64)>,
}

/// What a target is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model in place of another one, after that one's runs have ended.
    Swap {
        /// Model to unload.
        unload: NameKey,
        /// Model to load.
        load: NameKey,
    },
}

/// An order to a target, to be sent with the fencing token of the lease on orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// Target that receives the order.
    pub target: TargetKey,
    /// What the target has to do.
    pub kind: OrderKind,
}

/// Plans orders; used only by the process that holds the lease on orders.
#[derive(Debug)]
pub struct OrderPlanner {
    cfg: OrdersConfig,
    above_since: HashMap<NameKey, Time>,
    next_load: Time,
}

impl OrderPlanner {
    /// Creates a planner that has issued no orders.
    pub fn new(cfg: OrdersConfig) -> Self {
        Self {
            cfg,
            above_since: HashMap::new(),
            next_load: Time::default(),
        }
    }

    /// Returns the order that is due, if any.
    pub fn decide(&mut self, now: Time, demands: &[ModelDemand]) -> Option<Order> {
        self.track_demand(now, demands);
        if now < self.next_load {
            return None;
        }
        let needy = demands.iter().filter(|d| self.needs_target(now, d));
        let receiver = needy.max_by(|a, b| a.utilization(None).total_cmp(&b.utilization(None)))?;
        let donors = demands
            .iter()
            .filter(|d| d.model != receiver.model && self.can_spare(d));
        let donor = donors.min_by(|a, b| a.utilization(None).total_cmp(&b.utilization(None)))?;
        let &(target, _) = donor.targets.last()?;
        self.next_load = now.plus_secs(self.cfg.store_interval_s);
        self.above_since.remove(&receiver.model);
        let kind = OrderKind::Swap {
            unload: donor.model,
            load: receiver.model,
        };
        Some(Order { target, kind })
    }

    /// Tracks since when each model's demand has been above the threshold.
    fn track_demand(&mut self, now: Time, demands: &[ModelDemand]) {
        for d in demands {
            if d.utilization(None) > self.cfg.load_above {
                self.above_since.entry(d.model).or_insert(now);
            } else {
                self.above_since.remove(&d.model);
            }
        }
    }

    fn needs_target(&self, now: Time, demand: &ModelDemand) -> bool {
        let since = self.above_since.get(&demand.model);
        since.is_some_and(|&s| now.secs_since(s) >= self.cfg.hold_s)
    }

    fn can_spare(&self, demand: &ModelDemand) -> bool {
        let Some(&(_, last)) = demand.targets.last() else {
            return false;
        };
        let is_low = demand.utilization(None) < self.cfg.unload_below;
        is_low && demand.targets.len() > 1 && demand.utilization(Some(last)) < self.cfg.load_above
    }
}

impl ModelDemand {
    /// Returns demand as a share of the targets' total rate, optionally less the rate of one of
    /// them.
    fn utilization(&self, without: Option<f64>) -> f64 {
        let all: f64 = self.targets.iter().map(|(_, rate)| rate).sum();
        self.offered / (all - without.unwrap_or(0.0)).max(1e-3)
    }
}
