//! Settings of one daemon.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use wisteriapass_policy::PolicyConfig;

use crate::check::{Checker, check_settings, into_result, parse};
use crate::{ConfigError, Result};

/// Role of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests from callers.
    #[default]
    Router,
    /// Runs requests at the target next to it.
    Side,
}

/// Settings of one daemon process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Router or side process.
    pub role: Role,
    /// Name of the router or of the target of the side process, as in the inventory.
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
    /// Address of the platform's VM list, if there is one.
    pub vm_list: Option<SocketAddr>,
    /// Control addresses of processes to ask if the key-value service is unavailable at startup.
    pub peers: Vec<SocketAddr>,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    pub log: String,
    /// Limits of this process.
    pub limits: Limits,
    /// Scheduling policy of a router.
    pub policy: PolicyConfig,
}

/// Limits of one daemon process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum of `max_tokens` in a request.
    pub max_tokens: u32,
    /// Maximum number of concurrent requests.
    pub requests: usize,
    /// Timeout for receiving a request body, in milliseconds.
    pub body_ms: u64,
    /// Maximum time that a graceful stop waits for streams, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            role: Role::Router,
            name: String::new(),
            vm: String::new(),
            failure_domain: String::new(),
            listen: unset,
            control: unset,
            admin: unset,
            target: None,
            store: unset,
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
    /// Reads settings from a file and validates them.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] lists file, line, key and remedy of every error.
    pub fn from_file(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable {
            file: file.clone(),
            cause: e.to_string(),
        })?;
        Self::from_toml(&file, &text)
    }

    /// Parses settings from TOML and validates them; `file` is their name in diagnostics.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] lists file, line, key and remedy of every error.
    pub fn from_toml(file: &str, text: &str) -> Result<Self> {
        let settings: Self = parse(file, text).map_err(|diagnostic| ConfigError::Invalid {
            diagnostics: vec![diagnostic],
        })?;
        let mut checker = Checker::new(file, Some(text));
        check_settings(&mut checker, &settings);
        into_result(checker.into_diagnostics())?;
        Ok(settings)
    }
}
