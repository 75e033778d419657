//! Checks whether a new connection stays open.

use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time for which a new connection has to stay open, in milliseconds. A process that is terminating
/// may still accept a connection and reset it a moment later, and so does a target at its
/// connection limit.
pub const STABLE_MS: u64 = 10;

/// Waits until a connection on which nothing was sent has stayed open for a while.
///
/// # Errors
///
/// That of the connection, or [`ErrorKind::ConnectionAborted`] if the peer closed it or sent
/// something.
pub async fn stay_open(stream: &TcpStream) -> io::Result<()> {
    sleep(Duration::from_millis(STABLE_MS)).await;
    match stream.try_read(&mut [0]) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(()),
        Err(e) => Err(e),
        Ok(_) => Err(ErrorKind::ConnectionAborted.into()),
    }
}
