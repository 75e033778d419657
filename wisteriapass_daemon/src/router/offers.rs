//! What a request needs, and which targets offer it.

use twox_hash::XxHash64;
use wisteriapass_config::Target;

use crate::run_wire::{ChatMessage, RunRequest};

/// Bytes of a prompt's beginning that count as its shared prefix.
const PREFIX_BYTES: usize = 1_024;

/// Returns whether a target offers what a request needs.
pub fn offers(target: &Target, request: &RunRequest) -> bool {
    match request {
        RunRequest::Chat(chat) => target.model.iter().any(|m| m.name == chat.model),
        RunRequest::Call(call) => target
            .services
            .iter()
            .any(|s| service_of(&call.path) == Some(s.as_str())),
    }
}

/// Returns the service that a path names: its first segment.
pub fn service_of(path: &str) -> Option<&str> {
    let first = path.trim_start_matches('/').split(['/', '?']).next()?;
    if first.is_empty() { None } else { Some(first) }
}

/// Returns a hash of a conversation's beginning, by which engines that hold it are preferred.
pub fn prefix_hash(messages: &[ChatMessage]) -> Option<u64> {
    let first = messages.first()?.content.as_bytes();
    if first.len() < PREFIX_BYTES {
        return None;
    }
    Some(XxHash64::oneshot(0, &first[..PREFIX_BYTES]))
}

/// Returns the tokens of a shared prefix, roughly.
pub fn prefix_tokens() -> u32 {
    (PREFIX_BYTES / 4) as u32
}
