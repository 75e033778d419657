//! Reads the saved head of a request with the server that reads those of callers.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};

use super::ExplainError;
use crate::prelude::*;

/// End of a head.
const HEAD_END: &str = "\r\n\r\n";

/// A connection on which a saved head arrives, and whose answer is dropped.
struct SavedConnection {
    unread: Bytes,
}

impl Read for SavedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread.split_to(length));
        Poll::Ready(Ok(()))
    }
}

impl Write for SavedConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Reads the head of a saved request, of at most `max_bytes`.
///
/// # Errors
///
/// [`ExplainError::Malformed`] if it is no head of an HTTP/1 request.
pub(super) async fn read_head(head: &str, max_bytes: usize) -> Result<Parts, ExplainError> {
    let text = format!("{}{HEAD_END}", head.trim_end());
    let received: RefCell<Option<Parts>> = RefCell::default();
    let service = service_fn(async |request: Request<Incoming>| {
        let (parts, _) = request.into_parts();
        received.borrow_mut().get_or_insert(parts);
        Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
    });
    let connection = SavedConnection {
        unread: Bytes::from(text),
    };
    let served = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(max_bytes)
        .serve_connection(connection, service)
        .await;
    // A body that is missing is an error of the connection and none of the head.
    received.take().ok_or_else(|| {
        let cause = served.err().map(|e| e.to_string());
        let cause = cause.unwrap_or_else(|| "it ends before its first line".into());
        ExplainError::Malformed {
            cause: format!("the saved request has no valid head ({cause})"),
        }
    })
}
