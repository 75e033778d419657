//! Validation of rules against their inventory.

use std::collections::HashSet;

use crate::check::inventory::names_of;
use crate::check::{Checker, UniqueValues};
use crate::{Account, Inventory, KeyPath, Rules};

/// Name that matches all models or all services.
const WILDCARD: &str = "*";

/// Length of a SHA-256 digest, in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// SHA-256 digest of empty input, the result for an empty key file.
const EMPTY_DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Maximum weight of an account.
const MAX_WEIGHT: u32 = 1_000;

/// Maximum deadline of a class, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum output that a class may assume, in tokens.
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;

/// Reports all errors of rules.
pub(crate) fn check_rules(checker: &mut Checker<'_>, rules: &Rules, inventory: &Inventory) {
    let offers = Offers::of(inventory);
    check_accounts(checker, rules, &offers);
    check_budgets(checker, rules, &offers);
    check_classes(checker, rules);
}

/// Models and services that any target of an inventory offers.
struct Offers<'a> {
    models: HashSet<&'a str>,
    services: HashSet<&'a str>,
}

impl<'a> Offers<'a> {
    fn of(inventory: &'a Inventory) -> Self {
        let models = inventory.target.iter().flat_map(|t| &t.model);
        let services = inventory.target.iter().flat_map(|t| &t.services);
        Self {
            models: models.map(|m| m.name.as_str()).collect(),
            services: services.map(String::as_str).collect(),
        }
    }
}

fn check_accounts(checker: &mut Checker<'_>, rules: &Rules, offers: &Offers<'_>) {
    let mut names = UniqueValues::new("account", "name each account once");
    let mut digests = UniqueValues::new("key digest", "give each account a key of its own");
    for (n, account) in rules.account.iter().enumerate() {
        let entry = KeyPath::entry("account", n);
        let name = entry.with_key("name");
        checker.check_name(&name, &account.name);
        names.add(checker, name, account.name.as_str());
        if check_digest(checker, &entry.with_key("key_digest"), account) {
            let digest = account.key_digest.to_ascii_lowercase();
            digests.add(checker, entry.with_key("key_digest"), digest);
        }
        checker.check_range(&entry.with_key("weight"), account.weight, 1..=MAX_WEIGHT);
        check_offered(
            checker,
            &entry.with_key("models"),
            &account.models,
            &offers.models,
        );
        check_offered(
            checker,
            &entry.with_key("services"),
            &account.services,
            &offers.services,
        );
    }
}

/// Checks the format of a key digest; returns whether it is valid.
fn check_digest(checker: &mut Checker<'_>, key: &KeyPath, account: &Account) -> bool {
    let digest = &account.key_digest;
    let name = &account.name;
    if digest.len() != DIGEST_DIGITS || !digest.bytes().all(|b| b.is_ascii_hexdigit()) {
        // The message does not contain the value, because it may be the key itself.
        checker.report(
            key,
            format!("of account {name:?} is not {DIGEST_DIGITS} hexadecimal digits"),
            "set it to the output of `wisteriapass digest`, never to the key",
        );
        return false;
    }
    if digest.eq_ignore_ascii_case(EMPTY_DIGEST) {
        checker.report(
            key,
            format!("of account {name:?} is the digest of an empty key"),
            "run `wisteriapass digest` with the key on standard input",
        );
        return false;
    }
    true
}

fn check_offered(
    checker: &mut Checker<'_>,
    key: &KeyPath,
    names: &[String],
    offered: &HashSet<&str>,
) {
    for (n, name) in names.iter().enumerate() {
        if name == WILDCARD || offered.contains(name.as_str()) {
            continue;
        }
        checker.report(
            &key.with_index(n),
            format!("no target offers {name:?}"),
            "correct the name or add a target that offers it",
        );
    }
}

fn check_budgets(checker: &mut Checker<'_>, rules: &Rules, offers: &Offers<'_>) {
    let accounts = names_of(&rules.account, |a| &a.name);
    let mut names = UniqueValues::new("budget", "name each budget of an account once");
    let remedy = "let one budget of an account pay for a model";
    let mut paid_models = UniqueValues::new("payment for", remedy);
    for (n, budget) in rules.budget.iter().enumerate() {
        let entry = KeyPath::entry("budget", n);
        let account = &budget.account;
        checker.check_name(&entry.with_key("name"), &budget.name);
        names.add(
            checker,
            entry.with_key("name"),
            format!("{account}/{}", budget.name),
        );
        if !accounts.contains(account.as_str()) {
            checker.report(
                &entry.with_key("account"),
                format!("no account is named {account:?}"),
                "add an [[account]] or correct the name",
            );
        }
        let models = entry.with_key("models");
        if budget.models.is_empty() {
            paid_models.add(
                checker,
                entry.clone(),
                format!("all other models and services of {account}"),
            );
        }
        for (m, model) in budget.models.iter().enumerate() {
            let key = models.with_index(m);
            paid_models.add(checker, key.clone(), format!("{model} of {account}"));
            if !offers.models.contains(model.as_str()) {
                checker.report(
                    &key,
                    format!("no target offers {model:?}"),
                    "correct the name; omit `models` to pay for all models",
                );
            }
        }
    }
}

fn check_classes(checker: &mut Checker<'_>, rules: &Rules) {
    let mut names = UniqueValues::new("class", "name each class once");
    for (n, class) in rules.class.iter().enumerate() {
        let entry = KeyPath::entry("class", n);
        let name = entry.with_key("name");
        checker.check_name(&name, &class.name);
        names.add(checker, name, class.name.as_str());
        checker.check_range(
            &entry.with_key("deadline_ms"),
            class.deadline_ms,
            1..=MAX_DEADLINE_MS,
        );
        checker.check_range(
            &entry.with_key("max_tokens"),
            class.max_tokens,
            1..=MAX_OUTPUT_TOKENS,
        );
    }
}
