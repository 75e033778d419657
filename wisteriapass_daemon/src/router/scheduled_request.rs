//! One request's turn at the scheduler: where it runs, and what becomes of it there.

use flume::RecvTimeoutError;
use wisteriapass_policy::{
    Decision, FailureKind, Outcome, Refusal as PolicyRefusal, TargetKey, Ticket, Time,
};

use crate::prelude::*;
use crate::router::scheduler_driver::{DecisionReceiver, SchedulerDriver};
use crate::shutdown::Shutdown;

/// Time between two looks at the stop flag while waiting, in milliseconds.
const LOOK_MS: u64 = 50;

/// Where a request may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the target.
    pub target: String,
}

/// A request's turn; dropped before its end, it is cancelled.
pub struct ScheduledRequest {
    scheduling: Arc<SchedulerDriver>,
    ticket: Ticket,
    next: Option<Decision>,
    decisions: DecisionReceiver,
    running: Option<TargetKey>,
    over: bool,
}

impl ScheduledRequest {
    pub(super) fn new(
        scheduling: Arc<SchedulerDriver>,
        ticket: Ticket,
        first: Decision,
        decisions: DecisionReceiver,
    ) -> Self {
        Self {
            scheduling,
            ticket,
            next: Some(first),
            decisions,
            running: None,
            over: false,
        }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as soon as the scheduler gives it up, or the router stops.
    pub fn wait(&mut self, stop: &Shutdown) -> Result<Assignment, Refusal> {
        loop {
            match self.decision(stop)? {
                Decision::Run { target } => return self.place(target),
                Decision::Wait { .. } => {}
                Decision::Refuse {
                    reason,
                    retry_at: come_back,
                } => {
                    self.over = true;
                    return Err(self.refusal(reason, come_back));
                }
                Decision::Hedge { target } => {
                    self.scheduling
                        .with_scheduler(|s, _| s.cancel_run(self.ticket, target));
                }
            }
        }
    }

    /// Tells that the first token came.
    pub fn record_first_token(&mut self) {
        if let Some(target) = self.running {
            self.scheduling
                .with_scheduler(|s, now| s.first_token(now, self.ticket, target));
        }
    }

    /// Tells how many tokens came so far.
    pub fn record_progress(&mut self, tokens: u32) {
        if let Some(target) = self.running {
            self.scheduling
                .with_scheduler(|s, now| s.record_progress(now, self.ticket, target, tokens));
        }
    }

    /// Tells that the answer is whole.
    pub fn record_finish(&mut self, output_tokens: u32) {
        let Some(target) = self.running.take() else {
            return;
        };
        self.over = true;
        let outcome = Outcome { output_tokens };
        self.scheduling
            .with_scheduler(|s, now| s.run_finished(now, self.ticket, target, outcome));
    }

    /// Tells that the run failed; [`Turn::wait`] then tells what becomes of the request.
    ///
    /// Returns whether the scheduler gave the request up because a part of its answer came.
    pub fn record_failure(&mut self, kind: FailureKind) -> bool {
        let Some(target) = self.running.take() else {
            return false;
        };
        let next = self
            .scheduling
            .with_scheduler(|s, now| s.run_failed(now, self.ticket, target, kind));
        self.next = Some(next);
        let given_up = PolicyRefusal::NotRetryable;
        matches!(next, Decision::Refuse { reason, .. } if reason == given_up)
    }

    fn decision(&mut self, stop: &Shutdown) -> Result<Decision, Refusal> {
        if let Some(decision) = self.next.take() {
            return Ok(decision);
        }
        loop {
            match self.decisions.recv_timeout(Duration::from_millis(LOOK_MS)) {
                Ok(decision) => return Ok(decision),
                Err(RecvTimeoutError::Timeout) if stop.is_requested() => {
                    return Err(Refusal::not_run(
                        Reason::Stopping,
                        "this router is stopping",
                    ));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(Refusal::not_run(
                        Reason::Overloaded,
                        "the request lost its turn",
                    ));
                }
            }
        }
    }

    fn place(&mut self, key: TargetKey) -> Result<Assignment, Refusal> {
        self.running = Some(key);
        let name = self.scheduling.with_scheduler(|s, now| {
            s.run_started(now, self.ticket, key);
            s.target_name(key).map(str::to_owned)
        });
        match name {
            Some(target) => Ok(Assignment { target }),
            None => Err(Refusal::not_run(Reason::NoTarget, "the target left")),
        }
    }

    fn refusal(&self, reason: PolicyRefusal, come_back: Time) -> Refusal {
        let ms = self.scheduling.millis_until(come_back).max(1);
        Refusal::not_run(reason_of(reason), message_of(reason)).with_retry_after_ms(ms)
    }
}

impl Drop for ScheduledRequest {
    fn drop(&mut self) {
        self.scheduling.remove_waiter(self.ticket);
        if !self.over {
            self.scheduling
                .with_scheduler(|s, now| s.cancel(now, self.ticket));
        }
    }
}

fn reason_of(refusal: PolicyRefusal) -> Reason {
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

fn message_of(refusal: PolicyRefusal) -> &'static str {
    match refusal {
        PolicyRefusal::UnknownAccount => "the account is not in the rules any more",
        PolicyRefusal::NoTarget => "no target that takes new work holds it",
        PolicyRefusal::TargetsUnhealthy => "every target that holds it is avoided for now",
        PolicyRefusal::DeadlineTooShort => "even an idle target could not begin by the deadline",
        PolicyRefusal::PoolBusy => "the targets cannot do it by the deadline",
        PolicyRefusal::OverFairShare => "the account has queued what its fair share can do",
        PolicyRefusal::Shed => "given up for more urgent work",
        PolicyRefusal::WaitedTooLong => "its turn did not come by the deadline",
        PolicyRefusal::NotRetryable => "the run failed and may not be repeated",
        PolicyRefusal::RetryBudgetSpent => "the run failed and too many runs are being repeated",
    }
}
