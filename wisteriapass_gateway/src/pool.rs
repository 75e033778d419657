//! Pool of idle connections to one target.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use crate::target_stream::UnparsedBytes;

/// Delay before a connection is reused, in milliseconds. A surplus response that follows the first
/// one arrives within it and closes the connection.
const REUSE_DELAY_MS: u64 = 4;

/// Maximum idle time for targets that state none, in milliseconds: half of the shortest timeout in
/// common use by servers.
const DEFAULT_IDLE_MS: u64 = 2_500;

/// Maximum idle time that a target may state, in seconds.
const MAX_IDLE_S: u64 = 3_600;

/// Fraction of the stated idle time that is used; the rest covers network latency and clock drift.
const IDLE_SHARE: f64 = 0.7;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Counts bytes without an answer.
    pub unparsed: UnparsedBytes,
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_from: Instant,
    expires_at: Instant,
}

/// Idle connections, most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<IdleConnection>,
}

impl Pool {
    /// Takes the most recently used connection whose reuse delay has passed.
    pub fn take(&mut self, now: Instant) -> Option<Connection> {
        self.idle
            .retain(|c| !c.connection.sender.is_closed() && now < c.expires_at);
        let index = self
            .idle
            .iter()
            .rposition(|c| now >= c.usable_from && c.connection.sender.is_ready())?;
        Some(self.idle.remove(index).connection)
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(&mut self, connection: Connection, now: Instant, keep_alive_s: Option<u64>) {
        let stated_s = keep_alive_s.map(|s| s.min(MAX_IDLE_S));
        let stated = stated_s.map(|s| Duration::from_secs(s).mul_f64(IDLE_SHARE));
        let idle = stated.unwrap_or(Duration::from_millis(DEFAULT_IDLE_MS));
        self.idle.push(IdleConnection {
            connection,
            usable_from: now + Duration::from_millis(REUSE_DELAY_MS),
            expires_at: now + idle,
        });
    }
}
