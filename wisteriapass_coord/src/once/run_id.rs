//! Identity of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Identity of a request and of its run.
///
/// A keyed request has the same identity at every router; one without a key gets an identity from
/// its router, with the time it was issued.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(String);

impl RunId {
    /// Names a request by its account and the caller's key.
    pub fn keyed(account: &str, key: &str) -> Self {
        Self(format!("k/{account}/{key}"))
    }

    /// Names a request without key: the `number`th of a router's incarnation, issued at `at`.
    pub fn generated(router: &str, at: Millis, number: u64) -> Self {
        Self(format!("r/{router}/{}.{number}", at.0))
    }

    /// Reads an identity from a message.
    pub fn from_text(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether a caller can ask for it again.
    pub fn is_keyed(&self) -> bool {
        self.0.starts_with("k/")
    }

    /// Returns when a router issued it; none for a keyed one.
    pub fn issued_at(&self) -> Option<Millis> {
        let number = self.0.strip_prefix("r/")?.rsplit('/').next()?;
        let (at, _) = number.split_once('.')?;
        at.parse().ok().map(Millis)
    }

    /// Returns the key of its claim in the service; none without an idempotency key.
    pub fn claim_key(&self) -> Option<String> {
        self.0.strip_prefix("k/").map(|rest| format!("once/{rest}"))
    }
}
