//! A store with a configuration, and targets that it knows.

use parking_lot::Mutex;
use serde_json::{Value, json};
use wisteriapass_bench::standin::users::{UsersStore, UsersTarget};

use super::KEY;

/// A configuration with one service for streams and one for whole answers.
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

/// A store with a configuration, and targets that it knows.
pub struct Scene {
    pub store: UsersStore,
    pub plain: Vec<UsersTarget>,
    pub engines: Vec<UsersTarget>,
    /// Keys of the engines that the store knows.
    known: Mutex<Vec<String>>,
}

impl Scene {
    /// Creates a scene with two targets of each service.
    pub fn new(prepaid: u64) -> Self {
        Self::with_engines(prepaid, 2)
    }

    /// Creates a scene with this many engines.
    pub fn with_engines(prepaid: u64, count: usize) -> Self {
        let store = UsersStore::start().unwrap();
        let start = |kind: &str, n: usize| UsersTarget::start(&format!("{kind}{n}")).unwrap();
        let scene = Self {
            store,
            plain: (1..=2).map(|n| start("p", n)).collect(),
            engines: (1..=count).map(|n| start("e", n)).collect(),
            known: Mutex::default(),
        };
        for target in &scene.plain {
            scene
                .store
                .put(&target.key(), target.entry("plain", "ready"));
        }
        scene.renew_entries();
        scene.configure(&configuration(1, &[KEY], prepaid));
        scene
    }

    /// Puts a configuration in the store.
    pub fn configure(&self, configuration: &Value) {
        self.store.put("op/config", configuration.to_string());
    }

    /// Replaces the entries of engines that started anew, as the platform does after a while.
    pub fn renew_entries(&self) {
        let mut known = self.known.lock();
        let now: Vec<String> = self.engines.iter().map(UsersTarget::key).collect();
        for gone in known.iter().filter(|key| !now.contains(key)) {
            self.store.remove(gone);
        }
        for (key, target) in now.iter().zip(&self.engines) {
            if !known.contains(key) {
                self.store.put(key, target.entry("engines", "ready"));
            }
        }
        *known = now;
    }

    /// Returns how many requests ran at both targets of the plain service.
    pub fn plain_runs(&self) -> usize {
        self.plain.iter().map(UsersTarget::runs).sum()
    }
}
