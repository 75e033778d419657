//! Each error in a document is reported with document, key, line and remedy.

use quickcheck::{Gen, QuickCheck};
use wisteriapass_config::{ConfigError, Diagnostic, Document, Settings};

const INVENTORY: &str = r#"
[[failure_domain]]
name = "a"
region = "r"

[[router]]
name = "router-1"
vm = "vm-1"
failure_domain = "a"
listen = "10.0.0.1:80"
control = "10.0.0.1:81"

[[target]]
name = "lm-1"
vm = "vm-2"
failure_domain = "a"
kind = "engine"
address = "127.0.0.1:8000"
side = "10.0.0.2:80"
side_control = "10.0.0.2:81"
model = [{ name = "m" }]
"#;

const RULES: &str = r#"
[[account]]
name = "firm"
key_digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
models = ["m"]

[[budget]]
name = "all"
account = "firm"
"#;

fn diagnostics(inventory: &str, rules: &str) -> Vec<Diagnostic> {
    let refused = Document::from_toml(inventory, rules).unwrap_err();
    refused.diagnostics().to_vec()
}

/// Returns the only diagnostic after one replacement in the inventory.
fn in_inventory(from: &str, to: &str) -> Diagnostic {
    assert!(INVENTORY.contains(from));
    only(diagnostics(&INVENTORY.replacen(from, to, 1), RULES))
}

/// Returns the only diagnostic after one replacement in the rules.
fn in_rules(from: &str, to: &str) -> Diagnostic {
    assert!(RULES.contains(from));
    only(diagnostics(INVENTORY, &RULES.replacen(from, to, 1)))
}

fn only(mut diagnostics: Vec<Diagnostic>) -> Diagnostic {
    assert_eq!(diagnostics.len(), 1, "{diagnostics:#?}");
    diagnostics.remove(0)
}

fn location(diagnostic: &Diagnostic) -> (&str, &str, Option<usize>) {
    (&diagnostic.file, &diagnostic.key, diagnostic.line)
}

#[test]
fn the_unmodified_documents_are_accepted() {
    Document::from_toml(INVENTORY, RULES).unwrap();
}

#[test]
fn an_unknown_key_is_reported_with_its_line() {
    let diagnostic = in_inventory("region =", "regoin =");
    assert_eq!(
        (diagnostic.file.as_str(), diagnostic.line),
        ("inventory", Some(4))
    );
    assert!(diagnostic.cause.contains("regoin"), "{diagnostic}");
}

#[test]
fn a_wrong_type_is_reported_with_key_and_line() {
    let diagnostic = in_inventory("kind = \"engine\"", "kind = \"engine\"\nslots = \"many\"");
    assert_eq!(
        location(&diagnostic),
        ("inventory", "target[0].slots", Some(18))
    );
    let diagnostic = in_inventory("10.0.0.2:80", "10.0.0.2");
    assert_eq!(
        location(&diagnostic),
        ("inventory", "target[0].side", Some(19))
    );
    assert_eq!(diagnostic.remedy, "write an address as \"IP:port\"");
}

#[test]
fn a_missing_key_is_reported_with_its_table() {
    let diagnostic = in_rules("account = \"firm\"", "");
    assert_eq!(location(&diagnostic), ("rules", "budget[0]", Some(7)));
    assert!(diagnostic.cause.contains("account"), "{diagnostic}");
}

#[test]
fn an_error_in_nested_tables_is_reported_with_the_full_path() {
    let offers = "[[target.model]]\nname = \"m\"\n[[target.model]]\nname = 7";
    let diagnostic = in_inventory("model = [{ name = \"m\" }]", offers);
    assert_eq!(diagnostic.key, "target[0].model[1].name");
}

