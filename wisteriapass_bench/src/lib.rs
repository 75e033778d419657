//! Stand-ins for platform and targets, load and experiments.

#![warn(missing_docs)]

pub mod loads;
