//! Policies that a router can use: our scheduler or one of the baselines.

use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;
use wisteriapass_policy::{
    AccountInfo, HostedResource, Locality, PolicyConfig, Scheduler, TargetInfo, TargetRole, Time,
};

use super::arrivals::{ACCOUNTS, account_weight};
use super::pattern::{ROUTERS, SLOTS, TARGETS, TOKENS_PER_S, UnknownName};

/// A policy that can be simulated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Policy {
    /// The scheduler of the crate `wisteriapass_policy`.
    #[display("ours")]
    Ours,
    /// Sends each request immediately to the next target, which serves in order of arrival.
    #[display("fcfs-round-robin")]
    FcfsRoundRobin,
    /// Sends each request immediately to the target with the fewest outstanding requests of this
    /// router.
    #[display("least-outstanding")]
    LeastOutstanding,
    /// Sends each request immediately to the one of two random targets with fewer outstanding
    /// requests of this router.
    #[display("two-choices")]
    TwoChoices,
}

impl std::str::FromStr for Policy {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        let known = Self::ALL.into_iter().find(|p| p.to_string() == name);
        known.ok_or(UnknownName)
    }
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Ours,
        Self::FcfsRoundRobin,
        Self::LeastOutstanding,
        Self::TwoChoices,
    ];
}

/// State of a baseline policy at one router.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    policy: Policy,
    outstanding: [u32; TARGETS],
    next_target: usize,
    rng: ChaCha8Rng,
}

impl Baseline {
    pub(super) fn new(policy: Policy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next_target = rng.random_range(0..TARGETS);
        Self {
            policy,
            outstanding: [0; TARGETS],
            next_target,
            rng,
        }
    }

    /// Chooses the target of the next request and counts the request as outstanding.
    pub(super) fn choose_target(&mut self) -> usize {
        let target = match self.policy {
            Policy::Ours | Policy::FcfsRoundRobin => self.next_target,
            Policy::LeastOutstanding => self.least_outstanding(),
            Policy::TwoChoices => self.better_of_two(),
        };
        self.next_target = (self.next_target + 1) % TARGETS;
        self.outstanding[target] += 1;
        target
    }

    /// Records that a request ended at a target.
    pub(super) fn run_ended(&mut self, target: usize) {
        self.outstanding[target] -= 1;
    }

    /// Returns the target with the fewest outstanding requests, with ties in round-robin order.
    fn least_outstanding(&self) -> usize {
        let distance = |t: usize| (t + TARGETS - self.next_target) % TARGETS;
        let key = |&t: &usize| (self.outstanding[t], distance(t));
        (0..TARGETS).min_by_key(key).unwrap_or(0)
    }

    fn better_of_two(&mut self) -> usize {
        let first = self.rng.random_range(0..TARGETS);
        let second = self.rng.random_range(0..TARGETS);
        if self.outstanding[second] < self.outstanding[first] {
            second
        } else {
            first
        }
    }
}

/// Creates the scheduler of one router with all targets and accounts.
pub(super) fn new_scheduler(cfg: &PolicyConfig, seed: u64, router: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(PolicyConfig {
        seed,
        ..cfg.clone()
    });
    let targets: Vec<TargetInfo> = (0..TARGETS).map(|t| target_info(t, router)).collect();
    let accounts = (0..ACCOUNTS).map(|a| AccountInfo {
        name: account_name(a),
        weight: account_weight(a),
    });
    scheduler.set_targets(Time::default(), &targets);
    scheduler.set_accounts(&accounts.collect::<Vec<_>>());
    scheduler.set_routers(ROUTERS);
    scheduler
}

pub(super) fn target_name(target: usize) -> String {
    format!("engine-{target}")
}

pub(super) fn account_name(account: usize) -> String {
    format!("account-{account}")
}

/// Model that every target serves.
pub(super) const MODEL: &str = "model";

fn target_info(target: usize, router: usize) -> TargetInfo {
    let same_domain = target % 3 == router % 3;
    let model = HostedResource::Model {
        name: MODEL.into(),
        version: "1".into(),
        adapters: Vec::new(),
    };
    TargetInfo {
        name: target_name(target),
        locality: if same_domain {
            Locality::SameDomain
        } else {
            Locality::SameRegion
        },
        role: TargetRole::General,
        resources: smallvec![model],
        slots: SLOTS,
        tokens_per_s: TOKENS_PER_S,
        leaving: false,
    }
}
