//! Generates the requests of a simulation: their kinds, accounts, prefixes and arrival times.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriapass_policy::{Priority, Time};

use super::END_SECS;
use super::pattern::{Pattern, ROUTERS, TARGETS, TOKENS_PER_S};

/// Engine work for a prompt token, relative to an output token.
pub(super) const PROMPT_TOKEN_WORK: f64 = 0.02;
/// Number of client accounts; the first three have a higher weight.
pub(super) const ACCOUNTS: usize = 10;
/// Number of shared prefixes for each kind of request.
const PREFIXES_PER_KIND: u64 = 40;
/// Fraction of requests that are long, in patterns with long requests.
const LONG_FRACTION: f64 = 0.03;

/// Distribution parameters of one kind of request.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    probability: f64,
    priority: Priority,
    prompt_tokens: u32,
    prefix_tokens: u32,
    mean_output_tokens: f64,
    max_output_tokens: u32,
    deadline_s: f64,
    idempotent: bool,
}

/// Search suggestions, questions, drafts, checklists, summaries and certificates.
const REQUEST_KINDS: [RequestKind; 6] = [
    request_kind(0.35, Priority::Interactive, 200, 0, 24.0, 48, 2.0, true),
    request_kind(0.25, Priority::Interactive, 800, 600, 100.0, 256, 8.0, true),
    request_kind(
        0.15,
        Priority::Standard,
        2_000,
        1_600,
        300.0,
        800,
        20.0,
        true,
    ),
    request_kind(0.12, Priority::Standard, 600, 400, 200.0, 512, 15.0, true),
    request_kind(
        0.10,
        Priority::Batch,
        3_000,
        1_000,
        400.0,
        1_024,
        60.0,
        true,
    ),
    request_kind(0.03, Priority::Standard, 300, 0, 120.0, 256, 15.0, false),
];
/// A request much longer than the others.
const LONG_REQUEST: RequestKind = request_kind(
    0.0,
    Priority::Standard,
    1_000,
    0,
    2_000.0,
    3_000,
    120.0,
    true,
);

#[allow(clippy::too_many_arguments)]
const fn request_kind(
    probability: f64,
    priority: Priority,
    prompt_tokens: u32,
    prefix_tokens: u32,
    mean_output_tokens: f64,
    max_output_tokens: u32,
    deadline_s: f64,
    idempotent: bool,
) -> RequestKind {
    RequestKind {
        probability,
        priority,
        prompt_tokens,
        prefix_tokens,
        mean_output_tokens,
        max_output_tokens,
        deadline_s,
        idempotent,
    }
}

/// One request of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) arrives_at: Time,
    pub(super) router: usize,
    pub(super) account: usize,
    pub(super) priority: Priority,
    pub(super) prompt_tokens: u32,
    pub(super) prefix: Option<u64>,
    pub(super) prefix_tokens: u32,
    /// Actual output length; the policy only sees `max_output_tokens`.
    pub(super) output_tokens: u32,
    pub(super) max_output_tokens: u32,
    pub(super) deadline: Time,
    pub(super) idempotent: bool,
    /// Number of earlier refusals.
    pub(super) attempt: u32,
}

impl Request {
    /// Returns the work in an engine that has the prefix cached, in output tokens.
    pub(super) fn min_work(&self) -> f64 {
        f64::from(self.output_tokens)
            + f64::from(self.prompt_tokens - self.prefix_tokens) * PROMPT_TOKEN_WORK
    }

    /// Returns the same request for a retry at a later time, with as much time to its deadline.
    pub(super) fn retry(&self, arrives_at: Time, router: usize) -> Self {
        let allowed = self.deadline.secs_since(self.arrives_at);
        Self {
            arrives_at,
            router,
            deadline: arrives_at.plus_secs(allowed),
            attempt: self.attempt + 1,
            ..*self
        }
    }
}

pub(super) fn account_weight(account: usize) -> u32 {
    if account < 3 { 3 } else { 1 }
}

