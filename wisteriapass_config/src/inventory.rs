//! Inventory: which routers and targets exist, what they hold and where they sit.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::{Checker, accept, check_inventory, parse};
use crate::{ConfigError, Result};

/// The operators' inventory, drawn from their asset register.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Inventory {
    /// Failure domains, by name.
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
    /// Region the failure domain lies in.
    pub region: String,
    /// Whether operators want it emptied: none of its targets gets new work.
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
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where its control calls go.
    pub control: SocketAddr,
}

/// What kind of program a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Model engine: streamed answers, priorities, cancel and resume.
    Engine,
    /// Plain service: method, path, body and headers passed through.
    Service,
}

/// A model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelOffer {
    /// Model name that callers use.
    pub name: String,
    /// Version of the weights.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
    /// Adapters held with it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// A target with the side process beside it.
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
    /// Where the target itself listens, as seen from its side process.
    pub address: SocketAddr,
    /// Where the side process takes runs.
    pub side: SocketAddr,
    /// Where the side process takes control calls.
    pub side_control: SocketAddr,
    /// Models held, for engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub model: Vec<ModelOffer>,
    /// Services offered (first path segment under `/services/`), for plain services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
    /// Requests it works on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Tokens it generates a second with all slots busy, for engines.
    #[serde(default = "default_tokens_per_second")]
    pub tokens_per_second: u32,
    /// Whether it refuses orders that carry an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether operators want it emptied: it gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// Slots of a target whose inventory entry names none.
fn default_slots() -> u32 {
    16
}

/// Tokens a second of an engine whose inventory entry names none.
fn default_tokens_per_second() -> u32 {
    1_000
}

impl Inventory {
    /// Reads an inventory from TOML and checks it; `file` is for messages.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names file, line, key and remedy of every mistake.
    pub fn from_toml(file: &str, text: &str) -> Result<Self> {
        let inventory: Self = parse(file, text).map_err(|mistake| ConfigError::Invalid {
            diagnostics: vec![mistake],
        })?;
        let mut checker = Checker::new(file, Some(text));
        check_inventory(&mut checker, &inventory);
        accept(checker.into_diagnostics())?;
        Ok(inventory)
    }

    /// Returns whether operators want a target emptied, alone or with its failure domain.
    pub fn is_draining(&self, target: &Target) -> bool {
        let mut domains = self.failure_domain.iter();
        let domain = domains.find(|d| d.name == target.failure_domain);
        target.draining || domain.is_some_and(|d| d.evacuated)
    }

    /// Returns the target of this name.
    pub fn target_named(&self, name: &str) -> Option<&Target> {
        self.target.iter().find(|t| t.name == name)
    }

    /// Returns the router of this name.
    pub fn router_named(&self, name: &str) -> Option<&Router> {
        self.router.iter().find(|r| r.name == name)
    }
}
