//! Following a relay, or being one for the routers of the own failure domain.
//!
//! A follower asks its relay for news some times a second and for grants as it needs them; it calls
//! the key-value service just to find relays. A relay follows the service and writes shares.

mod evacuations;
mod follower;
mod messages;
mod quarantine;
mod relay;
mod role;
mod service;

pub use evacuations::poll_evacuations;
pub use quarantine::sync_quarantine;
pub use role::run_role;
pub use service::serve_peers;
