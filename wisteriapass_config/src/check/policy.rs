//! Validation of the thresholds of the scheduling policy.

use wisteriapass_policy::PolicyConfig;

use crate::KeyPath;
use crate::check::Checker;

/// Maximum of all thresholds; larger values have no practical meaning.
const MAX_THRESHOLD: f64 = 1e6;

/// Maximum quantile; no length is above all others, so a quantile of 1 is not allowed.
const MAX_QUANTILE: f64 = 0.999;

/// Reports all errors of the thresholds.
pub(crate) fn check_policy(checker: &mut Checker<'_>, policy: &PolicyConfig) {
    for (name, value) in thresholds(policy) {
        let max = max_of(name);
        checker.check_range(&key_of(name), value, 0.0..=max);
    }
    if policy.report_stale_s < policy.report_fresh_s {
        checker.report(
            &key_of("report_stale_s"),
            "is less than report_fresh_s",
            "make it at least as long",
        );
    }
}

fn max_of(name: &str) -> f64 {
    match name {
        "length_quantile" => MAX_QUANTILE,
        "reserve_max" | "slow_below" | "promise_share" => 1.0,
        _ => MAX_THRESHOLD,
    }
}

fn key_of(name: &'static str) -> KeyPath {
    KeyPath::new("policy").with_key(name)
}

/// Returns all thresholds with their names. The struct is destructured completely, so that a new
/// threshold cannot be forgotten here.
fn thresholds(policy: &PolicyConfig) -> [(&'static str, f64); 34] {
    let &PolicyConfig {
        seed: _,
        parts: _,
        prompt_token_work,
        length_quantile,
        report_fresh_s,
        report_stale_s,
        queue_at_target,
        queue_at_home,
        queue_at_target_interactive,
        queue_limit_s,
        interactive_lead_s,
        standard_lead_s,
        returned_lead_s,
        saved_share_s,
        ageing,
        reserve_memory_s,
        reserve_burst,
        reserve_max,
        slow_below,
        silent_after_s,
        silent_queued_s,
        failures_to_avoid,
        avoid_first_s,
        avoid_max_s,
        reentry_step,
        affinity_bonus,
        affinity_wait_s,
        cache_hint_s,
        other_domain_load,
        other_region_load,
        try_share,
        try_burst,
        hedge_factor,
        hedge_min_s,
        promise_share,
        come_back_min_s,
    } = policy;
    [
        ("prompt_token_work", prompt_token_work),
        ("length_quantile", length_quantile),
        ("report_fresh_s", report_fresh_s),
        ("report_stale_s", report_stale_s),
        ("queue_at_target", queue_at_target),
        ("queue_at_home", queue_at_home),
        ("queue_at_target_interactive", queue_at_target_interactive),
        ("queue_limit_s", queue_limit_s),
        ("interactive_lead_s", interactive_lead_s),
        ("standard_lead_s", standard_lead_s),
        ("returned_lead_s", returned_lead_s),
        ("saved_share_s", saved_share_s),
        ("ageing", ageing),
        ("reserve_memory_s", reserve_memory_s),
        ("reserve_burst", reserve_burst),
        ("reserve_max", reserve_max),
        ("slow_below", slow_below),
        ("silent_after_s", silent_after_s),
        ("silent_queued_s", silent_queued_s),
        ("failures_to_avoid", failures_to_avoid.into()),
        ("avoid_first_s", avoid_first_s),
        ("avoid_max_s", avoid_max_s),
        ("reentry_step", reentry_step.into()),
        ("affinity_bonus", affinity_bonus),
        ("affinity_wait_s", affinity_wait_s),
        ("cache_hint_s", cache_hint_s),
        ("other_domain_load", other_domain_load),
        ("other_region_load", other_region_load),
        ("try_share", try_share),
        ("try_burst", try_burst),
        ("hedge_factor", hedge_factor),
        ("hedge_min_s", hedge_min_s),
        ("promise_share", promise_share),
        ("come_back_min_s", come_back_min_s),
    ]
}
