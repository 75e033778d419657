//! `digest`: the digest of a client account's key.

use std::io::Read;

use error_stack::Report;
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{Context, Exit, Result, ToolError};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: u64 = 4_096;

/// Output of `digest`.
#[derive(Serialize)]
struct DigestOutput {
    key_digest: String,
}

/// Prints the SHA-256 of the key on standard input, ignoring surrounding whitespace.
pub(super) fn digest(cx: &mut Context<'_>) -> Result<Exit> {
    let mut key = Vec::new();
    let mut input = (&mut cx.input).take(MAX_KEY_BYTES + 1);
    input
        .read_to_end(&mut key)
        .map_err(|e| ToolError::file("standard input", &e))?;
    let key = key.trim_ascii();
    if key.is_empty() || key.len() as u64 > MAX_KEY_BYTES {
        return Err(Report::new(ToolError::Usage {
            cause: format!("give a key of 1 to {MAX_KEY_BYTES} bytes on standard input"),
        }));
    }
    let output = DigestOutput {
        key_digest: format!("{:x}", Sha256::digest(key)),
    };
    cx.out.print(&output.key_digest, &output)?;
    Ok(Exit::Success)
}
