//! Control calls to daemons.

use std::net::SocketAddr;

use wisteriapass_daemon::rpc::{
    CallError, ControlClient, CountersClient, ProcessStatus, ReasonCount, RpcClient,
};

/// Counter of a daemon, broken down by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Refused requests.
    Refusals,
    /// Retried attempts.
    Retries,
}

/// Client for control calls to daemons. Calls time out if a daemon does not answer.
pub trait Control: Sync {
    /// Queries the status of a daemon.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there was no answer.
    fn status(&self, address: SocketAddr) -> Result<ProcessStatus, CallError>;

    /// Queries a counter of a daemon, by reason.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there was no answer.
    fn counter(&self, address: SocketAddr, counter: Counter)
    -> Result<Vec<ReasonCount>, CallError>;
}

/// Client for control calls that uses JSON-RPC over HTTP.
pub struct HttpControl {
    client: RpcClient,
}

impl HttpControl {
    /// Creates a client with its own thread.
    ///
    /// # Errors
    ///
    /// I/O error if the thread cannot be started.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            client: RpcClient::new()?,
        })
    }
}

impl Control for HttpControl {
    fn status(&self, address: SocketAddr) -> Result<ProcessStatus, CallError> {
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
