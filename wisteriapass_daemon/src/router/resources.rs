//! Resources that a request needs, and the targets that offer them.

use std::hash::{Hash, Hasher};

use twox_hash::XxHash64;
use wisteriapass_config::Target;

use crate::run_wire::{ChatRun, RunRequest};

/// Field of a chat completion that names an adapter of the model.
const ADAPTER_FIELD: &str = "adapter";

/// Length of the prefix by which prompts are compared, in bytes.
const PREFIX_BYTES: usize = 1_024;

/// Returns whether a target offers the model or service that a request needs.
pub fn can_serve(target: &Target, request: &RunRequest) -> bool {
    match request {
        RunRequest::Chat(chat) => target.model.iter().any(|m| m.name == chat.model),
        RunRequest::Call(call) => target
            .services
            .iter()
            .any(|s| service_name(&call.path) == Some(s.as_str())),
    }
}

/// Returns the name of the service in a path, which is the first segment.
pub fn service_name(path: &str) -> Option<&str> {
    let first = path.trim_start_matches('/').split(['/', '?']).next()?;
    if first.is_empty() { None } else { Some(first) }
}

/// Returns a hash of the prompt prefix, by which targets that have the prefix cached are preferred.
///
/// The hash covers the model and the adapter, because neither can use the cache entries of another.
/// A first message of fewer than 1,024 bytes has no hash, as it is not worth caching.
pub fn prefix_hash(chat: &ChatRun) -> Option<u64> {
    let first = chat.messages.first()?.content.as_bytes();
    if first.len() < PREFIX_BYTES {
        return None;
    }
    let adapter = chat.other.0.get(ADAPTER_FIELD).and_then(|a| a.as_str());
    let mut hasher = XxHash64::with_seed(0);
    // Hashing a string appends a byte that occurs in no UTF-8 text, which separates the fields.
    chat.model.hash(&mut hasher);
    adapter.unwrap_or_default().hash(&mut hasher);
    hasher.write(&first[..PREFIX_BYTES]);
    Some(hasher.finish())
}

/// Returns the estimated number of tokens in a cached prefix.
pub fn estimated_prefix_tokens() -> u32 {
    (PREFIX_BYTES / 4) as u32
}
