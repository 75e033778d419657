//! Which requests are banned for crashing targets, as books of several routers learn it.

mod laws;

use wisteriapass_coord::quarantine::{
    Cursor, Fingerprint, Incarnation, MAX_REQUESTS, MAX_REQUESTS_PER_DELTA, Quarantine, Verdict,
};

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;

fn request(n: u32) -> Fingerprint {
    Fingerprint::new("POST", "api", "/v1", Some("acme"), &n.to_le_bytes())
}

fn target(n: u64) -> Incarnation {
    Incarnation::new("target", Some(n))
}

fn is_banned(book: &Quarantine, now: u64, request: &Fingerprint) -> bool {
    matches!(book.verdict(now, request), Verdict::Banned { .. })
}

/// Notes that targets ended one after the other under a request.
fn kill(book: &mut Quarantine, request: Fingerprint, deaths: &[(u64, u64)]) {
    for (at, n) in deaths {
        book.record_death(*at, request, target(*n));
    }
}

/// Tells one book all of another, as a message under way for a time.
fn tell(to: &mut Quarantine, from: &Quarantine, sent: u64, took: u64) -> bool {
    to.merge(sent + took, &from.delta_since(Cursor::default(), sent))
}

/// A request that crashes whatever runs it.
const POISON: u32 = 1;

#[test]
fn fields_of_a_fingerprint_do_not_run_into_each_other() {
    let of = |account, path, body: &[u8]| Fingerprint::new("POST", "h", path, account, body);
    let one = of(Some("ab"), "/c", b"d");
    assert_eq!(one, of(Some("ab"), "/c", b"d"));
    let others = [
        of(Some("a"), "/c", b"d"),
        of(Some("a"), "b/c", b"d"),
        of(Some("ab"), "/cd", b""),
        of(Some("abd"), "/c", b""),
        of(None, "/c", b"d"),
        Fingerprint::new("PUT", "h", "/c", Some("ab"), b"d"),
        Fingerprint::new("POST", "h2", "/c", Some("ab"), b"d"),
    ];
    assert!(others.iter().all(|other| *other != one));
    assert_ne!(of(None, "/", b""), of(Some(""), "/", b""));
}

#[test]
fn the_third_target_that_ends_bans() {
    let mut book = Quarantine::new(1);
    assert_eq!(book.verdict(0, &request(POISON)), Verdict::Clear);
    kill(&mut book, request(POISON), &[(0, 1), (900, 2)]);
    let suspect = Verdict::Suspect { deaths: 2 };
    assert_eq!(book.verdict(900, &request(POISON)), suspect);
    kill(&mut book, request(POISON), &[(1_800, 3)]);
    let banned = Verdict::Banned {
        deaths: 3,
        until: 1_800 + 5 * MINUTE,
    };
    assert_eq!(book.verdict(1_800, &request(POISON)), banned);
    assert_eq!(book.verdict(1_800, &request(2)), Verdict::Clear);
}

#[test]
fn one_target_that_ends_counts_once_whoever_notes_it() {
    let mut books = [Quarantine::new(1), Quarantine::new(2)];
    for book in &mut books {
        kill(book, request(POISON), &[(0, 1), (5, 1), (100, 2)]);
    }
    let [a, b] = &mut books;
    assert!(!tell(a, b, 200, 30));
    assert_eq!(
        a.verdict(300, &request(POISON)),
        Verdict::Suspect { deaths: 2 }
    );
}

#[test]
fn three_crashes_at_routers_that_hear_of_each_other_late_ban_at_all_of_them() {
    let mut books = [1, 2, 3].map(Quarantine::new);
    for (n, book) in (0..).zip(&mut books) {
        kill(book, request(POISON), &[(n * 700, n)]);
    }
    let told: Vec<Quarantine> = books.to_vec();
    for (to, book) in books.iter_mut().enumerate() {
        for (from, other) in told.iter().enumerate().filter(|(from, _)| *from != to) {
            tell(book, other, 1_500, 400 * from as u64);
        }
        assert!(is_banned(book, 2_500, &request(POISON)));
    }
}

