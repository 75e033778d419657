//! A store with a configuration, and targets that it knows.

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
}

impl Scene {
    /// Creates a scene with two targets of each service.
    pub fn new(prepaid: u64) -> Self {
        let store = UsersStore::start().unwrap();
        let start = |name: &str| UsersTarget::start(name).unwrap();
        let scene = Self {
            store,
            plain: ["p1", "p2"].map(start).into(),
            engines: ["e1", "e2"].map(start).into(),
        };
        for target in &scene.plain {
            scene
                .store
                .put(&target.key(), target.entry("plain", "ready"));
        }
        for target in &scene.engines {
            scene
                .store
                .put(&target.key(), target.entry("engines", "ready"));
        }
        scene.configure(&configuration(1, &[KEY], prepaid));
        scene
    }

    /// Puts a configuration in the store.
    pub fn configure(&self, configuration: &Value) {
        self.store.put("op/config", configuration.to_string());
    }

    /// Returns how many requests ran at both targets of the plain service.
    pub fn plain_runs(&self) -> usize {
        self.plain.iter().map(UsersTarget::runs).sum()
    }
}
