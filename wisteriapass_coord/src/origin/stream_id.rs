//! Identifies streams.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies a stream by the client's attempt that brought its first event. No account can name a
/// stream of another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId([u8; 16]);

impl StreamId {
    /// Returns the id of a stream that was begun by an attempt of an account, if any.
    pub fn new(account: Option<&str>, attempt: &[u8]) -> Self {
        let mut hash = Sha256::new();
        let name = account.unwrap_or_default();
        hash.update([u8::from(account.is_some())]);
        hash.update((name.len() as u64).to_le_bytes());
        hash.update(name);
        hash.update(attempt);
        let digest: [u8; 32] = hash.finalize().into();
        let mut id = [0; 16];
        id.copy_from_slice(&digest[..16]);
        Self(id)
    }
}

impl fmt::Debug for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
