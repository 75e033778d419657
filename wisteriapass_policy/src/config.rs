//! Thresholds of the policy, with their units and defaults.

use serde::{Deserialize, Serialize};

use crate::Features;

/// Output assumed at first, as a share of the most a request allows.
pub const INITIAL_LENGTH_SHARE: f64 = 0.5;
/// Output that nearly all answers stay below at first, as a share of the most allowed.
pub const INITIAL_TAIL_SHARE: f64 = 0.9;
/// Weight of one finished answer in the learned length.
pub const LENGTH_LEARNING_RATE: f64 = 0.05;
/// Work of a plain service's call, in output tokens.
pub const SERVICE_CALL_TOKENS: f64 = 20.0;

/// Thresholds of the policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyConfig {
    /// Seed of the random choices.
    pub seed: u64,
    /// Parts that are on.
    pub parts: Features,
    /// Work of a prompt token as a share of an output token's; engines read prompts in parallel.
    pub prompt_token_work: f64,
    /// Share of the answers whose length the latest start allows for.
    pub length_quantile: f64,
    /// Age at which a load report begins to lose its worth, in seconds.
    pub report_fresh_s: f64,
    /// Age at which a load report is worth nothing, in seconds.
    pub report_stale_s: f64,
    /// Requests that may wait at a target beyond its slots.
    pub queue_at_target: f64,
    /// The same for those whose prefix the target is the home of.
    pub queue_at_home: f64,
    /// The same for interactive ones, which the target takes first.
    pub queue_at_target_interactive: f64,
    /// Longest queue, in seconds of the router's share of the pool.
    pub queue_limit_s: f64,
    /// Head start of interactive over batch work, in seconds of an account's share.
    pub interactive_lead_s: f64,
    /// Head start of standard over batch work, in seconds of an account's share.
    pub standard_lead_s: f64,
    /// Head start of requests whose callers came back as told, in seconds of an account's share.
    pub returned_lead_s: f64,
    /// Unused share that an account keeps, in seconds.
    pub saved_share_s: f64,
    /// Head start gained for each second of waiting, in seconds.
    pub ageing: f64,
    /// Memory of the usual rate of arrivals, in seconds.
    pub reserve_memory_s: f64,
    /// Slots kept for interactive work in a burst, as a multiple of what it needs.
    pub reserve_burst: f64,
    /// Most slots kept for interactive work, as a share of all.
    pub reserve_max: f64,
    /// A target is slow if its speed is below this share of the pool's median.
    pub slow_below: f64,
    /// Time without any sign from a target that was answering after which it is silent, in seconds.
    pub silent_after_s: f64,
    /// The same for a target whose requests from here may all wait in its queue, in seconds.
    pub silent_queued_s: f64,
    /// Failures in a row after which a target is avoided.
    pub failures_to_avoid: u32,
    /// First time of avoiding a target, in seconds; doubles each time.
    pub avoid_first_s: f64,
    /// Longest time of avoiding a target, in seconds.
    pub avoid_max_s: f64,
    /// Good answers after which a target in re-entry may have twice the work.
    pub reentry_step: u32,
    /// Worth of a held prefix, in slots of load as a share of all slots.
    pub affinity_bonus: f64,
    /// Time by which a request may be overtaken by one whose prefix the free target holds, in seconds.
    pub affinity_wait_s: f64,
    /// Age at which a cache hint is worth nothing, in seconds.
    pub cache_hint_s: f64,
    /// Load that a target in another failure domain seems to have, as a share of the slots.
    pub other_domain_load: f64,
    /// Load that a target in another region seems to have, as a share of the slots.
    pub other_region_load: f64,
    /// Second tries as a share of first tries.
    pub try_share: f64,
    /// Second tries that may be made at once.
    pub try_burst: f64,
    /// Time to first token after which a second copy is sent, as a multiple of the expected.
    pub hedge_factor: f64,
    /// Shortest time after which a second copy is sent, in seconds.
    pub hedge_min_s: f64,
    /// Share of an account's rate that is promised to callers told to come back.
    pub promise_share: f64,
    /// Shortest come-back time, in seconds.
    pub come_back_min_s: f64,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            parts: Features::default(),
            prompt_token_work: 0.02,
            length_quantile: 0.9,
            report_fresh_s: 1.0,
            report_stale_s: 4.0,
            queue_at_target: 2.0,
            queue_at_home: 4.0,
            queue_at_target_interactive: 3.0,
            queue_limit_s: 20.0,
            interactive_lead_s: 8.0,
            standard_lead_s: 5.0,
            returned_lead_s: 60.0,
            saved_share_s: 30.0,
            ageing: 0.1,
            reserve_memory_s: 10.0,
            reserve_burst: 1.3,
            reserve_max: 0.9,
            slow_below: 0.5,
            silent_after_s: 1.5,
            silent_queued_s: 4.0,
            failures_to_avoid: 3,
            avoid_first_s: 2.0,
            avoid_max_s: 30.0,
            reentry_step: 2,
            affinity_bonus: 0.6,
            affinity_wait_s: 4.0,
            cache_hint_s: 30.0,
            other_domain_load: 0.02,
            other_region_load: 0.5,
            try_share: 0.1,
            try_burst: 10.0,
            hedge_factor: 3.0,
            hedge_min_s: 0.4,
            promise_share: 0.35,
            come_back_min_s: 0.5,
        }
    }
}
