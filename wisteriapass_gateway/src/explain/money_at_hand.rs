//! Money of an account at a router.

use serde::{Deserialize, Serialize};

/// Money of an account at a router, in tokens. What only relays know is absent at followers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MoneyAtHand {
    /// Whether the request is charged: `not_charged`, `share` (this router's own share) or `credit`
    /// (what relays granted).
    pub source: String,
    /// Prepaid total by the configuration in force; absent if it is unlimited.
    pub total: Option<u64>,
    /// Maximum cost of the request.
    pub max_cost: Option<u64>,
    /// What this router can reserve at once.
    pub at_hand: Option<u64>,
    /// Known to be spent or reserved by all routers.
    pub known_spent: Option<u64>,
    /// Lost with dead routers, as far as known.
    pub lost: Option<u64>,
    /// Share of this router.
    pub granted: Option<u64>,
    /// Part of the share that may not be spent yet.
    pub sealed: Option<u64>,
    /// Granted to other routers.
    pub others_granted: Option<u64>,
    /// Whether the router is in contact with the store.
    pub in_contact: Option<bool>,
    /// Probability with which the request is refused in favor of more urgent ones.
    pub refusal_probability: Option<f64>,
}
