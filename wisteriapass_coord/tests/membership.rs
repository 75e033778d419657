//! Membership: leaving marks, incarnations, silence, and what is relayed.

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
fn a_leaving_member_gets_no_work_and_stays_leaving() {
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
    let woken = members.apply_announcement(&side("t1", 5), now);
    assert_eq!(
        woken,
        AnnouncementOutcome::Superseded(Incarnation::new(6, 7))
    );
}

#[test]
fn silence_makes_suspect_and_then_gone_by_stored_deadlines() {
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
fn a_word_lost_on_the_way_to_one_router_comes_through_another() {
    let now = Instant::now();
    let mut told = Membership::new(Timeouts::default());
    let mut missed = Membership::new(Timeouts::default());
    told.apply_announcement(&side("t1", 5), now);
    missed.apply_announcement(&side("t1", 5), now);
    told.apply_announcement(&leaving("t1", 5), now);
    assert_eq!(missed.apply_digest(&told.digest(now), now), 1);
    assert!(!missed.may_get_work("t1", now));
    assert_eq!(missed.digest(now).len(), 1, "it relays what it learned");
}

#[test]
fn a_mark_is_known_before_its_member_is() {
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
    assert!(!members.may_get_work("t1", now), "held while listed");
    members.apply_vm_list(&[listed("t1", VmState::Live)], now);
    assert!(members.may_get_work("t1", now));
}

#[test]
fn a_drain_in_the_inventory_counts_before_and_after_the_member_is_heard() {
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
        "also the next incarnation"
    );
    members.apply_inventory(plan(false).into_iter());
    assert!(members.may_get_work("t1", now), "taken back by an edit");
    members.apply_announcement(&leaving("t1", 6), now);
    members.apply_inventory(plan(false).into_iter());
    assert!(!members.may_get_work("t1", now), "its own word stands");
}

#[test]
fn a_digest_is_bounded_and_gets_round_to_every_mark() {
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
fn a_process_whose_clock_is_behind_starts_past_its_predecessor() {
    let known = Incarnation::new(9_000, 3);
    assert!(Incarnation::new(1_000, 1).advanced_past(known) > known);
    assert_eq!("2328-3".parse(), Ok(known));
    assert_eq!(known.to_string(), "2328-3");
}

/// Names with their failure domains, spread evenly over 24 of them.
fn spread(prefix: &str, count: usize) -> Vec<(String, String)> {
    let named = |i: usize| (format!("{prefix}{i}"), format!("fd{}", i % 24));
    (0..count).map(named).collect()
}

fn borrowed(members: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    members.iter().map(|(name, domain)| (&**name, &**domain))
}

#[test]
fn subsets_are_bounded_and_every_target_is_heard() {
    let targets = spread("t", 1_900);
    let routers = spread("r", 600);
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
fn a_small_fleet_hears_everybody() {
    let targets = spread("t", 15);
    let chosen = PeerSubset::default().choose("r0", "fd0", borrowed(&targets));
    assert_eq!(chosen.len(), 15);
}

/// One word that reaches a process.
#[derive(Clone, Debug)]
enum Word {
    Said(Announcement),
    Relayed(LeavingMark),
    Listed(u8, bool),
    Planned(u8, bool),
    Silence(u16),
}

impl Arbitrary for Word {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = format!("t{}", u8::arbitrary(g) % 2);
        let started_ms = u64::from(u8::arbitrary(g) % 3);
        let mut said = side(&name, started_ms);
        said.leaving = u8::arbitrary(g).is_multiple_of(4);
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Said(said),
            4 => Self::Relayed(LeavingMark {
                name,
                incarnation: said.incarnation,
                cause: LeavingCause::Announced,
            }),
            5 => Self::Listed(u8::arbitrary(g) % 2, bool::arbitrary(g)),
            6 => Self::Planned(u8::arbitrary(g) % 2, bool::arbitrary(g)),
            _ => Self::Silence(u16::arbitrary(g)),
        }
    }
}

fn apply(members: &mut Membership, word: &Word, now: &mut Instant) {
    match word {
        Word::Said(said) => {
            members.apply_announcement(said, *now);
        }
        Word::Relayed(mark) => {
            members.apply_digest(&MarkDigest::from(vec![mark.clone()]), *now);
        }
        Word::Listed(n, leaving) => {
            let state = if *leaving {
                VmState::Leaving
            } else {
                VmState::Live
            };
            members.apply_vm_list(&[listed(&format!("t{n}"), state)], *now);
        }
        Word::Planned(n, drains) => {
            let plan = ["t0", "t1"].into_iter().enumerate();
            let plan = plan.map(|(i, name)| PlannedMember {
                name,
                draining: *drains && i == usize::from(*n),
            });
            members.apply_inventory(plan);
        }
        Word::Silence(ms) => *now = after(*now, u64::from(*ms)),
    }
}

#[test]
fn marks_are_never_undone_and_incarnations_only_grow() {
    fn holds(words: Vec<Word>) -> bool {
        let mut now = Instant::now();
        let mut members = Membership::new(Timeouts::default());
        for word in &words {
            let before = ["t0", "t1"].map(|n| members.member(n).cloned());
            apply(&mut members, word, &mut now);
            for old in before.into_iter().flatten() {
                let Some(new) = members.member(&old.announcement.name) else {
                    return false;
                };
                let grew = new.announcement.incarnation > old.announcement.incarnation;
                let same = new.announcement.incarnation == old.announcement.incarnation;
                let kept = old.leaving_cause.is_none() || new.leaving_cause == old.leaving_cause;
                let refuses = new.leaving_cause.is_none()
                    || !members.may_get_work(&old.announcement.name, now);
                if !(grew || same && kept) || !refuses {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(3_000)
        .quickcheck(holds as fn(Vec<Word>) -> bool);
}
