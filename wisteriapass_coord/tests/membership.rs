//! Membership: leaving marks, incarnations, timeouts and relaying.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, QuickCheck};

use wisteriapass_coord::membership::{
    Announcement, AnnouncementOutcome, Incarnation, LeavingCause, LeavingMark, ListedVm,
    MAX_DIGEST_MARKS, MarkDigest, MemberRole, MemberState, Membership, PeerSubset, PlannedMember,
    Timeouts, VmState, heartbeat_period,
};
use wisteriapass_coord::revision::ConfigRevision;

fn side(name: &str, started_ms: u64) -> Announcement {
    Announcement {
        name: name.into(),
        vm: format!("vm-{name}"),
        failure_domain: "scl-a".into(),
        role: MemberRole::Side,
        incarnation: Incarnation::new(started_ms, 7),
        revision: ConfigRevision(1),
        leaving: false,
    }
}

fn leaving(name: &str, started_ms: u64) -> Announcement {
    Announcement {
        leaving: true,
        ..side(name, started_ms)
    }
}

fn listed(name: &str, state: VmState) -> ListedVm {
    let vm = format!("vm-{name}");
    ListedVm { vm, state }
}

fn after(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

#[test]
fn a_leaving_member_respects_mark_and_stays_leaving() {
    let now = Instant::now();
    let mut members = Membership::new(Timeouts::default());
    members.apply_announcement(&side("t1", 5), now);
    assert!(members.may_get_work("t1", now));
    members.apply_announcement(&leaving("t1", 5), now);
    members.apply_announcement(&side("t1", 5), after(now, 10));
    assert!(!members.may_get_work("t1", after(now, 10)));
    assert_eq!(members.state("t1", now), Some(MemberState::Leaving));
}

#[test]
fn a_newer_incarnation_replaces_and_an_older_is_refused() {
    let now = Instant::now();
    let mut members = Membership::new(Timeouts::default());
    members.apply_announcement(&leaving("t1", 5), now);
    let replaced = members.apply_announcement(&side("t1", 6), now);
    assert!(
        matches!(replaced, AnnouncementOutcome::Replaced(_, old) if old == Incarnation::new(5, 7))
    );
    assert!(members.may_get_work("t1", now));
    let outdated = members.apply_announcement(&side("t1", 5), now);
    assert_eq!(
        outdated,
        AnnouncementOutcome::Superseded(Incarnation::new(6, 7))
    );
}

#[test]
fn a_silent_member_becomes_suspect_and_then_gone() {
    let now = Instant::now();
    let mut members = Membership::new(Timeouts::default());
    members.apply_announcement(&side("t1", 5), now);
    let state = |at| members.state("t1", at);
    assert_eq!(state(after(now, 2_999)), Some(MemberState::Live));
    assert_eq!(state(after(now, 3_000)), Some(MemberState::Suspect));
    assert_eq!(state(after(now, 30_000)), Some(MemberState::Gone));
    assert_eq!(members.take_transitions(after(now, 30_000)).len(), 1);
    assert!(members.take_transitions(after(now, 30_000)).is_empty());
}

#[test]
fn an_announcement_that_missed_one_router_is_relayed_by_another() {
    let now = Instant::now();
    let mut informed = Membership::new(Timeouts::default());
    let mut uninformed = Membership::new(Timeouts::default());
    informed.apply_announcement(&side("t1", 5), now);
    uninformed.apply_announcement(&side("t1", 5), now);
    informed.apply_announcement(&leaving("t1", 5), now);
    assert_eq!(uninformed.apply_digest(&informed.digest(now), now), 1);
    assert!(!uninformed.may_get_work("t1", now));
    assert_eq!(
        uninformed.digest(now).len(),
        1,
        "a relayed mark is relayed further"
    );
}

#[test]
fn a_mark_applies_to_a_member_that_becomes_known_later() {
    let now = Instant::now();
    let mut members = Membership::new(Timeouts::default());
    let mark = LeavingMark {
        name: "t1".into(),
        incarnation: Incarnation::new(5, 7),
        cause: LeavingCause::Announced,
    };
    members.apply_digest(&MarkDigest::from(vec![mark]), now);
    assert!(!members.may_get_work("t1", now));
    members.apply_announcement(&side("t1", 5), now);
    assert!(!members.may_get_work("t1", now));
    members.apply_announcement(&side("t1", 6), now);
    assert!(members.may_get_work("t1", now));
}

#[test]
fn a_lagging_vm_list_does_not_mark_the_replacement() {
    let now = Instant::now();
    let mut members = Membership::new(Timeouts::default());
    members.apply_announcement(&side("t1", 5), now);
    members.apply_vm_list(&[listed("t1", VmState::Leaving)], now);
    assert!(!members.may_get_work("t1", now));
    members.apply_announcement(&side("t1", 6), now);
    members.apply_vm_list(&[listed("t1", VmState::Leaving)], now);
    assert!(
        !members.may_get_work("t1", now),
        "treated as leaving while listed"
    );
    members.apply_vm_list(&[listed("t1", VmState::Live)], now);
    assert!(members.may_get_work("t1", now));
}

#[test]
fn a_drain_in_the_inventory_applies_before_and_after_the_member_is_known() {
    let now = Instant::now();
    let plan = |draining| {
        [PlannedMember {
            name: "t1",
            draining,
        }]
    };
    let mut members = Membership::new(Timeouts::default());
    members.apply_inventory(plan(true).into_iter());
    assert!(!members.may_get_work("t1", now));
    members.apply_announcement(&side("t1", 5), now);
    assert!(!members.may_get_work("t1", now));
    members.apply_announcement(&side("t1", 6), now);
    assert!(
        !members.may_get_work("t1", now),
        "the drain also applies to the next incarnation"
    );
    members.apply_inventory(plan(false).into_iter());
    assert!(members.may_get_work("t1", now), "an edit ends the drain");
    members.apply_announcement(&leaving("t1", 6), now);
    members.apply_inventory(plan(false).into_iter());
    assert!(!members.may_get_work("t1", now), "the announced mark stays");
}

#[test]
fn a_digest_is_bounded_and_every_mark_is_relayed() {
    let now = Instant::now();
    let mut members = Membership::new(Timeouts::default());
    for i in 0..30 {
        members.apply_announcement(&leaving(&format!("t{i}"), 5), now);
    }
    let mut receiver = Membership::new(Timeouts::default());
    let mut learned = 0;
    for _ in 0..3 {
        let digest = members.digest(now);
        assert!(digest.len() <= MAX_DIGEST_MARKS);
        assert!(serde_json::to_string(&digest).unwrap().len() < 1_024);
        learned += receiver.apply_digest(&digest, now);
    }
    assert_eq!(learned, 30);
    assert!(members.digest(after(now, 30_000)).is_empty());
}

#[test]
fn a_process_whose_clock_is_behind_gets_a_newer_incarnation_than_its_predecessor() {
    let known = Incarnation::new(9_000, 3);
    assert!(Incarnation::new(1_000, 1).advanced_past(known) > known);
    assert_eq!("2328-3".parse(), Ok(known));
    assert_eq!(known.to_string(), "2328-3");
}

/// Returns names with their failure domains, distributed evenly over 24 domains.
fn distribute(prefix: &str, count: usize) -> Vec<(String, String)> {
    let named = |i: usize| (format!("{prefix}{i}"), format!("fd{}", i % 24));
    (0..count).map(named).collect()
}

fn borrowed(members: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    members.iter().map(|(name, domain)| (&**name, &**domain))
}

#[test]
fn subsets_are_bounded_and_every_target_has_a_router() {
    let targets = distribute("t", 1_900);
    let routers = distribute("r", 600);
    let mut pairs = HashSet::new();
    for (router, domain) in &routers {
        let chosen = PeerSubset::default().choose(router, domain, borrowed(&targets));
        assert_eq!(chosen.len(), 24);
        pairs.extend(chosen.into_iter().map(|t| (router.as_str(), t)));
    }
    for (target, domain) in &targets {
        let chosen = PeerSubset::FOR_SIDE.choose(target, domain, borrowed(&routers));
        assert_eq!(chosen.len(), 3);
        pairs.extend(chosen.into_iter().map(|r| (r, target.as_str())));
    }
    let mut of_router: HashMap<&str, usize> = HashMap::new();
    let mut of_target: HashMap<&str, usize> = HashMap::new();
    for (router, target) in pairs {
        *of_router.entry(router).or_default() += 1;
        *of_target.entry(target).or_default() += 1;
    }
    assert_eq!(of_target.len(), 1_900);
    assert!(of_target.values().all(|n| (3..=24).contains(n)));
    assert!(of_router.values().all(|n| (24..=48).contains(n)));
    let period = heartbeat_period(24, 1_200, 8_192, Duration::from_secs(1));
    assert!(period > Duration::from_secs(3));
}

#[test]
fn in_a_small_fleet_every_member_is_chosen() {
    let targets = distribute("t", 15);
    let chosen = PeerSubset::default().choose("r0", "fd0", borrowed(&targets));
    assert_eq!(chosen.len(), 15);
}

/// Event at a process.
#[derive(Clone, Debug)]
enum Event {
    Announced(Announcement),
    Relayed(LeavingMark),
    Listed(u8, bool),
    Planned(u8, bool),
    Silence(u16),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = format!("t{}", u8::arbitrary(g) % 2);
        let started_ms = u64::from(u8::arbitrary(g) % 3);
        let mut announcement = side(&name, started_ms);
        announcement.leaving = u8::arbitrary(g).is_multiple_of(4);
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Announced(announcement),
            4 => Self::Relayed(LeavingMark {
                name,
                incarnation: announcement.incarnation,
                cause: LeavingCause::Announced,
            }),
            5 => Self::Listed(u8::arbitrary(g) % 2, bool::arbitrary(g)),
            6 => Self::Planned(u8::arbitrary(g) % 2, bool::arbitrary(g)),
            _ => Self::Silence(u16::arbitrary(g)),
        }
    }
}

