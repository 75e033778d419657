//! A router of a simulation.

use std::collections::HashMap;

use slotmap::SecondaryMap;
use wisteriapass_policy::{
    AccountKey, PolicyConfig, RequestInfo, RequiredResource, Scheduler, TargetKey, Ticket, Time,
};

use crate::loads::Policy;
use crate::loads::arrivals::{self, Request};
use crate::loads::balancer::{self, Baseline, MODEL};
use crate::loads::pattern::TARGETS;

/// State of one router.
pub(super) struct Router {
    pub(super) policy: RouterPolicy,
    pub(super) wake_at: Time,
}

/// The policy that a router uses.
pub(super) enum RouterPolicy {
    Scheduler(Box<SchedulerState>),
    Baseline(Box<Baseline>),
}

/// Our scheduler and the mapping between its keys and the indices of the simulation.
pub(super) struct SchedulerState {
    pub(super) scheduler: Scheduler,
    pub(super) targets: Vec<TargetKey>,
    pub(super) target_indices: SecondaryMap<TargetKey, usize>,
    accounts: Vec<AccountKey>,
    resource: RequiredResource,
    pub(super) requests_by_ticket: HashMap<Ticket, usize>,
}

impl Router {
    pub(super) fn new(policy: Policy, seed: u64, router: usize, cfg: &PolicyConfig) -> Self {
        let policy = match policy {
            Policy::Ours => {
                RouterPolicy::Scheduler(Box::new(SchedulerState::new(cfg, seed, router)))
            }
            _ => RouterPolicy::Baseline(Box::new(Baseline::new(policy, seed))),
        };
        Self {
            policy,
            wake_at: Time::MAX,
        }
    }
}

impl SchedulerState {
    pub(super) fn new(cfg: &PolicyConfig, seed: u64, router: usize) -> Self {
        let scheduler = balancer::new_scheduler(cfg, seed, router);
        let target = |t| scheduler.target_key(&balancer::target_name(t));
        let targets: Vec<TargetKey> = (0..TARGETS).filter_map(target).collect();
        let account = |a| scheduler.account_key(&balancer::account_name(a));
        let accounts = (0..arrivals::ACCOUNTS).filter_map(account).collect();
        let target_indices = targets
            .iter()
            .enumerate()
            .map(|(index, &key)| (key, index))
            .collect();
        let model = scheduler
            .name_key(MODEL)
            .unwrap_or_else(|| unreachable!("the targets serve this model"));
        Self {
            resource: RequiredResource::Model {
                model,
                version: None,
                adapter: None,
            },
            targets,
            target_indices,
            accounts,
            requests_by_ticket: HashMap::new(),
            scheduler,
        }
    }

    pub(super) fn request_info(&self, request: &Request) -> RequestInfo {
        RequestInfo {
            account: self.accounts[request.account],
            priority: request.priority,
            resource: self.resource,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_output_tokens,
            first_token_by: Time::MAX,
            deadline: request.deadline,
            idempotent: request.idempotent,
            prefix: request.prefix,
            prefix_tokens: request.prefix_tokens,
            attempt: request.attempt,
        }
    }
}