/// Generates the requests of a simulation as a Poisson process with a time-varying rate.
pub(super) fn generate(pattern: Pattern, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let peak = pattern.peak_load() * f64::from(TOKENS_PER_S) * TARGETS as f64 / mean_work(pattern);
    let mut requests = Vec::new();
    let mut secs = 0.0;
    loop {
        secs += -(1.0 - rng.random::<f64>()).ln() / peak;
        if secs >= END_SECS {
            return requests;
        }
        if rng.random::<f64>() * pattern.peak_load() < pattern.offered_load(secs) {
            requests.push(draw_request(
                pattern,
                Time::default().plus_secs(secs),
                &mut rng,
            ));
        }
    }
}

/// Returns the mean work of a request whose prefix is cached, in output tokens.
fn mean_work(pattern: Pattern) -> f64 {
    let work = |k: &RequestKind| {
        clamped_mean_output(k) + f64::from(k.prompt_tokens - k.prefix_tokens) * PROMPT_TOKEN_WORK
    };
    let short: f64 = REQUEST_KINDS.iter().map(|k| k.probability * work(k)).sum();
    if pattern.has_long_requests() {
        return short * (1.0 - LONG_FRACTION) + work(&LONG_REQUEST) * LONG_FRACTION;
    }
    short
}

/// Returns the mean output length of a kind, which is exponential and clamped to the maximum.
fn clamped_mean_output(kind: &RequestKind) -> f64 {
    kind.mean_output_tokens
        * (1.0 - (-f64::from(kind.max_output_tokens) / kind.mean_output_tokens).exp())
}

fn draw_request(pattern: Pattern, arrives_at: Time, rng: &mut ChaCha8Rng) -> Request {
    let (index, kind) = draw_kind(pattern, rng);
    let output_tokens = -(1.0 - rng.random::<f64>()).ln() * kind.mean_output_tokens;
    let prefix = (kind.prefix_tokens > 0).then(|| draw_prefix(pattern, index as u64, rng));
    Request {
        arrives_at,
        router: rng.random_range(0..ROUTERS),
        account: draw_account(pattern, rng),
        priority: kind.priority,
        prompt_tokens: kind.prompt_tokens,
        prefix,
        prefix_tokens: kind.prefix_tokens,
        output_tokens: (output_tokens as u32).clamp(1, kind.max_output_tokens),
        max_output_tokens: kind.max_output_tokens,
        deadline: arrives_at.plus_secs(kind.deadline_s),
        idempotent: kind.idempotent,
        attempt: 0,
    }
}

fn draw_kind(pattern: Pattern, rng: &mut ChaCha8Rng) -> (usize, RequestKind) {
    if pattern.has_long_requests() && rng.random_bool(LONG_FRACTION) {
        return (REQUEST_KINDS.len(), LONG_REQUEST);
    }
    let mut remaining = rng.random::<f64>();
    for (index, kind) in REQUEST_KINDS.into_iter().enumerate() {
        remaining -= kind.probability;
        if remaining < 0.0 {
            return (index, kind);
        }
    }
    (0, REQUEST_KINDS[0])
}

fn draw_prefix(pattern: Pattern, kind: u64, rng: &mut ChaCha8Rng) -> u64 {
    if pattern.is_hot() && rng.random_bool(0.6) {
        return kind * PREFIXES_PER_KIND;
    }
    kind * PREFIXES_PER_KIND + rng.random_range(0..PREFIXES_PER_KIND)
}

fn draw_account(pattern: Pattern, rng: &mut ChaCha8Rng) -> usize {
    // In the hot patterns, one large and one small account send three quarters of the requests.
    if pattern.is_hot() && rng.random_bool(0.75) {
        return if rng.random_bool(0.5) { 0 } else { 5 };
    }
    let total: u32 = (0..ACCOUNTS).map(account_weight).sum();
    let mut remaining = rng.random_range(0..total);
    (0..ACCOUNTS)
        .find(|&a| {
            let found = remaining < account_weight(a);
            remaining = remaining.saturating_sub(account_weight(a));
            found
        })
        .unwrap_or(0)
}
