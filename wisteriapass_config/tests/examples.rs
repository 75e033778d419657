//! The example configurations are valid and have the sizes stated in their comments.

use std::fs;
use std::path::{Path, PathBuf};

use wisteriapass_config::{Document, Inventory, Settings, Source, TargetKind};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

fn document(deployment: &str) -> Document {
    let read = |file| fs::read_to_string(example(deployment).join(file)).unwrap();
    let (inventory, rules) = (read("inventory.toml"), read("rules.toml"));
    let source = |file, text| Source { file, text };
    let accepted = Document::from_sources(
        source("inventory.toml", &inventory),
        source("rules.toml", &rules),
    );
    accepted.unwrap_or_else(|e| panic!("{deployment}:\n{e}"))
}

fn count(document: &Document, kind: TargetKind) -> usize {
    let targets = document.inventory.target.iter();
    targets.filter(|t| t.kind == kind).count()
}

#[test]
fn pizarra_has_its_current_size() {
    let document = document("pizarra");
    assert_eq!(document.inventory.failure_domain.len(), 3);
    assert_eq!(count(&document, TargetKind::Engine), 12);
    assert_eq!(count(&document, TargetKind::Service), 3);
    assert_eq!(document.rules.account.len(), 10);
    for class in ["draft", "question", "suggestion", "page", "save"] {
        assert!(document.rules.class_named(class).is_some(), "{class}");
    }
}

#[test]
fn the_association_has_its_current_size() {
    let document = document("association");
    assert_eq!(document.inventory.failure_domain.len(), 3);
    assert_eq!(count(&document, TargetKind::Engine), 18);
    assert_eq!(count(&document, TargetKind::Service), 3);
    assert_eq!(document.rules.account.len(), 10);
    for class in ["checklist", "crimp", "supplier", "certificate"] {
        assert!(document.rules.class_named(class).is_some(), "{class}");
    }
}

#[test]
fn every_account_can_pay_for_every_model_it_may_use() {
    for document in [document("pizarra"), document("association")] {
        let offered = document.inventory.target.iter().flat_map(|t| &t.model);
        let models: Vec<&str> = offered.map(|m| m.name.as_str()).collect();
        for account in &document.rules.account {
            let may_use = |m: &str| account.models.iter().any(|x| x == "*" || x == m);
            for model in models.iter().filter(|m| may_use(m)) {
                let budget = document.rules.budget_for(&account.name, Some(model));
                assert!(budget.is_some(), "{} {model}", account.name);
            }
        }
    }
}

#[test]
fn the_settings_match_the_inventory() {
    assert_settings_match(&document("pizarra").inventory, "");
    assert_settings_match(&document("local").inventory, "local/");
}

/// Checks that the settings of a router and of a side process match the inventory.
fn assert_settings_match(inventory: &Inventory, dir: &str) {
    let file = |name: &str| example(&format!("{dir}{name}"));
    let router = Settings::from_file(&file("router.toml")).unwrap();
    let listed = inventory.router_named(&router.name).unwrap();
    assert_eq!(
        (listed.listen, listed.control),
        (router.listen, router.control)
    );
    let side = Settings::from_file(&file("side.toml")).unwrap();
    let listed = inventory.target_named(&side.name).unwrap();
    assert_eq!(
        (listed.side, listed.side_control),
        (side.listen, side.control)
    );
    assert_eq!(Some(listed.address), side.target);
}

#[test]
fn the_settings_examples_show_every_key_with_a_comment() {
    for file in ["router.toml", "side.toml"] {
        let settings = Settings::from_file(&example(file)).unwrap();
        let text = fs::read_to_string(example(file)).unwrap();
        let lines: Vec<&str> = text.lines().collect();
        for key in keys(&settings) {
            let prefix = format!("{key} = ");
            let at = lines.iter().position(|l| l.starts_with(&prefix));
            let at = at.unwrap_or_else(|| panic!("{file} lacks {key}"));
            assert!(lines[at - 1].starts_with("# "), "{file}: {key}");
        }
    }
}

/// Returns the names of all keys in the settings except the thresholds of the policy. These are
/// commented out in `router.toml` and are covered by the next test.
fn keys(settings: &Settings) -> Vec<String> {
    let table = toml::Table::try_from(settings).unwrap();
    let limits = table["limits"].as_table().unwrap().keys().cloned();
    let is_table = |k: &str| k == "limits" || k == "policy";
    let top = table.keys().filter(|k| !is_table(k)).cloned();
    limits.chain(top).collect()
}

#[test]
fn the_router_example_lists_every_threshold_with_its_default() {
    let text = fs::read_to_string(example("router.toml")).unwrap();
    let is_key = |key: &str| key.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    let uncommented = |line: &str| {
        let setting = line.strip_prefix("# ")?;
        let (key, _) = setting.split_once(" = ")?;
        is_key(key).then(|| setting.to_owned())
    };
    let lines = text.lines();
    let all: Vec<String> = lines
        .map(|line| uncommented(line).unwrap_or_else(|| line.to_owned()))
        .collect();
    let settings = Settings::from_toml("router.toml", &all.join("\n")).unwrap();
    assert_eq!(settings.policy, Settings::default().policy);
    let policy = toml::Table::try_from(&settings.policy).unwrap();
    let parts = policy["parts"].as_table().unwrap();
    for key in parts.keys().filter(|key| *key != "hedging") {
        assert!(all.contains(&format!("{key} = true")), "{key}");
    }
    for key in policy.keys().filter(|key| *key != "parts") {
        let prefix = format!("{key} = ");
        let at = all.iter().position(|line| line.starts_with(&prefix));
        let at = at.unwrap_or_else(|| panic!("router.toml lacks {key}"));
        assert!(all[at - 1].starts_with("# "), "{key} has no comment");
    }
}
