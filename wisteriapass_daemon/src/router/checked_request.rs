//! What a caller asked, checked.

use sha2::{Digest, Sha256};
use wisteriapass_config::{Account, Document, Limits, Priority};
use wisteriapass_coord::budget::{BudgetId, Tokens};

use crate::http::Request;
use crate::prelude::*;
use crate::router::openai::ChatRequest;
use crate::router::resources::{can_serve, service_name};
use crate::run_wire::{Blob, CallRun, ChatMessage, ChatRun, HeaderLine, RunRequest};

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Prefix of the paths of plain services.
pub const SERVICES_PREFIX: &str = "/services";

/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Largest idempotency key, in bytes.
const KEY_BYTES: usize = 128;

/// Bytes of prompt that make at least one token; the reservation counts on it.
const BYTES_PER_TOKEN: u64 = 2;

/// Tokens that an engine may add around each message.
const TOKENS_PER_MESSAGE: u64 = 16;

/// Longest deadline a caller may name, in milliseconds.
const MOST_DEADLINE_MS: u64 = 3_600_000;

/// A checked request.
#[derive(Clone, Debug)]
pub struct CheckedRequest {
    /// Client account.
    pub account: String,
    /// Idempotency key, if given.
    pub idempotency_key: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Priority of its class.
    pub priority: Priority,
    /// By when its answer must have begun.
    pub deadline: Instant,
    /// Budget that pays; none for what costs nothing.
    pub budget: Option<BudgetId>,
    /// Most it can cost.
    pub max_cost: Tokens,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Digest of its content.
    pub fingerprint: String,
    /// What to run.
    pub run_request: RunRequest,
}

/// Headers that every request may carry.
struct Marks {
    key: Option<String>,
    idempotent: bool,
    class: Option<String>,
    deadline_ms: Option<u64>,
}

impl CheckedRequest {
    /// Checks a request against the configuration in force.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that says what is wrong; nothing ran and nothing was charged.
    pub fn new(
        req: &Request,
        body: Vec<u8>,
        document: &Document,
        limits: &Limits,
    ) -> Result<Self, Refusal> {
        let account = authenticate(req, document)?;
        let marks = Marks::new(req)?;
        let path = req.url();
        if path == CHAT_PATH {
            return chat(account, &marks, &body, document, limits);
        }
        if path
            .strip_prefix(SERVICES_PREFIX)
            .is_some_and(|rest| rest.starts_with('/'))
        {
            return call(account, &marks, req, body, document);
        }
        Err(bad("unknown path"))
    }
}

impl Marks {
    fn new(req: &Request) -> Result<Self, Refusal> {
        let key = req.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        if let Some(key) = &key {
            check_key(key)?;
        }
        let non_idempotent = match req.header("x-wisteriapass-non-idempotent") {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => {
                return Err(bad(
                    "x-wisteriapass-non-idempotent is neither true nor false",
                ));
            }
        };
        if non_idempotent && key.is_none() {
            let message = "a non-idempotent request has no idempotency key";
            return Err(Refusal::not_run(Reason::KeyRequired, message));
        }
        Ok(Self {
            key,
            idempotent: !non_idempotent,
            class: req.header("x-wisteriapass-class").map(str::to_owned),
            deadline_ms: deadline_ms(req)?,
        })
    }
}

fn check_key(key: &str) -> Result<(), Refusal> {
    let visible = key.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if key.is_empty() || key.len() > KEY_BYTES || !visible {
        return Err(bad(
            "the idempotency key is not 1 to 128 visible characters without a slash",
        ));
    }
    Ok(())
}

fn deadline_ms(req: &Request) -> Result<Option<u64>, Refusal> {
    let Some(text) = req.header("x-wisteriapass-deadline-ms") else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms @ 1..=MOST_DEADLINE_MS) => Ok(Some(ms)),
        _ => Err(bad(
            "x-wisteriapass-deadline-ms is not a number from 1 to 3600000",
        )),
    }
}

fn bad(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, message)
}

fn authenticate<'a>(req: &Request, document: &'a Document) -> Result<&'a Account, Refusal> {
    let unauthorized = |m: &str| Refusal::not_run(Reason::Unauthorized, m);
    let bearer = req
        .header("authorization")
        .and_then(|v| v.strip_prefix("Bearer "));
    let key = bearer.ok_or_else(|| unauthorized("no account key"))?;
    let digest = hex(&Sha256::digest(key.trim().as_bytes()));
    let account = document.rules.account_by_digest(&digest);
    account.ok_or_else(|| unauthorized("unknown account key"))
}

