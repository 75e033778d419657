//! Grant sizes: never more than is free, no give-back of what was just taken, all when idle.

use quickcheck::{Gen, QuickCheck};
use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::{GrantPolicy, Tokens, UsageMeter};

const TESTS: u64 = 2_000;

fn check(property: fn(u32, u32, u32) -> bool) {
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(100_000, 0x0003))
        .tests(TESTS)
        .max_tests(TESTS)
        .quicktest(property);
    assert!(result.is_ok(), "{result:?}");
}

fn tokens(n: u32) -> Tokens {
    Tokens(u64::from(n % 100_000))
}

#[test]
fn a_grant_covers_the_need_and_never_exceeds_what_is_free() {
    check(|need, draw, free| {
        let (need, free) = (tokens(need), tokens(free));
        let grant = GrantPolicy::new().grant(need, Tokens::ZERO, tokens(draw), free);
        grant <= free && (need > free || grant >= need)
    });
}

#[test]
fn a_grant_grows_with_the_draw_and_with_what_is_free() {
    check(|need, draw, free| {
        let size = GrantPolicy::new();
        let (need, draw, free) = (tokens(need), tokens(draw), tokens(free));
        let grant = size.grant(need, Tokens::ZERO, draw, free);
        let more = Tokens(1_000);
        size.grant(need, Tokens::ZERO, draw + more, free) >= grant
            && size.grant(need, Tokens::ZERO, draw, free + more) >= grant
    });
}

#[test]
fn what_was_just_taken_is_not_given_back() {
    check(|need, draw, free| {
        let size = GrantPolicy::new();
        let (draw, free) = (tokens(draw).max(Tokens(1)), tokens(free));
        // A need beyond the draw's share is reserved at once and not held.
        let need = tokens(need).min(Tokens(draw.0 * 3));
        let grant = size.grant(need, Tokens::ZERO, draw, free);
        size.surplus(grant, draw, free - grant).is_zero()
    });
}

#[test]
fn an_idle_router_gives_everything_back() {
    let size = GrantPolicy::new();
    let surplus = size.surplus(Tokens(5_000), Tokens::ZERO, Tokens(1_000_000));
    assert_eq!(surplus, Tokens(5_000));
}

#[test]
fn a_meter_forgets_an_old_burst() {
    let mut meter = UsageMeter::new();
    meter.add(Tokens(150_000), Millis(0));
    assert!(meter.per_second(Millis(0)) > Tokens(500));
    assert!(meter.per_second(Millis(1_800_000)).is_zero());
}
