//! Baseline: each top-up is split equally over the routers for good.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Scenario;
use super::load::Load;
use super::report::{GroundTruth, Metrics, due_topups};
use super::scenario::{BUDGETS, DISTURBANCE_START_MS, ROUTERS};

/// Money of each router.
pub struct StaticSplit {
    scenario: Scenario,
    held: [[u64; BUDGETS]; ROUTERS],
}

impl StaticSplit {
    /// Starts with nothing.
    pub fn new(scenario: Scenario, _: &Load) -> Self {
        Self {
            scenario,
            held: [[0; BUDGETS]; ROUTERS],
        }
    }

    /// Plays the load.
    pub fn run(mut self, load: &Load) -> Metrics {
        let mut truth = GroundTruth::new();
        let mut place = 0;
        let mut running = BinaryHeap::<Reverse<(u64, usize, usize, u64)>>::new();
        for req in &load.requests {
            for topup in due_topups(load, &mut place, req.at_ms) {
                truth.add_prepaid(topup.budget, topup.tokens);
                for router in &mut self.held {
                    router[topup.budget] += topup.tokens / ROUTERS as u64;
                }
            }
            while let Some(&Reverse((ends_ms, router, budget, rest))) = running.peek() {
                if ends_ms > req.at_ms {
                    break;
                }
                running.pop();
                self.held[router][budget] += rest;
            }
            let held = &mut self.held[req.router][req.budget];
            let accepted = *held >= req.max_cost;
            if accepted {
                *held -= req.max_cost;
                let rest = req.max_cost - req.actual_cost;
                running.push(Reverse((
                    req.at_ms + req.duration_ms,
                    req.router,
                    req.budget,
                    rest,
                )));
            }
            truth.record_decision(req, accepted);
        }
        Metrics {
            stranded: self.stranded(),
            ..truth.into_metrics()
        }
    }

    /// Returns what the dead router held; nobody can spend it.
    fn stranded(&self) -> u64 {
        if self.scenario.is_alive(0, DISTURBANCE_START_MS) {
            return 0;
        }
        self.held[0].iter().sum()
    }
}
