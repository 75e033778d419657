//! Ids of requests and their runs.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Id of a request and its run.
///
/// A request with an idempotency key has the same id at every router. A request without a key gets
/// an id from its router, which contains the time of issue.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(String);

impl RunId {
    /// Creates the id of a request with an idempotency key.
    pub fn keyed(account: &str, key: &str) -> Self {
        Self(format!("k/{account}/{key}"))
    }

    /// Creates the id of a request without an idempotency key.
    ///
    /// `number` counts the ids that the router's incarnation has issued; `at` is the time of issue.
    pub fn generated(router: &str, at: Millis, number: u64) -> Self {
        Self(format!("r/{router}/{}.{number}", at.0))
    }

    /// Creates an id from its text form, as found in messages.
    pub fn from_text(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text form of the id.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the request has an idempotency key, so that its caller can repeat it.
    pub fn is_keyed(&self) -> bool {
        self.0.starts_with("k/")
    }

    /// Returns the time of issue, or `None` for a request with an idempotency key.
    pub fn issued_at(&self) -> Option<Millis> {
        let number = self.0.strip_prefix("r/")?.rsplit('/').next()?;
        let (at, _) = number.split_once('.')?;
        at.parse().ok().map(Millis)
    }

    /// Returns the claim's key in the key-value service, or `None` without an idempotency key.
    pub fn claim_key(&self) -> Option<String> {
        self.0.strip_prefix("k/").map(|rest| format!("once/{rest}"))
    }
}
