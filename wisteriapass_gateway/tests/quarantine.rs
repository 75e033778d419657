//! Exchange of quarantine changes between routers.

use std::net::SocketAddr;

use futures_util::FutureExt;
use wisteriapass_coord::quarantine::{Fingerprint, Incarnation, Verdict};
use wisteriapass_gateway::{Clock, SharedQuarantine};

fn router() -> SharedQuarantine {
    SharedQuarantine::new(Clock::new())
}

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn request(n: u8) -> Fingerprint {
    Fingerprint::new("GET", "h", "/", None, &[n])
}

fn die(router: &SharedQuarantine, request: Fingerprint, targets: std::ops::Range<u64>) {
    for n in targets {
        router.record_death(n, request, Incarnation::new("t", Some(n)));
    }
}

/// Sends one router's changes to another, which listens on a port; returns the number of changes in
/// the call.
fn tell(from: &SharedQuarantine, to: &SharedQuarantine, port: u16, is_relay: bool) -> usize {
    let call = from.call_for(at(port), is_relay);
    let answer = to.handle_call(&call);
    from.take(at(port), &call, &answer);
    call.update.told.len()
}

fn is_banned(router: &SharedQuarantine, request: Fingerprint) -> bool {
    matches!(router.verdict(&request), Verdict::Banned { .. })
}

fn has_changed(router: &SharedQuarantine) -> bool {
    router.changed.notified().now_or_never().is_some()
}

#[test]
fn one_exchange_tells_both_routers_all() {
    let (a, b) = (router(), router());
    die(&a, request(1), 0..2);
    die(&b, request(1), 2..3);
    tell(&a, &b, 1, true);
    assert!(is_banned(&a, request(1)));
    assert!(is_banned(&b, request(1)));
}

#[test]
fn what_was_told_is_not_told_again() {
    let (a, b) = (router(), router());
    die(&a, request(1), 0..3);
    assert!(a.is_behind(at(1)));
    assert_eq!(tell(&a, &b, 1, true), 1);
    assert!(!a.is_behind(at(1)));
    assert_eq!(tell(&a, &b, 1, true), 0);
    die(&a, request(2), 0..1);
    assert_eq!(tell(&a, &b, 1, true), 1);
}

#[test]
fn a_call_or_answer_that_is_lost_is_made_good_by_the_next() {
    let (a, b) = (router(), router());
    die(&a, request(1), 0..3);
    die(&b, request(2), 0..3);
    let _lost_call = a.call_for(at(1), true);
    let _lost_answer = b.handle_call(&a.call_for(at(1), true));
    assert!(a.is_behind(at(1)));
    tell(&a, &b, 1, true);
    assert!(is_banned(&a, request(2)));
    assert!(is_banned(&b, request(1)));
}

#[test]
fn a_router_that_started_anew_at_the_same_address_is_told_all() {
    let (a, b) = (router(), router());
    die(&a, request(1), 0..3);
    die(&b, request(2), 0..1);
    tell(&a, &b, 1, true);
    let anew = router();
    die(&anew, request(3), 0..1);
    tell(&a, &anew, 1, true);
    assert!(a.is_behind(at(1)));
    tell(&a, &anew, 1, true);
    assert!(is_banned(&anew, request(1)));
}

#[test]
fn a_router_that_started_anew_between_two_calls_under_way_is_told_all() {
    let (a, b) = (router(), router());
    die(&a, request(1), 0..3);
    die(&b, request(2), 0..1);
    tell(&a, &b, 1, true);
    die(&a, request(3), 0..1);
    let calls = [a.call_for(at(1), true), a.call_for(at(1), false)];
    let anew = router();
    for call in &calls {
        let answer = anew.handle_call(call);
        a.take(at(1), call, &answer);
    }
    assert!(!is_banned(&anew, request(1)));
    assert!(a.is_behind(at(1)));
    tell(&a, &anew, 1, true);
    assert!(is_banned(&anew, request(1)));
}

#[test]
fn a_relay_passes_on_what_a_follower_tells_and_not_what_a_relay_does() {
    let (relay, follower, other) = (router(), router(), router());
    die(&other, request(1), 0..1);
    tell(&other, &relay, 1, true);
    assert!(!has_changed(&relay));
    die(&follower, request(2), 0..1);
    tell(&follower, &relay, 1, false);
    assert!(has_changed(&relay));
    tell(&follower, &relay, 1, false);
    assert!(!has_changed(&relay));
}

#[test]
fn a_relay_that_hears_in_an_answer_that_its_news_do_not_count_tells_all() {
    let (a, b) = (router(), router());
    b.record_completion(request(1));
    die(&a, request(1), 0..3);
    assert!(has_changed(&a));
    tell(&a, &b, 1, true);
    assert_eq!(a.verdict(&request(1)), Verdict::Clear);
    assert!(has_changed(&a));
}

#[test]
fn a_whole_answer_is_told_like_a_death() {
    let (a, b) = (router(), router());
    die(&a, request(1), 0..3);
    tell(&a, &b, 1, true);
    b.record_completion(request(1));
    assert!(has_changed(&b));
    tell(&b, &a, 2, true);
    assert_eq!(a.verdict(&request(1)), Verdict::Clear);
}
