//! Results of each load pattern, in virtual time and with fixed seeds.

use wisteriapass_bench::loads::{Pattern, Policy, Summary, simulate};
use wisteriapass_policy::PolicyConfig;

/// Seed of these tests; the documented experiments use other seeds.
const SEED: u64 = 7;

fn ours(pattern: Pattern) -> Summary {
    simulate(pattern, Policy::Ours, SEED, &PolicyConfig::default())
}

/// Runs a pattern with one feature disabled.
fn without(pattern: Pattern, part: &str) -> Summary {
    let mut cfg = PolicyConfig::default();
    cfg.parts = cfg.parts.without(part).expect("the part exists");
    simulate(pattern, Policy::Ours, SEED, &cfg)
}

/// Checks that no baseline has a higher goodput.
fn assert_beats_baselines(ours: &Summary, pattern: Pattern) {
    for policy in [
        Policy::FcfsRoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
    ] {
        let theirs = simulate(pattern, policy, SEED, &PolicyConfig::default());
        assert!(
            ours.goodput >= theirs.goodput,
            "{policy}: {} beats {}",
            theirs.goodput,
            ours.goodput
        );
    }
}

#[test]
fn interactive_work_stays_fast_in_a_burst() {
    let s = ours(Pattern::Burst);
    assert!(s.p95_first_token_ms < 460.0, "{s:?}");
    assert!(s.goodput > 0.93 * s.bound, "{s:?}");
    assert_beats_baselines(&s, Pattern::Burst);
}

#[test]
fn hot_accounts_and_prefix_do_not_starve_others() {
    let s = ours(Pattern::Hot);
    assert!(s.worst_share > 0.9, "{s:?}");
    assert!(s.goodput > 0.95 * s.bound, "{s:?}");
    assert!(s.come_back_right > 0.9, "{s:?}");
    assert!(s.prefix_held > 0.8, "{s:?}");
    assert_beats_baselines(&s, Pattern::Hot);
}

#[test]
fn slow_target_costs_only_its_own_capacity() {
    let s = ours(Pattern::Slow);
    assert!(s.goodput > 0.95 * s.bound, "{s:?}");
    assert_beats_baselines(&s, Pattern::Slow);
}

#[test]
fn silent_target_costs_only_its_own_capacity() {
    let s = ours(Pattern::Silent);
    assert!(s.goodput > 0.95 * s.bound, "{s:?}");
    assert!(s.cut_off < 40.0, "{s:?}");
    assert_beats_baselines(&s, Pattern::Silent);
}

#[test]
fn long_requests_do_not_delay_short_ones() {
    let s = ours(Pattern::LongShort);
    assert!(s.goodput > 0.93 * s.bound, "{s:?}");
    assert!(s.p95_by_class_ms[0] < 1_200.0, "{s:?}");
    assert_beats_baselines(&s, Pattern::LongShort);
}

#[test]
fn saturation_keeps_goodput_and_fairness() {
    let s = ours(Pattern::Saturation);
    assert!(s.goodput > 0.95 * s.bound, "{s:?}");
    assert!(s.worst_share > 0.9, "{s:?}");
    assert!(s.come_back_right > 0.9, "{s:?}");
    assert_beats_baselines(&s, Pattern::Saturation);
}

#[test]
fn lagging_reports_cause_no_herding() {
    let s = ours(Pattern::Lagging);
    assert!(s.goodput > 0.93 * s.bound, "{s:?}");
    assert_beats_baselines(&s, Pattern::Lagging);
}

#[test]
fn all_patterns_at_once_keep_goodput() {
    let s = ours(Pattern::All);
    assert!(s.goodput > 0.95 * s.bound, "{s:?}");
    // The goal is 0.9 for both; the load page of the docs explains why it is missed here.
    assert!(s.worst_share > 0.75, "{s:?}");
    assert!(s.come_back_right > 0.75, "{s:?}");
    assert_beats_baselines(&s, Pattern::All);
}

#[test]
fn same_seed_gives_same_result() {
    let (a, b) = (ours(Pattern::Silent), ours(Pattern::Silent));
    assert_eq!(a.to_json(), b.to_json());
}

#[test]
fn without_reserve_a_burst_delays_interactive_work() {
    let with = ours(Pattern::Burst).p95_first_token_ms;
    let off = without(Pattern::Burst, "reserve").p95_first_token_ms;
    assert!(off > 1.5 * with, "{off} and {with}");
}

#[test]
fn without_damping_routers_herd_to_the_same_targets() {
    let with = ours(Pattern::Lagging);
    let off = without(Pattern::Lagging, "damping");
    assert!(off.p95_first_token_ms > 1.5 * with.p95_first_token_ms);
    assert!(off.cut_off > with.cut_off + 50.0, "{off:?}");
}

#[test]
fn without_retry_times_callers_return_too_early() {
    let off = without(Pattern::Saturation, "come_back");
    assert!(off.come_back_right < 0.7, "{off:?}");
}

#[test]
fn without_health_a_slow_target_cuts_answers_off() {
    let with = ours(Pattern::Slow).cut_off;
    let off = without(Pattern::Slow, "health").cut_off;
    assert!(off > 1.5 * with, "{off} and {with}");
}

#[test]
fn without_affinity_prompts_are_read_again() {
    let with = ours(Pattern::Saturation);
    let off = without(Pattern::Saturation, "affinity");
    assert!(off.prefix_held < 0.5 * with.prefix_held, "{off:?}");
    assert!(off.goodput < 0.98 * with.goodput, "{off:?}");
}

#[test]
fn without_fairness_hot_accounts_starve_others() {
    let with = ours(Pattern::Hot).worst_share;
    let off = without(Pattern::Hot, "fairness").worst_share;
    assert!(off < with - 0.05, "{off} and {with}");
}
