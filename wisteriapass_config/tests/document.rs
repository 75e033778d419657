//! Documents round-trip through JSON and TOML, and their changes are complete.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};
use wisteriapass_config::{
    Account, Budget, Change, Class, Document, FailureDomain, Inventory, ModelOffer, Priority,
    Router, Rules, Subject, Target, TargetKind,
};

/// Seed of the generated documents.
const SEED: u64 = 7;

/// Size of the generated documents.
const SIZE: usize = 64;

/// Valid document with a few entries.
#[derive(Clone, Debug)]
struct ValidDocument(Document);

impl Arbitrary for ValidDocument {
    fn arbitrary(g: &mut Gen) -> Self {
        let inventory = Inventory {
            failure_domain: domains(),
            router: subset(g, 3).map(router).collect(),
            target: (0..4).map(|n| target(n, u32::arbitrary(g))).collect(),
        };
        let accounts: Vec<u16> = subset(g, 4).collect();
        let rules = Rules {
            budget: accounts.iter().map(|n| budget(*n)).collect(),
            account: accounts
                .iter()
                .map(|n| account(*n, u32::arbitrary(g)))
                .collect(),
            class: subset(g, 3).map(|n| class(n, u64::arbitrary(g))).collect(),
        };
        Self(Document {
            revision: u64::from(u32::arbitrary(g)),
            op: format!("op-{}", u16::arbitrary(g)),
            inventory,
            rules,
        })
    }
}

fn subset(g: &mut Gen, max: u16) -> impl Iterator<Item = u16> + use<> {
    let chosen: Vec<u16> = (0..max).filter(|_| bool::arbitrary(g)).collect();
    chosen.into_iter()
}

fn domains() -> Vec<FailureDomain> {
    let domain = |n| FailureDomain {
        name: format!("d{n}"),
        region: "r".into(),
        evacuated: false,
    };
    (0..3).map(domain).collect()
}

fn router(n: u16) -> Router {
    Router {
        name: format!("router-{n}"),
        vm: format!("entry-{n}"),
        failure_domain: format!("d{}", n % 3),
        listen: ([10, 0, 0, 1], 100 + n).into(),
        control: ([10, 0, 0, 1], 200 + n).into(),
    }
}

fn target(n: u16, seed: u32) -> Target {
    let is_engine = n < 3;
    let model = ModelOffer {
        name: "m".into(),
        version: format!("v{}", seed % 3),
        adapters: vec!["x".into()],
    };
    Target {
        name: format!("target-{n}"),
        vm: format!("vm-{n}"),
        failure_domain: format!("d{}", n % 3),
        kind: if is_engine {
            TargetKind::Engine
        } else {
            TargetKind::Service
        },
        address: ([127, 0, 0, 1], 8000).into(),
        side: ([10, 0, 0, 2], 100 + n).into(),
        side_control: ([10, 0, 0, 2], 200 + n).into(),
        model: if is_engine { vec![model] } else { Vec::new() },
        services: if is_engine {
            Vec::new()
        } else {
            vec!["wiki".into()]
        },
        slots: 1 + seed % 64,
        tokens_per_second: 1 + seed % 5_000,
        checks_fencing: seed.is_multiple_of(2),
        draining: seed.is_multiple_of(5),
    }
}

fn account(n: u16, seed: u32) -> Account {
    Account {
        name: format!("account-{n}"),
        key_digest: format!("{n:064x}"),
        weight: 1 + seed % 1_000,
        models: vec!["*".into()],
        services: vec!["wiki".into()],
    }
}

fn budget(n: u16) -> Budget {
    Budget {
        name: "all".into(),
        account: format!("account-{n}"),
        models: Vec::new(),
    }
}

fn class(n: u16, seed: u64) -> Class {
    Class {
        name: format!("class-{n}"),
        priority: Priority::Batch,
        deadline_ms: 1 + seed % 1_000,
        max_tokens: 7,
    }
}

