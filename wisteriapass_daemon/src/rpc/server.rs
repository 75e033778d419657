//! Server for control calls.

use std::io;
use std::net::SocketAddr;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use tokio::runtime::{Builder, Runtime};

/// Number of threads that serve control calls.
const SERVER_THREADS: usize = 2;

/// A running server for control calls, stopped on drop.
pub struct ControlServerHandle {
    _runtime: Runtime,
    _server: ServerHandle,
    address: SocketAddr,
}

impl ControlServerHandle {
    /// Starts serving the calls of a module at an address.
    ///
    /// # Errors
    ///
    /// The system's error, for example if the address is in use.
    pub fn start(address: SocketAddr, module: RpcModule<()>) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(SERVER_THREADS)
            .thread_name("control")
            .enable_all()
            .build()?;
        let server = runtime.block_on(ServerBuilder::default().build(address))?;
        let address = server.local_addr()?;
        let handle = {
            let _entered = runtime.enter();
            server.start(module)
        };
        Ok(Self {
            _runtime: runtime,
            _server: handle,
            address,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