/// Returns bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn chat(
    account: &Account,
    marks: &Marks,
    body: &[u8],
    document: &Document,
    limits: &Limits,
) -> Result<CheckedRequest, Refusal> {
    let text = std::str::from_utf8(body).map_err(|_| bad("the body is not UTF-8"))?;
    let mut chat: ChatRequest = serde_json::from_str(text).map_err(|e| bad(e.to_string()))?;
    // Several answers would cost a multiple of what is reserved.
    if chat.n.is_some_and(|n| n != 1) || chat.other.0.contains_key("best_of") {
        return Err(bad(
            "only one answer a request can be had; leave out n and best_of",
        ));
    }
    chat.other.0.remove("stream_options");
    let class = marks.class(document)?;
    let max_tokens = chat.max_tokens.unwrap_or(class.max_tokens);
    if max_tokens == 0 || max_tokens > limits.max_tokens {
        return Err(bad(format!(
            "max_tokens is not from 1 to {}",
            limits.max_tokens
        )));
    }
    allow(&account.models, &chat.model, "model")?;
    let worst = Tokens(prompt_bound(&chat.messages).saturating_add(max_tokens.into()));
    let model = chat.model.clone();
    let run = ChatRun {
        model: chat.model,
        messages: chat.messages,
        max_tokens,
        priority: engine_priority(class.priority),
        other: chat.other,
    };
    let budget = document.rules.budget_for(&account.name, Some(&model));
    let budget = budget.ok_or_else(|| {
        Refusal::not_run(
            Reason::NoBudget,
            "no budget of the account pays for this model",
        )
    })?;
    let asked = CheckedRequest {
        account: account.name.clone(),
        idempotency_key: marks.key.clone(),
        idempotent: marks.idempotent,
        priority: class.priority,
        deadline: class.deadline(),
        budget: Some(BudgetId::new(&account.name, &budget.name)),
        max_cost: worst,
        stream: chat.stream,
        fingerprint: hex(&Sha256::digest(body)),
        run_request: RunRequest::Chat(run),
    };
    known(asked, document)
}

fn call(
    account: &Account,
    marks: &Marks,
    req: &Request,
    body: Vec<u8>,
    document: &Document,
) -> Result<CheckedRequest, Refusal> {
    let path = req.url().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let service = service_name(path).ok_or_else(|| bad("the path names no service"))?;
    allow(&account.services, service, "service")?;
    let class = marks.class(document)?;
    let mut digest = Sha256::new();
    digest.update(req.method().as_str());
    digest.update(path);
    digest.update(&body);
    let run = CallRun {
        method: req.method().as_str().into(),
        path: path.into(),
        headers: passed_headers(req),
        body: Blob(body),
    };
    let asked = CheckedRequest {
        account: account.name.clone(),
        idempotency_key: marks.key.clone(),
        idempotent: marks.idempotent,
        priority: class.priority,
        deadline: class.deadline(),
        budget: None,
        max_cost: Tokens::ZERO,
        stream: true,
        fingerprint: hex(&digest.finalize()),
        run_request: RunRequest::Call(run),
    };
    known(asked, document)
}

/// Refuses what no target of the inventory offers.
fn known(asked: CheckedRequest, document: &Document) -> Result<CheckedRequest, Refusal> {
    if document
        .inventory
        .target
        .iter()
        .any(|t| can_serve(t, &asked.run_request))
    {
        return Ok(asked);
    }
    Err(Refusal::not_run(
        Reason::UnknownModel,
        "no target offers it",
    ))
}

fn allow(allowed: &[String], name: &str, what: &str) -> Result<(), Refusal> {
    if allowed.iter().any(|a| a == "*" || a == name) {
        return Ok(());
    }
    let message = format!("the account may not use {what} {name:?}");
    Err(Refusal::not_run(Reason::NotAllowed, message))
}

fn passed_headers(req: &Request) -> Vec<HeaderLine> {
    let secret = |name: &str| {
        name.eq_ignore_ascii_case("authorization")
            || name.to_ascii_lowercase().starts_with("x-wisteriapass-")
    };
    req.headers()
        .iter()
        .filter_map(|(name, value)| {
            Some(HeaderLine {
                name: name.to_string(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .filter(|h| !secret(&h.name))
        .collect()
}

/// Returns a bound on the tokens of a prompt.
fn prompt_bound(messages: &[ChatMessage]) -> u64 {
    messages
        .iter()
        .map(|m| (m.content.len() as u64).div_ceil(BYTES_PER_TOKEN) + TOKENS_PER_MESSAGE)
        .sum()
}

fn engine_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Interactive => 0,
        Priority::Standard => 1,
        Priority::Batch => 2,
    }
}

/// What a request's class gives it.
struct Classed {
    priority: Priority,
    deadline_ms: u64,
    max_tokens: u32,
}

impl Classed {
    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.deadline_ms)
    }
}

/// Deadline of a request without class, in milliseconds.
const USUAL_DEADLINE_MS: u64 = 30_000;

/// Output tokens of a request that names neither class nor maximum.
const USUAL_MAX_TOKENS: u32 = 512;

impl Marks {
    fn class(&self, document: &Document) -> Result<Classed, Refusal> {
        let Some(name) = &self.class else {
            return Ok(Classed {
                priority: Priority::Standard,
                deadline_ms: self.deadline_ms.unwrap_or(USUAL_DEADLINE_MS),
                max_tokens: USUAL_MAX_TOKENS,
            });
        };
        let class = document.rules.class_named(name);
        let class = class.ok_or_else(|| bad(format!("unknown class {name:?}")))?;
        Ok(Classed {
            priority: class.priority,
            deadline_ms: self.deadline_ms.unwrap_or(class.deadline_ms),
            max_tokens: class.max_tokens,
        })
    }
}
