//! Control calls to daemons.

use std::net::SocketAddr;

use wisteriapass_daemon::rpc::{
    CallError, ControlClient, CountersClient, ReasonCount, RpcClient, Status,
};

/// Kind of counter that daemons keep by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests refused.
    Refusals,
    /// Tries made again.
    Retries,
}

/// How daemons are asked; a call that gets no answer ends by itself.
pub trait Control: Sync {
    /// Asks a daemon what it says of itself.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there was no answer.
    fn status(&self, address: SocketAddr) -> Result<Status, CallError>;

    /// Asks a daemon for a counter, by reason.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there was no answer.
    fn counter(&self, address: SocketAddr, counter: Counter)
    -> Result<Vec<ReasonCount>, CallError>;
}

/// Control calls by JSON-RPC over HTTP.
pub struct HttpControl {
    client: RpcClient,
}

impl HttpControl {
    /// Creates a caller with a thread of its own.
    ///
    /// # Errors
    ///
    /// The system's error if the thread cannot be started.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            client: RpcClient::new()?,
        })
    }
}

impl Control for HttpControl {
    fn status(&self, address: SocketAddr) -> Result<Status, CallError> {
        let call = async |client| ControlClient::status(&client).await;
        self.client.call(address, call)
    }

    fn counter(
        &self,
        address: SocketAddr,
        counter: Counter,
    ) -> Result<Vec<ReasonCount>, CallError> {
        let call = async |client| match counter {
            Counter::Refusals => CountersClient::refusals(&client).await,
            Counter::Retries => CountersClient::retries(&client).await,
        };
        self.client.call(address, call)
    }
}
