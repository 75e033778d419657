//! Embeddable coordination parts: escrowed budgets, once-only runs, membership and revisions.

pub mod budget;
pub mod store;
mod time;

pub use time::Millis;
