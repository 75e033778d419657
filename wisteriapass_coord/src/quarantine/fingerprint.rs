//! Identifies equal requests, and requests with a part of their prompts in common.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies all requests with the same method, host, path, account and body, or all requests for a
/// service that have one part of their prompts in common, whatever else they hold.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 32]);

/// Begins the hash of a prompt part; a request's begins with its method.
const PROMPT_PART: &[u8] = b"prompt part";

impl Fingerprint {
    /// Returns the fingerprint of a request; `path` includes the query.
    pub fn new(method: &str, host: &str, path: &str, account: Option<&str>, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        add_field(&mut hash, method.as_bytes());
        add_field(&mut hash, host.as_bytes());
        add_field(&mut hash, path.as_bytes());
        hash.update([u8::from(account.is_some())]);
        add_field(&mut hash, account.unwrap_or_default().as_bytes());
        add_field(&mut hash, body);
        Self(hash.finalize().into())
    }

    /// Returns the fingerprint of a part of a prompt for a service; `id` identifies the part's text.
    pub fn of_prompt_part(service: &str, id: u64) -> Self {
        let mut hash = Sha256::new();
        add_field(&mut hash, PROMPT_PART);
        add_field(&mut hash, service.as_bytes());
        add_field(&mut hash, &id.to_le_bytes());
        Self(hash.finalize().into())
    }

    /// Returns the first bytes as a number, which is equal at all routers.
    pub fn short(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

/// Hashes a field with its length, so that different fields never give the same byte sequence.
fn add_field(hash: &mut Sha256, field: &[u8]) {
    hash.update((field.len() as u64).to_le_bytes());
    hash.update(field);
}

impl fmt::Display for Fingerprint {
    /// Writes the first bytes, which suffice to find the request in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}
