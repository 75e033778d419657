//! Rules: client accounts with their access to models and services, budgets and classes of work.

use serde::{Deserialize, Serialize};

/// Rules that operators maintain in addition to the inventory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Client accounts.
    pub account: Vec<Account>,
    /// Prepaid token budgets.
    pub budget: Vec<Budget>,
    /// Classes of work that requests may specify.
    pub class: Vec<Class>,
}

/// Priority of work, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A user is waiting at the screen; a late response is worthless.
    Interactive,
    /// A user is waiting but tolerates a delay.
    #[default]
    Standard,
    /// No user is waiting.
    Batch,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: String,
    /// SHA-256 digest of the API key, in hexadecimal.
    pub key_digest: String,
    /// Weight of the account in fair sharing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Models that the account may use; `"*"` for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
    /// Plain services that the account may use; `"*"` for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
}

/// A prepaid token budget of one account; only top-ups add tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name, unique within its account.
    pub name: String,
    /// Account that owns the budget.
    pub account: String,
    /// Models that the budget pays for; empty for all models and for plain services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in requests.
    pub name: String,
    /// Priority of requests in this class.
    #[serde(default)]
    pub priority: Priority,
    /// Time within which the response must begin, in milliseconds, unless the request specifies it.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Output tokens assumed if the request specifies no maximum.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

/// Weight of an account without the key `weight`.
fn default_weight() -> u32 {
    1
}

/// Deadline of a class without the key `deadline_ms`.
fn default_deadline_ms() -> u64 {
    30_000
}

/// Assumed output of a class without the key `max_tokens`.
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

    /// Returns the budget that pays for requests of an account for a model, or for a plain service
    /// if `model` is `None`.
    pub fn budget_for(&self, account: &str, model: Option<&str>) -> Option<&Budget> {
        let of_account = || self.budget.iter().filter(|b| b.account == account);
        let specific = model.and_then(|m| of_account().find(|b| b.models.iter().any(|x| x == m)));
        specific.or_else(|| of_account().find(|b| b.models.is_empty()))
    }

    /// Returns the class with this name.
    pub fn class_named(&self, name: &str) -> Option<&Class> {
        self.class.iter().find(|c| c.name == name)
    }
}
