//! Inventory: routers and targets, what targets offer, and the failure domains they are in.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::{Checker, check_inventory, into_result, parse};
use crate::{ConfigError, Result};

/// Inventory that operators generate from their asset register.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Inventory {
    /// Failure domains.
    pub failure_domain: Vec<FailureDomain>,
    /// Routers on entry VMs.
    pub router: Vec<Router>,
    /// Targets with their side processes.
    pub target: Vec<Target>,
}

/// A set of VMs that fail together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name, unique.
    pub name: String,
    /// Region of the failure domain.
    pub region: String,
    /// Whether operators evacuate it: its targets get no new work.
    #[serde(default)]
    pub evacuated: bool,
}

/// A router on an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// Name, unique among routers and targets.
    pub name: String,
    /// VM it runs on, as the VM list names it.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address for control calls.
    pub control: SocketAddr,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Model engine: supports streamed responses, priorities, cancel and resume.
    Engine,
    /// Plain service: method, path, body and headers are passed through.
    Service,
}

/// Model that an engine offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelOffer {
    /// Model name in requests of callers.
    pub name: String,
    /// Version of the weights.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
    /// Adapters offered with the model.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// A target with its side process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique among routers and targets.
    pub name: String,
    /// VM it runs on, as the VM list names it.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Engine or plain service.
    pub kind: TargetKind,
    /// Address of the target itself, as seen from its side process.
    pub address: SocketAddr,
    /// Address of the side process for runs.
    pub side: SocketAddr,
    /// Address of the side process for control calls.
    pub side_control: SocketAddr,
    /// Models offered, for engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub model: Vec<ModelOffer>,
    /// Services offered, for plain services: the first path segments under `/services/`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Tokens generated per second with all slots busy, for engines.
    #[serde(default = "default_tokens_per_second")]
    pub tokens_per_second: u32,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether operators drain it: it gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// Slots of a target without the key `slots`.
fn default_slots() -> u32 {
    16
}

/// Tokens per second of an engine without the key `tokens_per_second`.
fn default_tokens_per_second() -> u32 {
    1_000
}

impl Inventory {
    /// Parses an inventory from TOML and validates it; `file` is its name in diagnostics.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] lists file, line, key and remedy of every error.
    pub fn from_toml(file: &str, text: &str) -> Result<Self> {
        let inventory: Self = parse(file, text).map_err(|diagnostic| ConfigError::Invalid {
            diagnostics: vec![diagnostic],
        })?;
        let mut checker = Checker::new(file, Some(text));
        check_inventory(&mut checker, &inventory);
        into_result(checker.into_diagnostics())?;
        Ok(inventory)
    }

    /// Returns whether a target gets no new work, because it is draining or its failure domain is
    /// evacuated.
    pub fn is_draining(&self, target: &Target) -> bool {
        let mut domains = self.failure_domain.iter();
        let domain = domains.find(|d| d.name == target.failure_domain);
        target.draining || domain.is_some_and(|d| d.evacuated)
    }

    /// Returns the target with this name.
    pub fn target_named(&self, name: &str) -> Option<&Target> {
        self.target.iter().find(|t| t.name == name)
    }

    /// Returns the router with this name.
    pub fn router_named(&self, name: &str) -> Option<&Router> {
        self.router.iter().find(|r| r.name == name)
    }
}
