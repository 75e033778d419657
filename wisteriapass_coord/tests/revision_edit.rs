//! Configuration edits: races, lost responses and repeated submissions; adoption of documents.

mod flaky_store;

use flaky_store::FlakyStore;
use wisteriapass_coord::membership::Incarnation;
use wisteriapass_coord::revision::{
    ActiveConfig, AdoptOutcome, ConfigDocument, ConfigRevision, Edit, EditOutcome, PeerRevisions,
    RECENT_EDITS, RevisionError, SyncAction, read_current,
};
use wisteriapass_coord::store::{Store, StoreError};

const BODY: &str = r#"{"inventory":{},"rules":{},"revision":99}"#;

fn edit(from: u64, op: &str) -> Edit {
    Edit::new(ConfigRevision(from), op, BODY).unwrap()
}

fn accepted(revision: u64) -> EditOutcome {
    EditOutcome::Accepted(ConfigRevision(revision))
}

fn current(store: &dyn Store) -> ConfigDocument {
    read_current(store).unwrap().unwrap()
}

#[test]
fn a_racing_edit_conflicts_and_returns_the_current_document() {
    let store = FlakyStore::default();
    assert_eq!(edit(0, "a").submit(&store).unwrap(), accepted(1));
    let conflict = edit(0, "b").submit(&store).unwrap();
    assert!(matches!(conflict, EditOutcome::Conflict { current: Some(c) } if c.op() == "a"));
    assert_eq!(edit(1, "b").submit(&store).unwrap(), accepted(2));
    assert_eq!(current(&store).revision(), ConfigRevision(2));
}

#[test]
fn an_edit_whose_response_was_lost_is_accepted_once() {
    let store = FlakyStore::default();
    store.lose_next_answer();
    assert_eq!(edit(0, "a").submit(&store).unwrap(), accepted(1));
    assert_eq!(
        edit(0, "a").submit(&store).unwrap(),
        accepted(1),
        "repeated"
    );
    assert_eq!(current(&store).revision(), ConfigRevision(1));
}

#[test]
fn an_edit_whose_response_was_lost_is_found_after_a_later_edit() {
    let store = FlakyStore::default();
    store.lose_next_answer();
    store.race_next(Box::new(|inner| {
        assert_eq!(edit(1, "b").submit(inner).unwrap(), accepted(2));
    }));
    assert_eq!(edit(0, "a").submit(&store).unwrap(), accepted(1));
    assert_eq!(current(&store).op(), "b");
}

#[test]
fn an_edit_whose_response_was_lost_is_unknown_after_too_many_later_edits() {
    let store = FlakyStore::default();
    store.lose_next_answer();
    store.race_next(Box::new(|inner| {
        for from in 1..=RECENT_EDITS as u64 + 2 {
            edit(from, &format!("b{from}")).submit(inner).unwrap();
        }
    }));
    let outcome = edit(0, "a").submit(&store).unwrap();
    assert!(matches!(
        outcome,
        EditOutcome::Unknown(StoreError::Unknown { .. })
    ));
}

#[test]
fn an_edit_during_an_outage_fails_without_effect() {
    let store = FlakyStore::default();
    store.set_down(true);
    let failed = edit(0, "a").submit(&store);
    assert!(matches!(failed, Err(RevisionError::Store(_))));
    store.set_down(false);
    assert_eq!(read_current(&store).unwrap(), None);
}

#[test]
fn the_active_revision_never_decreases() {
    let doc = |revision: u64, op: &str| {
        ConfigDocument::parse(&format!(r#"{{"revision":{revision},"op":"{op}"}}"#)).unwrap()
    };
    let mut config = ActiveConfig::new();
    assert_eq!(config.sync_action(ConfigRevision(3)), SyncAction::Fetch);
    assert_eq!(config.adopt(doc(3, "c")), Ok(AdoptOutcome::Applied));
    let active_revision = ConfigRevision(3);
    let outdated = AdoptOutcome::Outdated {
        active: active_revision,
    };
    assert_eq!(config.adopt(doc(2, "b")), Ok(outdated));
    assert_eq!(config.adopt(doc(3, "c")), Ok(AdoptOutcome::Unchanged));
    let diverged = config.adopt(doc(3, "x"));
    assert!(matches!(diverged, Err(RevisionError::Diverged { .. })));
    assert_eq!(config.sync_action(ConfigRevision(2)), SyncAction::Offer);
    assert_eq!(config.sync_action(ConfigRevision(3)), SyncAction::UpToDate);
}

#[test]
fn peer_revisions_keep_the_highest_report_of_the_newest_incarnation() {
    let mut peers = PeerRevisions::new();
    let old = Incarnation::new(1, 0);
    let new = Incarnation::new(2, 0);
    peers.record("r1", old, ConfigRevision(4));
    peers.record("r1", old, ConfigRevision(3));
    assert_eq!(peers.highest(), ConfigRevision(4));
    peers.record("r1", new, ConfigRevision(2));
    peers.record("r1", old, ConfigRevision(9));
    peers.record("r2", old, ConfigRevision(3));
    assert_eq!(peers.highest(), ConfigRevision(3));
    assert_eq!(
        peers.peers_behind(ConfigRevision(3)).collect::<Vec<_>>(),
        ["r1"]
    );
    assert_eq!(peers.count_at_least(ConfigRevision(3)), (1, 2));
}
