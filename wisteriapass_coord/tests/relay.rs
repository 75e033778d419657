//! Which relay a router follows, and when a router becomes a relay and retires.

use std::net::SocketAddr;

use wisteriapass_coord::prepaid::{DomainId, HolderEntry, HolderId};
use wisteriapass_coord::relay::{
    Candidacy, CandidateAction, RelayInfo, RelayNeed, RelayRetirement, RelayStatus, Roster,
};

fn id(name: &str) -> HolderId {
    HolderId(name.into())
}

fn domain(name: &str) -> DomainId {
    DomainId::new(name)
}

fn info(name: &str, port_offset: u16, of: &str) -> RelayInfo {
    RelayInfo {
        id: id(name),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + port_offset)),
        domain: domain(of),
        is_live: true,
    }
}

fn status(as_of_ms: u64, age_ms: u64) -> RelayStatus {
    RelayStatus {
        as_of_ms,
        received_ms: as_of_ms,
        age_ms,
        is_leaving: false,
    }
}

/// Returns the roster of a router of domain `a`, where `a`, `b` and `c` have two relays each.
fn roster() -> Roster {
    let mut roster = Roster::new(id("me"), domain("a"));
    let relays = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let of = |name: &str| name[..1].to_owned();
    let all = relays.iter().zip(0..).map(|(n, i)| info(n, i, &of(n)));
    roster.update(0, all);
    roster
}

/// Asks the chosen relay; `age` returns the age of its news, or `None` if it doesn't answer.
fn ask(roster: &mut Roster, now: u64, age: impl Fn(&str) -> Option<u64>) -> String {
    let relay = roster.choose(now).unwrap();
    match age(&relay.id.0) {
        Some(age) => roster.record_status(&relay.id, status(now, age)),
        None => roster.record_no_answer(&relay.id, now),
    }
    relay.id.0
}

#[test]
fn a_local_relay_is_followed_while_its_news_is_fresh() {
    let mut roster = roster();
    assert_eq!(roster.need(0), RelayNeed::Unclear);
    let first = ask(&mut roster, 0, |_| Some(300));
    assert!(first.starts_with('a'));
    for now in (150..3_000).step_by(150) {
        assert_eq!(ask(&mut roster, now, |_| Some(300)), first);
        assert_eq!(roster.need(now), RelayNeed::None);
    }
}

#[test]
fn another_local_relay_takes_over_when_one_is_cut_off() {
    let mut roster = roster();
    let first = ask(&mut roster, 0, |_| Some(300));
    // It answers, but its news becomes stale.
    let is_first = |name: &str| name == first;
    let mut now = 0;
    let mut last = first.clone();
    while is_first(&last) && now < 5_000 {
        now += 150;
        last = ask(&mut roster, now, |name| {
            Some(if is_first(name) { 300 + now } else { 200 })
        });
    }
    assert!(
        last.starts_with('a') && last != first,
        "{last} after {first}"
    );
    assert!(now <= 1_200, "after {now} ms");
}

/// Guards against a router that has too little processor time or a slow link, takes its own delay
/// for the age of its relay's news, and replaces relays that answer.
#[test]
fn a_router_whose_answers_take_long_takes_its_relays_for_dead() {
    const ROUND_TRIP_MS: u64 = 1_200;
    let mut roster = roster();
    let mut candidacy = Candidacy::new(false);
    let first = ask(&mut roster, 0, |_| Some(300));
    for sent in (0..30_000).step_by(ROUND_TRIP_MS as usize + 150) {
        let relay = roster.choose(sent).unwrap();
        assert_eq!(relay.id.0, first);
        let received = sent + ROUND_TRIP_MS;
        let status = RelayStatus {
            received_ms: received,
            ..status(sent, 900)
        };
        roster.record_status(&relay.id, status);
        assert!(!roster.is_fresh(received));
        assert!(roster.is_following(received));
        let need = roster.need(received);
        let action = candidacy.next_action(received, need, 100, 0.0);
        assert_eq!((need, action), (RelayNeed::None, CandidateAction::None));
    }
}

