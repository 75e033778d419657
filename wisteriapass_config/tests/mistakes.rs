//! Every mistake in a document is reported with document, key, line and remedy.

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

/// Returns the only mistake after one replacement in the inventory.
fn in_inventory(from: &str, to: &str) -> Diagnostic {
    assert!(INVENTORY.contains(from));
    only(diagnostics(&INVENTORY.replacen(from, to, 1), RULES))
}

/// Returns the only mistake after one replacement in the rules.
fn in_rules(from: &str, to: &str) -> Diagnostic {
    assert!(RULES.contains(from));
    only(diagnostics(INVENTORY, &RULES.replacen(from, to, 1)))
}

fn only(mut diagnostics: Vec<Diagnostic>) -> Diagnostic {
    assert_eq!(diagnostics.len(), 1, "{diagnostics:#?}");
    diagnostics.remove(0)
}

fn place(mistake: &Diagnostic) -> (&str, &str, Option<usize>) {
    (&mistake.file, &mistake.key, mistake.line)
}

#[test]
fn the_base_is_accepted() {
    Document::from_toml(INVENTORY, RULES).unwrap();
}

#[test]
fn an_unknown_key_names_its_line() {
    let mistake = in_inventory("region =", "regoin =");
    assert_eq!(
        (mistake.file.as_str(), mistake.line),
        ("inventory", Some(4))
    );
    assert!(mistake.cause.contains("regoin"), "{mistake}");
}

#[test]
fn a_wrong_type_names_key_and_line() {
    let mistake = in_inventory("kind = \"engine\"", "kind = \"engine\"\nslots = \"many\"");
    assert_eq!(place(&mistake), ("inventory", "target[0].slots", Some(18)));
    let mistake = in_inventory("10.0.0.2:80", "10.0.0.2");
    assert_eq!(place(&mistake), ("inventory", "target[0].side", Some(19)));
    assert_eq!(mistake.remedy, "write an address as \"IP:port\"");
}

#[test]
fn a_missing_key_names_its_table() {
    let mistake = in_rules("account = \"firm\"", "");
    assert_eq!(place(&mistake), ("rules", "budget[0]", Some(7)));
    assert!(mistake.cause.contains("account"), "{mistake}");
}

#[test]
fn a_mistake_in_nested_tables_names_the_whole_path() {
    let offers = "[[target.model]]\nname = \"m\"\n[[target.model]]\nname = 7";
    let mistake = in_inventory("model = [{ name = \"m\" }]", offers);
    assert_eq!(mistake.key, "target[0].model[1].name");
}

#[test]
fn damaged_texts_are_refused_or_accepted_but_never_break_the_check() {
    fn property(at: usize, put: u8) -> bool {
        let mut text = INVENTORY.as_bytes().to_vec();
        let at = at % text.len();
        text[at] = put % 128;
        let text = String::from_utf8(text).unwrap();
        let lines = text.lines().count();
        let checked = Document::from_toml(&text, RULES);
        let refused = checked.err().map(|e| e.diagnostics().to_vec());
        let is_told =
            |m: &Diagnostic| !m.remedy.is_empty() && m.line.is_none_or(|l| l <= lines + 1);
        refused.is_none_or(|diagnostics| !diagnostics.is_empty() && diagnostics.iter().all(is_told))
    }
    let seeded = Gen::from_size_and_seed(1_000, 11);
    let mut check = QuickCheck::new().rng(seeded).tests(2_000);
    check.quickcheck(property as fn(usize, u8) -> bool);
}

#[test]
fn a_failure_domain_that_does_not_exist_is_named() {
    let mistake = in_inventory(
        "failure_domain = \"a\"\nlisten",
        "failure_domain = \"b\"\nlisten",
    );
    let key = "router[0].failure_domain";
    assert_eq!(place(&mistake), ("inventory", key, Some(9)));
    assert!(mistake.cause.contains("\"b\""), "{mistake}");
}

#[test]
fn a_name_given_twice_names_the_first() {
    let mistake = in_inventory("name = \"lm-1\"", "name = \"router-1\"");
    assert_eq!(place(&mistake), ("inventory", "target[0].name", Some(14)));
    assert!(mistake.cause.contains("router[0].name"), "{mistake}");
}

#[test]
fn an_address_given_twice_is_found() {
    let mistake = in_inventory("10.0.0.2:81", "10.0.0.1:81");
    let key = "target[0].side_control";
    assert_eq!(place(&mistake), ("inventory", key, Some(20)));
}

#[test]
fn an_address_without_port_cannot_be_connected_to() {
    let mistake = in_inventory("10.0.0.2:80", "10.0.0.2:0");
    assert_eq!(place(&mistake), ("inventory", "target[0].side", Some(19)));
}

#[test]
fn a_vm_lies_in_one_failure_domain() {
    let two = "[[failure_domain]]\nname = \"b\"\nregion = \"r\"\n";
    let moved = INVENTORY.replace(
        "vm = \"vm-2\"\nfailure_domain = \"a\"",
        "vm = \"vm-1\"\nfailure_domain = \"b\"",
    );
    let mistake = only(diagnostics(&format!("{two}{moved}"), RULES));
    assert_eq!(mistake.key, "target[0].failure_domain");
}

