use crate::{AccountKey, Priority, RequiredResource, Time};

/// Properties of a request that is offered to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// Account that pays.
    pub account: AccountKey,
    /// Priority class.
    pub priority: Priority,
    /// Resource that the target has to host.
    pub resource: RequiredResource,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Maximum output length, in tokens.
    pub max_tokens: u32,
    /// Deadline of the first token; [`Time::MAX`] if there is none.
    pub first_token_by: Time,
    /// Deadline of the last token; [`Time::MAX`] if there is none.
    pub deadline: Time,
    /// Whether the request may safely run twice. Others are never retried or hedged once sent.
    pub idempotent: bool,
    /// Hash of the model, the adapter and the prompt's shared prefix, if it has one.
    pub prefix: Option<u64>,
    /// Length of that prefix, in tokens.
    pub prefix_tokens: u32,
    /// Number of times the caller was already refused for this request.
    pub attempt: u32,
}
