//! In-memory key-value service: compare-and-swap, leases and watches.

use std::time::Duration;

use wisteriapass_coord::store::{MemoryStore, Revision, Store, StoreError, Swap};

#[test]
fn a_swap_from_an_old_revision_is_a_conflict() {
    let store = MemoryStore::new();
    let first = store.swap("a", Revision::ABSENT, "1", None).unwrap();
    assert_eq!(first, Swap::Done(Revision(1)));
    let second = store.swap("a", Revision::ABSENT, "2", None).unwrap();
    assert!(matches!(second, Swap::Conflict(Some(e)) if e.value == "1"));
}

#[test]
fn expiration_of_a_lease_deletes_its_keys() {
    let store = MemoryStore::new();
    let lease = store.grant_lease(Duration::from_millis(200)).unwrap();
    store.swap("a", Revision::ABSENT, "1", Some(lease)).unwrap();
    std::thread::sleep(Duration::from_millis(250));
    assert_eq!(store.get("a").unwrap(), None);
    assert!(!store.renew_lease(lease).unwrap());
}

#[test]
fn a_watch_returns_the_entries_changed_after_a_revision() {
    let store = MemoryStore::new();
    store.swap("p/a", Revision::ABSENT, "1", None).unwrap();
    store.swap("p/b", Revision::ABSENT, "2", None).unwrap();
    let (revision, entries) = store.watch("p/", Revision(1), Duration::ZERO).unwrap();
    assert_eq!(revision, Revision(2));
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].key, "p/b");
}

#[test]
fn a_swap_with_an_expired_lease_is_refused() {
    let store = MemoryStore::new();
    let lease = store.grant_lease(Duration::ZERO).unwrap();
    let refused = store.swap("a", Revision::ABSENT, "1", Some(lease));
    assert!(matches!(refused, Err(StoreError::Refused { .. })));
}
