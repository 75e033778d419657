//! Validation of requests from callers.

use sha2::{Digest, Sha256};
use wisteriapass_config::{Account, Document, Limits, Priority};
use wisteriapass_coord::budget::{BudgetId, Tokens};

use crate::http::Request;
use crate::prelude::*;
use crate::router::openai::ChatRequest;
use crate::router::resources::{can_serve, service_name};
use crate::run_wire::{Blob, CallRun, ChatMessage, ChatRun, HeaderLine, RunRequest};

/// Path of the chat completions API.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Prefix of the paths of plain HTTP services.
pub const SERVICES_PREFIX: &str = "/services";

/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Minimum average length of the tokens of a prompt, in bytes; reservations rely on this bound.
const MIN_BYTES_PER_TOKEN: u64 = 2;

/// Maximum number of tokens that an engine adds for each message.
const MAX_TOKENS_PER_MESSAGE: u64 = 16;

/// Maximum deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A request that passed all checks.
#[derive(Clone, Debug)]
pub struct CheckedRequest {
    /// Client account that sent it.
    pub account: String,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Priority of its class.
    pub priority: Priority,
    /// Latest time for the start of its answer.
    pub deadline: Instant,
    /// Budget that pays for it; none if it is free.
    pub budget: Option<BudgetId>,
    /// Maximum cost.
    pub max_cost: Tokens,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// Digest of the request's content.
    pub fingerprint: String,
    /// Work to run at the target.
    pub run_request: RunRequest,
}

/// Headers of this API that any request may have.
struct RequestHeaders {
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
    /// A [`Refusal`] if a check fails; nothing ran and nothing was charged.
    pub fn new(
        req: &Request,
        body: Vec<u8>,
        document: &Document,
        limits: &Limits,
    ) -> Result<Self, Refusal> {
        let account = authenticate(req, document)?;
        let headers = RequestHeaders::new(req)?;
        let path = req.url();
        if path == CHAT_PATH {
            return chat(account, &headers, &body, document, limits);
        }
        if path
            .strip_prefix(SERVICES_PREFIX)
            .is_some_and(|rest| rest.starts_with('/'))
        {
            return call(account, &headers, req, body, document);
        }
        Err(bad_request("unknown path"))
    }
}

