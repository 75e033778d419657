//! Ids of budgets, origins and top-ups.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Id of a budget of a client account: `<account>/<budget>`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BudgetId(String);

impl BudgetId {
    /// Creates the id of the budget `name` of `account`.
    pub fn new(account: &str, name: &str) -> Self {
        Self(format!("{account}/{name}"))
    }

    /// Returns the name of the client account.
    pub fn account(&self) -> &str {
        self.0.split_once('/').map_or("", |(account, _)| account)
    }

    /// Returns the id as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Incarnation of the router that tokens were granted to; tokens keep it when they are transferred.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct Origin(pub u64);

/// Id of a top-up, chosen by the operator; a top-up is applied once per id.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TopupId(pub String);
