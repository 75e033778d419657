//! Reports of the router about its runs.

use smallvec::SmallVec;

use super::Scheduler;
use crate::health::Health;
use crate::job::Run;
use crate::{Decision, FailureKind, Outcome, Priority, Refusal, TargetKey, Ticket, Time};

/// Minimum duration of a speed sample, in seconds.
const SPEED_SPAN_S: f64 = 0.25;
/// Weight of one sample in the average speed of a target.
const SPEED_STEP: f64 = 0.2;
/// Weight of one sample for a target in re-entry, which yields few samples.
const REENTRY_SPEED_STEP: f64 = 0.6;

impl Scheduler {
    /// Records that a target started a run.
    pub fn run_started(&mut self, now: Time, _ticket: Ticket, target: TargetKey) {
        self.record_activity(now, target);
    }

    /// Records the first token of a run.
    pub fn first_token(&mut self, now: Time, ticket: Ticket, target: TargetKey) {
        self.record_activity(now, target);
        let Some(run) = self.jobs.get_mut(ticket).and_then(|j| j.run_at(target)) else {
            return;
        };
        if run.first_token_at.replace(now).is_some() {
            return;
        }
        run.sampled_at = now;
        run.sampled_tokens = 1;
        if let Some(target) = self.targets.get_mut(target) {
            target.load.own_responding += 1;
        }
    }

    /// Records the number of tokens that a run has produced so far.
    pub fn record_progress(&mut self, now: Time, ticket: Ticket, target: TargetKey, tokens: u32) {
        self.record_activity(now, target);
        let Some(run) = self.jobs.get_mut(ticket).and_then(|j| j.run_at(target)) else {
            return;
        };
        let secs = now.secs_since(run.sampled_at);
        if run.first_token_at.is_none() || secs < SPEED_SPAN_S {
            return;
        }
        let rate = f64::from(tokens.saturating_sub(run.sampled_tokens)) / secs;
        run.sampled_at = now;
        run.sampled_tokens = tokens;
        self.learn_speed(now, ticket, target, rate);
    }

    /// Records that a run finished. The ticket becomes invalid, and other copies have to be
    /// cancelled.
    pub fn run_finished(&mut self, now: Time, ticket: Ticket, target: TargetKey, outcome: Outcome) {
        self.record_activity(now, target);
        self.measure_end(now, ticket, target, outcome);
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        let prompt = job.work - job.expected_output;
        let used = f64::from(outcome.output_tokens);
        let pool = &mut self.pools[job.pool];
        pool.record_completed(now, used + prompt);
        pool.learn_length(
            job.request.priority,
            used,
            f64::from(job.request.max_tokens),
            &self.cfg,
        );
        pool.queue
            .charge(job.request.account, used - job.expected_output);
        for run in &job.runs {
            self.release(*run, job.request.priority);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.health.record_success(&self.cfg);
        }
    }

    /// Records that a run failed, and decides what happens to the request.
    ///
    /// [`Decision::Wait`] means that another copy continues or that the request is queued again;
    /// [`Decision::Run`] means a retry at that target. A request that may have run is retried only
    /// if it is idempotent, and never after the caller received a part of the answer.
    pub fn run_failed(
        &mut self,
        now: Time,
        ticket: Ticket,
        target: TargetKey,
        kind: FailureKind,
    ) -> Decision {
        if let Some(t) = self.targets.get_mut(target) {
            match kind {
                FailureKind::Silent => t.health.avoid(now, &self.cfg),
                _ => t.health.record_failure(now, &self.cfg),
            }
        }
        let had_first_token = self.jobs.get(ticket).is_some_and(|j| j.has_first_token());
        self.cancel_run(ticket, target);
        let Some(job) = self.jobs.get(ticket) else {
            return refuse(now, Refusal::NotRetryable, self.cfg.come_back_min_s);
        };
        if !job.runs.is_empty() {
            return Decision::Wait {
                until: job.request.deadline.max(now),
            };
        }
        if had_first_token || (kind.may_have_run() && !job.request.idempotent) {
            self.jobs.remove(ticket);
            return refuse(now, Refusal::NotRetryable, self.cfg.come_back_min_s);
        }
        self.retry(now, ticket)
    }

    /// Records that a target's side process restarted, which resets its health. If failures of the
    /// previous process counted against it, a pool of two would have no target while the other one
    /// stops.
    pub fn target_restarted(&mut self, now: Time, target: TargetKey) {
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        let mut health = Health::new(&self.cfg);
        health.speed = target.health.speed;
        health.last_activity = now;
        target.health = health;
    }

