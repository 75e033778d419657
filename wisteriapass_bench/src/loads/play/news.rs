//! What targets publish of themselves: load and held prefixes, late and with gaps.

use rand::Rng;
use wisteriapass_policy::{LoadReport, Priority, Time};

use super::event::Event;
use super::{HINT_DELAY_S, HINT_LOSS, Play, REPORT_EVERY_S, counts};
use crate::loads::Policy;
use crate::loads::engine::Engine;
use crate::loads::pattern::{ROUTERS, SLOTS};

impl Play {
    /// Publishes a target's load to each router, late or not at all.
    pub(super) fn report(&mut self, now: Time, target: usize) {
        self.at(now.plus_secs(REPORT_EVERY_S), Event::Report { target });
        if counts(now) && self.engines[target].is_well(now) {
            self.tally.busy[0] += self.engines[target].running.len() as f64;
            self.tally.busy[1] += f64::from(SLOTS);
        }
        if self.policy != Policy::Ours {
            return;
        }
        let arrives = now.plus_secs(self.pattern.report_delay());
        for router in 0..ROUTERS {
            if self.rng.random_bool(self.pattern.report_loss()) {
                continue;
            }
            let report = self.engines[target].report(now, router);
            self.at(
                arrives,
                Event::Reported {
                    router,
                    target,
                    report,
                },
            );
        }
    }

    /// Publishes that a target holds a prefix, and has perhaps dropped another.
    pub(super) fn cached(&mut self, now: Time, target: usize, prefix: u64) {
        let dropped = self.engines[target].cache(prefix);
        if self.policy != Policy::Ours {
            return;
        }
        let hints = dropped
            .map(|p| (p, false))
            .into_iter()
            .chain([(prefix, true)]);
        for (prefix, held) in hints {
            for router in 0..ROUTERS {
                if !self.rng.random_bool(HINT_LOSS) {
                    let event = Event::Hint {
                        router,
                        target,
                        prefix,
                        held,
                    };
                    self.at(now.plus_secs(HINT_DELAY_S), event);
                }
            }
        }
    }
}

impl Engine {
    /// Returns the load that one router is told of.
    pub(super) fn report(&self, now: Time, router: usize) -> LoadReport {
        let all = || self.running.iter().chain(&self.queue);
        LoadReport {
            taken_at: now,
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            interactive: all()
                .filter(|r| r.priority == Priority::Interactive)
                .count() as u32,
            of_receiver: all().filter(|r| r.router == router).count() as u32,
        }
    }
}
