//! Responses to clients: those of targets, and refusals by the router itself.

use std::pin::Pin;

use futures_util::Stream;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Body, Frame};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, Version};
use serde_json::json;
use wisteriapass_policy::memory_account::Purpose;

use super::plan::Plan;
use crate::dispatch::strip_hop_by_hop_headers;
use crate::held_buffer::HeldBuffer;
use crate::prelude::*;
use crate::stream::StreamError;

/// Body of a streamed response.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, StreamError>>>>;

/// Body of a response, either complete or streamed.
pub type ResponseBody = Either<Full<Bytes>, StreamBody<BodyStream>>;

/// Returns a target's response with a complete body.
pub fn full_response(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    forwarded_response(status, headers, Either::Left(Full::new(body)))
}

/// Returns a target's response with a streamed body.
pub fn streamed_response(
    status: StatusCode,
    headers: HeaderMap,
    body: BodyStream,
) -> Response<ResponseBody> {
    forwarded_response(status, headers, Either::Right(StreamBody::new(body)))
}

fn forwarded_response(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    strip_hop_by_hop_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns whether streams are collected for clients of a version of HTTP: those that do not know
/// chunks could not tell a stream that breaks off from a complete one.
pub fn is_collected(version: Version) -> bool {
    version == Version::HTTP_10
}

/// Collects a streamed body.
///
/// # Errors
///
/// [`Refusal`] if the stream breaks off, or exceeds the memory for it.
pub async fn collect(
    gw: &Gateway,
    response: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, Refusal> {
    let (parts, body) = response.into_parts();
    let body = match body {
        Either::Left(body) => body,
        Either::Right(body) => Full::new(collect_stream(gw, body).await?),
    };
    Ok(Response::from_parts(parts, Either::Left(body)))
}

async fn collect_stream(gw: &Gateway, mut body: StreamBody<BodyStream>) -> Result<Bytes, Refusal> {
    let mut buffer = HeldBuffer::new(&gw.memory, Purpose::Answer);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(StreamError::refusal)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        buffer.push(data).map_err(|_| Refusal::OutcomeUnknown)?;
    }
    Ok(buffer.take())
}

/// Refuses a request and logs it.
pub fn refuse(
    gw: &Gateway,
    metadata: &RequestMetadata,
    plan: Option<&Plan>,
    refusal: Refusal,
    arrived: Instant,
) -> Response<ResponseBody> {
    gw.metrics.count_refusal(refusal);
    log::info!(
        target: "exchange",
        "Refused. request={} reason={refusal} route={} account={} after_ms={}",
        metadata.id_text(),
        plan.map_or("-", |p| &p.route.name),
        plan.and_then(Plan::account_name).unwrap_or("-"),
        arrived.elapsed().as_millis()
    );
    let retry_after_ms = refusal.retry_after_ms();
    let text = json!({"error": {"reason": refusal.to_string(), "retry_after_ms": retry_after_ms}});
    let body = Full::new(Bytes::from(text.to_string()));
    let mut response = Response::new(Either::Left(body));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    *headers = gw.platform.refusal_headers(metadata);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = retry_after_ms {
        let secs = format!("{:.3}", ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&secs) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns the length of a complete body; 0 for a streamed one, whose parts are counted as they
/// arrive.
pub fn full_length(response: &Response<ResponseBody>) -> usize {
    match response.body() {
        Either::Left(body) => body.size_hint().exact().unwrap_or_default() as usize,
        Either::Right(_) => 0,
    }
}

/// Announces to the client that its connection closes after this response.
pub fn announce_close(response: &mut Response<ResponseBody>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