    /// Records that one copy of a request was cancelled; other copies continue.
    pub fn cancel_run(&mut self, ticket: Ticket, target: TargetKey) {
        let Some(job) = self.jobs.get_mut(ticket) else {
            return;
        };
        let Some(index) = job.runs.iter().position(|r| r.target == target) else {
            return;
        };
        let run = job.runs.remove(index);
        let priority = job.request.priority;
        self.release(run, priority);
    }

    /// Records that a request ended without an answer: its caller disconnected or its time is up.
    pub fn cancel(&mut self, _now: Time, ticket: Ticket) {
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        if let Some(queued) = job.queued {
            self.pools[job.pool].queue.remove(&queued);
        }
        self.pending_decisions.retain(|d| d.ticket != ticket);
        for run in &job.runs {
            self.release(*run, job.request.priority);
        }
    }

    /// Queues a failed job again, at the front of its account's queue, if the retry budget allows.
    fn retry(&mut self, now: Time, ticket: Ticket) -> Decision {
        let start_by = self.jobs[ticket].start_by;
        let in_budget = !self.cfg.parts.try_budget || self.retry_budget.try_spend();
        let weight = self.account_weight(&self.jobs[ticket].request);
        if let (true, true, Some(weight)) = (in_budget, start_by >= now, weight) {
            let Some(job) = self.jobs.get(ticket) else {
                return refuse(now, Refusal::NotRetryable, self.cfg.come_back_min_s);
            };
            let pool = job.pool;
            self.enqueue(ticket, weight, true);
            self.dispatch(now, pool);
            return self.take_decision(ticket);
        }
        self.jobs.remove(ticket);
        let reason = if in_budget {
            Refusal::WaitedTooLong
        } else {
            Refusal::RetryBudgetSpent
        };
        refuse(now, reason, self.cfg.come_back_min_s)
    }

    /// Records activity of a target.
    fn record_activity(&mut self, now: Time, target: TargetKey) {
        if let Some(target) = self.targets.get_mut(target) {
            target.health.last_activity = target.health.last_activity.max(now);
        }
    }

    /// Updates a target's speed at the end of a run.
    fn measure_end(&mut self, now: Time, ticket: Ticket, target: TargetKey, outcome: Outcome) {
        let Some(run) = self.jobs.get_mut(ticket).and_then(|j| j.run_at(target)) else {
            return;
        };
        let (sampled_at, sampled_tokens) = (run.sampled_at, run.sampled_tokens);
        let secs = now.secs_since(sampled_at);
        if run.first_token_at.is_some() && secs >= SPEED_SPAN_S {
            let tokens = outcome.output_tokens.saturating_sub(sampled_tokens);
            self.learn_speed(now, ticket, target, f64::from(tokens) / secs);
        }
    }

    /// Updates a target's speed with a rate in tokens per second, and avoids the target if it is
    /// slow.
    fn learn_speed(&mut self, now: Time, ticket: Ticket, key: TargetKey, rate: f64) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let step = if target.health.is_suspect() {
            REENTRY_SPEED_STEP
        } else {
            SPEED_STEP
        };
        let speed = rate / target.nominal_slot_rate();
        target.health.learn_speed(speed, step);
        let learned = target.health.speed;
        if !self.cfg.parts.health || learned >= self.median_speed(ticket) * self.cfg.slow_below {
            return;
        }
        self.targets[key].health.avoid(now, &self.cfg);
    }

    /// Returns the median speed of the targets in a job's pool.
    fn median_speed(&self, ticket: Ticket) -> f64 {
        let Some(pool) = self.jobs.get(ticket).map(|j| &self.pools[j.pool]) else {
            return 0.0;
        };
        let members = pool.members.iter().filter_map(|&k| self.targets.get(k));
        let mut speeds: SmallVec<[f64; 32]> = members.map(|t| t.health.speed).collect();
        if speeds.is_empty() {
            return 0.0;
        }
        let middle = speeds.len() / 2;
        *speeds.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Releases the resources of a run.
    fn release(&mut self, run: Run, priority: Priority) {
        self.change_count += 1;
        if let Some(target) = self.targets.get_mut(run.target) {
            target.load.own_requests = target.load.own_requests.saturating_sub(1);
            let responding = u32::from(run.first_token_at.is_some());
            target.load.own_responding = target.load.own_responding.saturating_sub(responding);
            let non_interactive = u32::from(priority != Priority::Interactive);
            target.load.own_non_interactive = target
                .load
                .own_non_interactive
                .saturating_sub(non_interactive);
        }
    }
}

/// Returns the refusal of a request whose run failed.
fn refuse(now: Time, reason: Refusal, after_s: f64) -> Decision {
    let retry_at = now.plus_secs(after_s);
    Decision::Refuse { reason, retry_at }
}
