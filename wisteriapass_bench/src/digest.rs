//! Digests in hexadecimal.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 of some bytes, in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// Returns bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
