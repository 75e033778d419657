//! Slowness in placement: homes, long prompts, and no effect without slow targets.

use quickcheck_macros::quickcheck;
use wisteriapass_policy::placement::{Candidate, LatencyGoal, Prompt, choose_target, hash_name};

/// Latency goal of 800 ms at 125 tokens per millisecond.
const GOAL: LatencyGoal = LatencyGoal {
    base_tokens: 2_000.0,
    max_tokens: 100_000.0,
};

fn candidates(count: usize) -> Vec<Candidate<usize>> {
    let candidate = |key| Candidate {
        key,
        hash: hash_name(&format!("t{key}")),
        slots: 64,
        running: 0,
        pending_prompt_tokens: 0,
        has_prefix: false,
        in_same_domain: false,
        recent_failures: 0.0,
        silent: false,
        slowness: 1.0,
        lasting_slowness: 1.0,
    };
    (0..count).map(candidate).collect()
}

fn shared_prompt(prefix: u64) -> Prompt {
    Prompt {
        shared_prefix: Some(prefix),
        shared_tokens: 4_000,
        tokens: 5_000,
        goal: None,
    }
}

fn home(candidates: &[Candidate<usize>], prefix: u64) -> usize {
    choose_target(candidates, shared_prompt(prefix), 5, 1).unwrap()
}

// Guards against parts that are read at a slow target as long as that is their home, and against
// homes that move although other targets are the slow ones.
#[test]
fn a_lastingly_slow_home_is_skipped() {
    for prefix in 0..40 {
        let mut all = candidates(8);
        let first = home(&all, prefix);
        all[first].slowness = 2.0;
        all[first].lasting_slowness = 1.4;
        assert_eq!(home(&all, prefix), first, "it is slow for a moment only");
        all[first].lasting_slowness = 2.0;
        let next = home(&all, prefix);
        assert_ne!(next, first);
        for (key, c) in all.iter_mut().enumerate() {
            c.slowness = 2.0;
            c.lasting_slowness = 2.0;
            assert!(key < 8);
        }
        assert_eq!(home(&all, prefix), first, "all are equally slow");
    }
}

// Guards against long prompts that are read too late at a slow home.
#[test]
fn a_long_prompt_leaves_a_home_where_it_would_be_late() {
    let prompt = Prompt {
        shared_tokens: 10_000,
        tokens: 54_600,
        goal: Some(GOAL),
        ..shared_prompt(3)
    };
    let mut all = candidates(6);
    let first = choose_target(&all, prompt, 5, 1).unwrap();
    all[first].slowness = 1.3;
    assert_eq!(choose_target(&all, prompt, 5, 1), Some(first));
    all[first].slowness = 2.5;
    all[first].has_prefix = true;
    for c in &mut all {
        c.running = if c.key == first { 0 } else { 20 };
    }
    assert_ne!(choose_target(&all, prompt, 5, 1), Some(first));
    for c in &mut all {
        c.slowness = 6.0;
    }
    assert!(
        choose_target(&all, prompt, 5, 1).is_some(),
        "late everywhere"
    );
}

// Guards against an effect on services whose targets are equally fast.
#[quickcheck]
fn a_goal_changes_nothing_while_no_target_is_slow(loads: Vec<(u32, u16)>, tokens: u32) -> bool {
    let mut all = candidates(loads.len());
    for (c, (running, pending)) in all.iter_mut().zip(&loads) {
        c.running = running % 80;
        c.pending_prompt_tokens = u64::from(*pending) * 4;
    }
    let prompt = Prompt {
        tokens: u64::from(tokens % 60_000),
        goal: Some(GOAL),
        ..shared_prompt(7)
    };
    let without = Prompt {
        goal: None,
        ..prompt
    };
    choose_target(&all, prompt, 5, 2) == choose_target(&all, without, 5, 2)
}