fn inverse(change: Change) -> Change {
    match change {
        Change::Added { subject } => Change::Removed { subject },
        Change::Removed { subject } => Change::Added { subject },
        Change::Changed {
            subject,
            key,
            from,
            to,
        } => Change::Changed {
            subject,
            key,
            from: to,
            to: from,
        },
    }
}

fn check_property(property: impl Testable) {
    let g = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(g).quickcheck(property);
}

#[test]
fn valid_documents_pass_validation() {
    fn property(ValidDocument(document): ValidDocument) -> bool {
        document.check().is_ok()
    }
    check_property(property as fn(ValidDocument) -> bool);
}

#[test]
fn a_document_round_trips_through_json() {
    fn property(ValidDocument(document): ValidDocument) -> bool {
        Document::from_json(&document.to_json()).as_ref() == Ok(&document)
    }
    check_property(property as fn(ValidDocument) -> bool);
}

#[test]
fn a_document_round_trips_through_toml() {
    fn property(ValidDocument(document): ValidDocument) -> bool {
        let inventory = toml::to_string(&document.inventory).unwrap();
        let rules = toml::to_string(&document.rules).unwrap();
        let parsed = Document::from_toml(&inventory, &rules).unwrap();
        parsed.inventory == document.inventory && parsed.rules == document.rules
    }
    check_property(property as fn(ValidDocument) -> bool);
}

#[test]
fn the_order_of_entries_is_not_a_change() {
    fn property(ValidDocument(document): ValidDocument) -> bool {
        let mut reversed = document.clone();
        reversed.revision += 1;
        reversed.inventory.target.reverse();
        reversed.rules.account.reverse();
        document.changes_to(&reversed).is_empty()
    }
    check_property(property as fn(ValidDocument) -> bool);
}

#[test]
fn changes_in_the_other_direction_are_the_inverse() {
    fn property(ValidDocument(a): ValidDocument, ValidDocument(b): ValidDocument) -> bool {
        let forward = a.changes_to(&b);
        let backward: Vec<Change> = b.changes_to(&a).into_iter().map(inverse).collect();
        forward == backward
    }
    check_property(property as fn(ValidDocument, ValidDocument) -> bool);
}

#[test]
fn any_edit_of_a_target_is_a_change() {
    fn property(ValidDocument(a): ValidDocument, ValidDocument(b): ValidDocument) -> TestResult {
        if a.inventory.target == b.inventory.target {
            return TestResult::discard();
        }
        let changes = a.changes_to(&b);
        let of_target = |c: &Change| matches!(c.subject(), Subject::Target { .. });
        TestResult::from_bool(changes.iter().any(of_target))
    }
    check_property(property as fn(ValidDocument, ValidDocument) -> TestResult);
}

#[test]
fn a_change_is_displayed_as_one_line() {
    let before = Document {
        inventory: Inventory {
            target: vec![target(0, 1)],
            ..Inventory::default()
        },
        ..Document::default()
    };
    let mut after = before.clone();
    after.inventory.target[0].draining = true;
    after.rules.budget.push(budget(1));
    let lines: Vec<String> = before
        .changes_to(&after)
        .iter()
        .map(Change::to_string)
        .collect();
    let expected = [
        "~ target target-0: draining: false -> true",
        "+ budget account-1/all",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn a_list_that_becomes_empty_or_non_empty_is_a_change() {
    let mut empty = Document::default();
    empty.rules.account.push(account(1, 0));
    empty.rules.account[0].services.clear();
    let mut full = empty.clone();
    full.rules.account[0].services.push("wiki".into());
    let line = |a: &Document, b: &Document| a.changes_to(b)[0].to_string();
    let subject = "~ account account-1: services:";
    assert_eq!(line(&empty, &full), format!("{subject} [] -> [\"wiki\"]"));
    assert_eq!(line(&full, &empty), format!("{subject} [\"wiki\"] -> []"));
}
