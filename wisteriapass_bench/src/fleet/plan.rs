//! Description of a fleet to start.

use std::net::SocketAddr;

use wisteriapass_config::{
    Account, Budget, Class, Document, FailureDomain, Inventory, Limits, ModelOffer, Priority,
    Router, Rules, Target, TargetKind,
};

use super::{Program, Result};
use crate::sha256_hex;
use crate::standin::{EngineSettings, PlatformSettings, ServiceSettings};

/// Name of the single budget of each account.
pub const BUDGET: &str = "main";

/// Name of the service that all plain targets offer.
pub const SERVICE: &str = "records";

/// Region of all failure domains.
const REGION: &str = "region-1";

/// Number of requests that a plain service handles at once.
const SERVICE_SLOTS: u32 = 64;

/// A client account to create in a fleet.
#[derive(Clone, Debug)]
pub struct AccountPlan {
    /// Name.
    pub name: String,
    /// API key that callers send.
    pub key: String,
    /// Weight in the fair share.
    pub weight: u32,
    /// Tokens topped up before the daemons start, under the ID [`super::INITIAL_TOPUP`].
    pub prepaid: u64,
}

impl AccountPlan {
    /// Creates an account without prepaid tokens, and with a key derived from its name.
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

/// Description of a fleet to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of routers, named `router-1` and so on.
    pub routers: usize,
    /// Number of engines, named `engine-1` and so on.
    pub engines: usize,
    /// Number of plain services, named `service-1` and so on.
    pub services: usize,
    /// Number of failure domains, named `domain-1` and so on; daemons are assigned round-robin.
    pub failure_domains: usize,
    /// Models that every engine offers.
    pub models: Vec<String>,
    /// Client accounts, each with one budget that pays for everything.
    pub accounts: Vec<AccountPlan>,
    /// Settings of the engines; models, fencing checks and weight store are overridden.
    pub engine: EngineSettings,
    /// Settings of the plain services.
    pub service: ServiceSettings,
    /// Settings of the platform.
    pub platform: PlatformSettings,
    /// Whether the engines check fencing tokens.
    pub checks_fencing: bool,
    /// Limits of each daemon.
    pub limits: Limits,
    /// Log level of the daemons.
    pub log: String,
    /// Whether there are links between the processes, which network faults need; without them, the
    /// harness adds no latency.
    pub linked: bool,
    /// Program that the daemons run.
    pub program: Program,
}

impl FleetPlan {
    /// Creates a plan of two routers, two engines, one plain service and one account, with links.
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

    /// Creates the same plan with daemons that run the executable of this process, which must be
    /// the tool.
    ///
    /// # Errors
    ///
    /// [`super::FleetError::Io`] if the path of the executable is unknown.
    pub fn of_this_tool() -> Result<Self> {
        Ok(Self::new(Program::this_tool()?))
    }

    /// Returns inventory and rules with placeholder addresses.
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
                listen: placeholder_addr(),
                control: placeholder_addr(),
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

    /// Returns the tokens per second that an engine generates with all slots busy.
    fn tokens_per_second(&self) -> u32 {
        let step = self.engine.time_per_token.as_secs_f64() * (1.0 + self.engine.batch_slowdown);
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

/// Returns the digest of an account's key, as stored in the rules.
pub fn key_digest(key: &str) -> String {
    sha256_hex(key.as_bytes())
}

/// Returns a target in a failure domain with placeholder values.
fn target(failure_domain: String) -> Target {
    Target {
        name: String::new(),
        vm: String::new(),
        failure_domain,
        kind: TargetKind::Engine,
        address: placeholder_addr(),
        side: placeholder_addr(),
        side_control: placeholder_addr(),
        model: Vec::new(),
        services: Vec::new(),
        slots: 1,
        tokens_per_second: 1,
        checks_fencing: false,
        draining: false,
    }
}

/// Returns a placeholder address.
fn placeholder_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
