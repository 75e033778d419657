//! The parts that carry requests to their final answers.

use std::sync::atomic::{AtomicU64, Ordering};

use wisteriapass_coord::budget::Reservation;
use wisteriapass_coord::once::RunId;
use wisteriapass_policy::{Priority, RequestInfo, Time};

use crate::clock;
use crate::prelude::*;
use crate::router::answer::AnswerWriter;
use crate::router::checked_request::CheckedRequest;
use crate::router::execution::RequestExecution;
use crate::router::resources::{estimated_prefix_tokens, prefix_hash, service_name};
use crate::router::run_locator::RunLocation;
use crate::router::scheduled_request::ScheduledRequest;
use crate::router::{
    ConfigInForce, MoneyManager, RouterIdentity, RunLocator, SchedulerDriver, SideIncarnations,
    UnsettledReservations,
};
use crate::rpc::RpcClient;
use crate::run_wire::{Dispatch, RunRequest};
use crate::shutdown::Shutdown;

/// Carries requests through.
pub struct Pipeline {
    pub(super) config: Arc<ConfigInForce>,
    pub(super) money: Arc<MoneyManager>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) shutdown: Arc<Shutdown>,
    pub(super) rpc: Arc<RpcClient>,
    pub(super) unsettled: Arc<UnsettledReservations>,
    pub(super) locator: Arc<RunLocator>,
    pub(super) incarnations: Arc<SideIncarnations>,
    router: Arc<RouterIdentity>,
    scheduling: Arc<SchedulerDriver>,
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
            config: kernel.find()?,
            money: kernel.find()?,
            metrics: kernel.find()?,
            shutdown: kernel.find()?,
            rpc: kernel.find()?,
            unsettled: kernel.find()?,
            locator: kernel.find()?,
            incarnations: kernel.find()?,
            router: kernel.find()?,
            scheduling: kernel.find()?,
            next_run: AtomicU64::new(0),
        })
    }

    /// Returns the identity of a request: from its key, or made here.
    pub fn run_id(&self, asked: &CheckedRequest) -> String {
        match &asked.idempotency_key {
            Some(key) => format!("k/{}/{key}", asked.account),
            None => {
                let n = self.next_run.fetch_add(1, Ordering::Relaxed);
                format!("r/{}/{n}", self.router.incarnation)
            }
        }
    }

    /// Carries a request through to its final answer.
    pub fn process(&self, asked: &CheckedRequest, run: &str, answer: &mut AnswerWriter) {
        match RequestExecution::new(self, asked, run).run_to_answer(answer) {
            Ok(()) => self.metrics.count_answer(),
            Err(refusal) => {
                log::info!(
                    target: "router",
                    "Refused. run={run} reason={} ran={}",
                    refusal.reason,
                    refusal.ran
                );
                self.metrics.count_refusal(refusal.reason);
                answer.refuse(&refusal);
            }
        }
    }

    /// Refuses a request that this router does not try: "not run" is said of a keyed one only if
    /// its homes know of no run.
    pub fn refusal_without_attempt(&self, asked: &CheckedRequest, refusal: Refusal) -> Refusal {
        if asked.idempotency_key.is_none() {
            return refusal;
        }
        let run = RunId::from_text(self.run_id(asked));
        let document = self.config.document();
        if self
            .locator
            .is_known_not_run(&document, &run, asked.idempotent)
        {
            return refusal;
        }
        refusal.with_unknown_outcome()
    }

    /// Asks the scheduler for a turn.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if account or target have gone from the configuration.
    pub(super) fn schedule(&self, asked: &CheckedRequest) -> Result<ScheduledRequest, Refusal> {
        Ok(self.scheduling.offer(self.facts(asked)?))
    }

    /// Reserves the worst case of a request; nothing for one that costs nothing.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if there is not enough.
    pub(super) fn reserve(&self, asked: &CheckedRequest) -> Result<Option<Reservation>, Refusal> {
        let Some(budget) = &asked.budget else {
            return Ok(None);
        };
        self.money
            .reserve(budget, asked.max_cost, asked.deadline)
            .map(Some)
    }

    /// Makes the order to run a request.
    pub(super) fn dispatch(
        &self,
        asked: &CheckedRequest,
        run: &RunId,
        located: &RunLocation,
        reservation: Option<&Reservation>,
    ) -> Dispatch {
        Dispatch {
            run: run.to_string(),
            fingerprint: asked.fingerprint.clone(),
            attempt: located.attempt.0,
            incarnation: located.place.incarnation.clone(),
            router: self.router.incarnation.clone(),
            account: asked.account.clone(),
            payment: reservation.map(|r| r.payment().clone()),
            idempotent: asked.idempotent,
            keyed: asked.idempotency_key.is_some(),
            start_by: clock::wall_time_of(asked.deadline),
            revision: self.config.revision(),
            request: asked.run_request.clone(),
            from: 0,
        }
    }

    fn facts(&self, asked: &CheckedRequest) -> Result<RequestInfo, Refusal> {
        let gone = |what: &str| Refusal::not_run(Reason::NoTarget, format!("{what} has gone"));
        let account = self
            .scheduling
            .with_scheduler(|s, _| s.account_key(&asked.account));
        let (model, service) = match &asked.run_request {
            RunRequest::Chat(chat) => (Some(chat.model.as_str()), None),
            RunRequest::Call(call) => (None, service_name(&call.path)),
        };
        let wants = self.scheduling.required_resource(model, service);
        let (prefix, prompt_tokens, max_tokens) = match &asked.run_request {
            RunRequest::Chat(chat) => {
                let prompt = asked.max_cost.0.saturating_sub(chat.max_tokens.into());
                (prefix_hash(chat), prompt, chat.max_tokens)
            }
            RunRequest::Call(_) => (None, 0, 0),
        };
        Ok(RequestInfo {
            account: account.ok_or_else(|| gone("the account"))?,
            priority: priority(asked),
            resource: wants.ok_or_else(|| gone("the target"))?,
            prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            max_tokens,
            first_token_by: self.scheduling.time_of(asked.deadline),
            deadline: Time::MAX,
            idempotent: asked.idempotent,
            prefix,
            prefix_tokens: if prefix.is_some() {
                estimated_prefix_tokens()
            } else {
                0
            },
            attempt: 0,
        })
    }
}

fn priority(asked: &CheckedRequest) -> Priority {
    match asked.priority {
        wisteriapass_config::Priority::Interactive => Priority::Interactive,
        wisteriapass_config::Priority::Standard => Priority::Standard,
        wisteriapass_config::Priority::Batch => Priority::Batch,
    }
}
