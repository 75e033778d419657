//! Messages about runs between routers and side processes.
//!
//! A router posts a [`Dispatch`] to `/run` or an [`Attach`] to `/attach`; the answer is a stream of
//! [`RunEvent`] lines in JSON.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use derive_more::{Deref, From};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::Payment;
use wisteriapass_coord::once::Bill;

use crate::api::Refusal;

/// Path on which a side process takes dispatches.
pub const RUN_PATH: &str = "/run";

/// Path on which a side process takes attachments.
pub const ATTACH_PATH: &str = "/attach";

/// Binary data, encoded as base64 on the wire.
#[derive(Clone, Debug, Default, Deref, From, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// Work that a run does at the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunRequest {
    /// A chat completion at a model engine.
    Chat(ChatRun),
    /// A call of a plain HTTP service.
    Call(CallRun),
}

/// A chat completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRun {
    /// Model name.
    pub model: String,
    /// Messages of the conversation, as the caller sent them.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Priority at the engine; lower values are more urgent.
    pub priority: u8,
    /// Fields that only the engine interprets, as the caller sent them.
    #[serde(default)]
    pub other: EngineFields,
}

/// Fields of a chat completion that only the engine interprets, such as the temperature.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineFields(pub serde_json::Map<String, serde_json::Value>);

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A call of a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRun {
    /// HTTP method.
    pub method: String,
    /// Path with query, beginning with `/`.
    pub path: String,
    /// Headers passed through.
    pub headers: Vec<HeaderLine>,
    /// Body.
    pub body: Blob,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Field name.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// Command to run a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identity of the request.
    pub run: String,
    /// Digest of the request's content.
    pub fingerprint: String,
    /// Number of the attempt; a withdrawn attempt is refused.
    pub attempt: u32,
    /// Incarnation of the side process that may run it; empty for any.
    pub incarnation: String,
    /// Incarnation of the sending router.
    pub router: String,
    /// Client account of the request.
    pub account: String,
    /// Reserved money that pays for the run; none if the run is free.
    pub payment: Option<Payment>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller sent an idempotency key, and so may repeat the request.
    pub keyed: bool,
    /// Latest start; a dispatch that was delayed on its way beyond this time is refused.
    pub start_by: Millis,
    /// Revision of the configuration in force at the router.
    pub revision: u64,
    /// Request to run.
    pub request: RunRequest,
    /// Number of events that the router already has from an earlier attachment.
    pub from: u64,
}

/// Command to follow a run that is active or has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// Identity of the request.
    pub run: String,
    /// Digest of the request's content.
    pub fingerprint: String,
    /// Number of events the router already has.
    pub from: u64,
}

impl RunBill {
    /// Creates a bill from a copy kept by a home of the run; the copy has only the total, which is
    /// reported as output tokens.
    pub fn from_copy(bill: Bill) -> Self {
        Self {
            run: bill.run.to_string(),
            ran_at: bill.place.to_string(),
            account: bill.account,
            payment: Some(Box::new(bill.payment)),
            amount: bill.amount.0,
            prompt_tokens: 0,
            output_tokens: bill.amount.0,
        }
    }

    /// Returns whether this bill is paid from a reservation, which holds only for the reservation
    /// of the dispatch that started the run.
    pub fn is_paid_by(&self, reserved: &Payment) -> bool {
        self.payment.as_ref().is_some_and(|p| p.id == reserved.id)
    }
}

/// Cost of a run, issued once by the side process that ran it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunBill {
    /// Identity of the request, which also identifies the bill.
    pub run: String,
    /// Side process and incarnation that ran it.
    pub ran_at: String,
    /// Client account.
    pub account: String,
    /// Money that pays for the run, as reserved by the dispatch that started it.
    pub payment: Option<Box<Payment>>,
    /// Amount in tokens, at most the reserved amount.
    pub amount: u64,
    /// Number of prompt tokens reported by the target.
    pub prompt_tokens: u64,
    /// Number of output tokens reported by the target.
    pub output_tokens: u64,
}

/// Reason why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The answer is complete.
    Stop,
    /// The answer reached the maximum number of tokens.
    Length,
    /// The target failed; the answer is incomplete.
    Failed,
    /// The run was cancelled; the answer is incomplete.
    Cancelled,
}

/// Event of a run, as sent to an attached router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    /// The run exists; the stream begins at the requested event.
    Attached {
        /// Identity of the request.
        run: String,
        /// Incarnation of the side process.
        incarnation: String,
    },
    /// Heartbeat: no new event, but the connection is alive.
    Beat,
    /// Status and headers of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers passed through.
        headers: Vec<HeaderLine>,
    },
    /// Text generated by the engine.
    Text {
        /// Text of one or more tokens.
        text: String,
    },
    /// Body bytes of a plain service's answer.
    Bytes {
        /// One chunk of the body.
        data: Blob,
    },
    /// The run ended.
    End {
        /// Reason why it ended.
        finish: Finish,
        /// Cost of the run.
        bill: RunBill,
    },
    /// This incarnation of the side process has no such run.
    NoSuchRun,
    /// The side process refuses the dispatch, or the run ended without a known outcome.
    Refused {
        /// Reason for the refusal, and whether the request ran.
        refusal: Refusal,
    },
}
