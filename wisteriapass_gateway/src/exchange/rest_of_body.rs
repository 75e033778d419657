//! Bodies of requests that were refused before they were read.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::prelude::*;

/// Time for which the rest of a body is read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and drops the rest of a body, if any. The system would otherwise reset the connection, and
/// the caller might lose the answer.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let reading = async move { while let Some(Ok(_)) = body.frame().await {} };
    spawn_local(timeout(READ_TIMEOUT, reading));
}
