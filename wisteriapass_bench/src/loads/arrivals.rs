//! Requests of a play: kinds of work, accounts, prefixes and arrival times.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriapass_policy::{Priority, Time};

use super::END_SECS;
use super::pattern::{Pattern, ROUTERS, TARGETS, TOKENS_PER_S};

/// Work of a prompt token in the engine, as a share of an output token's.
pub(super) const PROMPT_WORK: f64 = 0.02;
/// Client accounts; the first three are large.
pub(super) const ACCOUNTS: usize = 10;
/// Shared prefixes of each kind of work.
const PREFIXES: u64 = 40;
/// Share of the output tokens that long work adds in patterns that have it.
const LONG_CHANCE: f64 = 0.03;

/// One kind of work.
#[derive(Clone, Copy, Debug)]
struct Kind {
    chance: f64,
    priority: Priority,
    prompt: u32,
    prefix: u32,
    mean_output: f64,
    max_output: u32,
    deadline_s: f64,
    idempotent: bool,
}

/// Search suggestions, questions, drafts, checklists, summaries and certificates.
const KINDS: [Kind; 6] = [
    kind(0.35, Priority::Interactive, 200, 0, 24.0, 48, 2.0, true),
    kind(0.25, Priority::Interactive, 800, 600, 100.0, 256, 8.0, true),
    kind(
        0.15,
        Priority::Standard,
        2_000,
        1_600,
        300.0,
        800,
        20.0,
        true,
    ),
    kind(0.12, Priority::Standard, 600, 400, 200.0, 512, 15.0, true),
    kind(
        0.10,
        Priority::Batch,
        3_000,
        1_000,
        400.0,
        1_024,
        60.0,
        true,
    ),
    kind(0.03, Priority::Standard, 300, 0, 120.0, 256, 15.0, false),
];
/// Work that is long beside the rest.
const LONG: Kind = kind(
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
const fn kind(
    chance: f64,
    priority: Priority,
    prompt: u32,
    prefix: u32,
    mean_output: f64,
    max_output: u32,
    deadline_s: f64,
    idempotent: bool,
) -> Kind {
    Kind {
        chance,
        priority,
        prompt,
        prefix,
        mean_output,
        max_output,
        deadline_s,
        idempotent,
    }
}

/// One request of a play.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) at: Time,
    pub(super) router: usize,
    pub(super) account: usize,
    pub(super) priority: Priority,
    pub(super) prompt: u32,
    pub(super) prefix: Option<u64>,
    pub(super) prefix_tokens: u32,
    /// Output it will have; the policy knows only the most it allows.
    pub(super) output: u32,
    pub(super) max_output: u32,
    pub(super) deadline: Time,
    pub(super) idempotent: bool,
    /// How often it was refused before.
    pub(super) attempt: u32,
}

impl Request {
    /// Returns its work in an engine that holds its prefix, in output tokens.
    pub(super) fn least_work(&self) -> f64 {
        f64::from(self.output) + f64::from(self.prompt - self.prefix_tokens) * PROMPT_WORK
    }

    /// Returns the same request offered again at a later time.
    pub(super) fn again(&self, at: Time, router: usize) -> Self {
        let allowed = self.deadline.secs_since(self.at);
        Self {
            at,
            router,
            deadline: at.plus_secs(allowed),
            attempt: self.attempt + 1,
            ..*self
        }
    }
}

/// Returns an account's weight.
pub(super) fn weight(account: usize) -> u32 {
    if account < 3 { 3 } else { 1 }
}

/// Draws the requests of a play.
pub(super) fn draw(pattern: Pattern, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let peak = pattern.peak() * f64::from(TOKENS_PER_S) * TARGETS as f64 / mean_work(pattern);
    let mut requests = Vec::new();
    let mut secs = 0.0;
    loop {
        secs += -(1.0 - rng.random::<f64>()).ln() / peak;
        if secs >= END_SECS {
            return requests;
        }
        if rng.random::<f64>() * pattern.peak() < pattern.load(secs) {
            requests.push(request(pattern, Time::default().plus_secs(secs), &mut rng));
        }
    }
}

/// Returns the mean work of a request, in output tokens.
fn mean_work(pattern: Pattern) -> f64 {
    let work = |k: &Kind| cut_mean(k) + f64::from(k.prompt - k.prefix) * PROMPT_WORK;
    let short: f64 = KINDS.iter().map(|k| k.chance * work(k)).sum();
    if pattern.has_long() {
        return short * (1.0 - LONG_CHANCE) + work(&LONG) * LONG_CHANCE;
    }
    short
}

/// Returns the mean output of a kind, which is exponential and cut at the most allowed.
fn cut_mean(kind: &Kind) -> f64 {
    kind.mean_output * (1.0 - (-f64::from(kind.max_output) / kind.mean_output).exp())
}

/// Draws one request.
fn request(pattern: Pattern, at: Time, rng: &mut ChaCha8Rng) -> Request {
    let (place, kind) = draw_kind(pattern, rng);
    let output = -(1.0 - rng.random::<f64>()).ln() * kind.mean_output;
    let prefix = (kind.prefix > 0).then(|| draw_prefix(pattern, place as u64, rng));
    Request {
        at,
        router: rng.random_range(0..ROUTERS),
        account: draw_account(pattern, rng),
        priority: kind.priority,
        prompt: kind.prompt,
        prefix,
        prefix_tokens: kind.prefix,
        output: (output as u32).clamp(1, kind.max_output),
        max_output: kind.max_output,
        deadline: at.plus_secs(kind.deadline_s),
        idempotent: kind.idempotent,
        attempt: 0,
    }
}

fn draw_kind(pattern: Pattern, rng: &mut ChaCha8Rng) -> (usize, Kind) {
    if pattern.has_long() && rng.random_bool(LONG_CHANCE) {
        return (KINDS.len(), LONG);
    }
    let mut left = rng.random::<f64>();
    for (place, kind) in KINDS.into_iter().enumerate() {
        left -= kind.chance;
        if left < 0.0 {
            return (place, kind);
        }
    }
    (0, KINDS[0])
}

fn draw_prefix(pattern: Pattern, kind: u64, rng: &mut ChaCha8Rng) -> u64 {
    if pattern.is_hot() && rng.random_bool(0.6) {
        return kind * PREFIXES;
    }
    kind * PREFIXES + rng.random_range(0..PREFIXES)
}

fn draw_account(pattern: Pattern, rng: &mut ChaCha8Rng) -> usize {
    // In the hot pattern a large and a small account send three quarters of all.
    if pattern.is_hot() && rng.random_bool(0.75) {
        return if rng.random_bool(0.5) { 0 } else { 5 };
    }
    let whole: u32 = (0..ACCOUNTS).map(weight).sum();
    let mut left = rng.random_range(0..whole);
    (0..ACCOUNTS)
        .find(|&a| {
            let found = left < weight(a);
            left = left.saturating_sub(weight(a));
            found
        })
        .unwrap_or(0)
}
