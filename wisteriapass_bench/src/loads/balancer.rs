//! What each router decides with: our scheduler, or one of the baselines.

use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;
use wisteriapass_policy::{
    AccountInfo, HostedResource, Locality, PolicyConfig, Scheduler, TargetInfo, TargetRole, Time,
};

use super::arrivals::{ACCOUNTS, weight};
use super::pattern::{ROUTERS, SLOTS, TARGETS, TOKENS_PER_S, UnknownName};

/// A policy that can be played.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Policy {
    /// The crate `wisteriapass_policy`.
    #[display("ours")]
    Ours,
    /// Each request at once to the next target, which works in order of arrival.
    #[display("fcfs-round-robin")]
    FcfsRoundRobin,
    /// Each request at once to the target with the fewest own outstanding.
    #[display("least-outstanding")]
    LeastOutstanding,
    /// Each request at once to the better of two random targets by own outstanding.
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

/// A baseline's state at one router.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    policy: Policy,
    outstanding: [u32; TARGETS],
    next: usize,
    rng: ChaCha8Rng,
}

impl Baseline {
    /// Creates a baseline's state at one router.
    pub(super) fn new(policy: Policy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next = rng.random_range(0..TARGETS);
        Self {
            policy,
            outstanding: [0; TARGETS],
            next,
            rng,
        }
    }

    /// Returns where the next request goes.
    pub(super) fn choose(&mut self) -> usize {
        let target = match self.policy {
            Policy::Ours | Policy::FcfsRoundRobin => self.next,
            Policy::LeastOutstanding => self.least(),
            Policy::TwoChoices => self.two(),
        };
        self.next = (self.next + 1) % TARGETS;
        self.outstanding[target] += 1;
        target
    }

    /// Takes in that a request ended.
    pub(super) fn ended(&mut self, target: usize) {
        self.outstanding[target] -= 1;
    }

    /// Returns the target with the fewest outstanding; ties go round.
    fn least(&self) -> usize {
        let turn = |t: usize| (t + TARGETS - self.next) % TARGETS;
        let order = |&t: &usize| (self.outstanding[t], turn(t));
        (0..TARGETS).min_by_key(order).unwrap_or(0)
    }

    fn two(&mut self) -> usize {
        let first = self.rng.random_range(0..TARGETS);
        let second = self.rng.random_range(0..TARGETS);
        if self.outstanding[second] < self.outstanding[first] {
            second
        } else {
            first
        }
    }
}

/// Creates one router's scheduler, which knows all targets and accounts.
pub(super) fn scheduler(cfg: &PolicyConfig, seed: u64, router: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(PolicyConfig {
        seed,
        ..cfg.clone()
    });
    let targets: Vec<TargetInfo> = (0..TARGETS).map(|t| facts(t, router)).collect();
    let accounts = (0..ACCOUNTS).map(|a| AccountInfo {
        name: account_name(a),
        weight: weight(a),
    });
    scheduler.set_targets(Time::default(), &targets);
    scheduler.set_accounts(&accounts.collect::<Vec<_>>());
    scheduler.set_routers(ROUTERS);
    scheduler
}

/// Returns a target's name.
pub(super) fn target_name(target: usize) -> String {
    format!("engine-{target}")
}

/// Returns an account's name.
pub(super) fn account_name(account: usize) -> String {
    format!("account-{account}")
}

/// Model that every target holds.
pub(super) const MODEL: &str = "model";

fn facts(target: usize, router: usize) -> TargetInfo {
    let near = target % 3 == router % 3;
    let model = HostedResource::Model {
        name: MODEL.into(),
        version: "1".into(),
        adapters: Vec::new(),
    };
    TargetInfo {
        name: target_name(target),
        locality: if near {
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
