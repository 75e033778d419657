//! Client for the question where a request would go, which routers on the users' platform answer.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde_json::Value;

pub use wisteriapass_gateway::explain::*;

/// Timeout of a question, in seconds: a router whose link is full answers late.
const TIMEOUT_S: u64 = 5;

/// Kind of the error of a router without a configuration.
const NOT_CONFIGURED: &str = "not_configured";

/// Kinds of the errors of a question that cannot be read.
const MALFORMED_KINDS: [&str; 2] = ["malformed", "too_large"];

/// Why a router did not explain the placement of a request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AskError {
    /// Nothing answers, or not in time.
    #[display(
        "no answer of a router at {at} ({cause}); check that it runs and that this is its metrics \
         and readiness address"
    )]
    NoAnswer {
        /// Address that was asked.
        at: SocketAddr,
        /// Error of the connection.
        cause: String,
    },
    /// What answers does not explain placement.
    #[display(
        "what answers at {at} explains no placement ({cause}); give the metrics and readiness address \
         of a router on the users' platform of this release or a later one"
    )]
    NotARouter {
        /// Address that was asked.
        at: SocketAddr,
        /// What was answered.
        cause: String,
    },
    /// The router has no configuration yet.
    #[display("router at {at}: {}", detail.message)]
    NotConfigured {
        /// Address that was asked.
        at: SocketAddr,
        /// What the router says.
        #[error(not(source))]
        detail: ErrorDetail,
    },
    /// The router cannot read the question.
    #[display("router at {at}: {}", detail.message)]
    Malformed {
        /// Address that was asked.
        at: SocketAddr,
        /// What the router says.
        #[error(not(source))]
        detail: ErrorDetail,
    },
    /// The request belongs to no route or account that the router knows.
    #[display("router at {at}: {}", detail.message)]
    Refused {
        /// Address that was asked.
        at: SocketAddr,
        /// What the router says.
        #[error(not(source))]
        detail: ErrorDetail,
    },
}

/// An answer as it came, and as this release reads it.
#[derive(Clone, Debug)]
pub struct Explained {
    /// The answer as it came, also with what later releases add.
    pub json: Value,
    /// The answer as this release reads it.
    pub answer: ExplainAnswer,
}

/// Asks the router with this metrics and readiness address where a request would go.
///
/// # Errors
///
/// [`AskError`] if it gives no explanation.
pub fn ask(at: SocketAddr, call: &ExplainCall) -> Result<Explained, AskError> {
    let no_answer = |cause: String| AskError::NoAnswer { at, cause };
    let not_a_router = |cause: String| AskError::NotARouter { at, cause };
    let body = serde_json::to_string(call).map_err(|e| no_answer(e.to_string()))?;
    let response = minreq::post(format!("http://{at}{EXPLAIN_PATH}"))
        .with_header("content-type", "application/json")
        .with_header("connection", "close")
        .with_body(body)
        .with_timeout(TIMEOUT_S)
        .send();
    let response = response.map_err(|e| no_answer(e.to_string()))?;
    let status = response.status_code;
    // minreq returns a 503 of its own if the connection closes before the status line.
    if status == 503 && response.as_bytes().is_empty() && response.headers.is_empty() {
        return Err(no_answer("the connection closed".into()));
    }
    let json: Value = serde_json::from_slice(response.as_bytes())
        .map_err(|_| not_a_router(format!("status {status} without JSON")))?;
    if let Ok(ErrorAnswer { error: detail }) = serde_json::from_value(json.clone()) {
        return Err(refused(at, detail));
    }
    let answer = serde_json::from_value(json.clone());
    let answer = answer.map_err(|e| not_a_router(format!("status {status}, {e}")))?;
    Ok(Explained { json, answer })
}

fn refused(at: SocketAddr, detail: ErrorDetail) -> AskError {
    let kind = detail.kind.as_str();
    if kind == NOT_CONFIGURED {
        return AskError::NotConfigured { at, detail };
    }
    if MALFORMED_KINDS.contains(&kind) {
        return AskError::Malformed { at, detail };
    }
    AskError::Refused { at, detail }
}