#[test]
fn copies_under_way_at_once_ban_for_no_longer_than_one_after_the_other() {
    let mut book = Quarantine::new(1);
    let copies: Vec<(u64, u64)> = (0..5).map(|n| (n * 3, n)).collect();
    kill(&mut book, request(POISON), &copies);
    let verdict = book.verdict(100, &request(POISON));
    assert_eq!(verdict.deaths(), 5);
    assert_eq!(verdict.banned_until(), Some(12 + 5 * MINUTE));
}

// Sound requests under way at all targets of a rack were banned with its end.
#[test]
fn many_targets_that_end_at_one_moment_are_one_event() {
    let mut book = Quarantine::new(1);
    let all: Vec<(u64, u64)> = (0..9).map(|n| (n * 3, n)).collect();
    kill(&mut book, request(1), &all);
    assert!(!is_banned(&book, 100, &request(1)));
    kill(&mut book, request(1), &[(1_000, 20)]);
    assert_eq!(
        book.verdict(1_000, &request(1)).banned_until(),
        Some(1_000 + 5 * MINUTE),
        "what ends another one is no bystander"
    );
}

#[test]
fn targets_that_end_at_one_moment_under_two_sound_requests_ban_neither() {
    let mut book = Quarantine::new(1);
    for n in 0..3 {
        kill(&mut book, request(1), &[(n, n)]);
        kill(&mut book, request(2), &[(n, 100 + n)]);
    }
    assert!(!is_banned(&book, 100, &request(1)));
    assert!(!is_banned(&book, 100, &request(2)));
}

#[test]
fn a_fast_train_of_copies_is_banned_within_two_moments() {
    let mut book = Quarantine::new(1);
    for n in 0..16 {
        kill(&mut book, request(POISON), &[(n * 50, n)]);
    }
    assert!(is_banned(&book, 800, &request(POISON)));
}

#[test]
fn two_poisons_at_once_are_both_banned() {
    let mut book = Quarantine::new(1);
    for n in 0..3 {
        kill(&mut book, request(1), &[(n * 333, n)]);
        kill(&mut book, request(2), &[(n * 333 + 100, 100 + n)]);
    }
    assert!(is_banned(&book, 1_000, &request(1)));
    assert!(is_banned(&book, 1_000, &request(2)));
}

#[test]
fn two_poisons_whose_copies_end_many_targets_at_once_are_both_banned() {
    let mut book = Quarantine::new(1);
    for n in 0..6 {
        kill(&mut book, request(1), &[(n * 10, n)]);
        kill(&mut book, request(2), &[(n * 10 + 5, 100 + n)]);
    }
    kill(&mut book, request(1), &[(1_000, 50)]);
    kill(&mut book, request(2), &[(1_010, 150)]);
    assert!(is_banned(&book, 1_100, &request(1)));
    assert!(is_banned(&book, 1_100, &request(2)));
}

// Each one's ends counted as a mass failure beside the others'.
#[test]
fn many_poisons_at_once_are_all_banned() {
    for poisons in 3..7 {
        let mut book = Quarantine::new(1);
        let mut late = 0;
        for n in 0..120 {
            let (now, poison) = (n * 175, request(n as u32 % poisons));
            if !is_banned(&book, now, &poison) {
                late += u32::from(now > 10_000);
                kill(&mut book, poison, &[(now, n)]);
            }
            book.maintain(now);
        }
        assert_eq!(late, 0, "{poisons} poisons");
    }
}

/// Copies of a burst.
const BURST: u64 = 6;

