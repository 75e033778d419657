//! The cost of a target by its terms.

/// Tokens by which slowness counts where nothing runs yet; three running requests.
const BASE_TOKENS: f64 = 300.0;

/// What speaks against a target when a request is placed, in prompt tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Work ahead of the request there, across all routers, at the usual speed.
    pub queue: f64,
    /// Factor of the queue that accounts for the target's slowness; 1.0 if it is as fast as others.
    pub slowness_weight: f64,
    /// What the target has to read for the request, weighted.
    pub read: f64,
    /// Its recent failures.
    pub failures: f64,
    /// Bonus of a target in the router's own failure domain.
    pub domain_bonus: f64,
}

impl Cost {
    /// Returns the sum of all terms; the target with the lowest is the best.
    pub fn total(&self) -> f64 {
        let queue = self.queue * self.slowness_weight;
        let base = (self.slowness_weight - 1.0) * BASE_TOKENS;
        queue + self.read + base + self.failures - self.domain_bonus
    }

    /// Returns the part of the total that is due to the target's slowness.
    pub fn slowness(&self) -> f64 {
        (self.slowness_weight - 1.0) * (self.queue + BASE_TOKENS)
    }
}
