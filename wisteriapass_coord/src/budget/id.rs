//! Names of budgets, origins and top-ups.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// A budget of one client account: `<account>/<budget>`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BudgetId(String);

impl BudgetId {
    /// Names the budget `name` of `account`.
    pub fn new(account: &str, name: &str) -> Self {
        Self(format!("{account}/{name}"))
    }

    /// Returns the account's name.
    pub fn account(&self) -> &str {
        self.0.split_once('/').map_or("", |(account, _)| account)
    }

    /// Returns the name as one text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The incarnation of the router that took money from the service; money keeps it for life.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct Origin(pub u64);

/// Id of a top-up, given by the operators; a top-up is applied once.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TopupId(pub String);
