//! Which members a process hears from directly, so that control traffic stays bounded.

use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

/// Sizes of a process's subset: members of its own failure domain and of others.
///
/// Answers a fleet that has outgrown full exchange: without it a router that hears 1,900 targets
/// each second spends some 2 MB a second on control. Rendezvous hashing keeps all but a few
/// choices when members come and go. Different routers get different subsets, but chance leaves a
/// target or two of 1,900 unheard, so each side process chooses routers as well and the two listen
/// to each other if either chose the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSubset {
    /// Members chosen in the own failure domain.
    pub same_domain: usize,
    /// Members chosen in the other failure domains.
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
    /// Routers that a side process chooses.
    pub const FOR_SIDE: Self = Self {
        same_domain: 2,
        other_domains: 1,
    };

    /// Chooses among `members` (name, failure domain) for the process `own` in `domain`.
    ///
    /// A subset that cannot be filled near is filled far, and the other way round.
    pub fn choose<'a>(
        &self,
        own: &str,
        domain: &str,
        members: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Vec<&'a str> {
        let (mut near, mut far): (Vec<_>, Vec<_>) = members
            .filter(|(name, _)| *name != own)
            .map(|(name, at)| (score(own, name), name, at == domain))
            .partition(|(_, _, is_near)| *is_near);
        near.sort_unstable();
        far.sort_unstable();
        let total = self.same_domain + self.other_domains;
        let from_near = near
            .len()
            .min(self.same_domain.max(total.saturating_sub(far.len())));
        let from_far = far.len().min(total - from_near);
        let chosen = near.iter().take(from_near).chain(far.iter().take(from_far));
        chosen.map(|(_, name, _)| *name).collect()
    }
}

/// Returns the rendezvous score of a pair; lowest is chosen.
fn score(own: &str, other: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(own.as_bytes());
    hasher.write_u8(0);
    hasher.write(other.as_bytes());
    hasher.finish()
}

/// Returns how far apart heartbeats to each of `partners` are, for `bytes_each` (one exchange, both
/// ways) within `bytes_a_second`; never closer than `shortest`.
pub fn heartbeat_period(
    partners: usize,
    bytes_each: u64,
    bytes_a_second: u64,
    shortest: Duration,
) -> Duration {
    let partners = u64::try_from(partners).unwrap_or(u64::MAX);
    let needed_ms = partners.saturating_mul(bytes_each).saturating_mul(1_000);
    let period = Duration::from_millis(needed_ms / bytes_a_second.max(1));
    period.max(shortest)
}
