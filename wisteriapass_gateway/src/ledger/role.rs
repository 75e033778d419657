//! Role of a router in the exchange of shares.

use derive_more::Display;

/// Where this router's shares come from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Role {
    /// Uses the share of a relay.
    #[display("follower")]
    Follower,
    /// Holds its own share and grants tokens to its followers out of it.
    #[display("relay")]
    Relay,
    /// New reservations use the share of another relay; this router still owns what it granted.
    #[display("retiring")]
    Retiring,
}
