//! Metrics and health endpoints.

use std::sync::atomic::{AtomicBool, Ordering};

use super::Result;
use crate::fleet::ConfigInForce;
use crate::http::{Listener, Request};
use crate::prelude::*;
use crate::shutdown::Shutdown;
use crate::side::RunIndex;

/// Serves metrics and health checks; the process is not ready before `is_listening` is set.
pub(super) fn serve(
    listener: &Listener,
    kernel: &Kernel,
    is_listening: Arc<AtomicBool>,
) -> Result<()> {
    let metrics = kernel.find::<Metrics>()?;
    let config = kernel.find::<ConfigInForce>()?;
    let shutdown = kernel.find::<Shutdown>()?;
    // Only side processes have an index of runs.
    let index = kernel.find::<RunIndex>().ok();
    crate::http::serve(listener, "admin", move |req| {
        let is_index_ready = index.as_ref().is_none_or(|i| i.is_ready());
        let is_listening = is_listening.load(Ordering::Acquire);
        let is_ready =
            is_listening && is_index_ready && config.is_ready() && !shutdown.is_requested();
        answer(req, &metrics, is_ready);
    });
    Ok(())
}

fn answer(req: Request, metrics: &Metrics, is_ready: bool) {
    let (status, text) = match req.url() {
        "/metrics" => (200, metrics.text()),
        "/livez" => (200, "live\n".to_owned()),
        "/readyz" if is_ready => (200, "ready\n".to_owned()),
        "/readyz" => (503, "not ready\n".to_owned()),
        _ => (404, "unknown path\n".to_owned()),
    };
    req.respond_text(status, text);
}