#[test]
fn corrupted_texts_never_panic_and_errors_are_complete() {
    fn property(at: usize, put: u8) -> bool {
        let mut text = INVENTORY.as_bytes().to_vec();
        let at = at % text.len();
        text[at] = put % 128;
        let text = String::from_utf8(text).unwrap();
        let lines = text.lines().count();
        let checked = Document::from_toml(&text, RULES);
        let refused = checked.err().map(|e| e.diagnostics().to_vec());
        let is_complete =
            |d: &Diagnostic| !d.remedy.is_empty() && d.line.is_none_or(|l| l <= lines + 1);
        refused.is_none_or(|diagnostics| {
            !diagnostics.is_empty() && diagnostics.iter().all(is_complete)
        })
    }
    let seeded = Gen::from_size_and_seed(1_000, 11);
    let mut check = QuickCheck::new().rng(seeded).tests(2_000);
    check.quickcheck(property as fn(usize, u8) -> bool);
}

#[test]
fn an_unknown_failure_domain_is_reported() {
    let diagnostic = in_inventory(
        "failure_domain = \"a\"\nlisten",
        "failure_domain = \"b\"\nlisten",
    );
    let key = "router[0].failure_domain";
    assert_eq!(location(&diagnostic), ("inventory", key, Some(9)));
    assert!(diagnostic.cause.contains("\"b\""), "{diagnostic}");
}

#[test]
fn a_duplicate_name_is_reported_with_its_first_use() {
    let diagnostic = in_inventory("name = \"lm-1\"", "name = \"router-1\"");
    assert_eq!(
        location(&diagnostic),
        ("inventory", "target[0].name", Some(14))
    );
    assert!(diagnostic.cause.contains("router[0].name"), "{diagnostic}");
}

#[test]
fn a_duplicate_address_is_reported() {
    let diagnostic = in_inventory("10.0.0.2:81", "10.0.0.1:81");
    let key = "target[0].side_control";
    assert_eq!(location(&diagnostic), ("inventory", key, Some(20)));
}

#[test]
fn an_address_with_port_0_is_reported() {
    let diagnostic = in_inventory("10.0.0.2:80", "10.0.0.2:0");
    assert_eq!(
        location(&diagnostic),
        ("inventory", "target[0].side", Some(19))
    );
}

#[test]
fn a_vm_in_two_failure_domains_is_reported() {
    let two = "[[failure_domain]]\nname = \"b\"\nregion = \"r\"\n";
    let moved = INVENTORY.replace(
        "vm = \"vm-2\"\nfailure_domain = \"a\"",
        "vm = \"vm-1\"\nfailure_domain = \"b\"",
    );
    let diagnostic = only(diagnostics(&format!("{two}{moved}"), RULES));
    assert_eq!(diagnostic.key, "target[0].failure_domain");
}

#[test]
fn an_engine_with_services_is_reported() {
    let diagnostic = in_inventory(
        "model = [{ name = \"m\" }]",
        "model = [{ name = \"m\" }]\nservices = [\"s\"]",
    );
    assert_eq!(
        location(&diagnostic),
        ("inventory", "target[0].services", Some(22))
    );
}

#[test]
fn slots_out_of_range_are_reported() {
    let diagnostic = in_inventory("kind = \"engine\"", "kind = \"engine\"\nslots = 0");
    assert_eq!(
        location(&diagnostic),
        ("inventory", "target[0].slots", Some(18))
    );
    assert_eq!(diagnostic.remedy, "use 1 to 4096");
}

#[test]
fn a_model_that_no_target_offers_is_reported() {
    let diagnostic = in_rules("[\"m\"]", "[\"m\", \"n\"]");
    assert_eq!(
        location(&diagnostic),
        ("rules", "account[0].models[1]", Some(5))
    );
}

#[test]
fn an_unknown_account_is_reported() {
    let diagnostic = in_rules("account = \"firm\"", "account = \"form\"");
    assert_eq!(
        location(&diagnostic),
        ("rules", "budget[0].account", Some(9))
    );
}

#[test]
fn a_key_in_place_of_its_digest_is_not_shown() {
    let digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    let diagnostic = in_rules(digest, "sk-very-secret");
    assert_eq!(
        location(&diagnostic),
        ("rules", "account[0].key_digest", Some(4))
    );
    assert!(!diagnostic.to_string().contains("sk-very-secret"));
}

