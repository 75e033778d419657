//! Calls that a caller sends.

use serde::{Deserialize, Serialize};

use crate::fleet::AccountPlan;
use crate::load::CallId;

/// A request of a client account; retries belong to the same call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// ID in the history.
    pub id: CallId,
    /// Client account that sends it.
    pub account: String,
    /// API key of the account.
    #[serde(skip)]
    pub account_key: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Request class.
    pub class: Option<String>,
    /// Time within which the answer must begin, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether it is marked as non-idempotent, so that it may run at most once.
    pub non_idempotent: bool,
    /// Requested work.
    pub work: Work,
}

/// Requested work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A chat completion.
    Chat(ChatWork),
    /// A call of a plain service.
    Service(ServiceWork),
}

/// A chat completion with one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatWork {
    /// Model name.
    pub model: String,
    /// Content of the message; `tokens=N` in it sets the length of the answer of the engine's
    /// stand-in.
    pub prompt: String,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// HTTP method in upper case.
    pub method: String,
    /// Path, starting with the name of the service, such as `/records/7`.
    pub path: String,
    /// Request body.
    pub body: String,
}

impl Call {
    /// Creates a streamed chat completion of an account.
    pub fn chat(id: CallId, account: &AccountPlan, model: &str, prompt: &str) -> Self {
        let work = Work::Chat(ChatWork {
            model: model.into(),
            prompt: prompt.into(),
            max_tokens: 64,
            stream: true,
        });
        Self::new(id, account, work)
    }

    /// Creates a call of a plain service.
    pub fn service(
        id: CallId,
        account: &AccountPlan,
        method: &str,
        path: &str,
        body: &str,
    ) -> Self {
        let work = Work::Service(ServiceWork {
            method: method.into(),
            path: path.into(),
            body: body.into(),
        });
        Self::new(id, account, work)
    }

    fn new(id: CallId, account: &AccountPlan, work: Work) -> Self {
        Self {
            id,
            account: account.name.clone(),
            account_key: account.key.clone(),
            key: None,
            class: None,
            deadline_ms: None,
            non_idempotent: false,
            work,
        }
    }

    /// Sets the idempotency key.
    pub fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the request class.
    pub fn with_class(mut self, class: impl Into<String>) -> Self {
        self.class = Some(class.into());
        self
    }

    /// Sets the time within which the answer must begin, in milliseconds.
    pub fn with_deadline_ms(mut self, ms: u64) -> Self {
        self.deadline_ms = Some(ms);
        self
    }

    /// Marks it as non-idempotent.
    pub fn with_non_idempotent(mut self) -> Self {
        self.non_idempotent = true;
        self
    }

    /// Sets the maximum number of tokens of the answer to a chat.
    pub fn with_max_tokens(mut self, max_tokens: u32) -> Self {
        if let Work::Chat(chat) = &mut self.work {
            chat.max_tokens = max_tokens;
        }
        self
    }

    /// Requests the answer to a chat as one JSON object instead of a stream.
    pub fn without_streaming(mut self) -> Self {
        if let Work::Chat(chat) = &mut self.work {
            chat.stream = false;
        }
        self
    }
}
