//! Continuous batching: the queue, the running requests and the thread that generates tokens.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use super::execution::{Execution, ExecutionRecord};
use super::settings::EngineSettings;
use super::wire::{Cancelled, LoadReport};
use crate::standin::unix_ms;

/// A queued request.
struct Waiting {
    run: Arc<Execution>,
    priority: u8,
    time_to_first_token: Duration,
}

/// A request that occupies a slot.
struct Running {
    run: Arc<Execution>,
    next_token_at: Instant,
}

struct State {
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    started_runs: Vec<Arc<Execution>>,
    by_id: HashMap<String, Arc<Execution>>,
    report: LoadReport,
    slow_factor: f64,
    is_stopped: bool,
}

/// State shared by the generator thread and the request handlers.
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    time_per_token: Duration,
    slots: usize,
    batch_slowdown: f64,
    load_report_interval_ms: u64,
}

/// The batch of one engine.
pub(super) struct Batch {
    shared: Arc<Shared>,
}

impl Batch {
    /// Starts the generator thread.
    pub fn start(settings: &EngineSettings) -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                waiting: Vec::new(),
                running: Vec::new(),
                started_runs: Vec::new(),
                by_id: HashMap::new(),
                report: LoadReport::default(),
                slow_factor: 1.0,
                is_stopped: false,
            }),
            changed: Condvar::new(),
            time_per_token: settings.time_per_token,
            slots: settings.slots.max(1),
            batch_slowdown: settings.batch_slowdown,
            load_report_interval_ms: settings.load_report_interval_ms,
        });
        let generator = Arc::clone(&shared);
        std::thread::spawn(move || generator.generate());
        Self { shared }
    }

    /// Stops the generator thread and cancels all queued and running requests.
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

    /// Queues a request, whose first token is generated `time_to_first_token` after it gets a slot.
    pub fn submit(&self, run: Arc<Execution>, priority: u8, time_to_first_token: Duration) {
        let mut state = self.shared.state.lock();
        if state.is_stopped {
            run.cancel();
            return;
        }
        state.by_id.insert(run.request_id.clone(), Arc::clone(&run));
        state.waiting.push(Waiting {
            run,
            priority,
            time_to_first_token,
        });
        self.shared.changed.notify_all();
    }

    /// Returns the latest execution of a request.
    pub fn find(&self, request_id: &str) -> Option<Arc<Execution>> {
        self.shared.state.lock().by_id.get(request_id).cloned()
    }

    /// Cancels a queued or running execution.
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

    /// Returns the records of all executions started so far, in order.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        let state = self.shared.state.lock();
        state
            .started_runs
            .iter()
            .filter_map(|run| run.record())
            .collect()
    }

    /// Returns the load report, which is refreshed if it is older than the report interval.
    pub fn load_report(&self) -> LoadReport {
        let mut state = self.shared.state.lock();
        let now = unix_ms();
        if now.saturating_sub(state.report.taken_at_ms) >= self.shared.load_report_interval_ms {
            state.report = LoadReport {
                taken_at_ms: now,
                running: state.running.len(),
                queued: state.waiting.len(),
                free_slots: self.shared.slots.saturating_sub(state.running.len()),
            };
        }
        state.report
    }

    /// Sets the factor applied to each delay, except for tokens that are already scheduled.
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
            self.generate_due_tokens(&mut state, Instant::now());
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

    /// Starts queued requests in free slots, the most urgent first.
    fn fill_slots(&self, state: &mut State) {
        while state.running.len() < self.slots {
            let most_urgent = (0..state.waiting.len()).min_by_key(|&n| state.waiting[n].priority);
            let Some(most_urgent) = most_urgent else {
                return;
            };
            let next = state.waiting.remove(most_urgent);
            next.run.start();
            state.started_runs.push(Arc::clone(&next.run));
            let delay = scaled_delay(next.time_to_first_token, state.slow_factor);
            state.running.push(Running {
                run: next.run,
                next_token_at: Instant::now() + delay,
            });
        }
    }

    /// Generates the tokens that are due and frees the slots of finished runs.
    fn generate_due_tokens(&self, state: &mut State, now: Instant) {
        let other_runs = state.running.len().saturating_sub(1);
        let busy_share = other_runs as f64 / self.slots as f64;
        let factor = state.slow_factor * (1.0 + self.batch_slowdown * busy_share);
        let token_delay = scaled_delay(self.time_per_token, factor);
        state.running.retain_mut(|r| {
            if r.next_token_at > now {
                return true;
            }
            r.next_token_at = now + token_delay;
            !r.run.generate()
        });
    }
}

/// Multiplies a delay by a factor; a negative or non-finite factor counts as 1.
fn scaled_delay(delay: Duration, factor: f64) -> Duration {
    let factor = if factor.is_finite() && factor >= 0.0 {
        factor
    } else {
        1.0
    };
    delay.mul_f64(factor)
}