// Copies that come in bursts end many targets at one moment, which counts as one event each time.
#[test]
fn a_request_whose_copies_come_in_bursts_stops_reaching_targets() {
    let mut book = Quarantine::new(1);
    let mut strays = 0;
    for burst in 0..4 {
        let now = burst * 4_000;
        if is_banned(&book, now, &request(POISON)) {
            continue;
        }
        strays += if burst > 0 { BURST } else { 0 };
        let copies: Vec<(u64, u64)> = (0..BURST).map(|n| (now + n, burst * BURST + n)).collect();
        kill(&mut book, request(POISON), &copies);
    }
    assert!(strays <= 3, "{strays} sent behind the third end");
}

#[test]
fn bystanders_of_a_poison_are_not_banned() {
    let mut book = Quarantine::new(1);
    for n in 0..3 {
        kill(&mut book, request(POISON), &[(n * 500, n)]);
        for bystander in 0..20 {
            kill(
                &mut book,
                request(100 + 20 * n as u32 + bystander),
                &[(n * 500, n)],
            );
        }
    }
    assert_eq!(book.banned(2_000), [request(POISON)]);
}

#[test]
fn a_mass_failure_that_hits_a_sound_request_three_times_bans_nothing() {
    let mut book = Quarantine::new(1);
    for n in 0..12 {
        kill(&mut book, request(100 + n), &[(u64::from(n) * 9, n.into())]);
    }
    kill(&mut book, request(7), &[(10, 0), (60, 5), (90, 11)]);
    assert_eq!(book.verdict(200, &request(7)), Verdict::Clear);
    // Nor later, when what showed it is forgotten.
    for now in [SECOND, 11 * SECOND, 9 * MINUTE, 10 * MINUTE, 11 * MINUTE] {
        book.record_death(now, request(now as u32), target(1_000 + now));
        assert!(book.banned(now).is_empty(), "at {now}");
    }
}

#[test]
fn a_poison_before_and_behind_a_mass_failure_is_banned() {
    let mut book = Quarantine::new(1);
    kill(&mut book, request(POISON), &[(0, 50)]);
    for n in 0..12 {
        kill(&mut book, request(100 + n), &[(2_000, n.into())]);
    }
    kill(&mut book, request(POISON), &[(2_000, 3), (3_000, 51)]);
    assert_eq!(book.verdict(3_000, &request(POISON)).deaths(), 2);
    kill(&mut book, request(POISON), &[(4_000, 52)]);
    assert!(is_banned(&book, 4_000, &request(POISON)));
}

#[test]
fn a_popular_sound_request_under_way_at_all_that_crash_is_not_banned() {
    let mut book = Quarantine::new(1);
    for n in 0..30 {
        let at = u64::from(n) * 400;
        kill(&mut book, request(POISON + n / 3), &[(at, n.into())]);
        kill(&mut book, request(99), &[(at, n.into())]);
        assert!(!is_banned(&book, at, &request(99)));
        book.record_completion(at + 50, request(99));
    }
    assert!(is_banned(&book, 12_000, &request(POISON)));
    assert_eq!(book.verdict(12_000, &request(99)), Verdict::Clear);
}

#[test]
fn a_whole_answer_at_one_router_clears_a_ban_at_all() {
    let (mut a, mut b) = (Quarantine::new(1), Quarantine::new(2));
    kill(&mut a, request(1), &[(0, 1), (10, 2), (20, 3)]);
    tell(&mut b, &a, 30, 20);
    assert!(is_banned(&b, 60, &request(1)));
    assert!(b.record_completion(100, request(1)));
    assert!(!b.record_completion(200, request(1)));
    assert!(tell(&mut a, &b, 210, 20));
    for book in [&a, &b] {
        assert_eq!(book.verdict(300, &request(1)), Verdict::Clear);
    }
    // A late word of the same deaths does not count either.
    let mut c = Quarantine::new(3);
    kill(&mut c, request(1), &[(0, 1), (10, 2), (20, 3)]);
    tell(&mut a, &c, 310, 20);
    assert_eq!(a.verdict(400, &request(1)), Verdict::Clear);
}

