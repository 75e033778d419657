//! Embeddable coordination library: escrowed budgets, prepaid shares, at-most-once execution,
//! membership, configuration revisions, fenced orders, quarantine and origins of streams.

pub mod budget;
pub mod fence;
pub mod membership;
pub mod once;
pub mod order;
pub mod origin;
pub mod prepaid;
pub mod quarantine;
pub mod relay;
pub mod revision;
pub mod store;
mod time;

pub use time::Millis;
