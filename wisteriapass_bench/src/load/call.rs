//! What a caller asks.

use serde::{Deserialize, Serialize};

use crate::fleet::AccountPlan;
use crate::load::CallId;

/// One request of a client account; a repeat of it is the same call again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Its identity in the history.
    pub id: CallId,
    /// Client account that asks.
    pub account: String,
    /// Key of the account.
    #[serde(skip)]
    pub account_key: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Class of work.
    pub class: Option<String>,
    /// Time within which the answer must have begun, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether it may run at most once.
    pub non_idempotent: bool,
    /// What is to be done.
    pub work: Work,
}

/// What is to be done.
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
    /// Content of the message; `tokens=N` in it sets the length of the stand-in's answer.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Whether the answer is to be streamed.
    pub stream: bool,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// HTTP method, in capitals.
    pub method: String,
    /// Path with the service's name first, as in `/records/7`.
    pub path: String,
    /// Body.
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

    /// Sets the class of work.
    pub fn with_class(mut self, class: impl Into<String>) -> Self {
        self.class = Some(class.into());
        self
    }

    /// Sets the time within which the answer must have begun, in milliseconds.
    pub fn with_deadline_ms(mut self, ms: u64) -> Self {
        self.deadline_ms = Some(ms);
        self
    }

    /// Marks it as one that may run at most once.
    pub fn with_non_idempotent(mut self) -> Self {
        self.non_idempotent = true;
        self
    }

    /// Sets the most tokens of a chat's answer.
    pub fn with_max_tokens(mut self, max_tokens: u32) -> Self {
        if let Work::Chat(chat) = &mut self.work {
            chat.max_tokens = max_tokens;
        }
        self
    }

    /// Asks for a chat's answer as a whole.
    pub fn without_streaming(mut self) -> Self {
        if let Work::Chat(chat) = &mut self.work {
            chat.stream = false;
        }
        self
    }
}
