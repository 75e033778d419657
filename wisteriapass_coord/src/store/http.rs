//! The key-value service over HTTP, one fresh connection per call.

use std::fmt::Display;
use std::io::Read;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, AgentBuilder, ErrorKind};

use crate::store::{Entry, LeaseId, Result, Revision, Store, StoreError, Swap, wire};

/// Longest silence of the service in a call, besides the wait of a watch, in milliseconds.
///
/// It is no bound for a whole answer: with one of a second a document that a link takes longer for
/// is never read.
const SILENCE_MS: u64 = 1_500;

/// Bytes of a call that a link sends in a millisecond, or more: half of one of 10 Mbit/s. They count
/// towards silence, as the service says nothing before it has them all.
const SENT_PER_MS: u64 = 600;

/// Largest answer, in bytes: some values of at most a megabyte.
const LARGEST: u64 = 16 << 20;

/// HTTP status with which the service says that it is overloaded or down, without effect.
const UNAVAILABLE: u16 = 503;

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: String,
}

impl HttpStore {
    /// Creates a client for the service at `address` (`ip:port`).
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
        }
    }

    fn call<Q: Serialize, A: DeserializeOwned>(&self, path: &str, req: &Q) -> Result<A> {
        self.call_and_wait(path, req, Duration::ZERO)
    }

    /// Makes a call that the service may wait with.
    fn call_and_wait<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
        wait: Duration,
    ) -> Result<A> {
        let body = serde_json::to_vec(req).map_err(|e| StoreError::Refused {
            cause: e.to_string(),
        })?;
        let sending = Duration::from_millis(body.len() as u64 / SENT_PER_MS);
        let answer = agent(wait + sending)
            .post(&format!("http://{}/v1/{path}", self.address))
            .set("connection", "close")
            .send_bytes(&body)
            .map_err(failed)?;
        let mut whole = Vec::new();
        let read = answer.into_reader().take(LARGEST).read_to_end(&mut whole);
        read.map_err(unknown)?;
        serde_json::from_slice(&whole).map_err(unknown)
    }

    fn swap_call(&self, call: &wire::SwapRequest) -> Result<Swap> {
        let answer: wire::SwapResponse = self.call("swap", call)?;
        if answer.done {
            return Ok(Swap::Done(answer.revision));
        }
        Ok(Swap::Conflict(answer.current))
    }
}

/// Returns an agent of its own, whose connections nobody used before.
fn agent(wait: Duration) -> Agent {
    let silence = Duration::from_millis(SILENCE_MS);
    AgentBuilder::new()
        .redirects(0)
        .timeout_connect(silence)
        .timeout_write(silence)
        .timeout_read(wait + silence)
        .build()
}

/// Says of a call that it may have taken effect.
fn unknown(e: impl Display) -> StoreError {
    StoreError::Unknown {
        cause: e.to_string(),
    }
}

/// Sorts a failed call by whether it may have taken effect.
fn failed(e: ureq::Error) -> StoreError {
    let cause = e.to_string();
    match e {
        ureq::Error::Status(UNAVAILABLE, _) => StoreError::Unreachable { cause },
        ureq::Error::Status(..) => StoreError::Refused { cause },
        ureq::Error::Transport(e) if e.kind() == ErrorKind::ConnectionFailed => {
            StoreError::Unreachable { cause }
        }
        ureq::Error::Transport(e) => unknown(e),
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        let got: wire::GetResponse = self.call("get", &wire::GetRequest { key: key.into() })?;
        Ok(got.entry)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let listed: wire::EntriesResponse = self.call(
            "list",
            &wire::ListRequest {
                prefix: prefix.into(),
            },
        )?;
        Ok(listed.entries)
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        self.swap_call(&wire::SwapRequest {
            key: key.into(),
            expected,
            value: Some(value.into()),
            lease,
        })
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.swap_call(&wire::SwapRequest {
            key: key.into(),
            expected,
            value: None,
            lease: None,
        })
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = wire::WatchRequest {
            prefix: prefix.into(),
            after,
            wait_ms,
        };
        let listed: wire::EntriesResponse = self.call_and_wait("watch", &call, wait)?;
        Ok((listed.revision, listed.entries))
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let granted: wire::GrantLeaseResponse =
            self.call("lease/grant", &wire::GrantLeaseRequest { ttl_ms })?;
        Ok(granted.lease)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let kept: wire::RenewLeaseResponse =
            self.call("lease/keep", &wire::RenewLeaseRequest { lease })?;
        Ok(kept.kept)
    }
}
