//! Rules: client accounts, budgets, priorities and who may reach what.

use serde::{Deserialize, Serialize};

/// The operators' rules on top of the inventory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Client accounts.
    pub account: Vec<Account>,
    /// Prepaid token budgets.
    pub budget: Vec<Budget>,
    /// Classes of work that requests may name.
    pub class: Vec<Class>,
}

/// Priority of work, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Somebody waits at the screen; worthless when late.
    Interactive,
    /// Somebody waits, a little.
    #[default]
    Standard,
    /// Nobody waits.
    Batch,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name, unique.
    pub name: String,
    /// SHA-256 of its key, in hexadecimal.
    pub key_digest: String,
    /// Weight of its fair share.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Models it may use; `"*"` for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
    /// Plain services it may reach; `"*"` for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
}

/// A prepaid token budget of one account; money enters by top-ups only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name, unique within its account.
    pub name: String,
    /// Account that prepaid it.
    pub account: String,
    /// Models it pays for; empty for all of them and for plain services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name that requests give.
    pub name: String,
    /// Its priority.
    #[serde(default)]
    pub priority: Priority,
    /// Time within which an answer must have begun, in milliseconds, unless the request says.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Output tokens assumed when the request names no maximum.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

/// Weight of an account whose rules name none.
fn default_weight() -> u32 {
    1
}

/// Deadline of a class whose rules name none.
fn default_deadline_ms() -> u64 {
    30_000
}

/// Maximum output of a class whose rules name none.
fn default_max_tokens() -> u32 {
    512
}

impl Rules {
    /// Returns the account with this key digest.
    pub fn account_by_digest(&self, digest: &str) -> Option<&Account> {
        self.account
            .iter()
            .find(|a| a.key_digest.eq_ignore_ascii_case(digest))
    }

    /// Returns the budget that pays for this account's use of a model (`None`: a plain service).
    pub fn budget_for(&self, account: &str, model: Option<&str>) -> Option<&Budget> {
        let of_account = || self.budget.iter().filter(|b| b.account == account);
        let named = model.and_then(|m| of_account().find(|b| b.models.iter().any(|x| x == m)));
        named.or_else(|| of_account().find(|b| b.models.is_empty()))
    }

    /// Returns the class of this name.
    pub fn class_named(&self, name: &str) -> Option<&Class> {
        self.class.iter().find(|c| c.name == name)
    }
}
