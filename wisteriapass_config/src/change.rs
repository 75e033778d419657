//! Differences between two configurations.

use derive_more::Display;
use serde::Serialize;

/// An entry of the inventory or the rules.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Subject {
    /// A failure domain.
    #[display("failure domain {name}")]
    FailureDomain {
        /// Its name.
        name: String,
    },
    /// A router.
    #[display("router {name}")]
    Router {
        /// Its name.
        name: String,
    },
    /// A target.
    #[display("target {name}")]
    Target {
        /// Its name.
        name: String,
    },
    /// A client account.
    #[display("account {name}")]
    Account {
        /// Its name.
        name: String,
    },
    /// A budget.
    #[display("budget {account}/{name}")]
    Budget {
        /// Account that prepaid it.
        account: String,
        /// Its name.
        name: String,
    },
    /// A class of work.
    #[display("class {name}")]
    Class {
        /// Its name.
        name: String,
    },
}

/// One difference between two configurations.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// The entry is new.
    #[display("+ {subject}")]
    Added {
        /// What was added.
        subject: Subject,
    },
    /// The entry is gone.
    #[display("- {subject}")]
    Removed {
        /// What was removed.
        subject: Subject,
    },
    /// A key of the entry has another value.
    #[display("~ {subject}: {key}: {from} -> {to}")]
    Changed {
        /// What was changed.
        subject: Subject,
        /// Key of the entry.
        key: String,
        /// Value before, as JSON.
        from: String,
        /// Value after, as JSON.
        to: String,
    },
}

impl Change {
    /// Returns the entry that differs.
    pub fn subject(&self) -> &Subject {
        match self {
            Self::Added { subject } | Self::Removed { subject } | Self::Changed { subject, .. } => {
                subject
            }
        }
    }
}
