//! Request processing, from the checked request to the end of its answer.

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
use crate::router::run_locator::DispatchLocation;
use crate::router::scheduled_request::ScheduledRequest;
use crate::router::{
    ConfigInForce, MoneyManager, RouterIdentity, RunLocator, SchedulerDriver, SideIncarnations,
    UnsettledReservations,
};
use crate::rpc::RpcClient;
use crate::run_wire::{Dispatch, RunRequest};
use crate::shutdown::Shutdown;

/// Processes requests.
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
    scheduler: Arc<SchedulerDriver>,
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
    /// [`crate::kernel::KernelError`] if a required service is missing.
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
            scheduler: kernel.find()?,
            next_run: AtomicU64::new(0),
        })
    }

    /// Returns the identity of a request, derived from its key or generated here.
    pub fn run_id(&self, request: &CheckedRequest) -> String {
        match &request.idempotency_key {
            Some(key) => format!("k/{}/{key}", request.account),
            None => {
                let n = self.next_run.fetch_add(1, Ordering::Relaxed);
                format!("r/{}/{n}", self.router.incarnation)
            }
        }
    }

    /// Processes a request up to the end of its answer.
    pub fn process(&self, request: &CheckedRequest, run: &str, answer: &mut AnswerWriter) {
        match RequestExecution::new(self, request, run).run_to_answer(answer) {
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

    /// Completes the refusal of a request that this router did not attempt.
    ///
    /// The outcome of a request with a key is "not run" only if its homes know that it has no run.
    pub fn refusal_without_attempt(&self, request: &CheckedRequest, refusal: Refusal) -> Refusal {
        if request.idempotency_key.is_none() {
            return refusal;
        }
        let run = RunId::from_text(self.run_id(request));
        let document = self.config.document();
        if self
            .locator
            .is_known_not_run(&document, &run, request.idempotent)
        {
            return refusal;
        }
        refusal.with_unknown_outcome()
    }

    /// Submits a request to the scheduler.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the account or its targets are no longer in the configuration.
    pub(super) fn schedule(&self, request: &CheckedRequest) -> Result<ScheduledRequest, Refusal> {
        Ok(self.scheduler.offer(self.request_info(request)?))
    }

    /// Reserves the maximum cost of a request; returns none if the request is free.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the budget does not suffice.
    pub(super) fn reserve(&self, request: &CheckedRequest) -> Result<Option<Reservation>, Refusal> {
        let Some(budget) = &request.budget else {
            return Ok(None);
        };
        self.money
            .reserve(budget, request.max_cost, request.deadline)
            .map(Some)
    }

    /// Creates the message that tells a side process to run a request.
    pub(super) fn dispatch(
        &self,
        request: &CheckedRequest,
        run: &RunId,
        location: &DispatchLocation,
        reservation: Option<&Reservation>,
    ) -> Dispatch {
        Dispatch {
            run: run.to_string(),
            fingerprint: request.fingerprint.clone(),
            attempt: location.attempt.0,
            incarnation: location.place.incarnation.clone(),
            router: self.router.incarnation.clone(),
            account: request.account.clone(),
            payment: reservation.map(|r| r.payment().clone()),
            idempotent: request.idempotent,
            keyed: request.idempotency_key.is_some(),
            start_by: clock::wall_time_of(request.deadline),
            revision: self.config.revision(),
            request: request.run_request.clone(),
            from: 0,
        }
    }

    fn request_info(&self, request: &CheckedRequest) -> Result<RequestInfo, Refusal> {
        let gone = |what: &str| {
            Refusal::not_run(
                Reason::NoTarget,
                format!("{what} was removed from the configuration"),
            )
        };
        let account = self
            .scheduler
            .with_scheduler(|s, _| s.account_key(&request.account));
        let (model, service) = match &request.run_request {
            RunRequest::Chat(chat) => (Some(chat.model.as_str()), None),
            RunRequest::Call(call) => (None, service_name(&call.path)),
        };
        let resource = self.scheduler.required_resource(model, service);
        let (prefix, prompt_tokens, max_tokens) = match &request.run_request {
            RunRequest::Chat(chat) => {
                let prompt = request.max_cost.0.saturating_sub(chat.max_tokens.into());
                (prefix_hash(chat), prompt, chat.max_tokens)
            }
            RunRequest::Call(_) => (None, 0, 0),
        };
        Ok(RequestInfo {
            account: account.ok_or_else(|| gone("the account"))?,
            priority: priority(request),
            resource: resource.ok_or_else(|| gone("the target"))?,
            prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            max_tokens,
            first_token_by: self.scheduler.time_of(request.deadline),
            deadline: Time::MAX,
            idempotent: request.idempotent,
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

fn priority(request: &CheckedRequest) -> Priority {
    match request.priority {
        wisteriapass_config::Priority::Interactive => Priority::Interactive,
        wisteriapass_config::Priority::Standard => Priority::Standard,
        wisteriapass_config::Priority::Batch => Priority::Batch,
    }
}