impl RequestHeaders {
    fn new(req: &Request) -> Result<Self, Refusal> {
        let key = req.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        if let Some(key) = &key {
            check_key(key)?;
        }
        let non_idempotent = match req.header("x-wisteriapass-non-idempotent") {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => {
                return Err(bad_request(
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
    let is_visible = key.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_visible {
        return Err(bad_request(
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
        Ok(ms @ 1..=MAX_DEADLINE_MS) => Ok(Some(ms)),
        _ => Err(bad_request(
            "x-wisteriapass-deadline-ms is not a number between 1 and 3600000",
        )),
    }
}

fn bad_request(message: impl Into<String>) -> Refusal {
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

/// Formats bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn chat(
    account: &Account,
    headers: &RequestHeaders,
    body: &[u8],
    document: &Document,
    limits: &Limits,
) -> Result<CheckedRequest, Refusal> {
    let text = std::str::from_utf8(body).map_err(|_| bad_request("the body is not UTF-8"))?;
    let mut chat: ChatRequest =
        serde_json::from_str(text).map_err(|e| bad_request(e.to_string()))?;
    // Several choices would cost a multiple of the reservation.
    if chat.n.is_some_and(|n| n != 1) || chat.other.0.contains_key("best_of") {
        return Err(bad_request(
            "only one choice per request is supported; omit n and best_of",
        ));
    }
    chat.other.0.remove("stream_options");
    let class = headers.class(document)?;
    let max_tokens = chat.max_tokens.unwrap_or(class.max_tokens);
    if max_tokens == 0 || max_tokens > limits.max_tokens {
        return Err(bad_request(format!(
            "max_tokens is not between 1 and {}",
            limits.max_tokens
        )));
    }
    check_allowed(&account.models, &chat.model, "model")?;
    let max_cost = Tokens(max_prompt_tokens(&chat.messages).saturating_add(max_tokens.into()));
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
        Refusal::not_run(Reason::NoBudget, "the account has no budget for this model")
    })?;
    let request = CheckedRequest {
        account: account.name.clone(),
        idempotency_key: headers.key.clone(),
        idempotent: headers.idempotent,
        priority: class.priority,
        deadline: class.deadline(),
        budget: Some(BudgetId::new(&account.name, &budget.name)),
        max_cost,
        stream: chat.stream,
        fingerprint: hex(&Sha256::digest(body)),
        run_request: RunRequest::Chat(run),
    };
    check_offered(request, document)
}

fn call(
    account: &Account,
    headers: &RequestHeaders,
    req: &Request,
    body: Vec<u8>,
    document: &Document,
) -> Result<CheckedRequest, Refusal> {
    let path = req.url().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let service =
        service_name(path).ok_or_else(|| bad_request("the path does not name a service"))?;
    check_allowed(&account.services, service, "service")?;
    let class = headers.class(document)?;
    let mut digest = Sha256::new();
    digest.update(req.method().as_str());
    digest.update(path);
    digest.update(&body);
    let run = CallRun {
        method: req.method().as_str().into(),
        path: path.into(),
        headers: forwarded_headers(req),
        body: Blob(body),
    };
    let request = CheckedRequest {
        account: account.name.clone(),
        idempotency_key: headers.key.clone(),
        idempotent: headers.idempotent,
        priority: class.priority,
        deadline: class.deadline(),
        budget: None,
        max_cost: Tokens::ZERO,
        stream: true,
        fingerprint: hex(&digest.finalize()),
        run_request: RunRequest::Call(run),
    };
    check_offered(request, document)
}

/// Refuses a request that no target in the inventory offers to run.
fn check_offered(request: CheckedRequest, document: &Document) -> Result<CheckedRequest, Refusal> {
    if document
        .inventory
        .target
        .iter()
        .any(|t| can_serve(t, &request.run_request))
    {
        return Ok(request);
    }
    Err(Refusal::not_run(
        Reason::UnknownModel,
        "no target offers the model or service",
    ))
}

fn check_allowed(allowed: &[String], name: &str, what: &str) -> Result<(), Refusal> {
    if allowed.iter().any(|a| a == "*" || a == name) {
        return Ok(());
    }
    let message = format!("the account may not use {what} {name:?}");
    Err(Refusal::not_run(Reason::NotAllowed, message))
}

fn forwarded_headers(req: &Request) -> Vec<HeaderLine> {
    let is_internal = |name: &str| {
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
        .filter(|h| !is_internal(&h.name))
        .collect()
}

/// Returns the upper bound on the number of tokens in a prompt.
fn max_prompt_tokens(messages: &[ChatMessage]) -> u64 {
    messages
        .iter()
        .map(|m| (m.content.len() as u64).div_ceil(MIN_BYTES_PER_TOKEN) + MAX_TOKENS_PER_MESSAGE)
        .sum()
}

fn engine_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Interactive => 0,
        Priority::Standard => 1,
        Priority::Batch => 2,
    }
}

/// Priority and limits of a request, set by its class.
struct ClassLimits {
    priority: Priority,
    deadline_ms: u64,
    max_tokens: u32,
}

impl ClassLimits {
    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.deadline_ms)
    }
}

/// Deadline of a request without a class, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Maximum number of output tokens of a request without a class and without its own maximum.
const DEFAULT_MAX_TOKENS: u32 = 512;

impl RequestHeaders {
    fn class(&self, document: &Document) -> Result<ClassLimits, Refusal> {
        let Some(name) = &self.class else {
            return Ok(ClassLimits {
                priority: Priority::Standard,
                deadline_ms: self.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
                max_tokens: DEFAULT_MAX_TOKENS,
            });
        };
        let class = document.rules.class_named(name);
        let class = class.ok_or_else(|| bad_request(format!("unknown class {name:?}")))?;
        Ok(ClassLimits {
            priority: class.priority,
            deadline_ms: self.deadline_ms.unwrap_or(class.deadline_ms),
            max_tokens: class.max_tokens,
        })
    }
}