fn apply(members: &mut Membership, event: &Event, now: &mut Instant) {
    match event {
        Event::Announced(announcement) => {
            members.apply_announcement(announcement, *now);
        }
        Event::Relayed(mark) => {
            members.apply_digest(&MarkDigest::from(vec![mark.clone()]), *now);
        }
        Event::Listed(n, leaving) => {
            let state = if *leaving {
                VmState::Leaving
            } else {
                VmState::Live
            };
            members.apply_vm_list(&[listed(&format!("t{n}"), state)], *now);
        }
        Event::Planned(n, draining) => {
            let plan = ["t0", "t1"].into_iter().enumerate();
            let plan = plan.map(|(i, name)| PlannedMember {
                name,
                draining: *draining && i == usize::from(*n),
            });
            members.apply_inventory(plan);
        }
        Event::Silence(ms) => *now = after(*now, u64::from(*ms)),
    }
}

#[test]
fn marks_are_never_undone_and_incarnations_only_grow() {
    fn holds(events: Vec<Event>) -> bool {
        let mut now = Instant::now();
        let mut members = Membership::new(Timeouts::default());
        for event in &events {
            let before = ["t0", "t1"].map(|n| members.member(n).cloned());
            apply(&mut members, event, &mut now);
            for old in before.into_iter().flatten() {
                let Some(new) = members.member(&old.announcement.name) else {
                    return false;
                };
                let is_newer = new.announcement.incarnation > old.announcement.incarnation;
                let is_same = new.announcement.incarnation == old.announcement.incarnation;
                let is_mark_kept =
                    old.leaving_cause.is_none() || new.leaving_cause == old.leaving_cause;
                let respects_mark = new.leaving_cause.is_none()
                    || !members.may_get_work(&old.announcement.name, now);
                if !(is_newer || is_same && is_mark_kept) || !respects_mark {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(3_000)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}
