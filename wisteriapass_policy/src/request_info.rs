//! What the router knows of a request when it offers it.

use crate::{AccountKey, Priority, RequiredResource, Time};

/// What the router knows of a request when it offers it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// Account that pays.
    pub account: AccountKey,
    /// Class of the work.
    pub priority: Priority,
    /// What its target has to hold.
    pub resource: RequiredResource,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Most output the request allows, in tokens.
    pub max_tokens: u32,
    /// Latest time of the first token; [`Time::MAX`] if it does not matter.
    pub first_token_by: Time,
    /// Latest time of the last token; [`Time::MAX`] if it does not matter.
    pub deadline: Time,
    /// Whether running it twice does no harm; others are never retried or hedged once sent.
    pub idempotent: bool,
    /// Hash of model, adapter and the prompt's shared prefix, if it has one.
    pub prefix: Option<u64>,
    /// Length of that prefix, in tokens.
    pub prefix_tokens: u32,
    /// How often the caller was refused this request before.
    pub attempt: u32,
}
