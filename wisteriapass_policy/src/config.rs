//! Policy settings with units and defaults.

use serde::{Deserialize, Serialize};

use crate::Features;

/// Initial estimate of the output length, as a share of the request's limit.
pub const INITIAL_LENGTH_SHARE: f64 = 0.5;
/// Initial estimate of the length that nearly all answers stay below, as a share of the limit.
pub const INITIAL_TAIL_SHARE: f64 = 0.9;
/// Weight of one finished answer in the learned length.
pub const LENGTH_LEARNING_RATE: f64 = 0.05;
/// Work of one call to a plain service, in output tokens.
pub const SERVICE_CALL_TOKENS: f64 = 20.0;

/// Policy settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyConfig {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Enabled features.
    pub parts: Features,
    /// Work per prompt token as a share of an output token's; engines process prompts in parallel.
    pub prompt_token_work: f64,
    /// Quantile of the answer length that the latest start time allows for.
    pub length_quantile: f64,
    /// Age at which a load report starts to lose weight, in seconds.
    pub report_fresh_s: f64,
    /// Age at which a load report has no weight, in seconds.
    pub report_stale_s: f64,
    /// Requests that may queue at a target beyond its slots.
    pub queue_at_target: f64,
    /// As `queue_at_target`, for requests whose prefix has its home at the target.
    pub queue_at_home: f64,
    /// As `queue_at_target`, for interactive requests, which the target takes first.
    pub queue_at_target_interactive: f64,
    /// Maximum queue length, in seconds of the router's share of the pool.
    pub queue_limit_s: f64,
    /// Lead of interactive over batch requests, in seconds of an account's share.
    pub interactive_lead_s: f64,
    /// Lead of standard over batch requests, in seconds of an account's share.
    pub standard_lead_s: f64,
    /// Lead of requests retried at the promised time, in seconds of an account's share.
    pub returned_lead_s: f64,
    /// Unused share that an idle account keeps, in seconds.
    pub saved_share_s: f64,
    /// Lead gained per second of waiting, in seconds.
    pub ageing: f64,
    /// Time constant of the average arrival rate, in seconds.
    pub reserve_memory_s: f64,
    /// Slots reserved for interactive work in a burst, as a multiple of its need.
    pub reserve_burst: f64,
    /// Maximum of slots reserved for interactive work, as a share of all.
    pub reserve_max: f64,
    /// A target is slow if its speed is below this share of the pool's median.
    pub slow_below: f64,
    /// Time without activity after which a responding target counts as silent, in seconds.
    pub silent_after_s: f64,
    /// As `silent_after_s`, for a target where all requests of this router may be queued.
    pub silent_queued_s: f64,
    /// Consecutive failures after which a target is avoided.
    pub failures_to_avoid: u32,
    /// Initial time for which a target is avoided, in seconds; doubles each time.
    pub avoid_first_s: f64,
    /// Maximum time for which a target is avoided, in seconds.
    pub avoid_max_s: f64,
    /// Successful answers after which the limit of a target in re-entry doubles.
    pub reentry_step: u32,
    /// Bonus for a cached prefix, in slots of load as a share of all slots.
    pub affinity_bonus: f64,
    /// Maximum time by which a request whose prefix is cached at the free target may overtake
    /// others, in seconds.
    pub affinity_wait_s: f64,
    /// Age at which a cache hint expires, in seconds.
    pub cache_hint_s: f64,
    /// Load added to a target in another failure domain, as a share of its slots.
    pub other_domain_load: f64,
    /// Load added to a target in another region, as a share of its slots.
    pub other_region_load: f64,
    /// Retries and hedges as a share of first attempts.
    pub try_share: f64,
    /// Maximum burst of retries and hedges.
    pub try_burst: f64,
    /// Time to first token after which a request is hedged, as a multiple of the expected time.
    pub hedge_factor: f64,
    /// Minimum time after which a request is hedged, in seconds.
    pub hedge_min_s: f64,
    /// Share of an account's rate that is promised to refused callers for their retries.
    pub promise_share: f64,
    /// Minimum delay before a refused caller may retry, in seconds.
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
