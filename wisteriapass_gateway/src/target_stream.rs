//! TCP connections to targets, which fail if a target sends without end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use derive_more::{Display, Error};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the buffer for a connection, in bytes, and so of the head of an answer, together with the
/// informational responses before it.
pub const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Bytes after which a connection fails if they contained no data of the body of an answer, such as
/// the size of a chunk. hyper limits neither these nor informational responses.
const MAX_UNPARSED_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// The target sent too much without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("too many bytes without a head or data of an answer")]
pub struct Unparsable;

/// Number of bytes received since the last head or data of an answer, and their limit.
#[derive(Clone, Debug, Default)]
pub struct UnparsedBytes(Rc<Cell<Unparsed>>);

#[derive(Clone, Copy, Debug)]
struct Unparsed {
    bytes: usize,
    max_bytes: usize,
}

impl Default for Unparsed {
    fn default() -> Self {
        Self {
            bytes: 0,
            max_bytes: MAX_BUFFER_BYTES,
        }
    }
}

impl UnparsedBytes {
    /// Records that a request is sent, whose answer begins with a head.
    pub fn expect_head(&self) {
        self.0.take();
    }

    /// Records that a head or data of an answer was received.
    pub fn reset(&self) {
        self.0.set(Unparsed {
            bytes: 0,
            max_bytes: MAX_UNPARSED_BYTES,
        });
    }

    fn add(&self, bytes: usize) {
        let mut unparsed = self.0.get();
        unparsed.bytes = unparsed.bytes.saturating_add(bytes);
        self.0.set(unparsed);
    }

    fn exceed_limit(&self) -> bool {
        let unparsed = self.0.get();
        unparsed.bytes > unparsed.max_bytes
    }
}

/// A connection to a target.
#[derive(Debug)]
pub struct TargetStream {
    stream: TcpStream,
    unparsed: UnparsedBytes,
}

impl TargetStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, unparsed: UnparsedBytes) -> Self {
        Self { stream, unparsed }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unparsed.exceed_limit() {
            let error = io::Error::new(io::ErrorKind::InvalidData, Unparsable);
            return Poll::Ready(Err(error));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.unparsed.add(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
