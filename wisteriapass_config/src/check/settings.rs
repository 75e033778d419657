//! Validation of the settings of a daemon.

use std::net::SocketAddr;

use crate::check::{Checker, UniqueValues, check_policy};
use crate::{KeyPath, Limits, Role, Settings};

/// Log levels, most severe first.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Minimum and maximum of the limit for request bodies, in bytes.
const BODY_BYTES: (usize, usize) = (1 << 10, 64 << 20);

/// Maximum of the limit for `max_tokens` of a request.
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;

/// Maximum of the limit for concurrent requests.
const MAX_REQUESTS: usize = 100_000;

/// Minimum and maximum of the timeout for request bodies, in milliseconds.
const BODY_MS: (u64, u64) = (100, 600_000);

/// Maximum duration of a graceful stop, in milliseconds.
const MAX_STOP_MS: u64 = 3_600_000;

/// Reports all errors of settings.
pub(crate) fn check_settings(checker: &mut Checker<'_>, settings: &Settings) {
    check_identity(checker, settings);
    check_addresses(checker, settings);
    check_target(checker, settings);
    check_peers(checker, settings);
    check_log(checker, &settings.log);
    check_limits(checker, &settings.limits);
    check_policy(checker, &settings.policy);
}

fn check_identity(checker: &mut Checker<'_>, settings: &Settings) {
    let named = [
        ("name", &settings.name),
        ("vm", &settings.vm),
        ("failure_domain", &settings.failure_domain),
    ];
    for (key, value) in named {
        let key = KeyPath::new(key);
        if value.is_empty() {
            checker.report(&key, "is missing", "set it to the value in the inventory");
            continue;
        }
        checker.check_name(&key, value);
    }
}

fn check_addresses(checker: &mut Checker<'_>, settings: &Settings) {
    let mut unique = UniqueValues::new("address", "give each listener its own port");
    let named = [
        ("listen", settings.listen),
        ("control", settings.control),
        ("admin", settings.admin),
        ("store", settings.store),
    ];
    for (key, address) in named {
        let key = KeyPath::new(key);
        if address.port() == 0 {
            checker.report(&key, "is missing or has port 0", "set it to \"IP:port\"");
            continue;
        }
        unique.add(checker, key, address);
    }
    check_connectable(checker, "store", Some(settings.store));
    check_connectable(checker, "vm_list", settings.vm_list);
}

/// Checks an address that this process connects to.
fn check_connectable(checker: &mut Checker<'_>, key: &'static str, address: Option<SocketAddr>) {
    if address.is_some_and(|a| a.ip().is_unspecified()) {
        let remedy = "set the IP address it listens on";
        checker.report(&KeyPath::new(key), "cannot be connected to", remedy);
    }
}

fn check_target(checker: &mut Checker<'_>, settings: &Settings) {
    let key = KeyPath::new("target");
    match (settings.role, settings.target) {
        (Role::Side, None) => checker.report(
            &key,
            "is missing for role \"side\"",
            "set the address of the target of this side process",
        ),
        (Role::Router, Some(_)) => checker.report(
            &key,
            "is not used by role \"router\"",
            "remove it, or set role = \"side\"",
        ),
        (Role::Side, Some(target)) if target == settings.listen => checker.report(
            &key,
            "is the address that this process listens on",
            "set the address of the target itself",
        ),
        _ => {}
    }
}

fn check_peers(checker: &mut Checker<'_>, settings: &Settings) {
    let mut unique = UniqueValues::new("peer", "list each peer once");
    for (n, peer) in settings.peers.iter().enumerate() {
        let key = KeyPath::new("peers").with_index(n);
        if peer.port() == 0 || peer.ip().is_unspecified() {
            let remedy = "set the control address of another process";
            checker.report(&key, format!("{peer} cannot be connected to"), remedy);
            continue;
        }
        unique.add(checker, key, *peer);
    }
}

fn check_log(checker: &mut Checker<'_>, log: &str) {
    if LOG_LEVELS.contains(&log) {
        return;
    }
    let cause = format!("{log:?} is not a log level");
    let remedy = format!("use one of {}", LOG_LEVELS.join(", "));
    checker.report(&KeyPath::new("log"), cause, remedy);
}

fn check_limits(checker: &mut Checker<'_>, limits: &Limits) {
    let key = |name| KeyPath::new("limits").with_key(name);
    let (min, max) = BODY_BYTES;
    checker.check_range(&key("body_bytes"), limits.body_bytes, min..=max);
    checker.check_range(&key("max_tokens"), limits.max_tokens, 1..=MAX_OUTPUT_TOKENS);
    checker.check_range(&key("requests"), limits.requests, 1..=MAX_REQUESTS);
    let (min, max) = BODY_MS;
    checker.check_range(&key("body_ms"), limits.body_ms, min..=max);
    checker.check_range(&key("stop_ms"), limits.stop_ms, 0..=MAX_STOP_MS);
}
