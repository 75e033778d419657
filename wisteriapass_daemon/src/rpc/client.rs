//! Blocking client for control calls.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

use crate::kernel::Service;

/// Timeout of a control call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Timeout of a control call that carries a configuration document, in milliseconds.
///
/// JSON-RPC gives no progress of an answer, so the timeout is long enough for a megabyte at
/// 1 Mbit/s. It also leaves some of the 10 s in which an edit has to be in force.
const DOCUMENT_TIMEOUT_MS: u64 = 8_000;

/// Kind of data that a control call carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Payload {
    /// A short message.
    Message,
    /// A configuration document.
    Document,
}

impl Payload {
    /// Returns the timeout of a call with this payload.
    fn timeout(self) -> Duration {
        Duration::from_millis(match self {
            Self::Message => CALL_TIMEOUT_MS,
            Self::Document => DOCUMENT_TIMEOUT_MS,
        })
    }
}

/// Reason why a control call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// The process refused the call.
    #[display("control call refused ({cause}); correct the call")]
    Refused {
        /// Error returned by the process.
        cause: String,
    },
    /// No answer; the call may have taken effect.
    #[display("no answer to a control call ({cause}); retry, or check that the process is running")]
    NoAnswer {
        /// Error of the connection.
        cause: String,
    },
}

/// Makes control calls, each with a timeout.
///
/// Connections are reused; a connection on which a call got no answer is dropped.
pub struct RpcClient {
    runtime: Runtime,
    clients: Mutex<HashMap<(SocketAddr, Payload), HttpClient>>,
}

impl Service for RpcClient {
    const NAME: &'static str = "rpc client";
}

impl RpcClient {
    /// Creates a client with its own I/O thread.
    ///
    /// # Errors
    ///
    /// The system's error if the thread cannot be started.
    pub fn new() -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("caller")
            .enable_all()
            .build()?;
        Ok(Self {
            runtime,
            clients: Mutex::default(),
        })
    }

    /// Makes one call to the process at `address`.
    ///
    /// # Errors
    ///
    /// [`CallError`] if the process did not answer or refused the call.
    pub fn call<T, F, Fut>(&self, address: SocketAddr, call: F) -> Result<T, CallError>
    where
        F: FnOnce(HttpClient) -> Fut,
        Fut: Future<Output = Result<T, ClientError>>,
    {
        self.call_with(address, Payload::Message, call)
    }

    /// Makes one call that carries a configuration document and may take several seconds.
    ///
    /// # Errors
    ///
    /// As [`RpcClient::call`].
    pub fn call_for_document<T, F, Fut>(&self, address: SocketAddr, call: F) -> Result<T, CallError>
    where
        F: FnOnce(HttpClient) -> Fut,
        Fut: Future<Output = Result<T, ClientError>>,
    {
        self.call_with(address, Payload::Document, call)
    }

    fn call_with<T, F, Fut>(
        &self,
        address: SocketAddr,
        payload: Payload,
        call: F,
    ) -> Result<T, CallError>
    where
        F: FnOnce(HttpClient) -> Fut,
        Fut: Future<Output = Result<T, ClientError>>,
    {
        let client = self.client(address, payload)?;
        let result = self.runtime.block_on(call(client));
        self.map_result(address, payload, result)
    }

    /// Makes the same call to all addresses concurrently and passes each result to `on_result` as
    /// it arrives.
    pub fn call_all<T, F, Fut>(
        &self,
        addresses: &[SocketAddr],
        call: F,
        mut on_result: impl FnMut(SocketAddr, Result<T, CallError>),
    ) where
        T: Send + 'static,
        F: Fn(HttpClient) -> Fut,
        Fut: Future<Output = Result<T, ClientError>> + Send + 'static,
    {
        let _entered = self.runtime.enter();
        let mut calls = JoinSet::new();
        for &address in addresses {
            match self.client(address, Payload::Message) {
                Ok(client) => {
                    let answer = call(client);
                    calls.spawn(async move { (address, answer.await) });
                }
                Err(e) => on_result(address, Err(e)),
            }
        }
        while let Some(joined) = self.runtime.block_on(calls.join_next()) {
            if let Ok((address, result)) = joined {
                on_result(address, self.map_result(address, Payload::Message, result));
            }
        }
    }

    /// Classifies the error of a failed call, and drops the connection if there was no answer.
    fn map_result<T>(
        &self,
        address: SocketAddr,
        payload: Payload,
        result: Result<T, ClientError>,
    ) -> Result<T, CallError> {
        match result {
            Ok(answer) => Ok(answer),
            Err(ClientError::Call(e)) => Err(CallError::Refused {
                cause: e.to_string(),
            }),
            Err(e) => {
                self.clients.lock().remove(&(address, payload));
                Err(CallError::NoAnswer {
                    cause: e.to_string(),
                })
            }
        }
    }

    fn client(&self, address: SocketAddr, payload: Payload) -> Result<HttpClient, CallError> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&(address, payload)) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(payload.timeout())
            .build(format!("http://{address}"))
            .map_err(|e| CallError::Refused {
                cause: e.to_string(),
            })?;
        clients.insert((address, payload), client.clone());
        Ok(client)
    }
}
