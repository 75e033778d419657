//! Serves questions over HTTP.

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};
use serde::Serialize;
use tokio::time::timeout;
use wisteriapass_policy::memory_account::Purpose;

use super::{ExplainAnswer, ExplainCall, ExplainError, explain};
use crate::held_buffer::{ReadError, read_held};
use crate::prelude::*;

/// Path of questions, on the readiness and metrics address.
pub const EXPLAIN_PATH: &str = "/explain-placement";

/// Maximum size of a question, in bytes: a head of 16 KiB, which routes usually permit, with each of
/// its bytes escaped.
const MAX_CALL_BYTES: usize = 128 << 10;

/// Time within which a question has to arrive.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers a question.
pub(crate) async fn serve(gw: &Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    match answer(gw, request).await {
        Ok(answer) => json_response(StatusCode::OK, &answer),
        Err(error) => json_response(error.status(), &error.answer()),
    }
}

async fn answer(
    gw: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<ExplainAnswer, ExplainError> {
    if request.method() != Method::POST {
        return Err(ExplainError::MethodNotAllowed);
    }
    let body = read_body(gw, request.into_body()).await?;
    let call: ExplainCall = serde_json::from_slice(&body).map_err(|e| ExplainError::Malformed {
        cause: e.to_string(),
    })?;
    explain(gw, &call).await
}

async fn read_body(gw: &Gateway, mut body: Incoming) -> Result<Bytes, ExplainError> {
    let incomplete = || ExplainError::Malformed {
        cause: "it did not arrive completely".into(),
    };
    let reading = read_held(&gw.memory, Purpose::Peer, &mut body, MAX_CALL_BYTES);
    match timeout(CALL_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge)) => Err(ExplainError::TooLarge {
            max_bytes: MAX_CALL_BYTES,
        }),
        Ok(Err(ReadError::Broken | ReadError::MemoryShort)) | Err(_) => Err(incomplete()),
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
