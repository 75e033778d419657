//! Checks of a daemon's settings.

use std::net::SocketAddr;

use crate::check::{Checker, Once, check_policy};
use crate::{KeyPath, Limits, Role, Settings};

/// Log levels, least severe last.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Smallest and largest limit of a request body, in bytes.
const BODY_BYTES: (usize, usize) = (1 << 10, 64 << 20);

/// Largest `max_tokens` that a daemon may allow.
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;

/// Most requests a daemon may work on at once.
const MAX_REQUESTS: usize = 100_000;

/// Shortest and longest time for a body, in milliseconds.
const BODY_MS: (u64, u64) = (100, 600_000);

/// Longest graceful stop, in milliseconds.
const MAX_STOP_MS: u64 = 3_600_000;

/// Reports every mistake of settings.
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
            checker.report(&key, "is missing", "set it as the inventory does");
            continue;
        }
        checker.name(&key, value);
    }
}

fn check_addresses(checker: &mut Checker<'_>, settings: &Settings) {
    let mut once = Once::new("address", "give each listener its own port");
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
        once.add(checker, key, address);
    }
    check_service(checker, "store", Some(settings.store));
    check_service(checker, "vm_list", settings.vm_list);
}

/// Checks the address of something this process connects to.
fn check_service(checker: &mut Checker<'_>, key: &'static str, address: Option<SocketAddr>) {
    if address.is_some_and(|a| a.ip().is_unspecified()) {
        let remedy = "give the IP number it listens on";
        checker.report(&KeyPath::new(key), "cannot be connected to", remedy);
    }
}

fn check_target(checker: &mut Checker<'_>, settings: &Settings) {
    let key = KeyPath::new("target");
    match (settings.role, settings.target) {
        (Role::Side, None) => checker.report(
            &key,
            "is missing for role \"side\"",
            "give the address of the target beside this process",
        ),
        (Role::Router, Some(_)) => checker.report(
            &key,
            "has no meaning for role \"router\"",
            "remove it, or set role = \"side\"",
        ),
        (Role::Side, Some(target)) if target == settings.listen => checker.report(
            &key,
            "is the address this process listens on",
            "give the address of the target itself",
        ),
        _ => {}
    }
}

fn check_peers(checker: &mut Checker<'_>, settings: &Settings) {
    let mut once = Once::new("peer", "list each peer once");
    for (n, peer) in settings.peers.iter().enumerate() {
        let key = KeyPath::new("peers").with_index(n);
        if peer.port() == 0 || peer.ip().is_unspecified() {
            let remedy = "give the control address of another process";
            checker.report(&key, format!("{peer} cannot be connected to"), remedy);
            continue;
        }
        once.add(checker, key, *peer);
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
    let (least, most) = BODY_BYTES;
    checker.within(&key("body_bytes"), limits.body_bytes, least..=most);
    checker.within(&key("max_tokens"), limits.max_tokens, 1..=MAX_OUTPUT_TOKENS);
    checker.within(&key("requests"), limits.requests, 1..=MAX_REQUESTS);
    let (least, most) = BODY_MS;
    checker.within(&key("body_ms"), limits.body_ms, least..=most);
    checker.within(&key("stop_ms"), limits.stop_ms, 0..=MAX_STOP_MS);
}
