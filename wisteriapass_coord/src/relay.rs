//! Relays: the routers that write shares and follow the key-value service on behalf of the other
//! routers of their failure domain.
//!
//! Without relays, every router of a large fleet would exchange data with the service, although one
//! per failure domain is enough. A router follows one relay and switches to another when the news
//! of its own relay becomes stale. When no relay of a failure domain is left, or the domain or the
//! fleet has too few, some routers become relays. Safety doesn't depend on this module: the share
//! record decides what a relay may spend, and when two routers become relays at once, there is
//! merely one relay too many for a while.

mod candidacy;
mod retirement;
mod roster;

pub use candidacy::{Candidacy, CandidateAction, RelayNeed};
pub use retirement::RelayRetirement;
pub use roster::{KnownRelay, RelayInfo, RelayStatus, Roster};

/// Relays per failure domain: if one dies, the other keeps serving its routers.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Minimum number of relays in a fleet: a small fleet gains nothing from fewer, and each share that
/// is held separately survives the loss of the others.
pub const MIN_RELAYS_PER_FLEET: usize = 6;
