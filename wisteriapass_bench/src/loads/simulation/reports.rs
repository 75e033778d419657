//! Load reports and cache hints of targets, which arrive late or get lost.

use rand::Rng;
use wisteriapass_policy::{LoadReport, Priority, Time};

use super::event::Event;
use super::{HINT_DELAY_SECS, HINT_LOSS, REPORT_INTERVAL_SECS, Simulation, is_measured};
use crate::loads::Policy;
use crate::loads::engine::Engine;
use crate::loads::pattern::{ROUTERS, SLOTS};

impl Simulation {
    /// Samples the load of a target and publishes it to each router with delay and loss.
    pub(super) fn publish_load(&mut self, now: Time, target: usize) {
        self.schedule(
            now.plus_secs(REPORT_INTERVAL_SECS),
            Event::PublishLoad { target },
        );
        if is_measured(now) && self.engines[target].is_healthy(now) {
            self.tally.busy_slots[0] += self.engines[target].running.len() as f64;
            self.tally.busy_slots[1] += f64::from(SLOTS);
        }
        if self.policy != Policy::Ours {
            return;
        }
        let arrives = now.plus_secs(self.pattern.report_delay_secs());
        for router in 0..ROUTERS {
            if self.rng.random_bool(self.pattern.report_loss()) {
                continue;
            }
            let report = self.engines[target].load_report(now, router);
            self.schedule(
                arrives,
                Event::LoadReported {
                    router,
                    target,
                    report,
                },
            );
        }
    }

    /// Caches a prefix at a target and publishes this, and the evicted prefix if any, with delay
    /// and loss.
    pub(super) fn publish_cached_prefix(&mut self, now: Time, target: usize, prefix: u64) {
        let dropped = self.engines[target].cache_prefix(prefix);
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
                    let event = Event::CacheHint {
                        router,
                        target,
                        prefix,
                        held,
                    };
                    self.schedule(now.plus_secs(HINT_DELAY_SECS), event);
                }
            }
        }
    }
}

impl Engine {
    /// Returns the load report for one router.
    pub(super) fn load_report(&self, now: Time, router: usize) -> LoadReport {
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
