//! Placing one request on a target, from what one router sees itself.
//!
//! Answers these loads: shared prompt parts asked for again and again (each has a home, so that
//! it is read once and not at every target); one part that becomes hot (its home is given up when
//! it is fuller than the next by [`HOME_SLOTS`]); long prompts among short requests (prompts that
//! are not read yet count as work); targets that fail or fall silent (they lose rank at once and
//! get it back in steps). All routers reckon with the same homes, so a router's own count times
//! the number of routers is what a target has, without asking it.

use twox_hash::XxHash64;

use crate::Time;

/// Part of a target's slots by which a part's home may be fuller than another target and still be
/// chosen: a prompt part that is read again costs about the work that a quarter of the slots does
/// in the meantime.
const HOME_SLOTS: f64 = 0.25;

/// The same for the second in a part's order of homes, which takes what the first has no room for.
const SECOND_HOME_SLOTS: f64 = 0.12;

/// Advantage of a target in the router's own failure domain, as a part of its slots: breaks ties.
const NEAR_SLOTS: f64 = 0.02;

/// Prompt tokens that count as much as one running request: what a target reads in the time of
/// some ten steps, by which each running request is delayed.
const UNREAD_PER_SLOT: f64 = 4_000.0;

/// Rank lost by one failure, as a part of the slots.
const TROUBLE_SLOTS: f64 = 0.5;

/// Time in which half of a failure is forgotten, in seconds.
const TROUBLE_HALF_S: f64 = 1.5;

/// Most failures that count: re-entry after a long failure takes some ten seconds.
const MOST_TROUBLE: f64 = 8.0;

/// Failures from which on a target is asked only when no other is left.
const SUSPECT: f64 = 2.0;

/// What a router knows of one target when it places a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Names the target.
    pub key: K,
    /// Identifies the target in hashes.
    pub hash: u64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// This router's requests there.
    pub running: u32,
    /// Prompt tokens of those whose answer has not begun.
    pub unread: u64,
    /// Whether it is in the router's failure domain.
    pub near: bool,
    /// Failures of late, by [`Trouble::now`].
    pub trouble: f64,
}

/// Failures of a target, forgotten with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    failures: f64,
    at: Time,
}

impl Trouble {
    /// Counts a failure of this weight.
    pub fn add(&mut self, now: Time, weight: f64) {
        self.failures = (self.now(now) + weight).min(MOST_TROUBLE);
        self.at = now;
    }

    /// Counts a success: each takes half of what is left.
    pub fn ease(&mut self, now: Time) {
        self.failures = self.now(now) / 2.0;
        self.at = now;
    }

    /// Returns the failures that still count.
    pub fn now(&self, now: Time) -> f64 {
        self.failures * 0.5_f64.powf(now.secs_since(self.at) / TROUBLE_HALF_S)
    }
}

/// Chooses a target for a request; `part` is its deepest shared prompt part, `draw` breaks ties.
pub fn choose<K: Copy>(
    candidates: &[Candidate<K>],
    part: Option<u64>,
    routers: usize,
    draw: u64,
) -> Option<K> {
    let homes = part.map(|part| homes(candidates, part));
    let sound = candidates.iter().any(|c| c.trouble < SUSPECT);
    let ranked = candidates.iter().filter(|c| !sound || c.trouble < SUSPECT);
    let ranked = ranked.map(|c| (rank(c, homes, routers), tie(c.hash, draw), c.key));
    let best = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    best.map(|(_, _, key)| key)
}

/// Returns how full a target is for all routers, as a part of its slots.
pub fn fullness<K>(c: &Candidate<K>, routers: usize) -> f64 {
    let work = f64::from(c.running) + c.unread as f64 / UNREAD_PER_SLOT;
    work * routers.max(1) as f64 / f64::from(c.slots.max(1))
}

/// Returns a target's rank; the lowest is the best.
fn rank<K>(c: &Candidate<K>, homes: Option<(u64, u64)>, routers: usize) -> f64 {
    let home = match homes {
        Some((first, _)) if first == c.hash => HOME_SLOTS,
        Some((_, second)) if second == c.hash => SECOND_HOME_SLOTS,
        _ => 0.0,
    };
    let near = if c.near { NEAR_SLOTS } else { 0.0 };
    fullness(c, routers) + c.trouble * TROUBLE_SLOTS - home - near
}

/// Returns the first two targets in a part's order, which is the same at all routers.
fn homes<K>(candidates: &[Candidate<K>], part: u64) -> (u64, u64) {
    let mut first = (0, 0);
    let mut second = (0, 0);
    for c in candidates {
        let place = (tie(c.hash, part), c.hash);
        if place > first {
            second = first;
            first = place;
        } else if place > second {
            second = place;
        }
    }
    (first.1, second.1)
}

fn tie(hash: u64, seed: u64) -> u64 {
    XxHash64::oneshot(seed, &hash.to_le_bytes())
}

/// Returns what identifies a target in hashes.
pub fn hash(name: &str) -> u64 {
    XxHash64::oneshot(0, name.as_bytes())
}
