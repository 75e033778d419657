//! Threads that handle requests, started on demand.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, Sender};

use super::Request;

/// Time for which an idle handler thread waits for another request, in seconds.
const IDLE_TIMEOUT_S: u64 = 5;

/// Stack size of a handler thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// Pool of threads that handle requests.
pub(super) struct HandlerPool<H> {
    thread_name: &'static str,
    tx: Sender<Request>,
    rx: Receiver<Request>,
    handle: Arc<H>,
}

impl<H: Fn(Request) + Send + Sync + 'static> HandlerPool<H> {
    /// Creates a pool without threads.
    pub(super) fn new(thread_name: &'static str, handle: H) -> Self {
        let (tx, rx) = flume::bounded(0);
        let handle = Arc::new(handle);
        Self {
            thread_name,
            tx,
            rx,
            handle,
        }
    }

    /// Passes a request to an idle thread, or to a new thread if there is none.
    pub(super) fn dispatch(&self, req: Request) {
        let Err(rejected) = self.tx.try_send(req) else {
            return;
        };
        let first = rejected.into_inner();
        let (rx, handle) = (self.rx.clone(), self.handle.clone());
        spawn(self.thread_name, move || {
            handle(first);
            while let Ok(req) = rx.recv_timeout(Duration::from_secs(IDLE_TIMEOUT_S)) {
                handle(req);
            }
        });
    }
}

/// Starts a named thread with a small stack.
pub(super) fn spawn(thread_name: &str, work: impl FnOnce() + Send + 'static) {
    let builder = std::thread::Builder::new()
        .name(thread_name.into())
        .stack_size(STACK_SIZE);
    if let Err(e) = builder.spawn(work) {
        log::error!(target: "start", "Cannot start a thread. cause={e:?}");
    }
}
