//! What routers and side processes say to each other about runs.
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

/// Bytes, in base64 on the wire.
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

/// What a run does at the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunRequest {
    /// A chat completion at a model engine.
    Chat(ChatRun),
    /// A call of a plain service.
    Call(CallRun),
}

/// A chat completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRun {
    /// Model name.
    pub model: String,
    /// Messages of the conversation, as the caller sent them.
    pub messages: Vec<ChatMessage>,
    /// Largest number of output tokens.
    pub max_tokens: u32,
    /// Priority towards the engine, lower is more urgent.
    pub priority: u8,
    /// Fields for the engine alone, as the caller sent them.
    #[serde(default)]
    pub other: EngineFields,
}

/// Fields of a chat that only the engine understands, such as the temperature.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineFields(pub serde_json::Map<String, serde_json::Value>);

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A call of a plain service.
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

/// Order to run a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identity of the request.
    pub run: String,
    /// Digest of the request's content.
    pub fingerprint: String,
    /// Attempt at it; a withdrawn attempt is refused.
    pub attempt: u32,
    /// Incarnation of the side process it is meant for; empty for any.
    pub incarnation: String,
    /// Incarnation of the router that sends it.
    pub router: String,
    /// Client account that asks.
    pub account: String,
    /// Money that pays for it; none if it costs nothing.
    pub payment: Option<Payment>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its caller gave a key, and so may ask for it again.
    pub keyed: bool,
    /// It may not begin later; a dispatch that was held up on its way is refused.
    pub start_by: Millis,
    /// Revision of the configuration the router has in force.
    pub revision: u64,
    /// What to run.
    pub request: RunRequest,
    /// Events of an earlier attachment that the router already has.
    pub from: u64,
}

/// Order to follow a run that goes on or has ended.
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
    /// Creates a bill from the copy that a home kept; it does not tell prompt from output.
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

    /// Returns whether a reservation pays this bill: only that of the order that began the run.
    pub fn is_paid_by(&self, reserved: &Payment) -> bool {
        self.payment.as_ref().is_some_and(|p| p.id == reserved.id)
    }
}

/// What a run cost, made once by the side process that ran it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunBill {
    /// Identity of the request; the bill's own identity too.
    pub run: String,
    /// Side process and incarnation that ran it.
    pub ran_at: String,
    /// Client account.
    pub account: String,
    /// Money that pays: what the order that began the run reserved.
    pub payment: Option<Box<Payment>>,
    /// Amount, in tokens; never more than was reserved.
    pub amount: u64,
    /// Prompt tokens as the target counted them.
    pub prompt_tokens: u64,
    /// Output tokens as the target counted them.
    pub output_tokens: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The answer is whole.
    Stop,
    /// The answer is whole up to the largest number of tokens.
    Length,
    /// The target failed; the answer is not whole.
    Failed,
    /// The run was cancelled; the answer is not whole.
    Cancelled,
}

/// One event of a run, as sent to an attached router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    /// The run is there; the stream begins at the asked event.
    Attached {
        /// Identity of the request.
        run: String,
        /// Incarnation of the side process.
        incarnation: String,
    },
    /// Nothing new, but the connection lives.
    Beat,
    /// Status and headers of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers passed through.
        headers: Vec<HeaderLine>,
    },
    /// Text that the engine generated.
    Text {
        /// One token's text or more.
        text: String,
    },
    /// Body bytes of a plain service's answer.
    Bytes {
        /// One piece of the body.
        data: Blob,
    },
    /// The run ended.
    End {
        /// How.
        finish: Finish,
        /// What it cost.
        bill: RunBill,
    },
    /// This incarnation of the side process has no such run.
    NoSuchRun,
    /// The side process refuses the dispatch, or the run ended without a known outcome.
    Refused {
        /// Why, and whether it ran.
        refusal: Refusal,
    },
}
