//! The configuration in force: one document whose revision only grows.

mod number;

pub use number::ConfigRevision;
