//! Edits take effect once, and conflicting edits are refused with the changes in between.

mod support;

use std::thread;

use support::{Fault, FaultyStore, apply_example, example_document, example_file, run_json};
use wisteriapass::{Exit, ToolError, edit};
use wisteriapass_config::{CURRENT_KEY, Change, Subject};
use wisteriapass_coord::store::{MemoryStore, Store};

#[test]
fn the_first_apply_starts_from_revision_0() {
    let store = MemoryStore::new();
    let files = [example_file("inventory.toml"), example_file("rules.toml")];
    let (exit, output) = run_json(&store, &["apply", &files[0], &files[1], "--from", "0"]);
    assert_eq!(exit, Exit::Success);
    assert_eq!(output["revision"], 1);
    assert_eq!(edit::current(&store).unwrap().rules.account.len(), 10);
}

#[test]
fn an_invalid_file_changes_nothing() {
    let store = MemoryStore::new();
    let file = example_file("inventory.toml");
    let (exit, output) = run_json(&store, &["apply", &file, &file, "--from", "0"]);
    assert_eq!(exit, Exit::Refused);
    assert!(output["error"].as_str().unwrap().contains("unknown field"));
    assert_eq!(store.get(CURRENT_KEY).unwrap(), None);
}

#[test]
fn a_conflicting_edit_is_refused_with_the_changes_in_between() {
    let store = MemoryStore::new();
    apply_example(&store);
    let mut first = example_document();
    first.inventory.target[0].draining = true;
    let mut second = example_document();
    second.rules.class[0].max_tokens += 1;
    assert_eq!(edit::apply(&store, &first, 1, None).unwrap().revision, 2);
    let error = edit::apply(&store, &second, 1, None).unwrap_err();
    let ToolError::Conflict(conflict) = error.current_context() else {
        panic!("{error:?}");
    };
    assert_eq!((conflict.from, conflict.current), (1, 2));
    let changed = Change::Changed {
        subject: Subject::Target {
            name: "lm-a1".into(),
        },
        key: "draining".into(),
        from: "false".into(),
        to: "true".into(),
    };
    assert_eq!(conflict.meanwhile, Some(vec![changed]));
    assert_eq!(edit::current(&store).unwrap().revision, 2);
}

#[test]
fn an_edit_from_a_revision_that_does_not_exist_is_refused() {
    let store = MemoryStore::new();
    apply_example(&store);
    let error = edit::apply(&store, &example_document(), 7, None).unwrap_err();
    assert!(error.to_string().contains("does not exist"));
}

#[test]
fn a_write_with_a_lost_response_is_recognized() {
    let store = FaultyStore::new();
    apply_example(&store);
    store.inject_faults(CURRENT_KEY, &[Fault::LostAnswer]);
    let mut document = example_document();
    document.inventory.target[0].draining = true;
    let applied = edit::apply(&store, &document, 1, None).unwrap();
    assert_eq!(applied.revision, 2);
    assert_eq!(edit::current(&store).unwrap().revision, 2);
}

#[test]
fn a_lost_write_is_retried() {
    let store = FaultyStore::new();
    store.inject_faults(CURRENT_KEY, &[Fault::LostRequest, Fault::LostRequest]);
    apply_example(&store);
    assert_eq!(edit::current(&store).unwrap().revision, 1);
}

#[test]
fn an_edit_repeated_with_its_operation_id_takes_effect_once() {
    let store = MemoryStore::new();
    apply_example(&store);
    let mut mine = example_document();
    mine.inventory.target[0].draining = true;
    edit::apply(&store, &mine, 1, Some("mine")).unwrap();
    let mut theirs = mine.clone();
    theirs.inventory.target[1].draining = true;
    edit::apply(&store, &theirs, 2, None).unwrap();
    let again = edit::apply(&store, &mine, 1, Some("mine")).unwrap();
    assert_eq!(again.revision, 2);
    assert_eq!(again.changes, []);
    let current = edit::current(&store).unwrap();
    assert_eq!(current.revision, 3);
    assert!(current.inventory.target[1].draining);
}

#[test]
fn an_edit_without_any_response_has_an_unknown_outcome_and_names_its_operation_id() {
    let store = FaultyStore::new();
    apply_example(&store);
    store.inject_faults(CURRENT_KEY, &[Fault::LostRequest; 16]);
    let (exit, output) = run_json(&store, &["drain", "lm-a1", "--op", "mine"]);
    assert_eq!(exit, Exit::OutcomeUnknown);
    assert!(output["error"].as_str().unwrap().contains("--op mine"));
}

