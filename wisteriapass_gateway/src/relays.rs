//! The roles of a router: it follows a relay, or is a relay for the routers of its failure domain.
//!
//! A follower polls its relay for updates several times a second and requests grants as it needs
//! them; it calls the key-value store only to find relays. A relay watches the store and writes
//! shares to it.

mod follower;
mod found_origin;
mod known;
mod limits;
mod messages;
mod origin_queries;
mod origin_reports;
mod peer_calls;
mod quarantine;
mod relay;
mod role;
mod speeds;
mod stale_relay;
mod trials;
mod updates;
mod versions;

pub use found_origin::FoundOrigin;
pub use known::known_relays;
pub use origin_queries::find_origin;
pub use origin_reports::report_origins;
pub use peer_calls::serve_peers;
pub use quarantine::sync_quarantine;
pub use role::run_role;
pub use speeds::sync_speeds;
pub use stale_relay::poll_other_relays;
pub use trials::{begin_trial, return_trials};
