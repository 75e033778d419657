//! Pool of idle connections to one target.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

/// Delay before a connection is reused, in milliseconds. A surplus response that follows the first
/// one arrives within it and closes the connection.
const REUSE_DELAY_MS: u64 = 4;

/// Maximum idle time for targets that state none, in milliseconds: half of the shortest timeout in
/// common use by servers.
const DEFAULT_IDLE_MS: u64 = 2_500;

/// Fraction of the stated idle time that is used; the rest covers network latency and clock drift.
const IDLE_SHARE: f64 = 0.7;

/// Sends requests on a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
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
    pub fn take(&mut self, now: Instant) -> Option<Sender> {
        self.idle
            .retain(|c| !c.sender.is_closed() && now < c.expires_at);
        let index = self
            .idle
            .iter()
            .rposition(|c| now >= c.usable_from && c.sender.is_ready())?;
        Some(self.idle.remove(index).sender)
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(&mut self, sender: Sender, now: Instant, keep_alive_s: Option<u64>) {
        let stated = keep_alive_s.map(|s| Duration::from_secs(s).mul_f64(IDLE_SHARE));
        let idle = stated.unwrap_or(Duration::from_millis(DEFAULT_IDLE_MS));
        self.idle.push(IdleConnection {
            sender,
            usable_from: now + Duration::from_millis(REUSE_DELAY_MS),
            expires_at: now + idle,
        });
    }
}
