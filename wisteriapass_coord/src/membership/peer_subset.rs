//! Selection of the members that a process exchanges messages with, which bounds control traffic.

use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

/// Numbers of members that a process chooses in its own failure domain and in others.
///
/// Exchanging messages with every member does not scale: a router that hears from 1,900 targets
/// each second would spend some 2 MB a second on control traffic. Rendezvous hashing keeps all but
/// a few choices when members join or leave.
///
/// Different routers choose different subsets, but by chance no router chooses one or two of 1,900
/// targets. Each side process therefore chooses routers as well, and two members exchange messages
/// if either has chosen the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSubset {
    /// Number of members chosen in the same failure domain.
    pub same_domain: usize,
    /// Number of members chosen in other failure domains.
    pub other_domains: usize,
}

impl Default for PeerSubset {
    fn default() -> Self {
        Self {
            same_domain: 16,
            other_domains: 8,
        }
    }
}

impl PeerSubset {
    /// Numbers of routers that a side process chooses.
    pub const FOR_SIDE: Self = Self {
        same_domain: 2,
        other_domains: 1,
    };

    /// Chooses among `members` (name, failure domain) for the process `own` in `domain`.
    ///
    /// If the own failure domain has too few members, more are chosen in others, and vice versa.
    pub fn choose<'a>(
        &self,
        own: &str,
        domain: &str,
        members: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Vec<&'a str> {
        let (mut same_domain, mut other_domains): (Vec<_>, Vec<_>) = members
            .filter(|(name, _)| *name != own)
            .map(|(name, member_domain)| (score(own, name), name, member_domain == domain))
            .partition(|(_, _, is_same)| *is_same);
        same_domain.sort_unstable();
        other_domains.sort_unstable();
        let total = self.same_domain + self.other_domains;
        let same_count = same_domain.len().min(
            self.same_domain
                .max(total.saturating_sub(other_domains.len())),
        );
        let other_count = other_domains.len().min(total - same_count);
        let chosen = same_domain
            .iter()
            .take(same_count)
            .chain(other_domains.iter().take(other_count));
        chosen.map(|(_, name, _)| *name).collect()
    }
}

/// Returns the rendezvous score of a pair; the lowest scores are chosen.
fn score(own: &str, other: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(own.as_bytes());
    hasher.write_u8(0);
    hasher.write(other.as_bytes());
    hasher.finish()
}

/// Returns the time between two heartbeats to the same partner.
///
/// The period is chosen so that exchanges with all `partners`, each of `bytes_each` in both
/// directions together, stay within `bytes_per_second`. It is at least `min_period`.
pub fn heartbeat_period(
    partners: usize,
    bytes_each: u64,
    bytes_per_second: u64,
    min_period: Duration,
) -> Duration {
    let partners = u64::try_from(partners).unwrap_or(u64::MAX);
    let needed_ms = partners.saturating_mul(bytes_each).saturating_mul(1_000);
    let period = Duration::from_millis(needed_ms / bytes_per_second.max(1));
    period.max(min_period)
}
