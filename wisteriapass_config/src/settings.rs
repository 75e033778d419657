//! Settings of one daemon.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use wisteriapass_policy::PolicyConfig;

use crate::check::{Checker, accept, check_settings, parse};
use crate::{ConfigError, Result};

/// What a daemon is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers.
    #[default]
    Router,
    /// Runs them at the target beside it.
    Side,
}

/// Settings of one daemon process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Router or side process.
    pub role: Role,
    /// Name of the router, or of the target beside the side process, as in the inventory.
    pub name: String,
    /// VM it runs on, as the VM list names it.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address for callers (router) or for routers (side process).
    pub listen: SocketAddr,
    /// Address for control calls.
    pub control: SocketAddr,
    /// Address for metrics and health.
    pub admin: SocketAddr,
    /// Address of the target, for a side process.
    pub target: Option<SocketAddr>,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Address of the platform's VM list; none where there is none.
    pub vm_list: Option<SocketAddr>,
    /// Control addresses of processes to ask when the key-value service is down at start.
    pub peers: Vec<SocketAddr>,
    /// Least severe log level written: error, warn, info, debug or trace.
    pub log: String,
    /// Limits of this process.
    pub limits: Limits,
    /// Thresholds of a router's decisions under load.
    pub policy: PolicyConfig,
}

/// Limits of one daemon process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest `max_tokens` a request may name.
    pub max_tokens: u32,
    /// Requests worked on at once.
    pub requests: usize,
    /// Longest time a caller may take to send a body, in milliseconds.
    pub body_ms: u64,
    /// Longest time a graceful stop waits for streams, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            role: Role::Router,
            name: String::new(),
            vm: String::new(),
            failure_domain: String::new(),
            listen: any,
            control: any,
            admin: any,
            target: None,
            store: any,
            vm_list: None,
            peers: Vec::new(),
            log: "info".into(),
            limits: Limits::default(),
            policy: PolicyConfig::default(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            max_tokens: 32_768,
            requests: 1_024,
            body_ms: 5_000,
            stop_ms: 120_000,
        }
    }
}

impl Settings {
    /// Reads settings from a file and checks them.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names file, line, key and remedy of every mistake.
    pub fn from_file(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable {
            file: file.clone(),
            cause: e.to_string(),
        })?;
        Self::from_toml(&file, &text)
    }

    /// Reads settings from TOML and checks them; `file` is for messages.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names file, line, key and remedy of every mistake.
    pub fn from_toml(file: &str, text: &str) -> Result<Self> {
        let settings: Self = parse(file, text).map_err(|mistake| ConfigError::Invalid {
            diagnostics: vec![mistake],
        })?;
        let mut checker = Checker::new(file, Some(text));
        check_settings(&mut checker, &settings);
        accept(checker.into_diagnostics())?;
        Ok(settings)
    }
}
