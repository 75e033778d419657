//! Baseline: each top-up is split equally over the routers for good.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Scenario;
use super::load::Load;
use super::report::{Figures, Truth, due};
use super::scenario::{BUDGETS, FROM_MS, ROUTERS};

/// Money of each router.
pub struct Split {
    scenario: Scenario,
    held: [[u64; BUDGETS]; ROUTERS],
}

impl Split {
    /// Starts with nothing.
    pub fn new(scenario: Scenario, _: &Load) -> Self {
        Self {
            scenario,
            held: [[0; BUDGETS]; ROUTERS],
        }
    }

    /// Plays the load.
    pub fn run(mut self, load: &Load) -> Figures {
        let mut truth = Truth::new();
        let mut place = 0;
        let mut running = BinaryHeap::<Reverse<(u64, usize, usize, u64)>>::new();
        for req in &load.requests {
            for topup in due(load, &mut place, req.at_ms) {
                truth.topped_up(topup.budget, topup.tokens);
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
            let accepted = *held >= req.worst;
            if accepted {
                *held -= req.worst;
                let rest = req.worst - req.actual;
                running.push(Reverse((
                    req.at_ms + req.runs_ms,
                    req.router,
                    req.budget,
                    rest,
                )));
            }
            truth.judge(req, accepted);
        }
        Figures {
            stranded: self.stranded(),
            ..truth.into_figures()
        }
    }

    /// Returns what the dead router held; nobody can spend it.
    fn stranded(&self) -> u64 {
        if self.scenario.lives(0, FROM_MS) {
            return 0;
        }
        self.held[0].iter().sum()
    }
}
