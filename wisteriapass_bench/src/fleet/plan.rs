//! What a fleet is to consist of.

use std::net::SocketAddr;

use wisteriapass_config::{
    Account, Budget, Class, Document, FailureDomain, Inventory, Limits, ModelOffer, Priority,
    Router, Rules, Target, TargetKind,
};

use super::{Program, Result};
use crate::sha256_hex;
use crate::standin::{EngineSettings, PlatformSettings, ServiceSettings};

/// Name of each account's one budget.
pub const BUDGET: &str = "main";

/// Name of the plain service that all plain targets offer.
pub const SERVICE: &str = "records";

/// Region of all failure domains.
const REGION: &str = "region-1";

/// Requests that a plain service works on at once.
const SERVICE_SLOTS: u32 = 64;

/// A client account of a fleet.
#[derive(Clone, Debug)]
pub struct AccountPlan {
    /// Its name.
    pub name: String,
    /// Its key, which callers send.
    pub key: String,
    /// Weight of its fair share.
    pub weight: u32,
    /// Tokens topped up before the daemons start, under the id [`super::FIRST_TOPUP`].
    pub prepaid: u64,
}

impl AccountPlan {
    /// Creates an account with a key made from its name and no money.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            key: format!("key-of-{name}"),
            weight: 1,
            prepaid: 0,
        }
    }

    /// Sets the tokens topped up before the daemons start.
    pub fn with_prepaid(mut self, tokens: u64) -> Self {
        self.prepaid = tokens;
        self
    }
}

/// What a fleet is to consist of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of routers, named `router-1` and so on.
    pub routers: usize,
    /// Number of engines, named `engine-1` and so on.
    pub engines: usize,
    /// Number of plain services, named `service-1` and so on.
    pub services: usize,
    /// Number of failure domains, named `domain-1` and so on; daemons take turns in them.
    pub failure_domains: usize,
    /// Models that every engine holds.
    pub models: Vec<String>,
    /// Client accounts, each with one budget that pays for everything.
    pub accounts: Vec<AccountPlan>,
    /// What the engines are like; address, models, fencing and weight store are set for them.
    pub engine: EngineSettings,
    /// What the plain services are like.
    pub service: ServiceSettings,
    /// What the platform is like.
    pub platform: PlatformSettings,
    /// Whether the engines check fencing tokens.
    pub checks_fencing: bool,
    /// Limits of each daemon.
    pub limits: Limits,
    /// Least severe log level that the daemons write.
    pub log: String,
    /// Whether links lie between the processes, for faults; without, nothing adds to latency.
    pub linked: bool,
    /// What the daemons run.
    pub program: Program,
}

impl FleetPlan {
    /// Plans two routers, two engines, one plain service and one account, with links.
    pub fn new(program: Program) -> Self {
        Self {
            routers: 2,
            engines: 2,
            services: 1,
            failure_domains: 3,
            models: vec!["wisteria-8b".into()],
            accounts: vec![AccountPlan::new("acme")],
            engine: EngineSettings::default(),
            service: ServiceSettings::default(),
            platform: PlatformSettings::default(),
            checks_fencing: true,
            limits: Limits::default(),
            log: "info".into(),
            linked: true,
            program,
        }
    }

    /// Plans the same with daemons that run the program of this process, which has to be the
    /// tool.
    ///
    /// # Errors
    ///
    /// [`super::FleetError::Io`] if the system does not say where it is.
    pub fn of_this_tool() -> Result<Self> {
        Ok(Self::new(Program::this_tool()?))
    }

    /// Returns inventory and rules, with addresses still to be filled in.
    pub(super) fn document(&self) -> Document {
        Document {
            inventory: self.inventory(),
            rules: self.rules(),
            ..Document::default()
        }
    }

    fn inventory(&self) -> Inventory {
        let domain = |n| format!("domain-{}", n % self.failure_domains.max(1) + 1);
        let failure_domain = (0..self.failure_domains.max(1))
            .map(|n| FailureDomain {
                name: domain(n),
                region: REGION.into(),
                evacuated: false,
            })
            .collect();
        let router = (0..self.routers)
            .map(|n| Router {
                name: format!("router-{}", n + 1),
                vm: format!("vm-router-{}", n + 1),
                failure_domain: domain(n),
                listen: unset(),
                control: unset(),
            })
            .collect();
        let engines = (0..self.engines).map(|n| self.engine(n, domain(n)));
        let services = (0..self.services).map(|n| self.service(n, domain(n)));
        Inventory {
            failure_domain,
            router,
            target: engines.chain(services).collect(),
        }
    }

    fn engine(&self, n: usize, failure_domain: String) -> Target {
        let offer = |name: &String| ModelOffer {
            name: name.clone(),
            version: String::new(),
            adapters: Vec::new(),
        };
        Target {
            name: format!("engine-{}", n + 1),
            vm: format!("vm-engine-{}", n + 1),
            kind: TargetKind::Engine,
            model: self.models.iter().map(offer).collect(),
            slots: u32::try_from(self.engine.slots).unwrap_or(u32::MAX),
            tokens_per_second: self.tokens_per_second(),
            checks_fencing: self.checks_fencing,
            ..target(failure_domain)
        }
    }

    fn service(&self, n: usize, failure_domain: String) -> Target {
        Target {
            name: format!("service-{}", n + 1),
            vm: format!("vm-service-{}", n + 1),
            kind: TargetKind::Service,
            services: vec![SERVICE.into()],
            slots: SERVICE_SLOTS,
            ..target(failure_domain)
        }
    }

    /// Returns the tokens an engine generates a second with all slots busy.
    fn tokens_per_second(&self) -> u32 {
        let step = self.engine.token.as_secs_f64() * (1.0 + self.engine.batch_cost);
        let rate = self.engine.slots as f64 / step.max(1e-4);
        rate.clamp(1.0, f64::from(u32::MAX)) as u32
    }

    fn rules(&self) -> Rules {
        let account = |a: &AccountPlan| Account {
            name: a.name.clone(),
            key_digest: key_digest(&a.key),
            weight: a.weight,
            models: vec!["*".into()],
            services: vec!["*".into()],
        };
        let budget = |a: &AccountPlan| Budget {
            name: BUDGET.into(),
            account: a.name.clone(),
            models: Vec::new(),
        };
        let class = |name: &str, priority| Class {
            name: name.into(),
            priority,
            deadline_ms: 30_000,
            max_tokens: 512,
        };
        Rules {
            account: self.accounts.iter().map(account).collect(),
            budget: self.accounts.iter().map(budget).collect(),
            class: vec![
                class("interactive", Priority::Interactive),
                class("standard", Priority::Standard),
                class("batch", Priority::Batch),
            ],
        }
    }
}

/// Returns the digest of an account's key as rules hold it.
pub fn key_digest(key: &str) -> String {
    sha256_hex(key.as_bytes())
}

/// Returns a target in a failure domain with everything else to be filled in.
fn target(failure_domain: String) -> Target {
    Target {
        name: String::new(),
        vm: String::new(),
        failure_domain,
        kind: TargetKind::Engine,
        address: unset(),
        side: unset(),
        side_control: unset(),
        model: Vec::new(),
        services: Vec::new(),
        slots: 1,
        tokens_per_second: 1,
        checks_fencing: false,
        draining: false,
    }
}

/// Returns an address to be filled in.
fn unset() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
