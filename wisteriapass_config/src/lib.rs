//! Settings of the daemon, and the operators' inventory and rules.

#![warn(missing_docs)]

mod document;
mod error;
mod inventory;
mod rules;
mod settings;

pub use document::Document;
pub use error::{ConfigError, Result};
pub use inventory::{FailureDomain, Inventory, ModelOffer, Router, Target, TargetKind};
pub use rules::{Account, Budget, Class, Priority, Rules};
pub use settings::{Limits, Role, Settings};
