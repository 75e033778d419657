//! Comparison of two configurations by entry; the order of entries is ignored.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{Change, Document, Subject};

/// Keys and values of each entry of a configuration.
type Entries = BTreeMap<Subject, Map<String, Value>>;

/// Returns the changes that lead from `before` to `after`, sorted by subject.
pub(crate) fn compare(before: &Document, after: &Document) -> Vec<Change> {
    let before = entries_of(before);
    let after = entries_of(after);
    let mut changes = Vec::new();
    for (subject, old) in &before {
        match after.get(subject) {
            Some(new) => compare_entry(&mut changes, subject, old, new),
            None => changes.push(Change::Removed {
                subject: subject.clone(),
            }),
        }
    }
    let added = after.keys().filter(|s| !before.contains_key(*s));
    changes.extend(added.cloned().map(|subject| Change::Added { subject }));
    changes.sort_by(|a, b| a.subject().cmp(b.subject()));
    changes
}

fn compare_entry(
    changes: &mut Vec<Change>,
    subject: &Subject,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
) {
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        // Serialization only omits keys of empty lists.
        let empty = Value::Array(Vec::new());
        let from = old.get(key).unwrap_or(&empty);
        let to = new.get(key).unwrap_or(&empty);
        if from != to {
            changes.push(Change::Changed {
                subject: subject.clone(),
                key: key.clone(),
                from: from.to_string(),
                to: to.to_string(),
            });
        }
    }
}

fn entries_of(document: &Document) -> Entries {
    let mut entries = Entries::new();
    let inventory = &document.inventory;
    let rules = &document.rules;
    let name = |name: &String| name.clone();
    add(&mut entries, &inventory.failure_domain, |d| {
        Subject::FailureDomain {
            name: name(&d.name),
        }
    });
    add(&mut entries, &inventory.router, |r| Subject::Router {
        name: name(&r.name),
    });
    add(&mut entries, &inventory.target, |t| Subject::Target {
        name: name(&t.name),
    });
    add(&mut entries, &rules.account, |a| Subject::Account {
        name: name(&a.name),
    });
    add(&mut entries, &rules.budget, |b| Subject::Budget {
        account: name(&b.account),
        name: name(&b.name),
    });
    add(&mut entries, &rules.class, |c| Subject::Class {
        name: name(&c.name),
    });
    entries
}

fn add<T: Serialize>(entries: &mut Entries, list: &[T], subject: impl Fn(&T) -> Subject) {
    for item in list {
        // Entries are plain structs, which always serialize to objects.
        if let Ok(Value::Object(keys)) = serde_json::to_value(item) {
            entries.insert(subject(item), keys);
        }
    }
}
