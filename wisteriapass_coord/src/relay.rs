//! Which routers are relays: those that write shares and follow the service for the others of
//! their failure domain.
//!
//! Answers fleets of many routers, in which each one's exchanges with the service cost as much as
//! one of a failure domain could do for all. A router follows one relay and turns to another when
//! the word of its own grows old; when none of its failure domain is left, or too few, some become
//! relays. Nothing here is safe or unsafe: what a relay may spend is the record's business, and two
//! routers that believe to be needed are one relay too many for a while.

mod candidacy;
mod retirement;
mod roster;

pub use candidacy::{Candidacy, CandidateAction, Need};
pub use retirement::Retirement;
pub use roster::{KnownRelay, RelayInfo, RelayStatus, Roster};

/// Relays in a failure domain: one may die, and the other carries its routers on.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Relays in a fleet at the least: a small fleet has nothing to gain from fewer, and each share
/// that is held apart survives the loss of the others.
pub const MIN_RELAYS_PER_FLEET: usize = 6;