#[test]
fn a_remote_relay_is_followed_when_no_local_one_is_left_and_local_ones_are_retried() {
    let mut roster = roster();
    let dead = |name: &str| (!name.starts_with('a')).then_some(200);
    let asked: Vec<String> = (0..10).map(|n| ask(&mut roster, n * 50, dead)).collect();
    assert!(asked[0].starts_with('a') && asked[1].starts_with('a'));
    assert!(asked[2..].iter().all(|name| !name.starts_with('a')));
    assert_eq!(roster.need(500), RelayNeed::One);
    assert_eq!(roster.need(9_000), RelayNeed::Any);
    let back = (0..40).map(|n| ask(&mut roster, 500 + n * 50, |_| Some(200)));
    assert!(back.last().unwrap().starts_with('a'));
}

#[test]
fn the_only_live_relay_is_found_among_silent_ones() {
    let names = ["a1", "a2", "a3", "a4", "a5", "a6"];
    for left in names {
        let mut roster = Roster::new(id("me"), domain("a"));
        let all = names.iter().zip(0..);
        roster.update(0, all.map(|(name, n)| info(name, n, "a")));
        // A silent relay costs a timeout, hence the long step.
        let asked =
            (0..12).map(|n| ask(&mut roster, n * 280, |name| (name == left).then_some(200)));
        assert!(asked.last().unwrap() == left);
    }
}

#[test]
fn relays_that_answer_are_preferred_for_grants() {
    let mut roster = roster();
    let first = ask(&mut roster, 0, |_| Some(300));
    let preferred = |roster: &mut Roster, now| roster.relays_by_preference(now)[0];
    let before = preferred(&mut roster, 10);
    assert_eq!(before, roster.choose(10).unwrap().address);
    roster.record_no_answer(&id(&first), 20);
    assert_ne!(preferred(&mut roster, 30), before);
    // A relay that is cut off from the service may still grant.
    roster.record_status(&id(&first), status(40, 9_000));
    assert_eq!(preferred(&mut roster, 50), before);
}

#[test]
fn dead_relays_stay_dead_although_a_record_names_them() {
    let mut roster = roster();
    for n in 0..6 {
        ask(&mut roster, n * 50, |_| None);
    }
    let names = [("a1", 0), ("a2", 1), ("b1", 2), ("b2", 3)];
    let named = names.map(|(name, n)| info(name, n, &name[..1]));
    roster.update_from_record(600, named);
    assert_eq!(roster.need(600), RelayNeed::Any);
    assert!(roster.has_too_few_relays(600));
}

#[test]
fn too_few_relays_are_a_need() {
    let mut roster = Roster::new(id("me"), domain("a"));
    let few = [info("a1", 1, "a"), info("b1", 2, "b")];
    roster.update(0, few);
    ask(&mut roster, 0, |_| Some(100));
    assert_eq!(roster.need(10), RelayNeed::Another);
}

/// Returns the candidate's next action and after how many milliseconds it is taken.
fn next(
    candidacy: &mut Candidacy,
    from: u64,
    need: RelayNeed,
    routers: usize,
    random: f64,
) -> (u64, CandidateAction) {
    let mut times = (from..from + 20_000).step_by(10);
    let due = times.find_map(
        |now| match candidacy.next_action(now, need, routers, random) {
            CandidateAction::None => None,
            action => Some((now - from, action)),
        },
    );
    due.unwrap()
}

#[test]
fn strong_vms_join_first_and_weak_ones_one_after_the_other() {
    let first = next(&mut Candidacy::new(true), 0, RelayNeed::Any, 1, 0.9);
    assert_eq!(first, (0, CandidateAction::Join));
    let weak = |random| next(&mut Candidacy::new(false), 0, RelayNeed::Any, 1, random).0;
    assert!(weak(0.0) >= 200);
    assert!(weak(0.9) > weak(0.1) + 100);
}

#[test]
fn a_need_has_to_last_in_a_running_fleet() {
    let mut candidacy = Candidacy::new(true);
    candidacy.next_action(0, RelayNeed::None, 100, 0.5);
    let (ms, action) = next(&mut candidacy, 0, RelayNeed::Another, 100, 0.0);
    assert!(ms >= 5_000 && action == CandidateAction::Join);
    candidacy.next_action(9_000, RelayNeed::None, 100, 0.5);
    let (ms, action) = next(&mut candidacy, 9_000, RelayNeed::One, 100, 0.0);
    assert!((300..1_000).contains(&ms), "{ms}");
    assert_eq!(action, CandidateAction::QueryService);
}

