//! Continuous batching: waiting requests, running ones, and the thread that generates tokens.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use super::execution::{Execution, ExecutionRecord};
use super::settings::EngineSettings;
use super::wire::{Cancelled, LoadReport};
use crate::standin::unix_ms;

/// A request that waits for a slot.
struct Waiting {
    run: Arc<Execution>,
    priority: u8,
    first_token: Duration,
}

/// A request in a slot.
struct Running {
    run: Arc<Execution>,
    next_token_at: Instant,
}

struct State {
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    started: Vec<Arc<Execution>>,
    by_id: HashMap<String, Arc<Execution>>,
    report: LoadReport,
    slow_factor: f64,
    is_stopped: bool,
}

/// What the generating thread shares with the handlers.
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    token: Duration,
    slots: usize,
    batch_cost: f64,
    load_lag_ms: u64,
}

/// The batch of one engine.
pub(super) struct Batch {
    shared: Arc<Shared>,
}

impl Batch {
    /// Starts the generating thread.
    pub fn start(settings: &EngineSettings) -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                waiting: Vec::new(),
                running: Vec::new(),
                started: Vec::new(),
                by_id: HashMap::new(),
                report: LoadReport::default(),
                slow_factor: 1.0,
                is_stopped: false,
            }),
            changed: Condvar::new(),
            token: settings.time_per_token,
            slots: settings.slots.max(1),
            batch_cost: settings.batch_slowdown,
            load_lag_ms: settings.load_report_interval_ms,
        });
        let generator = Arc::clone(&shared);
        std::thread::spawn(move || generator.generate());
        Self { shared }
    }

    /// Ends the generating thread and cancels what it had.
    pub fn stop(&self) {
        let mut state = self.shared.state.lock();
        state.is_stopped = true;
        let waiting = state.waiting.drain(..).map(|w| w.run).collect::<Vec<_>>();
        let running = state.running.drain(..).map(|r| r.run).collect::<Vec<_>>();
        for run in waiting.iter().chain(&running) {
            run.cancel();
        }
        self.shared.changed.notify_all();
    }

    /// Puts a request in line; its first token comes `first_token` after it got a slot.
    pub fn submit(&self, run: Arc<Execution>, priority: u8, first_token: Duration) {
        let mut state = self.shared.state.lock();
        if state.is_stopped {
            run.cancel();
            return;
        }
        state.by_id.insert(run.request_id.clone(), Arc::clone(&run));
        state.waiting.push(Waiting {
            run,
            priority,
            first_token,
        });
        self.shared.changed.notify_all();
    }

    /// Returns the latest execution of a request.
    pub fn find(&self, request_id: &str) -> Option<Arc<Execution>> {
        self.shared.state.lock().by_id.get(request_id).cloned()
    }

    /// Cancels an execution, also one that waits.
    pub fn cancel(&self, run: &Arc<Execution>) -> Cancelled {
        let mut state = self.shared.state.lock();
        let cancelled = run.cancel();
        state.waiting.retain(|w| !Arc::ptr_eq(&w.run, run));
        state.running.retain(|r| !Arc::ptr_eq(&r.run, run));
        self.shared.changed.notify_all();
        Cancelled {
            cancelled,
            ran: run.progress().started.is_some(),
        }
    }

    /// Returns every execution that was started, in order.
    pub fn ran(&self) -> Vec<ExecutionRecord> {
        let state = self.shared.state.lock();
        state.started.iter().filter_map(|run| run.ran()).collect()
    }

    /// Returns the load report, which may be as old as the engine's lag.
    pub fn load_report(&self) -> LoadReport {
        let mut state = self.shared.state.lock();
        let now = unix_ms();
        if now.saturating_sub(state.report.taken_at_ms) >= self.shared.load_lag_ms {
            state.report = LoadReport {
                taken_at_ms: now,
                running: state.running.len(),
                queued: state.waiting.len(),
                free_slots: self.shared.slots.saturating_sub(state.running.len()),
            };
        }
        state.report
    }

    /// Sets the factor on each delay; running tokens keep the time they were given.
    pub fn set_slow_factor(&self, factor: f64) {
        self.shared.state.lock().slow_factor = factor;
    }
}

impl Shared {
    /// Generates tokens until the engine stops.
    fn generate(&self) {
        let mut state = self.state.lock();
        while !state.is_stopped {
            self.fill_slots(&mut state);
            self.emit_due(&mut state, Instant::now());
            if !state.waiting.is_empty() && state.running.len() < self.slots {
                continue;
            }
            match state.running.iter().map(|r| r.next_token_at).min() {
                Some(at) => {
                    self.changed.wait_until(&mut state, at);
                }
                None => self.changed.wait(&mut state),
            }
        }
    }

    /// Starts waiting requests in free slots, most urgent first.
    fn fill_slots(&self, state: &mut State) {
        while state.running.len() < self.slots {
            let urgent = (0..state.waiting.len()).min_by_key(|&n| state.waiting[n].priority);
            let Some(urgent) = urgent else {
                return;
            };
            let next = state.waiting.remove(urgent);
            next.run.start();
            state.started.push(Arc::clone(&next.run));
            let wait = stretched(next.first_token, state.slow_factor);
            state.running.push(Running {
                run: next.run,
                next_token_at: Instant::now() + wait,
            });
        }
    }

    /// Generates the tokens that are due and frees the slots of ended runs.
    fn emit_due(&self, state: &mut State, now: Instant) {
        let others = state.running.len().saturating_sub(1);
        let share_busy = others as f64 / self.slots as f64;
        let factor = state.slow_factor * (1.0 + self.batch_cost * share_busy);
        let step = stretched(self.token, factor);
        state.running.retain_mut(|r| {
            if r.next_token_at > now {
                return true;
            }
            r.next_token_at = now + step;
            !r.run.generate()
        });
    }
}

/// Multiplies a delay by a factor, of which nonsense counts as one.
fn stretched(delay: Duration, factor: f64) -> Duration {
    let factor = if factor.is_finite() && factor >= 0.0 {
        factor
    } else {
        1.0
    };
    delay.mul_f64(factor)
}
