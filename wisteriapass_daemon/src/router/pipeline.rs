//! From a checked request to its final answer: money, place, attempts, settlement.

use std::sync::atomic::{AtomicU64, Ordering};

use smallvec::SmallVec;

use crate::metrics::Retry;
use crate::prelude::*;
use crate::router::answer::Answer;
use crate::router::asked::Asked;
use crate::router::attempt::{Ended, carry_out};
use crate::router::placement::Place;
use crate::router::{InForce, Money, Placement, RouterIdentity};
use crate::run_wire::{Dispatch, Payment};

/// Attempts of one request at most.
const MOST_ATTEMPTS: u32 = 3;

/// Carries requests through.
pub struct Pipeline {
    router: Arc<RouterIdentity>,
    config: Arc<InForce>,
    money: Arc<Money>,
    placement: Arc<Placement>,
    metrics: Arc<Metrics>,
    next_run: AtomicU64,
}

impl Service for Pipeline {
    const NAME: &'static str = "pipeline";
}

impl Pipeline {
    /// Creates the pipeline.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            router: kernel.find()?,
            config: kernel.find()?,
            money: kernel.find()?,
            placement: kernel.find()?,
            metrics: kernel.find()?,
            next_run: AtomicU64::new(0),
        })
    }

    /// Returns the identity of a request: from its key, or made here.
    pub fn run_id(&self, asked: &Asked) -> String {
        match &asked.key {
            Some(key) => format!("k/{}/{key}", asked.account),
            None => {
                let n = self.next_run.fetch_add(1, Ordering::Relaxed);
                format!("r/{}/{n}", self.router.incarnation)
            }
        }
    }

    /// Carries a request through to its final answer.
    pub fn carry(&self, asked: &Asked, run: &str, answer: &mut Answer) {
        let result = self.attempts(asked, run, answer);
        match result {
            Ok(()) => self.metrics.answer(),
            Err(refusal) => {
                self.metrics.refusal(refusal.reason);
                answer.refuse(&refusal);
            }
        }
    }

    fn attempts(&self, asked: &Asked, run: &str, answer: &mut Answer) -> Result<(), Refusal> {
        let mut avoid: SmallVec<[String; 4]> = SmallVec::new();
        let mut last = Refusal::not_run(Reason::NoTarget, "no target can be reached");
        for attempt in 1..=MOST_ATTEMPTS {
            if Instant::now() >= asked.deadline {
                return Err(Refusal::not_run(Reason::Deadline, "the deadline passed"));
            }
            let document = self.config.document();
            let place = self.placement.choose(&document, &asked.request, &avoid);
            let Some(place) = place else {
                return Err(last);
            };
            let payment = self.reserve(asked)?;
            let dispatch = self.dispatch(asked, run, attempt, &payment);
            let ended = carry_out(&place, &dispatch, answer, &self.metrics);
            match self.settle(&payment, ended, asked, answer, &place)? {
                None => return Ok(()),
                Some(refusal) => last = refusal,
            }
            avoid.push(place.target.name.clone());
        }
        Err(last)
    }

    /// Settles an attempt: `None` if the request is done, else why another may be made.
    fn settle(
        &self,
        payment: &Payment,
        ended: Ended,
        asked: &Asked,
        answer: &mut Answer,
        place: &Place,
    ) -> Result<Option<Refusal>, Refusal> {
        match ended {
            Ended::Answered(bill) => {
                self.money.settle(payment, &bill);
                Ok(None)
            }
            Ended::CallerGone => {
                self.money.keep_aside(payment);
                Ok(None)
            }
            Ended::NotRun(refusal, reason) => {
                self.money.release(payment);
                self.retry(reason, place);
                Ok(Some(refusal))
            }
            Ended::Failed(bill) => {
                self.money.settle(payment, &bill);
                self.failed(asked, answer, place)
            }
            Ended::Unknown(refusal) => {
                self.money.keep_aside(payment);
                if !asked.idempotent || answer.has_begun() {
                    return Err(refusal);
                }
                answer.reset();
                self.retry(Retry::Broken, place);
                Ok(Some(refusal))
            }
        }
    }

    fn failed(
        &self,
        asked: &Asked,
        answer: &mut Answer,
        place: &Place,
    ) -> Result<Option<Refusal>, Refusal> {
        let refusal = Refusal {
            reason: Reason::TargetFailed,
            ..Refusal::outcome_unknown("the target failed before the answer was whole")
        };
        if !asked.idempotent || answer.has_begun() {
            return Err(refusal);
        }
        answer.reset();
        self.retry(Retry::TargetFailed, place);
        Ok(Some(refusal))
    }

    fn retry(&self, reason: Retry, place: &Place) {
        log::info!(target: "router", "Trying again. reason={reason} target={}", place.target.name);
        self.metrics.retry(reason);
    }

    fn reserve(&self, asked: &Asked) -> Result<Payment, Refusal> {
        match &asked.budget {
            Some(budget) => self.money.reserve(budget, asked.worst),
            None => Ok(Payment {
                budget: String::new(),
                parts: Vec::new(),
            }),
        }
    }

    fn dispatch(&self, asked: &Asked, run: &str, attempt: u32, payment: &Payment) -> Dispatch {
        let left: Duration = asked.deadline.saturating_duration_since(Instant::now());
        Dispatch {
            run: run.into(),
            fingerprint: asked.fingerprint.clone(),
            attempt,
            incarnation: String::new(),
            router: self.router.incarnation.clone(),
            account: asked.account.clone(),
            payment: payment.clone(),
            idempotent: asked.idempotent,
            start_within_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            revision: self.config.revision(),
            request: asked.request.clone(),
            from: 0,
        }
    }
}
