//! Detection of valid but probably unintended parts of a configuration.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Account, Document, Inventory, Note, Rules, Target};

/// Targets by the models and services they offer.
type Offers<'a> = BTreeMap<&'a str, Vec<&'a Target>>;

/// Returns all notes on a document, sorted and without duplicates.
pub(crate) fn find_notes(document: &Document) -> Vec<Note> {
    let inventory = &document.inventory;
    let mut notes = BTreeSet::new();
    for (offer, targets) in offers(inventory) {
        notes.extend(all_draining(inventory, offer, &targets));
        notes.extend(one_domain(inventory, offer, &targets));
    }
    for account in &document.rules.account {
        notes.extend(unpaid(inventory, &document.rules, account));
    }
    notes.extend(shared_vms(inventory));
    notes.into_iter().collect()
}

fn offers(inventory: &Inventory) -> Offers<'_> {
    let mut offers = Offers::new();
    for target in &inventory.target {
        let models = target.model.iter().map(|m| m.name.as_str());
        for offer in models.chain(target.services.iter().map(String::as_str)) {
            offers.entry(offer).or_default().push(target);
        }
    }
    offers
}

fn all_draining(inventory: &Inventory, offer: &str, targets: &[&Target]) -> Option<Note> {
    let offer = offer.into();
    let are_draining = targets.iter().all(|t| inventory.is_draining(t));
    are_draining.then_some(Note::AllDraining { offer })
}

fn one_domain(inventory: &Inventory, offer: &str, targets: &[&Target]) -> Option<Note> {
    // A fleet with a single failure domain cannot avoid this.
    if inventory.failure_domain.len() < 2 {
        return None;
    }
    let domains: BTreeSet<&str> = targets.iter().map(|t| t.failure_domain.as_str()).collect();
    let mut domains = domains.into_iter();
    let (first, second) = (domains.next()?, domains.next());
    second.is_none().then(|| Note::OneDomain {
        offer: offer.into(),
        failure_domain: first.into(),
    })
}

fn unpaid(inventory: &Inventory, rules: &Rules, account: &Account) -> Vec<Note> {
    let offered = inventory.target.iter().flat_map(|t| &t.model);
    let models: BTreeSet<&str> = offered.map(|m| m.name.as_str()).collect();
    let may_use = |model: &str| account.models.iter().any(|m| m == "*" || m == model);
    let is_unpaid = |model: &str| rules.budget_for(&account.name, Some(model)).is_none();
    let unpaid = models.into_iter().filter(|m| may_use(m) && is_unpaid(m));
    let note = |model: &str| Note::Unpaid {
        account: account.name.clone(),
        model: model.into(),
    };
    unpaid.map(note).collect()
}

fn shared_vms(inventory: &Inventory) -> impl Iterator<Item = Note> {
    let mut processes: BTreeMap<&str, usize> = BTreeMap::new();
    let routers = inventory.router.iter().map(|r| r.vm.as_str());
    let targets = inventory.target.iter().map(|t| t.vm.as_str());
    for vm in routers.chain(targets) {
        *processes.entry(vm).or_default() += 1;
    }
    let shared = processes.into_iter().filter(|(_, n)| *n > 1);
    shared.map(|(vm, processes)| Note::SharedVm {
        vm: vm.into(),
        processes,
    })
}
