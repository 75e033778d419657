//! Embeddable coordination parts: escrowed budgets, once-only runs, membership and revisions.

pub mod membership;
pub mod order;
pub mod revision;
pub mod store;
