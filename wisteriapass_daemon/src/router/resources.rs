//! What a request needs, and which targets offer it.

use std::hash::{Hash, Hasher};

use twox_hash::XxHash64;
use wisteriapass_config::Target;

use crate::run_wire::{ChatRun, RunRequest};

/// Field of a chat that names an adapter of the model.
const ADAPTER: &str = "adapter";

/// Bytes of a prompt's beginning that count as its shared prefix.
const PREFIX_BYTES: usize = 1_024;

/// Returns whether a target offers what a request needs.
pub fn can_serve(target: &Target, request: &RunRequest) -> bool {
    match request {
        RunRequest::Chat(chat) => target.model.iter().any(|m| m.name == chat.model),
        RunRequest::Call(call) => target
            .services
            .iter()
            .any(|s| service_name(&call.path) == Some(s.as_str())),
    }
}

/// Returns the service that a path names: its first segment.
pub fn service_name(path: &str) -> Option<&str> {
    let first = path.trim_start_matches('/').split(['/', '?']).next()?;
    if first.is_empty() { None } else { Some(first) }
}

/// Returns a hash of a conversation's beginning, by which engines that hold it are preferred.
///
/// Model and adapter are part of it: what one of them computed from a text is of no use to another.
/// A beginning of fewer than 1,024 bytes is not worth holding and has none.
pub fn prefix_hash(chat: &ChatRun) -> Option<u64> {
    let first = chat.messages.first()?.content.as_bytes();
    if first.len() < PREFIX_BYTES {
        return None;
    }
    let adapter = chat.other.0.get(ADAPTER).and_then(|a| a.as_str());
    let mut hasher = XxHash64::with_seed(0);
    // Both end in a byte that no text has, so that they cannot run into each other.
    chat.model.hash(&mut hasher);
    adapter.unwrap_or_default().hash(&mut hasher);
    hasher.write(&first[..PREFIX_BYTES]);
    Some(hasher.finish())
}

/// Returns the tokens of a shared prefix, roughly.
pub fn estimated_prefix_tokens() -> u32 {
    (PREFIX_BYTES / 4) as u32
}