#[test]
fn an_engine_offers_models_and_no_services() {
    let mistake = in_inventory(
        "model = [{ name = \"m\" }]",
        "model = [{ name = \"m\" }]\nservices = [\"s\"]",
    );
    assert_eq!(
        place(&mistake),
        ("inventory", "target[0].services", Some(22))
    );
}

#[test]
fn absurd_slots_are_refused() {
    let mistake = in_inventory("kind = \"engine\"", "kind = \"engine\"\nslots = 0");
    assert_eq!(place(&mistake), ("inventory", "target[0].slots", Some(18)));
    assert_eq!(mistake.remedy, "use 1 to 4096");
}

#[test]
fn a_model_that_nobody_offers_is_named() {
    let mistake = in_rules("[\"m\"]", "[\"m\", \"n\"]");
    assert_eq!(place(&mistake), ("rules", "account[0].models[1]", Some(5)));
}

#[test]
fn an_account_that_does_not_exist_is_named() {
    let mistake = in_rules("account = \"firm\"", "account = \"form\"");
    assert_eq!(place(&mistake), ("rules", "budget[0].account", Some(9)));
}

#[test]
fn a_key_in_place_of_its_digest_is_not_repeated() {
    let digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    let mistake = in_rules(digest, "sk-very-secret");
    assert_eq!(place(&mistake), ("rules", "account[0].key_digest", Some(4)));
    assert!(!mistake.to_string().contains("sk-very-secret"));
}

#[test]
fn two_accounts_with_one_key_are_refused() {
    let second = RULES
        .replace("\"firm\"", "\"other\"")
        .replace("9f86d0", "9F86D0");
    let mistake = only(diagnostics(INVENTORY, &format!("{RULES}{second}")));
    assert_eq!(mistake.key, "account[1].key_digest");
}

#[test]
fn two_budgets_that_pay_for_the_same_are_refused() {
    let second = "[[budget]]\nname = \"more\"\naccount = \"firm\"\n";
    let mistake = only(diagnostics(INVENTORY, &format!("{RULES}{second}")));
    assert_eq!(mistake.key, "budget[1]");
}

#[test]
fn all_mistakes_of_both_documents_come_at_once() {
    let inventory = INVENTORY.replace("failure_domain = \"a\"", "failure_domain = \"b\"");
    let rules = RULES.replace("[\"m\"]", "[\"n\"]");
    let found = diagnostics(&inventory, &rules);
    let files: Vec<&str> = found.iter().map(|m| m.file.as_str()).collect();
    assert_eq!(files, ["inventory", "inventory", "rules"]);
    let broken = diagnostics("[[router]", "account = 3");
    assert_eq!(broken.len(), 2);
}

#[test]
fn settings_report_all_their_mistakes_with_lines() {
    let text = "name = \"side-1\"\nrole = \"side\"\nlog = \"loud\"\n[limits]\nrequests = 0\n";
    let refused = Settings::from_toml("side.toml", text).unwrap_err();
    let keys: Vec<(&str, Option<usize>)> = refused
        .diagnostics()
        .iter()
        .map(|m| (m.key.as_str(), m.line))
        .collect();
    assert!(keys.contains(&("log", Some(3))), "{refused}");
    assert!(keys.contains(&("limits.requests", Some(5))), "{refused}");
    assert!(keys.contains(&("target", None)), "{refused}");
    assert!(keys.contains(&("store", None)), "{refused}");
}

#[test]
fn thresholds_of_the_policy_are_named_with_their_path() {
    let refused = |policy: &str| {
        let text = format!("name = \"router-1\"\n{policy}\n");
        let refused = Settings::from_toml("router.toml", &text).unwrap_err();
        let told = refused.diagnostics().iter();
        let told = told.filter(|m| m.key.starts_with("policy"));
        told.map(|m| (m.key.clone(), m.line)).collect::<Vec<_>>()
    };
    let place = |key: &str, line| vec![(key.to_owned(), Some(line))];
    assert_eq!(refused("[policy]"), []);
    let unknown = refused("[policy]\nreserve_brust = 2.0");
    assert_eq!(unknown, place("policy.reserve_brust", 3));
    let wrong_type = refused("[policy]\nageing = \"slow\"");
    assert_eq!(wrong_type, place("policy.ageing", 3));
    let unknown_part = refused("[policy.parts]\nluck = true");
    assert_eq!(unknown_part, place("policy.parts.luck", 3));
    let negative = refused("[policy]\nqueue_at_target = -1.0");
    assert_eq!(negative, place("policy.queue_at_target", 3));
    let endless = refused("[policy]\nqueue_limit_s = inf");
    assert_eq!(endless, place("policy.queue_limit_s", 3));
    let above_one = refused("[policy]\nreserve_max = 1.5");
    assert_eq!(above_one, place("policy.reserve_max", 3));
    let stale = refused("[policy]\nreport_stale_s = 0.5");
    assert_eq!(stale, place("policy.report_stale_s", 3));
}

#[test]
fn a_settings_file_that_cannot_be_read_says_so() {
    let refused = Settings::from_file("no/such/file.toml".as_ref()).unwrap_err();
    assert!(matches!(refused, ConfigError::Unreadable { .. }));
}
