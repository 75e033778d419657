//! Edits of the configuration: races, lost answers and repeats.

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
fn racing_edits_are_refused_with_the_current_document() {
    let store = FlakyStore::default();
    assert_eq!(edit(0, "a").submit(&store).unwrap(), accepted(1));
    let refused = edit(0, "b").submit(&store).unwrap();
    assert!(matches!(refused, EditOutcome::Conflict { current: Some(c) } if c.op() == "a"));
    assert_eq!(edit(1, "b").submit(&store).unwrap(), accepted(2));
    assert_eq!(current(&store).revision(), ConfigRevision(2));
}

#[test]
fn a_lost_answer_is_recognised() {
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
fn a_lost_answer_is_recognised_under_a_later_edit() {
    let store = FlakyStore::default();
    store.lose_next_answer();
    store.race_next(Box::new(|inner| {
        assert_eq!(edit(1, "b").submit(inner).unwrap(), accepted(2));
    }));
    assert_eq!(edit(0, "a").submit(&store).unwrap(), accepted(1));
    assert_eq!(current(&store).op(), "b");
}

#[test]
fn a_lost_answer_under_too_many_later_edits_is_not_called_refused() {
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
fn an_edit_in_an_outage_says_so_and_changes_nothing() {
    let store = FlakyStore::default();
    store.set_down(true);
    let refused = edit(0, "a").submit(&store);
    assert!(matches!(refused, Err(RevisionError::Store(_))));
    store.set_down(false);
    assert_eq!(read_current(&store).unwrap(), None);
}

#[test]
fn the_holder_only_moves_up_and_tells_who_is_behind() {
    let doc = |revision: u64, op: &str| {
        ConfigDocument::parse(&format!(r#"{{"revision":{revision},"op":"{op}"}}"#)).unwrap()
    };
    let mut in_force = ActiveConfig::new();
    assert_eq!(in_force.sync_action(ConfigRevision(3)), SyncAction::Fetch);
    assert_eq!(in_force.adopt(doc(3, "c")), Ok(AdoptOutcome::Applied));
    let in_force_now = ConfigRevision(3);
    let older = AdoptOutcome::Outdated {
        in_force: in_force_now,
    };
    assert_eq!(in_force.adopt(doc(2, "b")), Ok(older));
    assert_eq!(in_force.adopt(doc(3, "c")), Ok(AdoptOutcome::Unchanged));
    let diverged = in_force.adopt(doc(3, "x"));
    assert!(matches!(diverged, Err(RevisionError::Diverged { .. })));
    assert_eq!(in_force.sync_action(ConfigRevision(2)), SyncAction::Offer);
    assert_eq!(
        in_force.sync_action(ConfigRevision(3)),
        SyncAction::UpToDate
    );
}

#[test]
fn the_catalogue_keeps_the_highest_word_of_the_newest_incarnation() {
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
