//! Client of the key-value service over HTTP, with a new connection per call.

use std::fmt::Display;
use std::io::Read;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, AgentBuilder, ErrorKind};

use crate::store::{Entry, LeaseId, Result, Revision, Store, StoreError, Swap, wire};

/// Timeout for connecting and for each read or write of a call, in milliseconds; the wait of a
/// watch is added to it.
///
/// It does not limit the whole response: a limit of one second on it would make a document that
/// takes longer to transfer unreadable.
const IDLE_TIMEOUT_MS: u64 = 1_500;

/// Lower bound of the bytes that a link transfers per millisecond: half the rate of a 10 Mbit/s
/// link. The transfer time of a request extends the read timeout, because the service does not
/// respond before it has received the whole request.
const SENT_BYTES_PER_MS: u64 = 600;

/// Maximum response size, in bytes: several values of at most one megabyte each.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// HTTP status of a service that is overloaded or down; the call did not take effect.
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

    /// Makes a call that the service may delay by up to `wait`.
    fn call_and_wait<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
        wait: Duration,
    ) -> Result<A> {
        let body = serde_json::to_vec(req).map_err(|e| StoreError::Refused {
            cause: e.to_string(),
        })?;
        let transfer_time = Duration::from_millis(body.len() as u64 / SENT_BYTES_PER_MS);
        let response = agent(wait + transfer_time)
            .post(&format!("http://{}/v1/{path}", self.address))
            .set("connection", "close")
            .send_bytes(&body)
            .map_err(call_error)?;
        let mut bytes = Vec::new();
        let read = response
            .into_reader()
            .take(MAX_RESPONSE_BYTES)
            .read_to_end(&mut bytes);
        read.map_err(unknown)?;
        serde_json::from_slice(&bytes).map_err(unknown)
    }

    fn swap_call(&self, call: &wire::SwapRequest) -> Result<Swap> {
        let response: wire::SwapResponse = self.call("swap", call)?;
        if response.done {
            return Ok(Swap::Done(response.revision));
        }
        Ok(Swap::Conflict(response.current))
    }
}

/// Returns a new agent, which has no pooled connections.
fn agent(wait: Duration) -> Agent {
    let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    AgentBuilder::new()
        .redirects(0)
        .timeout_connect(idle_timeout)
        .timeout_write(idle_timeout)
        .timeout_read(wait + idle_timeout)
        .build()
}

/// Returns the error of a call that may have taken effect.
fn unknown(e: impl Display) -> StoreError {
    StoreError::Unknown {
        cause: e.to_string(),
    }
}

/// Classifies a failed call by whether it may have taken effect.
fn call_error(e: ureq::Error) -> StoreError {
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
        let response: wire::GetResponse =
            self.call("get", &wire::GetRequest { key: key.into() })?;
        Ok(response.entry)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let response: wire::EntriesResponse = self.call(
            "list",
            &wire::ListRequest {
                prefix: prefix.into(),
            },
        )?;
        Ok(response.entries)
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
        let response: wire::EntriesResponse = self.call_and_wait("watch", &call, wait)?;
        Ok((response.revision, response.entries))
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let response: wire::GrantLeaseResponse =
            self.call("lease/grant", &wire::GrantLeaseRequest { ttl_ms })?;
        Ok(response.lease)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let response: wire::RenewLeaseResponse =
            self.call("lease/keep", &wire::RenewLeaseRequest { lease })?;
        Ok(response.kept)
    }
}
