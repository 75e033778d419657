//! Validation of an inventory.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use crate::check::{Checker, UniqueValues};
use crate::{Inventory, KeyPath, ModelOffer, Target, TargetKind};

/// Maximum number of concurrent requests at a target.
const MAX_SLOTS: u32 = 4_096;

/// Maximum generation rate of an engine, in tokens per second.
const MAX_TOKENS_PER_SECOND: u32 = 10_000_000;

/// Reports all errors of an inventory.
pub(crate) fn check_inventory(checker: &mut Checker<'_>, inventory: &Inventory) {
    check_failure_domains(checker, inventory);
    check_names(checker, inventory);
    check_vm_domains(checker, inventory);
    check_addresses(checker, inventory);
    for (n, target) in inventory.target.iter().enumerate() {
        check_target(checker, &KeyPath::entry("target", n), target);
    }
}

fn check_failure_domains(checker: &mut Checker<'_>, inventory: &Inventory) {
    let mut names = UniqueValues::new("failure domain", "name each failure domain once");
    for (n, domain) in inventory.failure_domain.iter().enumerate() {
        let entry = KeyPath::entry("failure_domain", n);
        checker.check_name(&entry.with_key("name"), &domain.name);
        checker.check_name(&entry.with_key("region"), &domain.region);
        names.add(checker, entry.with_key("name"), domain.name.as_str());
    }
}

fn check_names(checker: &mut Checker<'_>, inventory: &Inventory) {
    let mut names = UniqueValues::new("name", "name each router and target once");
    let routers = inventory.router.iter().map(|r| r.name.as_str());
    let targets = inventory.target.iter().map(|t| t.name.as_str());
    let entries = entries("router", routers).chain(entries("target", targets));
    for (entry, name) in entries {
        let key = entry.with_key("name");
        checker.check_name(&key, name);
        names.add(checker, key, name);
    }
}

/// Checks that each VM is in exactly one failure domain, and that this failure domain exists.
fn check_vm_domains(checker: &mut Checker<'_>, inventory: &Inventory) {
    let known_domains: HashSet<&str> = names_of(&inventory.failure_domain, |d| &d.name);
    let routers = inventory.router.iter().map(|r| (&r.vm, &r.failure_domain));
    let targets = inventory.target.iter().map(|t| (&t.vm, &t.failure_domain));
    let mut domain_of_vm: HashMap<&str, &str> = HashMap::new();
    for (entry, (vm, domain)) in entries("router", routers).chain(entries("target", targets)) {
        checker.check_name(&entry.with_key("vm"), vm);
        let key = entry.with_key("failure_domain");
        if !known_domains.contains(domain.as_str()) {
            checker.report(
                &key,
                format!("no failure domain is named {domain:?}"),
                "add a [[failure_domain]] or correct the name",
            );
            continue;
        }
        let first = domain_of_vm.entry(vm).or_insert(domain);
        if *first != domain.as_str() {
            checker.report(
                &key,
                format!("VM {vm:?} is in failure domain {first:?} elsewhere"),
                "give a VM one failure domain",
            );
        }
    }
}

/// Checks that the addresses of the system's own listeners can be connected to and are unique.
fn check_addresses(checker: &mut Checker<'_>, inventory: &Inventory) {
    let mut unique = UniqueValues::new("address", "give each listener its own address");
    for (n, router) in inventory.router.iter().enumerate() {
        let entry = KeyPath::entry("router", n);
        let addresses = [("listen", router.listen), ("control", router.control)];
        check_listeners(checker, &mut unique, &entry, &addresses);
    }
    for (n, target) in inventory.target.iter().enumerate() {
        let entry = KeyPath::entry("target", n);
        let addresses = [("side", target.side), ("side_control", target.side_control)];
        check_listeners(checker, &mut unique, &entry, &addresses);
        // The address of a target is relative to its side process, so targets on different VMs may
        // use the same loopback address.
        let key = entry.with_key("address");
        check_connectable(checker, &key, target.address);
        if !target.address.ip().is_loopback() || target.address == target.side {
            unique.add(checker, key, target.address);
        }
    }
}

fn check_listeners(
    checker: &mut Checker<'_>,
    unique: &mut UniqueValues<SocketAddr>,
    entry: &KeyPath,
    addresses: &[(&'static str, SocketAddr)],
) {
    for (key, address) in addresses {
        let key = entry.with_key(key);
        check_connectable(checker, &key, *address);
        unique.add(checker, key, *address);
    }
}

fn check_connectable(checker: &mut Checker<'_>, key: &KeyPath, address: SocketAddr) {
    if address.port() != 0 && !address.ip().is_unspecified() {
        return;
    }
    checker.report(
        key,
        format!("{address} cannot be connected to"),
        "set the IP address and port that others connect to",
    );
}

fn check_target(checker: &mut Checker<'_>, entry: &KeyPath, target: &Target) {
    checker.check_range(&entry.with_key("slots"), target.slots, 1..=MAX_SLOTS);
    checker.check_range(
        &entry.with_key("tokens_per_second"),
        target.tokens_per_second,
        1..=MAX_TOKENS_PER_SECOND,
    );
    check_kind(checker, entry, target);
    check_models(checker, entry, &target.model);
    check_services(checker, entry, &target.services);
}

/// Checks that engines offer only models and plain services offer only services.
fn check_kind(checker: &mut Checker<'_>, entry: &KeyPath, target: &Target) {
    let (is_missing, key, is_unsupported, unsupported_key) = match target.kind {
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
    if is_missing {
        let cause = format!("{name:?} offers nothing that its kind supports");
        checker.report(
            &entry.with_key(key),
            cause,
            "list its offers or correct `kind`",
        );
    }
    if is_unsupported {
        let cause = format!("{name:?} cannot offer this");
        let remedy = "engines take `model`, plain services take `services`";
        checker.report(&entry.with_key(unsupported_key), cause, remedy);
    }
}

fn check_models(checker: &mut Checker<'_>, entry: &KeyPath, models: &[ModelOffer]) {
    let mut unique = UniqueValues::new("model", "list each model and version of a target once");
    for (n, model) in models.iter().enumerate() {
        let key = entry.with_key("model").with_index(n);
        checker.check_name(&key.with_key("name"), &model.name);
        if !model.version.is_empty() {
            checker.check_name(&key.with_key("version"), &model.version);
        }
        let offer = format!("{}@{}", model.name, model.version);
        unique.add(checker, key.with_key("name"), offer);
        let mut adapters = UniqueValues::new("adapter", "list each adapter once");
        for (a, adapter) in model.adapters.iter().enumerate() {
            let key = key.with_key("adapters").with_index(a);
            checker.check_name(&key, adapter);
            adapters.add(checker, key, adapter.as_str());
        }
    }
}

fn check_services(checker: &mut Checker<'_>, entry: &KeyPath, services: &[String]) {
    let mut unique = UniqueValues::new("service", "list each service of a target once");
    for (n, service) in services.iter().enumerate() {
        let key = entry.with_key("services").with_index(n);
        checker.check_name(&key, service);
        unique.add(checker, key, service.as_str());
    }
}

/// Pairs each value with the key path of its entry.
fn entries<T>(
    array: &'static str,
    values: impl Iterator<Item = T>,
) -> impl Iterator<Item = (KeyPath, T)> {
    values
        .enumerate()
        .map(move |(n, value)| (KeyPath::entry(array, n), value))
}

/// Returns the names of all items in a list.
pub(crate) fn names_of<T>(list: &[T], name: impl Fn(&T) -> &String) -> HashSet<&str> {
    list.iter().map(|item| name(item).as_str()).collect()
}
