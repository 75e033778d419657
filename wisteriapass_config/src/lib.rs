//! Settings of the daemon, and the inventory and rules that operators maintain.

#![warn(missing_docs)]

mod change;
mod check;
mod compare;
mod diagnostic;
mod document;
mod error;
mod inventory;
mod key_path;
mod lines;
mod note;
mod notes;
mod rules;
mod settings;

pub use change::{Change, Subject};
pub use check::MAX_NAME_BYTES;
pub use diagnostic::Diagnostic;
pub use document::{CURRENT_KEY, Document, Source};
pub use error::{ConfigError, Result};
pub use inventory::{FailureDomain, Inventory, ModelOffer, Router, Target, TargetKind};
pub use key_path::KeyPath;
pub use note::Note;
pub use rules::{Account, Budget, Class, Priority, Rules};
pub use settings::{Limits, Role, Settings};