#[test]
fn a_candidate_waits_after_an_answer_of_the_service_before_it_joins() {
    let mut candidacy = Candidacy::new(false);
    candidacy.next_action(0, RelayNeed::None, 100, 0.5);
    let (ms, action) = next(&mut candidacy, 0, RelayNeed::One, 100, 0.5);
    assert_eq!(action, CandidateAction::QueryService);
    candidacy.record_answer(ms);
    assert_eq!(
        candidacy.next_action(ms + 1_000, RelayNeed::One, 100, 0.5),
        CandidateAction::None
    );
    assert_eq!(
        candidacy.next_action(ms + 2_000, RelayNeed::One, 100, 0.5),
        CandidateAction::Join
    );
    candidacy.next_action(ms + 2_000, RelayNeed::None, 100, 0.5);
    let (_, action) = next(&mut candidacy, 9_000, RelayNeed::One, 100, 0.5);
    assert_eq!(action, CandidateAction::QueryService);
}

// Routers whose relays were all cut off kept sending to a target for 4.3 s after it had left.
#[test]
fn a_router_whose_relays_are_all_silent_queries_the_service_soon() {
    for (is_strong, routers) in [(true, 21), (false, 21), (false, 103)] {
        let mut candidacy = Candidacy::new(is_strong);
        candidacy.next_action(0, RelayNeed::None, routers, 0.5);
        let (ms, action) = next(&mut candidacy, 0, RelayNeed::Any, routers, 1.0);
        assert_eq!(action, CandidateAction::QueryService);
        assert!(ms <= 500, "{ms}");
        assert!(!candidacy.is_service_reachable());
        candidacy.record_answer(ms);
        assert!(candidacy.is_service_reachable());
        let later = ms + 1_000;
        assert_eq!(
            candidacy.next_action(later, RelayNeed::Any, routers, 1.0),
            CandidateAction::None
        );
        assert!(candidacy.is_service_reachable());
        candidacy.next_action(later, RelayNeed::None, routers, 1.0);
        assert!(!candidacy.is_service_reachable());
    }
}

#[test]
fn all_routers_of_a_small_fleet_soon_become_relays() {
    let mut candidacy = Candidacy::new(true);
    assert_eq!(
        candidacy.next_action(0, RelayNeed::Unclear, 3, 0.5),
        CandidateAction::None
    );
    let (ms, action) = next(&mut candidacy, 10, RelayNeed::Another, 3, 0.5);
    assert_eq!(action, CandidateAction::Join);
    assert!(ms <= 1_000, "{ms}");
}

#[test]
fn queries_without_an_answer_back_off() {
    let mut candidacy = Candidacy::new(false);
    candidacy.next_action(0, RelayNeed::None, 100, 0.5);
    let mut delays = Vec::new();
    for _ in 0..5 {
        delays.push(next(&mut candidacy, 0, RelayNeed::Any, 100, 0.5).0);
        candidacy.record_failure();
    }
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[4] >= 4_000, "{delays:?}");
    candidacy.withdraw();
    let delay = next(&mut candidacy, 0, RelayNeed::Any, 100, 0.5).0;
    assert_eq!(delay, delays[0]);
}

#[test]
fn the_lowest_ranked_surplus_relay_retires_after_a_delay() {
    let entry = |of: &str, is_strong| HolderEntry {
        domain: domain(of),
        is_strong,
        ..HolderEntry::default()
    };
    let mut live = vec![
        (id("a1"), entry("a", true)),
        (id("a2"), entry("a", true)),
        (id("a3"), entry("a", false)),
    ];
    live.extend(["b1", "b2", "c1", "c2"].map(|n| (id(n), entry(&n[..1], true))));
    let is_due = |me: &str, live: &[(HolderId, HolderEntry)]| {
        let mut retirement = RelayRetirement::default();
        let is_due_at = |now| {
            let live = live.iter().map(|(id, entry)| (id, entry));
            retirement.is_due(now, &id(me), domain("a"), live)
        };
        [0, 5_000, 12_000].map(is_due_at)
    };
    assert_eq!(is_due("a3", &live), [false, false, true]);
    assert_eq!(is_due("a1", &live), [false; 3]);
    assert_eq!(is_due("a3", &live[1..]), [false; 3]);
    assert_eq!(is_due("a3", &live[..4]), [false; 3]);
}