#[test]
fn a_store_that_is_down_is_unreachable_and_the_outcome_is_known() {
    let store = FaultyStore::new();
    apply_example(&store);
    store.inject_faults(CURRENT_KEY, &[Fault::Down]);
    let (exit, _) = run_json(&store, &["drain", "lm-a1"]);
    assert_eq!(exit, Exit::Unreachable);
}

#[test]
fn concurrent_drains_all_take_effect() {
    let store = MemoryStore::new();
    apply_example(&store);
    let names = ["lm-a1", "lm-a2", "lm-b1", "lm-b2", "lm-c1", "lm-c2"];
    thread::scope(|scope| {
        for name in names {
            let store = &store;
            scope.spawn(move || assert_eq!(run_json(store, &["drain", name]).0, Exit::Success));
        }
    });
    let current = edit::current(&store).unwrap();
    assert_eq!(current.revision, 1 + names.len() as u64);
    for name in names {
        assert!(current.inventory.target_named(name).unwrap().draining);
    }
}

#[test]
fn drain_of_a_vm_drains_its_targets_and_undrain_reverts_it() {
    let store = MemoryStore::new();
    apply_example(&store);
    let (_, output) = run_json(&store, &["drain", "gpu-a1"]);
    assert_eq!(output["changes"].as_array().unwrap().len(), 1);
    let (exit, output) = run_json(&store, &["drain", "gpu-a1"]);
    assert_eq!(
        (exit, output["revision"].as_u64()),
        (Exit::Success, Some(2))
    );
    run_json(&store, &["undrain", "lm-a1"]);
    let current = edit::current(&store).unwrap();
    assert!(current.inventory.target.iter().all(|t| !t.draining));
}

#[test]
fn ending_an_evacuation_keeps_targets_that_were_drained_singly() {
    let store = MemoryStore::new();
    apply_example(&store);
    let without_new_work = || {
        let inventory = edit::current(&store).unwrap().inventory;
        let targets = inventory.target.iter();
        let excluded = targets.filter(|t| inventory.is_draining(t));
        excluded.map(|t| t.name.clone()).collect::<Vec<_>>()
    };
    run_json(&store, &["drain", "lm-b1"]);
    let domain = example_document()
        .inventory
        .target_named("lm-a1")
        .unwrap()
        .failure_domain
        .clone();
    let (exit, output) = run_json(&store, &["evacuate", &domain]);
    assert_eq!(exit, Exit::Success);
    assert_eq!(output["changes"].as_array().unwrap().len(), 1);
    assert!(
        without_new_work().contains(&"lm-a1".to_owned())
            && without_new_work().contains(&"lm-b1".to_owned())
    );
    run_json(&store, &["evacuate", &domain, "--back"]);
    assert_eq!(without_new_work(), ["lm-b1"]);
    let (exit, output) = run_json(&store, &["evacuate", "nowhere"]);
    assert_eq!(exit, Exit::Refused);
    assert!(output["error"].as_str().unwrap().contains("nowhere"));
}

#[test]
fn an_empty_inventory_is_refused() {
    let store = MemoryStore::new();
    apply_example(&store);
    let mut document = example_document();
    document.inventory.target.clear();
    let error = edit::apply(&store, &document, 1, None).unwrap_err();
    assert_eq!(Exit::for_error(error.current_context()), Exit::Refused);
    assert_eq!(edit::current(&store).unwrap().revision, 1);
}

#[test]
fn a_conflict_with_a_revision_that_is_no_longer_stored_lists_no_changes() {
    let store = MemoryStore::new();
    apply_example(&store);
    let kept = wisteriapass::history::MAX_KEPT_DOCUMENTS;
    for n in 1..=kept + 2 {
        let mut document = example_document();
        document.rules.class[0].max_tokens = 100 + n as u32;
        edit::apply(&store, &document, n, None).unwrap();
    }
    let apply_from = |from| edit::apply(&store, &example_document(), from, None).unwrap_err();
    let meanwhile = |from| match apply_from(from).current_context() {
        ToolError::Conflict(conflict) => conflict.meanwhile.clone(),
        other => panic!("{other}"),
    };
    assert_eq!(meanwhile(1), None);
    assert_eq!(meanwhile(kept + 2).unwrap().len(), 1);
}

#[test]
fn a_repeated_drain_does_not_revert_later_edits() {
    let store = MemoryStore::new();
    apply_example(&store);
    let drain = ["drain", "lm-a1", "--op", "mine"];
    run_json(&store, &drain);
    run_json(&store, &["undrain", "lm-a1"]);
    let (exit, output) = run_json(&store, &drain);
    assert_eq!(
        (exit, output["revision"].as_u64()),
        (Exit::Success, Some(2))
    );
    assert_eq!(output["changes"], serde_json::json!([]));
    assert_eq!(edit::current(&store).unwrap().revision, 3);
}
