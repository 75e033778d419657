//! Embeddable coordination parts: escrowed budgets, once-only runs, membership and revisions.

pub mod budget;
pub mod fence;
pub mod membership;
pub mod once;
pub mod order;
pub mod prepaid;
pub mod relay;
pub mod revision;
pub mod store;
mod time;

pub use time::Millis;
