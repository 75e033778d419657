//! Baseline: each top-up is split equally among the routers, without later rebalancing.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Scenario;
use super::load::Load;
use super::report::{GroundTruth, Metrics, due_topups};
use super::scenario::{BUDGETS, DISTURBANCE_START_MS, ROUTERS};

/// Tokens held by each router, by budget.
pub struct StaticSplit {
    scenario: Scenario,
    held: [[u64; BUDGETS]; ROUTERS],
}

impl StaticSplit {
    /// Creates routers without tokens.
    pub fn new(scenario: Scenario, _: &Load) -> Self {
        Self {
            scenario,
            held: [[0; BUDGETS]; ROUTERS],
        }
    }

    /// Simulates the load.
    pub fn run(mut self, load: &Load) -> Metrics {
        let mut truth = GroundTruth::new();
        let mut next_topup = 0;
        let mut running = BinaryHeap::<Reverse<(u64, usize, usize, u64)>>::new();
        for req in &load.requests {
            for topup in due_topups(load, &mut next_topup, req.at_ms) {
                truth.add_prepaid(topup.budget, topup.tokens);
                for router in &mut self.held {
                    router[topup.budget] += topup.tokens / ROUTERS as u64;
                }
            }
            while let Some(&Reverse((ends_ms, router, budget, unused))) = running.peek() {
                if ends_ms > req.at_ms {
                    break;
                }
                running.pop();
                self.held[router][budget] += unused;
            }
            let held = &mut self.held[req.router][req.budget];
            let accepted = *held >= req.max_cost;
            if accepted {
                *held -= req.max_cost;
                let unused = req.max_cost - req.actual_cost;
                running.push(Reverse((
                    req.at_ms + req.duration_ms,
                    req.router,
                    req.budget,
                    unused,
                )));
            }
            truth.record_decision(req, accepted);
        }
        Metrics {
            stranded: self.stranded(),
            ..truth.into_metrics()
        }
    }

    /// Returns the tokens held by the dead router, which no other router can spend.
    fn stranded(&self) -> u64 {
        if self.scenario.is_alive(0, DISTURBANCE_START_MS) {
            return 0;
        }
        self.held[0].iter().sum()
    }
}
