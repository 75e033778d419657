//! Idle connections to one target.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

/// Time that a connection rests before it is used again, in milliseconds: a second answer that
/// follows the first is seen within it and ends the connection.
const REUSE_DELAY_MS: u64 = 4;

/// Longest idle time where the target states none, in milliseconds; half of the shortest timeout
/// that servers commonly have.
const DEFAULT_IDLE_MS: u64 = 2_500;

/// Part of the stated idle time that is used: the rest covers the way there and slow clocks.
const IDLE_SHARE: f64 = 0.7;

/// Sends requests on a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// A connection that is not used now.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    from: Instant,
    until: Instant,
}

/// Idle connections, the one used last at the end.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<IdleConnection>,
}

impl Pool {
    /// Takes the connection used last that has rested.
    pub fn take(&mut self, now: Instant) -> Option<Sender> {
        self.idle.retain(|c| !c.sender.is_closed() && now < c.until);
        let place = self
            .idle
            .iter()
            .rposition(|c| now >= c.from && c.sender.is_ready())?;
        Some(self.idle.remove(place).sender)
    }

    /// Puts a connection back after a whole answer.
    pub fn put(&mut self, sender: Sender, now: Instant, keep_s: Option<u64>) {
        let stated = keep_s.map(|s| Duration::from_secs(s).mul_f64(IDLE_SHARE));
        let idle = stated.unwrap_or(Duration::from_millis(DEFAULT_IDLE_MS));
        self.idle.push(IdleConnection {
            sender,
            from: now + Duration::from_millis(REUSE_DELAY_MS),
            until: now + idle,
        });
    }
}
