//! Differences between two configurations.

use derive_more::Display;
use serde::Serialize;

/// Entry of the inventory or the rules.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Subject {
    /// A failure domain.
    #[display("failure domain {name}")]
    FailureDomain {
        /// Name of the entry.
        name: String,
    },
    /// A router.
    #[display("router {name}")]
    Router {
        /// Name of the entry.
        name: String,
    },
    /// A target.
    #[display("target {name}")]
    Target {
        /// Name of the entry.
        name: String,
    },
    /// A client account.
    #[display("account {name}")]
    Account {
        /// Name of the entry.
        name: String,
    },
    /// A budget.
    #[display("budget {account}/{name}")]
    Budget {
        /// Account that owns the budget.
        account: String,
        /// Name of the entry.
        name: String,
    },
    /// A class of work.
    #[display("class {name}")]
    Class {
        /// Name of the entry.
        name: String,
    },
}

/// Difference between two configurations.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// The entry was added.
    #[display("+ {subject}")]
    Added {
        /// The added entry.
        subject: Subject,
    },
    /// The entry was removed.
    #[display("- {subject}")]
    Removed {
        /// The removed entry.
        subject: Subject,
    },
    /// The value of a key of the entry was changed.
    #[display("~ {subject}: {key}: {from} -> {to}")]
    Changed {
        /// The changed entry.
        subject: Subject,
        /// Key of the entry.
        key: String,
        /// Old value, as JSON.
        from: String,
        /// New value, as JSON.
        to: String,
    },
}

impl Change {
    /// Returns the entry that was added, removed or changed.
    pub fn subject(&self) -> &Subject {
        match self {
            Self::Added { subject } | Self::Removed { subject } | Self::Changed { subject, .. } => {
                subject
            }
        }
    }
}
