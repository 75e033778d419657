//! Threads that handle requests, started as they are needed.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, Sender};

use super::Request;

/// Time a handler thread waits for another request before it ends, in seconds.
const IDLE_THREAD_S: u64 = 5;

/// Stack of a handler thread, in bytes.
const STACK: usize = 256 * 1024;

/// Threads that handle requests.
pub(super) struct Handlers<H> {
    part: &'static str,
    tx: Sender<Request>,
    rx: Receiver<Request>,
    handle: Arc<H>,
}

impl<H: Fn(Request) + Send + Sync + 'static> Handlers<H> {
    /// Creates handlers without threads.
    pub(super) fn new(part: &'static str, handle: H) -> Self {
        let (tx, rx) = flume::bounded(0);
        let handle = Arc::new(handle);
        Self {
            part,
            tx,
            rx,
            handle,
        }
    }

    /// Gives a request to an idle thread, or to a new one.
    pub(super) fn hand_over(&self, req: Request) {
        let Err(refused) = self.tx.try_send(req) else {
            return;
        };
        let first = refused.into_inner();
        let (rx, handle) = (self.rx.clone(), self.handle.clone());
        spawn(self.part, move || {
            handle(first);
            while let Ok(req) = rx.recv_timeout(Duration::from_secs(IDLE_THREAD_S)) {
                handle(req);
            }
        });
    }
}

/// Starts a named thread with a small stack.
pub(super) fn spawn(part: &str, work: impl FnOnce() + Send + 'static) {
    let builder = std::thread::Builder::new()
        .name(part.into())
        .stack_size(STACK);
    if let Err(e) = builder.spawn(work) {
        log::error!(target: "start", "Cannot start a thread. cause={e:?}");
    }
}