#[test]
fn two_accounts_with_the_same_key_are_reported() {
    let second = RULES
        .replace("\"firm\"", "\"other\"")
        .replace("9f86d0", "9F86D0");
    let diagnostic = only(diagnostics(INVENTORY, &format!("{RULES}{second}")));
    assert_eq!(diagnostic.key, "account[1].key_digest");
}

#[test]
fn two_budgets_for_the_same_models_are_reported() {
    let second = "[[budget]]\nname = \"more\"\naccount = \"firm\"\n";
    let diagnostic = only(diagnostics(INVENTORY, &format!("{RULES}{second}")));
    assert_eq!(diagnostic.key, "budget[1]");
}

#[test]
fn all_errors_of_both_documents_are_reported() {
    let inventory = INVENTORY.replace("failure_domain = \"a\"", "failure_domain = \"b\"");
    let rules = RULES.replace("[\"m\"]", "[\"n\"]");
    let found = diagnostics(&inventory, &rules);
    let files: Vec<&str> = found.iter().map(|d| d.file.as_str()).collect();
    assert_eq!(files, ["inventory", "inventory", "rules"]);
    let broken = diagnostics("[[router]", "account = 3");
    assert_eq!(broken.len(), 2);
}

#[test]
fn all_errors_of_settings_are_reported_with_lines() {
    let text = "name = \"side-1\"\nrole = \"side\"\nlog = \"loud\"\n[limits]\nrequests = 0\n";
    let refused = Settings::from_toml("side.toml", text).unwrap_err();
    let keys: Vec<(&str, Option<usize>)> = refused
        .diagnostics()
        .iter()
        .map(|d| (d.key.as_str(), d.line))
        .collect();
    assert!(keys.contains(&("log", Some(3))), "{refused}");
    assert!(keys.contains(&("limits.requests", Some(5))), "{refused}");
    assert!(keys.contains(&("target", None)), "{refused}");
    assert!(keys.contains(&("store", None)), "{refused}");
}

#[test]
fn thresholds_of_the_policy_are_reported_with_their_path() {
    let refused = |policy: &str| {
        let text = format!("name = \"router-1\"\n{policy}\n");
        let refused = Settings::from_toml("router.toml", &text).unwrap_err();
        let reported = refused.diagnostics().iter();
        let reported = reported.filter(|d| d.key.starts_with("policy"));
        reported
            .map(|d| (d.key.clone(), d.line))
            .collect::<Vec<_>>()
    };
    let at = |key: &str, line| vec![(key.to_owned(), Some(line))];
    assert_eq!(refused("[policy]"), []);
    let unknown = refused("[policy]\nreserve_brust = 2.0");
    assert_eq!(unknown, at("policy.reserve_brust", 3));
    let wrong_type = refused("[policy]\nageing = \"slow\"");
    assert_eq!(wrong_type, at("policy.ageing", 3));
    let unknown_part = refused("[policy.parts]\nluck = true");
    assert_eq!(unknown_part, at("policy.parts.luck", 3));
    let negative = refused("[policy]\nqueue_at_target = -1.0");
    assert_eq!(negative, at("policy.queue_at_target", 3));
    let infinite = refused("[policy]\nqueue_limit_s = inf");
    assert_eq!(infinite, at("policy.queue_limit_s", 3));
    let above_one = refused("[policy]\nreserve_max = 1.5");
    assert_eq!(above_one, at("policy.reserve_max", 3));
    let stale = refused("[policy]\nreport_stale_s = 0.5");
    assert_eq!(stale, at("policy.report_stale_s", 3));
}

#[test]
fn an_unreadable_settings_file_is_reported() {
    let refused = Settings::from_file("no/such/file.toml".as_ref()).unwrap_err();
    assert!(matches!(refused, ConfigError::Unreadable { .. }));
}
