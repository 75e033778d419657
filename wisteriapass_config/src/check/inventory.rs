//! Checks of an inventory.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use crate::check::{Checker, Once};
use crate::{Inventory, KeyPath, ModelOffer, Target, TargetKind};

/// Most requests a target may work on at once.
const MAX_SLOTS: u32 = 4_096;

/// Most tokens a second an engine may be said to generate.
const MAX_TOKENS_PER_SECOND: u32 = 10_000_000;

/// Reports every mistake of an inventory.
pub(crate) fn check_inventory(checker: &mut Checker<'_>, inventory: &Inventory) {
    check_failure_domains(checker, inventory);
    check_names(checker, inventory);
    check_places(checker, inventory);
    check_addresses(checker, inventory);
    for (n, target) in inventory.target.iter().enumerate() {
        check_target(checker, &KeyPath::entry("target", n), target);
    }
}

fn check_failure_domains(checker: &mut Checker<'_>, inventory: &Inventory) {
    let mut names = Once::new("failure domain", "name each failure domain once");
    for (n, domain) in inventory.failure_domain.iter().enumerate() {
        let entry = KeyPath::entry("failure_domain", n);
        checker.name(&entry.with_key("name"), &domain.name);
        checker.name(&entry.with_key("region"), &domain.region);
        names.add(checker, entry.with_key("name"), domain.name.as_str());
    }
}

fn check_names(checker: &mut Checker<'_>, inventory: &Inventory) {
    let mut names = Once::new("name", "name each router and target once");
    let routers = inventory.router.iter().map(|r| r.name.as_str());
    let targets = inventory.target.iter().map(|t| t.name.as_str());
    let entries = entries("router", routers).chain(entries("target", targets));
    for (entry, name) in entries {
        let key = entry.with_key("name");
        checker.name(&key, name);
        names.add(checker, key, name);
    }
}

/// Checks that each VM stands in one failure domain, which exists.
fn check_places(checker: &mut Checker<'_>, inventory: &Inventory) {
    let known: HashSet<&str> = names_of(&inventory.failure_domain, |d| &d.name);
    let routers = inventory.router.iter().map(|r| (&r.vm, &r.failure_domain));
    let targets = inventory.target.iter().map(|t| (&t.vm, &t.failure_domain));
    let mut domains: HashMap<&str, &str> = HashMap::new();
    for (entry, (vm, domain)) in entries("router", routers).chain(entries("target", targets)) {
        checker.name(&entry.with_key("vm"), vm);
        let key = entry.with_key("failure_domain");
        if !known.contains(domain.as_str()) {
            checker.report(
                &key,
                format!("no failure domain is named {domain:?}"),
                "add a [[failure_domain]] or correct the name",
            );
            continue;
        }
        let first = domains.entry(vm).or_insert(domain);
        if *first != domain.as_str() {
            checker.report(
                &key,
                format!("VM {vm:?} is in failure domain {first:?} elsewhere"),
                "give a VM one failure domain",
            );
        }
    }
}

/// Checks that the system's own addresses can be reached and are given once.
fn check_addresses(checker: &mut Checker<'_>, inventory: &Inventory) {
    let mut once = Once::new("address", "give each listener its own address");
    for (n, router) in inventory.router.iter().enumerate() {
        let entry = KeyPath::entry("router", n);
        let named = [("listen", router.listen), ("control", router.control)];
        check_listeners(checker, &mut once, &entry, &named);
    }
    for (n, target) in inventory.target.iter().enumerate() {
        let entry = KeyPath::entry("target", n);
        let named = [("side", target.side), ("side_control", target.side_control)];
        check_listeners(checker, &mut once, &entry, &named);
        // A target listens as its side process sees it, so that many may use one loopback address.
        let key = entry.with_key("address");
        check_reachable(checker, &key, target.address);
        if !target.address.ip().is_loopback() || target.address == target.side {
            once.add(checker, key, target.address);
        }
    }
}

fn check_listeners(
    checker: &mut Checker<'_>,
    once: &mut Once<SocketAddr>,
    entry: &KeyPath,
    named: &[(&'static str, SocketAddr)],
) {
    for (key, address) in named {
        let key = entry.with_key(key);
        check_reachable(checker, &key, *address);
        once.add(checker, key, *address);
    }
}

fn check_reachable(checker: &mut Checker<'_>, key: &KeyPath, address: SocketAddr) {
    if address.port() != 0 && !address.ip().is_unspecified() {
        return;
    }
    checker.report(
        key,
        format!("{address} cannot be connected to"),
        "give the IP number and port that others connect to",
    );
}

fn check_target(checker: &mut Checker<'_>, entry: &KeyPath, target: &Target) {
    checker.within(&entry.with_key("slots"), target.slots, 1..=MAX_SLOTS);
    checker.within(
        &entry.with_key("tokens_per_second"),
        target.tokens_per_second,
        1..=MAX_TOKENS_PER_SECOND,
    );
    check_kind(checker, entry, target);
    check_models(checker, entry, &target.model);
    check_services(checker, entry, &target.services);
}

/// Checks that engines offer models and plain services offer services.
fn check_kind(checker: &mut Checker<'_>, entry: &KeyPath, target: &Target) {
    let (missing, key, foreign, foreign_key) = match target.kind {
        TargetKind::Engine => (
            target.model.is_empty(),
            "model",
            !target.services.is_empty(),
            "services",
        ),
        TargetKind::Service => (
            target.services.is_empty(),
            "services",
            !target.model.is_empty(),
            "model",
        ),
    };
    let name = &target.name;
    if missing {
        let cause = format!("{name:?} offers nothing that its kind can do");
        checker.report(
            &entry.with_key(key),
            cause,
            "list what it offers or correct `kind`",
        );
    }
    if foreign {
        let cause = format!("{name:?} cannot offer this");
        let remedy = "engines take `model`, plain services take `services`";
        checker.report(&entry.with_key(foreign_key), cause, remedy);
    }
}

fn check_models(checker: &mut Checker<'_>, entry: &KeyPath, models: &[ModelOffer]) {
    let mut once = Once::new("model", "list each model and version of a target once");
    for (n, model) in models.iter().enumerate() {
        let key = entry.with_key("model").with_index(n);
        checker.name(&key.with_key("name"), &model.name);
        if !model.version.is_empty() {
            checker.name(&key.with_key("version"), &model.version);
        }
        let offer = format!("{}@{}", model.name, model.version);
        once.add(checker, key.with_key("name"), offer);
        let mut adapters = Once::new("adapter", "list each adapter once");
        for (a, adapter) in model.adapters.iter().enumerate() {
            let key = key.with_key("adapters").with_index(a);
            checker.name(&key, adapter);
            adapters.add(checker, key, adapter.as_str());
        }
    }
}

fn check_services(checker: &mut Checker<'_>, entry: &KeyPath, services: &[String]) {
    let mut once = Once::new("service", "list each service of a target once");
    for (n, service) in services.iter().enumerate() {
        let key = entry.with_key("services").with_index(n);
        checker.name(&key, service);
        once.add(checker, key, service.as_str());
    }
}

/// Pairs each value with the path of its entry.
fn entries<T>(
    array: &'static str,
    values: impl Iterator<Item = T>,
) -> impl Iterator<Item = (KeyPath, T)> {
    values
        .enumerate()
        .map(move |(n, value)| (KeyPath::entry(array, n), value))
}

/// Returns the names in a list.
pub(crate) fn names_of<T>(list: &[T], name: impl Fn(&T) -> &String) -> HashSet<&str> {
    list.iter().map(|item| name(item).as_str()).collect()
}
