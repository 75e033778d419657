//! One router of a play.

use std::collections::HashMap;

use slotmap::SecondaryMap;
use wisteriapass_policy::{
    AccountKey, PolicyConfig, RequestInfo, RequiredResource, Scheduler, TargetKey, Ticket, Time,
};

use crate::loads::Policy;
use crate::loads::arrivals::{self, Request};
use crate::loads::balancer::{self, Baseline, MODEL};
use crate::loads::pattern::TARGETS;

/// One router's state.
pub(super) struct Router {
    pub(super) decides: Decides,
    pub(super) wake: Time,
}

/// What a router decides with.
pub(super) enum Decides {
    Ours(Box<Ours>),
    Baseline(Box<Baseline>),
}

/// Our scheduler and the play's names for its keys.
pub(super) struct Ours {
    pub(super) scheduler: Scheduler,
    pub(super) targets: Vec<TargetKey>,
    pub(super) places: SecondaryMap<TargetKey, usize>,
    accounts: Vec<AccountKey>,
    wants: RequiredResource,
    pub(super) requests: HashMap<Ticket, usize>,
}

impl Router {
    pub(super) fn new(policy: Policy, seed: u64, router: usize, cfg: &PolicyConfig) -> Self {
        let decides = match policy {
            Policy::Ours => Decides::Ours(Box::new(Ours::new(cfg, seed, router))),
            _ => Decides::Baseline(Box::new(Baseline::new(policy, seed))),
        };
        Self {
            decides,
            wake: Time::MAX,
        }
    }
}

impl Ours {
    pub(super) fn new(cfg: &PolicyConfig, seed: u64, router: usize) -> Self {
        let scheduler = balancer::scheduler(cfg, seed, router);
        let target = |t| scheduler.target_key(&balancer::target_name(t));
        let targets: Vec<TargetKey> = (0..TARGETS).filter_map(target).collect();
        let account = |a| scheduler.account_key(&balancer::account_name(a));
        let accounts = (0..arrivals::ACCOUNTS).filter_map(account).collect();
        let places = targets
            .iter()
            .enumerate()
            .map(|(place, &key)| (key, place))
            .collect();
        let model = scheduler
            .name_key(MODEL)
            .unwrap_or_else(|| unreachable!("the targets hold it"));
        Self {
            wants: RequiredResource::Model {
                model,
                version: None,
                adapter: None,
            },
            targets,
            places,
            accounts,
            requests: HashMap::new(),
            scheduler,
        }
    }

    pub(super) fn facts(&self, request: &Request) -> RequestInfo {
        RequestInfo {
            account: self.accounts[request.account],
            priority: request.priority,
            resource: self.wants,
            prompt_tokens: request.prompt,
            max_tokens: request.max_output,
            first_token_by: Time::MAX,
            deadline: request.deadline,
            idempotent: request.idempotent,
            prefix: request.prefix,
            prefix_tokens: request.prefix_tokens,
            attempt: request.attempt,
        }
    }
}
