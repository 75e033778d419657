//! Embeddable coordination parts: escrowed budgets, once-only runs, membership, revisions and
//! quarantine.

pub mod budget;
pub mod fence;
pub mod membership;
pub mod once;
pub mod order;
pub mod prepaid;
pub mod quarantine;
pub mod relay;
pub mod revision;
pub mod store;
mod time;

pub use time::Millis;
