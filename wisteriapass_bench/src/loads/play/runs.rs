//! Runs of a play, from the router to a target and back.

use wisteriapass_policy::{Outcome, Time};

use super::event::Event;
use super::router::Decides;
use super::{HOP_S, PROGRESS_EVERY_S, Play, Run, counts};
use crate::loads::engine::{EngineRun, RunId};

impl Play {
    pub(super) fn send(&mut self, now: Time, request: usize, target: usize) {
        let run = self.runs.len();
        self.runs.push(Run {
            request,
            target,
            first_token: None,
            over: false,
        });
        self.callers[request].runs.push(run);
        self.at(now.plus_secs(HOP_S), Event::Reach { run });
    }

    pub(super) fn reach(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        let request = self.requests[run.request];
        let (router, priority) = (request.router, request.priority);
        self.engines[run.target].push(EngineRun {
            id,
            router,
            priority,
        });
        self.fill(now, run.target);
    }

    /// Begins runs while a target has free slots.
    pub(super) fn fill(&mut self, now: Time, target: usize) {
        while let Some(next) = self.engines[target].next() {
            let run = self.runs[next.id];
            let request = self.requests[run.request];
            if let Some(prefix) = request.prefix.filter(|_| counts(request.at)) {
                self.tally.held[0] += f64::from(self.engines[target].holds(prefix) as u8);
                self.tally.held[1] += 1.0;
            }
            let begun = self.engines[target].begin(now, &request);
            self.at(begun.first_token, Event::FirstToken { run: next.id });
            self.at(begun.end, Event::End { run: next.id });
        }
    }

    pub(super) fn first_token(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        self.runs[id].first_token = Some(now);
        let request = self.requests[run.request];
        if let Some(prefix) = request.prefix {
            self.cached(now, run.target, prefix);
        }
        if !self.callers[run.request].answering {
            self.callers[run.request].answering = true;
            self.tally
                .first_token(&request, now.secs_since(request.at) + HOP_S);
            self.stop_others(now, run.request, id);
        }
        self.at(now.plus_secs(PROGRESS_EVERY_S), Event::Progress { run: id });
        self.tell_of(now, run, |ours, ticket, key| {
            ours.scheduler.first_token(now, ticket, key);
        });
    }

    pub(super) fn progress(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        let Some(first) = run.first_token.filter(|_| !run.over) else {
            return;
        };
        let tokens = self.engines[run.target].tokens_between(first, now) as u32 + 1;
        let before = now.plus_secs(-PROGRESS_EVERY_S);
        let news = self.engines[run.target].tokens_between(before, now) >= 1.0;
        self.at(now.plus_secs(PROGRESS_EVERY_S), Event::Progress { run: id });
        if news {
            self.tell_of(now, run, |ours, ticket, key| {
                ours.scheduler.record_progress(now, ticket, key, tokens);
            });
        }
    }

    pub(super) fn end(&mut self, now: Time, id: RunId) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        self.stop(now, id, false);
        let request = self.requests[run.request];
        self.callers[run.request].over = true;
        if counts(request.at) {
            self.tally.answered(&request);
        }
        if counts(now) {
            self.tally.done(&request);
        }
        if request.attempt > 0 {
            self.tally.returned_well += 1;
        }
        let outcome = Outcome {
            output_tokens: request.output,
        };
        self.tell_of(now, run, |ours, ticket, key| {
            ours.scheduler.run_finished(now, ticket, key, outcome);
            ours.requests.remove(&ticket);
        });
    }

    /// Has a caller leave at its deadline, with all that runs for it.
    pub(super) fn deadline(&mut self, now: Time, place: usize) {
        if self.callers[place].over {
            return;
        }
        self.callers[place].over = true;
        if counts(self.requests[place].at) {
            self.tally.cut += 1;
        }
        for id in self.callers[place].runs.clone() {
            self.stop(now, id, true);
        }
        let router = self.requests[place].router;
        if let Some(ticket) = self.callers[place].ticket {
            self.tell(now, router, |ours| {
                ours.scheduler.cancel(now, ticket);
                ours.requests.remove(&ticket);
            });
        }
    }

    /// Cancels a request's other copies once one answers.
    pub(super) fn stop_others(&mut self, now: Time, place: usize, keep: RunId) {
        for id in self.callers[place].runs.clone() {
            let run = self.runs[id];
            if id == keep || run.over {
                continue;
            }
            self.stop(now, id, true);
            self.tell_of(now, run, |ours, ticket, key| {
                ours.scheduler.cancel_run(ticket, key);
            });
        }
    }

    /// Ends a run at its target; what it generated may be wasted.
    pub(super) fn stop(&mut self, now: Time, id: RunId, wasted: bool) {
        let run = self.runs[id];
        if run.over {
            return;
        }
        self.runs[id].over = true;
        let counted = counts(self.requests[run.request].at);
        let engine = &mut self.engines[run.target];
        engine.remove(id);
        if let Some(first) = run.first_token.filter(|_| wasted && counted) {
            self.tally.wasted += engine.tokens_between(first, now) + 1.0;
        }
        let router = self.requests[run.request].router;
        if let Decides::Baseline(b) = &mut self.routers[router].decides {
            b.ended(run.target);
        }
        self.fill(now, run.target);
    }
}
