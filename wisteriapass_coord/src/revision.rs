//! The configuration in force: one document whose revision only grows.

mod bootstrap;
mod catalogue;
mod edit;
mod error;
mod held;
mod in_force;
mod number;

pub use bootstrap::{Bootstrap, Readiness};
pub use catalogue::Catalogue;
pub use edit::{CONFIG_KEY, Edit, EditOutcome, read_current};
pub use error::{Result, RevisionError};
pub use held::{AppliedEdit, Held, RECENT_EDITS};
pub use in_force::{Adopted, CatchUp, InForce};
pub use number::ConfigRevision;
