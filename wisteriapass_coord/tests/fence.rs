//! Fencing of origins: when spending is proved, when retirement waits, and when tokens are
//! stranded.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{FaultyStore, SwapFault};
use wisteriapass_coord::budget::{BudgetId, Origin, SpendingProof, Tokens};
use wisteriapass_coord::fence::{
    FenceList, Registration, Registry, RetirementDecision, SideAck, decide_retirement,
};
use wisteriapass_coord::once::FenceAck;
use wisteriapass_coord::store::Revision;

fn sides(revisions: [u64; 2]) -> BTreeMap<String, Registration> {
    let registration = |(n, revision): (usize, u64)| {
        let registration = Registration {
            incarnation: format!("i{n}"),
            revision: Revision(revision),
        };
        (format!("e{n}"), registration)
    };
    revisions
        .into_iter()
        .enumerate()
        .map(registration)
        .collect()
}

fn acks(running: usize) -> BTreeMap<String, SideAck> {
    let spent = BTreeMap::from([(BudgetId::new("acme", "main"), Tokens(30))]);
    let ack = |n: usize| SideAck {
        incarnation: format!("i{n}"),
        ack: FenceAck {
            spent: spent.clone(),
            running,
        },
    };
    (0..2).map(|n| (format!("e{n}"), ack(n))).collect()
}

#[test]
fn spending_is_proved_if_all_side_processes_acknowledged_and_kept_their_state() {
    let spent = BTreeMap::from([(BudgetId::new("acme", "main"), Tokens(60))]);
    let decision = decide_retirement(Revision(10), &sides([1, 2]), &["e0", "e1"], &acks(0));
    assert_eq!(
        decision,
        RetirementDecision::Retire(SpendingProof::Complete(spent))
    );
}

#[test]
fn retirement_waits_for_a_side_process_that_is_silent_busy_or_replaced() {
    let wait = |side: &str| RetirementDecision::Wait { side: side.into() };
    let both = ["e0", "e1"];
    let mut missing = acks(0);
    missing.remove("e1");
    assert_eq!(
        decide_retirement(Revision(10), &sides([1, 2]), &both, &missing),
        wait("e1")
    );
    assert_eq!(
        decide_retirement(Revision(10), &sides([1, 2]), &both, &acks(1)),
        wait("e0")
    );
    let mut replaced = sides([1, 2]);
    replaced.get_mut("e0").unwrap().incarnation = "later".into();
    assert_eq!(
        decide_retirement(Revision(10), &replaced, &both, &acks(0)),
        wait("e0")
    );
}

#[test]
fn proof_is_partial_if_a_side_process_lost_its_state_or_left_the_inventory() {
    let partial = RetirementDecision::Retire(SpendingProof::Partial);
    let both = ["e0", "e1"];
    assert_eq!(
        decide_retirement(Revision(10), &sides([1, 11]), &both, &acks(0)),
        partial
    );
    assert_eq!(
        decide_retirement(Revision(10), &sides([1, 2]), &["e0"], &acks(0)),
        partial
    );
}

#[test]
fn an_origin_with_a_lapsed_lease_is_suspect_and_a_removed_one_is_not() {
    let store = FaultyStore::new();
    let registry = Registry::new(&store);
    for n in 1..=3 {
        registry
            .register_origin(Origin(n), &format!("r{n}"))
            .unwrap();
    }
    store.plan_faults([SwapFault::ResponseLost]);
    registry
        .mark_live(Origin(1), Duration::from_secs(60))
        .unwrap();
    registry.mark_live(Origin(2), Duration::ZERO).unwrap_err();
    registry.remove_origin(Origin(3)).unwrap();
    let suspects = registry.suspects().unwrap();
    assert_eq!(suspects.keys().copied().collect::<Vec<_>>(), [Origin(2)]);
    assert_eq!(suspects[&Origin(2)].incarnation, "r2");
}

#[test]
fn registrations_are_ordered_by_revision_and_a_repeat_keeps_its_revision() {
    let store = FaultyStore::new();
    let registry = Registry::new(&store);
    registry.register_side("e1", "i1").unwrap();
    registry.register_origin(Origin(1), "r1").unwrap();
    registry.register_side("e2", "i1").unwrap();
    registry.register_side("e1", "i1").unwrap();
    let since = registry.suspects().unwrap()[&Origin(1)].revision;
    let sides = registry.sides().unwrap();
    assert!(sides["e1"].revision < since && since < sides["e2"].revision);
}

#[test]
fn fenced_origins_are_listed_despite_lost_requests_and_responses() {
    let store = FaultyStore::new();
    store.plan_faults([SwapFault::RequestLost, SwapFault::ResponseLost]);
    FenceList::add(&store, Origin(7)).unwrap();
    FenceList::add(&store, Origin(8)).unwrap();
    let list = FenceList::read(&store).unwrap();
    assert!(list.contains(Origin(7)) && list.contains(Origin(8)));
    assert_eq!(list.origins().count(), 2);
}