#[test]
fn deaths_behind_the_last_whole_answer_count_again() {
    let mut book = Quarantine::new(1);
    book.record_completion(0, request(1));
    kill(&mut book, request(1), &[(500, 1), (2_000, 2), (2_500, 3)]);
    assert_eq!(book.verdict(2_500, &request(1)).deaths(), 2);
    kill(&mut book, request(1), &[(3_000, 4)]);
    assert!(is_banned(&book, 3_000, &request(1)));
}

/// One refused a request 17 times whose copies were under way at all targets of a rack.
#[test]
fn a_popular_request_under_way_at_all_targets_of_a_rack_is_not_banned() {
    let (mut a, mut b) = (Quarantine::new(1), Quarantine::new(2));
    a.record_completion(0, request(1));
    for n in 0..4 {
        kill(&mut a, request(1), &[(60 + n, n)]);
        kill(&mut b, request(1), &[(60 + n, 10 + n)]);
    }
    assert!(!is_banned(&a, 70, &request(1)));
    assert!(is_banned(&b, 70, &request(1)));
    tell(&mut a, &b, 70, 1);
    tell(&mut b, &a, 71, 1);
    assert_eq!(b.verdict(72, &request(1)), Verdict::Clear);
}

#[test]
fn a_whole_answer_of_a_request_without_deaths_is_not_kept() {
    let mut book = Quarantine::new(1);
    assert!(!book.record_completion(0, request(1)));
    assert!(book.is_empty());
}

#[test]
fn a_ban_ends_and_one_more_death_doubles_it() {
    let mut book = Quarantine::new(1);
    kill(&mut book, request(POISON), &[(0, 1), (10, 2), (20, 3)]);
    let mut until = 20 + 5 * MINUTE;
    for (n, minutes) in [(4, 10), (5, 20), (6, 40), (7, 60), (8, 60)] {
        assert!(is_banned(&book, until - 1, &request(POISON)));
        assert!(!is_banned(&book, until, &request(POISON)));
        let at = until + 30 * SECOND;
        kill(&mut book, request(POISON), &[(at, n)]);
        until = at + minutes * MINUTE;
        let verdict = book.verdict(at, &request(POISON));
        assert_eq!(verdict.banned_until(), Some(until));
    }
}

#[test]
fn a_request_that_did_no_harm_on_probation_begins_anew() {
    let mut book = Quarantine::new(1);
    kill(&mut book, request(POISON), &[(0, 1), (10, 2), (20, 3)]);
    let at = 66 * MINUTE;
    kill(&mut book, request(POISON), &[(at, 4)]);
    assert_eq!(book.verdict(at, &request(POISON)).deaths(), 1);
}

#[test]
fn single_deaths_are_forgotten() {
    let mut book = Quarantine::new(1);
    kill(&mut book, request(1), &[(0, 1), (48 * MINUTE, 2)]);
    kill(&mut book, request(1), &[(61 * MINUTE, 3)]);
    assert_eq!(book.verdict(61 * MINUTE, &request(1)).deaths(), 2);
    kill(&mut book, request(2), &[(122 * MINUTE, 9)]);
    assert_eq!(book.len(), 1);
}

#[test]
fn a_flood_of_requests_leaves_bans_and_is_bounded() {
    let mut book = Quarantine::new(1);
    kill(&mut book, request(POISON), &[(0, 1), (10, 2), (20, 3)]);
    kill(&mut book, request(2), &[(0, 1), (600, 2)]);
    for n in 0..3 * MAX_REQUESTS as u32 {
        kill(&mut book, request(10 + n), &[(1_000 + u64::from(n), 7)]);
    }
    assert_eq!(book.len(), MAX_REQUESTS);
    assert!(is_banned(&book, 5_000, &request(POISON)));
    assert_eq!(book.verdict(5_000, &request(2)).deaths(), 2);
    assert_eq!(book.verdict(5_000, &request(10)), Verdict::Clear);
}

