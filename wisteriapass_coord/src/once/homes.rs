//! Selection of the side processes that index a run.

use std::hash::Hasher;

use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::once::RunId;

/// Hash seed of the scores; must be the same in all processes.
const SEED: u64 = 0;

/// A side process that may be chosen as a home, that is, to index runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeCandidate<'a> {
    /// Name of the side process.
    pub side: &'a str,
    /// Failure domain of the side process.
    pub failure_domain: &'a str,
}

/// Names of a run's homes in order of preference.
///
/// There are two homes, or one if there is only one side process.
pub type Homes<'a> = SmallVec<[&'a str; 2]>;

/// Chooses a run's homes by rendezvous hashing, in two failure domains if possible.
///
/// When a member joins or leaves, only the runs for which it is a home move.
pub fn choose_homes<'a>(run: &RunId, members: &[HomeCandidate<'a>]) -> Homes<'a> {
    let mut ranked: Vec<(u64, HomeCandidate<'a>)> =
        members.iter().map(|m| (score(run, m), *m)).collect();
    ranked.sort_unstable_by(|a, b| (b.0, b.1.side).cmp(&(a.0, a.1.side)));
    let mut homes = Homes::new();
    let Some((_, first)) = ranked.first() else {
        return homes;
    };
    homes.push(first.side);
    let rest = || ranked.iter().skip(1).map(|(_, home)| home);
    let elsewhere = rest().find(|h| h.failure_domain != first.failure_domain);
    let second = elsewhere.or_else(|| rest().next());
    homes.extend(second.map(|h| h.side));
    homes
}

fn score(run: &RunId, home: &HomeCandidate<'_>) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    hasher.write(home.side.as_bytes());
    hasher.write_u8(0);
    hasher.write(run.as_str().as_bytes());
    hasher.finish()
}
