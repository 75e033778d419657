//! Handle of one request at the scheduler: where it may run, and reports about its run.

use flume::RecvTimeoutError;
use wisteriapass_policy::{
    Decision, FailureKind, Outcome, Refusal as PolicyRefusal, TargetKey, Ticket, Time,
};

use crate::prelude::*;
use crate::router::scheduler_driver::{DecisionReceiver, SchedulerDriver};
use crate::shutdown::Shutdown;

/// Interval between two checks of the shutdown flag while waiting, in milliseconds.
const SHUTDOWN_POLL_MS: u64 = 50;

/// Target assigned to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the target.
    pub target: String,
}

/// A request that was submitted to the scheduler; dropping it before its end cancels it.
pub struct ScheduledRequest {
    scheduler: Arc<SchedulerDriver>,
    ticket: Ticket,
    pending: Option<Decision>,
    decisions: DecisionReceiver,
    run_target: Option<TargetKey>,
    is_done: bool,
}

impl ScheduledRequest {
    pub(super) fn new(
        scheduler: Arc<SchedulerDriver>,
        ticket: Ticket,
        first: Decision,
        decisions: DecisionReceiver,
    ) -> Self {
        Self {
            scheduler,
            ticket,
            pending: Some(first),
            decisions,
            run_target: None,
            is_done: false,
        }
    }

    /// Waits until the scheduler assigns a target.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the scheduler refuses the request or the router is stopping.
    pub fn wait(&mut self, shutdown: &Shutdown) -> Result<Assignment, Refusal> {
        loop {
            match self.decision(shutdown)? {
                Decision::Run { target } => return self.start_run(target),
                Decision::Wait { .. } => {}
                Decision::Refuse { reason, retry_at } => {
                    self.is_done = true;
                    return Err(self.refusal(reason, retry_at));
                }
                Decision::Hedge { target } => {
                    self.scheduler
                        .with_scheduler(|s, _| s.cancel_run(self.ticket, target));
                }
            }
        }
    }

    /// Records the first token of the answer.
    pub fn record_first_token(&mut self) {
        if let Some(target) = self.run_target {
            self.scheduler
                .with_scheduler(|s, now| s.first_token(now, self.ticket, target));
        }
    }

    /// Records the number of tokens received so far.
    pub fn record_progress(&mut self, tokens: u32) {
        if let Some(target) = self.run_target {
            self.scheduler
                .with_scheduler(|s, now| s.record_progress(now, self.ticket, target, tokens));
        }
    }

    /// Records that the answer is complete.
    pub fn record_finish(&mut self, output_tokens: u32) {
        let Some(target) = self.run_target.take() else {
            return;
        };
        self.is_done = true;
        let outcome = Outcome { output_tokens };
        self.scheduler
            .with_scheduler(|s, now| s.run_finished(now, self.ticket, target, outcome));
    }

    /// Records that the run failed; the scheduler's decision is then returned by
    /// [`ScheduledRequest::wait`].
    ///
    /// Returns whether the scheduler gave the request up because part of its answer has arrived.
    pub fn record_failure(&mut self, kind: FailureKind) -> bool {
        let Some(target) = self.run_target.take() else {
            return false;
        };
        let decision = self
            .scheduler
            .with_scheduler(|s, now| s.run_failed(now, self.ticket, target, kind));
        self.pending = Some(decision);
        let given_up = PolicyRefusal::NotRetryable;
        matches!(decision, Decision::Refuse { reason, .. } if reason == given_up)
    }

    fn decision(&mut self, shutdown: &Shutdown) -> Result<Decision, Refusal> {
        if let Some(decision) = self.pending.take() {
            return Ok(decision);
        }
        loop {
            match self
                .decisions
                .recv_timeout(Duration::from_millis(SHUTDOWN_POLL_MS))
            {
                Ok(decision) => return Ok(decision),
                Err(RecvTimeoutError::Timeout) if shutdown.is_requested() => {
                    return Err(Refusal::not_run(
                        Reason::Stopping,
                        "this router is stopping",
                    ));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(Refusal::not_run(
                        Reason::Overloaded,
                        "the scheduler no longer knows the request",
                    ));
                }
            }
        }
    }

    fn start_run(&mut self, key: TargetKey) -> Result<Assignment, Refusal> {
        self.run_target = Some(key);
        let name = self.scheduler.with_scheduler(|s, now| {
            s.run_started(now, self.ticket, key);
            s.target_name(key).map(str::to_owned)
        });
        match name {
            Some(target) => Ok(Assignment { target }),
            None => Err(Refusal::not_run(
                Reason::NoTarget,
                "the target was removed from the configuration",
            )),
        }
    }

    fn refusal(&self, reason: PolicyRefusal, retry_at: Time) -> Refusal {
        let ms = self.scheduler.millis_until(retry_at).max(1);
        Refusal::not_run(to_reason(reason), to_message(reason)).with_retry_after_ms(ms)
    }
}

impl Drop for ScheduledRequest {
    fn drop(&mut self) {
        self.scheduler.remove_waiter(self.ticket);
        if !self.is_done {
            self.scheduler
                .with_scheduler(|s, now| s.cancel(now, self.ticket));
        }
    }
}

fn to_reason(refusal: PolicyRefusal) -> Reason {
    match refusal {
        PolicyRefusal::UnknownAccount => Reason::Unauthorized,
        PolicyRefusal::NoTarget | PolicyRefusal::TargetsUnhealthy => Reason::NoTarget,
        PolicyRefusal::DeadlineTooShort | PolicyRefusal::WaitedTooLong => Reason::Deadline,
        PolicyRefusal::PoolBusy => Reason::Overloaded,
        PolicyRefusal::OverFairShare => Reason::OverFairShare,
        PolicyRefusal::Shed => Reason::Shed,
        PolicyRefusal::NotRetryable | PolicyRefusal::RetryBudgetSpent => Reason::TargetFailed,
    }
}

fn to_message(refusal: PolicyRefusal) -> &'static str {
    match refusal {
        PolicyRefusal::UnknownAccount => "the account was removed from the rules",
        PolicyRefusal::NoTarget => "no target that accepts new work offers the model or service",
        PolicyRefusal::TargetsUnhealthy => {
            "every target that offers the model or service is unhealthy"
        }
        PolicyRefusal::DeadlineTooShort => {
            "even an idle target could not start the answer by the deadline"
        }
        PolicyRefusal::PoolBusy => "the targets are too busy to start the answer by the deadline",
        PolicyRefusal::OverFairShare => {
            "the account has already queued as much work as its fair share allows"
        }
        PolicyRefusal::Shed => "dropped in favor of more urgent work",
        PolicyRefusal::WaitedTooLong => "the request was not assigned to a target by the deadline",
        PolicyRefusal::NotRetryable => "the run failed and must not be repeated",
        PolicyRefusal::RetryBudgetSpent => "the run failed and the retry budget is spent",
    }
}