#[test]
fn a_full_book_is_told_in_messages_of_bounded_size() {
    let mut from = Quarantine::new(1);
    for n in 0..MAX_REQUESTS as u32 {
        for death in 0..20_u64 {
            kill(
                &mut from,
                request(n),
                &[(death * 700, u64::from(n) * 100 + death)],
            );
        }
    }
    let mut to = Quarantine::new(2);
    let mut cursor = Cursor::default();
    for round in 1.. {
        let news = from.delta_since(cursor, 20_000);
        assert!(news.requests.len() <= MAX_REQUESTS_PER_DELTA);
        assert!(postcard::to_stdvec(&news).unwrap().len() < 128 << 10);
        cursor = news.cursor;
        to.merge(20_000, &news);
        if !news.has_more {
            assert_eq!(round, MAX_REQUESTS / MAX_REQUESTS_PER_DELTA);
            break;
        }
    }
    assert_eq!(to.len(), MAX_REQUESTS);
    assert!(from.delta_since(cursor, 20_000).requests.is_empty());
}

#[test]
fn only_what_changed_is_told_and_all_of_it_to_a_process_that_is_new() {
    let mut book = Quarantine::new(1);
    kill(&mut book, request(1), &[(0, 1)]);
    let first = book.delta_since(Cursor::default(), 5);
    kill(&mut book, request(2), &[(10, 2)]);
    let news = book.delta_since(first.cursor, 20);
    assert_eq!(news.requests.len(), 1);
    assert_eq!(news.requests[0].fingerprint, request(2));
    let other = Cursor { process: 9, seq: 2 };
    assert_eq!(book.delta_since(other, 20).requests.len(), 2);
}

/// Messages that cross each other for hours, each some time under way, keep nothing alive.
#[test]
fn a_ban_does_not_live_on_by_being_told() {
    let mut books = [Quarantine::new(1), Quarantine::new(2)];
    kill(&mut books[0], request(1), &[(0, 1), (10, 2), (20, 3)]);
    kill(&mut books[0], request(2), &[(30, 1)]);
    for now in (100..70 * MINUTE).step_by(2_000) {
        let [a, b] = &mut books;
        let (to_a, to_b) = (
            b.delta_since(Cursor::default(), now),
            a.delta_since(Cursor::default(), now),
        );
        a.merge(now + 700, &to_a);
        b.merge(now + 700, &to_b);
        let is_due = now > 5 * MINUTE + 2 * SECOND;
        assert!(!is_due || !is_banned(a, now, &request(1)) && !is_banned(b, now, &request(1)));
        let is_forgotten = now > 60 * MINUTE + 5 * SECOND;
        assert!(!is_forgotten || a.len() < 2 && b.len() < 2);
    }
    for book in &mut books {
        book.maintain(70 * MINUTE);
        assert!(book.is_empty());
    }
}

#[test]
fn a_router_that_starts_learns_of_old_bans_and_of_no_old_deaths() {
    let mut old = Quarantine::new(1);
    kill(&mut old, request(2), &[(MINUTE, 9)]);
    let began = 45 * MINUTE;
    kill(
        &mut old,
        request(1),
        &[(began, 1), (began + 10, 2), (began + 20, 3)],
    );
    kill(&mut old, request(1), &[(began + 6 * MINUTE, 4)]);
    let now = began + 15 * MINUTE + 30 * SECOND;
    let mut new = Quarantine::new(2);
    // Its clock has just begun.
    assert!(new.merge(1_500, &old.delta_since(Cursor::default(), now)));
    assert!(is_banned(&new, 1_500, &request(1)));
    assert!(!is_banned(&new, 1_500 + MINUTE, &request(1)));
    assert_eq!(new.len(), 1);
}

#[test]
fn ages_of_any_size_are_taken() {
    let mut from = Quarantine::new(1);
    kill(&mut from, request(1), &[(0, 1), (1, 2), (2, 3)]);
    let mut news = from.delta_since(Cursor::default(), 10);
    for death in &mut news.requests[0].deaths {
        death.age_ms = u64::MAX;
    }
    let mut to = Quarantine::new(2);
    assert!(!to.merge(5, &news));
    assert!(to.is_empty());
}
