//! The key-value service over HTTP, one fresh connection per call.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{Entry, LeaseId, Result, Revision, Store, StoreError, Swap, wire};

/// Longest time for a call besides a watch, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// HTTP status with which the service says that it is overloaded or down, without effect.
const UNAVAILABLE: u16 = 503;

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: String,
    call_timeout: Duration,
}

impl HttpStore {
    /// Creates a client for the service at `address` (`ip:port`).
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            call_timeout: Duration::from_millis(CALL_TIMEOUT_MS),
        }
    }

    /// Sets the longest time for a call, besides the wait of a watch.
    pub fn with_call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    fn call<Q: Serialize, A: DeserializeOwned>(&self, path: &str, req: &Q) -> Result<A> {
        self.call_within(path, req, self.call_timeout)
    }

    fn call_within<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
        timeout: Duration,
    ) -> Result<A> {
        let body = serde_json::to_string(req).map_err(|e| StoreError::Refused {
            cause: e.to_string(),
        })?;
        let answer = minreq::post(format!("http://{}/v1/{path}", self.address))
            .with_header("connection", "close")
            .with_body(body)
            .with_timeout_ms(timeout)
            .send()
            .map_err(lost)?;
        if answer.headers.is_empty() {
            // minreq makes up a 503 when the connection closes before a status line.
            return Err(StoreError::Unknown {
                cause: answer.reason_phrase,
            });
        }
        match answer.status_code {
            200 => serde_json::from_slice(answer.as_bytes()).map_err(|e| StoreError::Unknown {
                cause: e.to_string(),
            }),
            UNAVAILABLE => Err(StoreError::Unreachable {
                cause: "status 503".into(),
            }),
            status => Err(StoreError::Refused {
                cause: format!("status {status}"),
            }),
        }
    }

    fn swap_call(&self, call: &wire::SwapCall) -> Result<Swap> {
        let answer: wire::Swapped = self.call("swap", call)?;
        if answer.done {
            return Ok(Swap::Done(answer.revision));
        }
        Ok(Swap::Conflict(answer.current))
    }
}

/// Sorts a transport error by whether the call may have taken effect.
fn lost(e: minreq::Error) -> StoreError {
    let cause = e.to_string();
    match e {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unreachable { cause }
        }
        _ => StoreError::Unknown { cause },
    }
}

/// Gives a request a timeout in milliseconds.
trait WithTimeoutMs {
    fn with_timeout_ms(self, timeout: Duration) -> Self;
}

impl WithTimeoutMs for minreq::Request {
    fn with_timeout_ms(self, timeout: Duration) -> Self {
        self.with_timeout(timeout.as_secs().max(1))
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        let got: wire::Got = self.call("get", &wire::Get { key: key.into() })?;
        Ok(got.entry)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let listed: wire::Listed = self.call(
            "list",
            &wire::List {
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
        self.swap_call(&wire::SwapCall {
            key: key.into(),
            expected,
            value: Some(value.into()),
            lease,
        })
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.swap_call(&wire::SwapCall {
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
        let call = wire::Watch {
            prefix: prefix.into(),
            after,
            wait_ms,
        };
        let listed: wire::Listed = self.call_within("watch", &call, wait + self.call_timeout)?;
        Ok((listed.revision, listed.entries))
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let granted: wire::LeaseGranted = self.call("lease/grant", &wire::GrantLease { ttl_ms })?;
        Ok(granted.lease)
    }

    fn keep_lease(&self, lease: LeaseId) -> Result<bool> {
        let kept: wire::LeaseKept = self.call("lease/keep", &wire::KeepLease { lease })?;
        Ok(kept.kept)
    }
}
