//! A simulated platform: a store with a configuration, and targets registered in it.

use parking_lot::Mutex;
use serde_json::{Value, json};
use wisteriapass_bench::standin::users_platform::{SimulatedStore, SimulatedTarget};

use super::KEY;

/// Returns a configuration with one streaming service and one plain service.
pub fn configuration(version: u64, keys: &[&str], prepaid: u64) -> Value {
    let route = |prefix: &str, service: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({"name": prefix, "host": "h.example", "prefix": prefix, "service": service,
            "kind": kind, "timeout_ms": 8000, "target_latency_ms": 2000, "priority": 1,
            "max_attempts": attempts, "stream_resumption": resumable, "target_gap_ms": 3000})
    };
    json!({
        "version": version,
        "routes": [
            route("/once/", "plain", "non_idempotent", 2, false),
            route("/safe/", "plain", "idempotent", 2, false),
            route("/draft/", "engines", "streaming", 1, false),
            route("/ask/", "engines", "streaming", 2, true),
        ],
        "services": [
            {"name": "plain"},
            {"name": "engines", "inference_engine": {"stride": 2}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": keys, "priority": 1, "prepaid": prepaid}],
    })
}

/// A store with a configuration, and targets registered in it.
pub struct TestPlatform {
    pub store: SimulatedStore,
    pub plain: Vec<SimulatedTarget>,
    pub engines: Vec<SimulatedTarget>,
    /// Keys of the engines registered in the store.
    registered: Mutex<Vec<String>>,
}

impl TestPlatform {
    /// Creates a platform with two targets of each service.
    pub fn new(prepaid: u64) -> Self {
        Self::with_engines(prepaid, 2)
    }

    /// Creates a platform with this number of engines.
    pub fn with_engines(prepaid: u64, count: usize) -> Self {
        let start = |n| SimulatedTarget::start(&format!("e{n}")).unwrap();
        Self::with(prepaid, (1..=count).map(start).collect())
    }

    /// Creates a platform with one engine of each of these software versions.
    pub fn with_versions(prepaid: u64, versions: &[&'static str]) -> Self {
        let start = |(n, version): (usize, &&'static str)| {
            let engine = SimulatedTarget::start(&format!("e{}", n + 1)).unwrap();
            engine.set_version(version);
            engine
        };
        Self::with(prepaid, versions.iter().enumerate().map(start).collect())
    }

    fn with(prepaid: u64, engines: Vec<SimulatedTarget>) -> Self {
        let start = |n| SimulatedTarget::start(&format!("p{n}")).unwrap();
        let platform = Self {
            store: SimulatedStore::start().unwrap(),
            plain: (1..=2).map(start).collect(),
            engines,
            registered: Mutex::default(),
        };
        for target in &platform.plain {
            platform
                .store
                .put(&target.entry_key(), target.entry("plain", "ready"));
        }
        platform.update_engine_entries();
        platform.configure(&configuration(1, &[KEY], prepaid));
        platform
    }

    /// Registers an engine as a target of another service.
    pub fn move_engine(&self, index: usize, service: &str) {
        let engine = &self.engines[index];
        self.store
            .put(&engine.entry_key(), engine.entry(service, "ready"));
    }

    /// Writes a configuration to the store.
    pub fn configure(&self, configuration: &Value) {
        self.store.put("op/config", configuration.to_string());
    }

    /// Replaces the entries of restarted engines, as the platform does after some time.
    pub fn update_engine_entries(&self) {
        let mut registered = self.registered.lock();
        let now: Vec<String> = self
            .engines
            .iter()
            .map(SimulatedTarget::entry_key)
            .collect();
        for gone in registered.iter().filter(|key| !now.contains(key)) {
            self.store.remove(gone);
        }
        for (key, target) in now.iter().zip(&self.engines) {
            if !registered.contains(key) {
                self.store.put(key, target.entry("engines", "ready"));
            }
        }
        *registered = now;
    }

    /// Returns the number of requests that ran at the targets of the plain service.
    pub fn plain_runs(&self) -> usize {
        self.plain.iter().map(SimulatedTarget::run_count).sum()
    }
}
