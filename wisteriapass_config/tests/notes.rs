//! Notes on valid but probably unintended parts of a configuration.

use std::fs;
use std::path::Path;

use wisteriapass_config::{Document, Note};

fn pizarra() -> Document {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/pizarra");
    let read = |file| fs::read_to_string(dir.join(file)).unwrap();
    Document::from_toml(&read("inventory.toml"), &read("rules.toml")).unwrap()
}

#[test]
fn the_example_has_no_notes() {
    assert_eq!(pizarra().notes(), []);
}

#[test]
fn a_model_without_a_budget_is_noted_for_each_account() {
    let mut document = pizarra();
    document
        .rules
        .budget
        .retain(|b| b.account != "andes-legal" || b.name == "drafts");
    let note = |model: &str| Note::Unpaid {
        account: "andes-legal".into(),
        model: model.into(),
    };
    assert_eq!(document.notes(), [note("lector"), note("sugerencias")]);
}

#[test]
fn an_offer_whose_targets_all_drain_is_noted() {
    let mut document = pizarra();
    let targets = document.inventory.target.iter_mut();
    targets
        .filter(|t| t.name.ends_with('4'))
        .for_each(|t| t.draining = true);
    let offer = "sugerencias".into();
    assert_eq!(document.notes(), [Note::AllDraining { offer }]);
}

#[test]
fn an_offer_in_one_failure_domain_is_noted() {
    let mut document = pizarra();
    let is_elsewhere = |name: &str| name == "lm-b4" || name == "lm-c4";
    document.inventory.target.retain(|t| !is_elsewhere(&t.name));
    let note = Note::OneDomain {
        offer: "sugerencias".into(),
        failure_domain: "scl-a".into(),
    };
    assert_eq!(document.notes(), [note]);
}

#[test]
fn a_vm_with_two_processes_is_noted() {
    let mut document = pizarra();
    document.inventory.target[1].vm = "gpu-a1".into();
    let note = Note::SharedVm {
        vm: "gpu-a1".into(),
        processes: 2,
    };
    assert_eq!(document.notes(), [note]);
}
