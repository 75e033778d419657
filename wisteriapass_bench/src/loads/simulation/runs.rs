//! Life cycle of runs, from the router to a target and back.

use wisteriapass_policy::{Outcome, Time};

use super::event::Event;
use super::router::RouterPolicy;
use super::{NETWORK_DELAY_SECS, PROGRESS_INTERVAL_SECS, Run, Simulation, is_measured};
use crate::loads::engine::{EngineRun, RunId};

impl Simulation {
    pub(super) fn send_run(&mut self, now: Time, request: usize, target: usize) {
        let run = self.runs.len();
        self.runs.push(Run {
            request,
            target,
            first_token: None,
            finished: false,
        });
        self.request_states[request].runs.push(run);
        self.schedule(now.plus_secs(NETWORK_DELAY_SECS), Event::RunArrival { run });
    }

    pub(super) fn handle_run_arrival(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.finished {
            return;
        }
        let request = self.requests[run.request];
        let (router, priority) = (request.router, request.priority);
        self.engines[run.target].enqueue(EngineRun {
            id,
            router,
            priority,
        });
        self.start_queued_runs(now, run.target);
    }

    /// Starts queued runs while a target has free slots.
    pub(super) fn start_queued_runs(&mut self, now: Time, target: usize) {
        while let Some(next) = self.engines[target].dequeue() {
            let run = self.runs[next.id];
            let request = self.requests[run.request];
            if let Some(prefix) = request.prefix.filter(|_| is_measured(request.arrives_at)) {
                self.tally.prefix_hits[0] +=
                    f64::from(self.engines[target].has_cached(prefix) as u8);
                self.tally.prefix_hits[1] += 1.0;
            }
            let times = self.engines[target].start_run(now, &request);
            self.schedule(times.first_token, Event::FirstToken { run: next.id });
            self.schedule(times.end, Event::RunEnd { run: next.id });
        }
    }

    pub(super) fn handle_first_token(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.finished {
            return;
        }
        self.runs[id].first_token = Some(now);
        let request = self.requests[run.request];
        if let Some(prefix) = request.prefix {
            self.publish_cached_prefix(now, run.target, prefix);
        }
        if !self.request_states[run.request].is_answering {
            self.request_states[run.request].is_answering = true;
            self.tally.record_first_token(
                &request,
                now.secs_since(request.arrives_at) + NETWORK_DELAY_SECS,
            );
            self.stop_other_runs(now, run.request, id);
        }
        self.schedule(
            now.plus_secs(PROGRESS_INTERVAL_SECS),
            Event::Progress { run: id },
        );
        self.update_run(now, run, |state, ticket, key| {
            state.scheduler.first_token(now, ticket, key);
        });
    }

    pub(super) fn handle_progress(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        let Some(first) = run.first_token.filter(|_| !run.finished) else {
            return;
        };
        let tokens = self.engines[run.target].tokens_between(first, now) as u32 + 1;
        let before = now.plus_secs(-PROGRESS_INTERVAL_SECS);
        let has_progressed = self.engines[run.target].tokens_between(before, now) >= 1.0;
        self.schedule(
            now.plus_secs(PROGRESS_INTERVAL_SECS),
            Event::Progress { run: id },
        );
        if has_progressed {
            self.update_run(now, run, |state, ticket, key| {
                state.scheduler.record_progress(now, ticket, key, tokens);
            });
        }
    }

    pub(super) fn handle_run_end(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.finished {
            return;
        }
        self.stop_run(now, id, false);
        let request = self.requests[run.request];
        self.request_states[run.request].finished = true;
        if is_measured(request.arrives_at) {
            self.tally.record_answer(&request);
        }
        if is_measured(now) {
            self.tally.record_completed_tokens(&request);
        }
        if request.attempt > 0 {
            self.tally.answered_retries += 1;
        }
        let outcome = Outcome {
            output_tokens: request.output_tokens,
        };
        self.update_run(now, run, |state, ticket, key| {
            state.scheduler.run_finished(now, ticket, key, outcome);
            state.requests_by_ticket.remove(&ticket);
        });
    }

    /// Cuts a request off at its deadline and stops all of its runs.
    pub(super) fn handle_deadline(&mut self, now: Time, index: usize) {
        if self.request_states[index].finished {
            return;
        }
        self.request_states[index].finished = true;
        if is_measured(self.requests[index].arrives_at) {
            self.tally.cut_off += 1;
        }
        for id in self.request_states[index].runs.clone() {
            self.stop_run(now, id, true);
        }
        let router = self.requests[index].router;
        if let Some(ticket) = self.request_states[index].ticket {
            self.update_scheduler(now, router, |state| {
                state.scheduler.cancel(now, ticket);
                state.requests_by_ticket.remove(&ticket);
            });
        }
    }

    /// Cancels the other runs of a request once one of them answers.
    pub(super) fn stop_other_runs(&mut self, now: Time, index: usize, keep: RunId) {
        for id in self.request_states[index].runs.clone() {
            let run = self.runs[id];
            if id == keep || run.finished {
                continue;
            }
            self.stop_run(now, id, true);
            self.update_run(now, run, |state, ticket, key| {
                state.scheduler.cancel_run(ticket, key);
            });
        }
    }

    /// Removes a run from its target and counts its output as wasted if `wasted` is set.
    pub(super) fn stop_run(&mut self, now: Time, id: RunId, wasted: bool) {
        let run = self.runs[id];
        if run.finished {
            return;
        }
        self.runs[id].finished = true;
        let measured = is_measured(self.requests[run.request].arrives_at);
        let engine = &mut self.engines[run.target];
        engine.remove(id);
        if let Some(first) = run.first_token.filter(|_| wasted && measured) {
            self.tally.wasted_tokens += engine.tokens_between(first, now) + 1.0;
        }
        let router = self.requests[run.request].router;
        if let RouterPolicy::Baseline(baseline) = &mut self.routers[router].policy {
            baseline.run_ended(run.target);
        }
        self.start_queued_runs(now, run.target);
    }
}
