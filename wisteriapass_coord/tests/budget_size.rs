//! Grant policy: a grant never exceeds the free amount, tokens just granted are not returned, and
//! an idle router returns everything.

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
fn a_grant_covers_the_need_and_never_exceeds_the_free_amount() {
    check(|need, usage, free| {
        let (need, free) = (tokens(need), tokens(free));
        let grant = GrantPolicy::new().grant(need, Tokens::ZERO, tokens(usage), free);
        grant <= free && (need > free || grant >= need)
    });
}

#[test]
fn a_grant_grows_with_usage_and_the_free_amount() {
    check(|need, usage, free| {
        let policy = GrantPolicy::new();
        let (need, usage, free) = (tokens(need), tokens(usage), tokens(free));
        let grant = policy.grant(need, Tokens::ZERO, usage, free);
        let more = Tokens(1_000);
        policy.grant(need, Tokens::ZERO, usage + more, free) >= grant
            && policy.grant(need, Tokens::ZERO, usage, free + more) >= grant
    });
}

#[test]
fn tokens_just_granted_are_not_returned() {
    check(|need, usage, free| {
        let policy = GrantPolicy::new();
        let (usage, free) = (tokens(usage).max(Tokens(1)), tokens(free));
        // A need beyond three seconds of usage is reserved at once and not held.
        let need = tokens(need).min(Tokens(usage.0 * 3));
        let grant = policy.grant(need, Tokens::ZERO, usage, free);
        policy.surplus(grant, usage, free - grant).is_zero()
    });
}

#[test]
fn an_idle_router_returns_everything() {
    let policy = GrantPolicy::new();
    let surplus = policy.surplus(Tokens(5_000), Tokens::ZERO, Tokens(1_000_000));
    assert_eq!(surplus, Tokens(5_000));
}

#[test]
fn usage_of_an_old_burst_decays() {
    let mut meter = UsageMeter::new();
    meter.add(Tokens(150_000), Millis(0));
    assert!(meter.per_second(Millis(0)) > Tokens(500));
    assert!(meter.per_second(Millis(1_800_000)).is_zero());
}
