//! TCP connections of callers, which tell for how long a caller has read nothing.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

use crate::prelude::*;

/// Since when a caller has taken none of the bytes that wait for it.
#[derive(Clone, Debug, Default)]
pub struct WriteStall(Rc<Cell<Option<Instant>>>);

impl WriteStall {
    /// Waits until bytes have waited for this long.
    pub async fn lasts(&self, limit: Duration) {
        loop {
            let since = self.0.get();
            let until = since.unwrap_or_else(Instant::now) + limit;
            sleep_until(until).await;
            if since.is_some() && self.0.get() == since {
                return;
            }
        }
    }

    fn record<T>(&self, written: &Poll<T>) {
        let since = self.0.get().or_else(|| Some(Instant::now()));
        self.0.set(since.filter(|_| written.is_pending()));
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    stall: WriteStall,
}

impl CallerStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, stall: WriteStall) -> Self {
        Self { stream, stall }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.stall.record(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.stall.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
