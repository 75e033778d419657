//! Metrics and health.

use std::sync::atomic::{AtomicBool, Ordering};

use super::Result;
use crate::fleet::InForce;
use crate::http::{Listener, Request};
use crate::prelude::*;
use crate::shutdown::Shutdown;
use crate::side::Index;

/// Serves metrics and health; the process is ready once `open` is set.
pub(super) fn serve(listener: &Listener, kernel: &Kernel, open: Arc<AtomicBool>) -> Result<()> {
    let metrics = kernel.find::<Metrics>()?;
    let config = kernel.find::<InForce>()?;
    let stop = kernel.find::<Shutdown>()?;
    // Only side processes have an index.
    let index = kernel.find::<Index>().ok();
    crate::http::serve(listener, "admin", move |req| {
        let indexed = index.as_ref().is_none_or(|i| i.is_ready());
        let is_open = open.load(Ordering::Acquire);
        let ready = is_open && indexed && config.is_ready() && !stop.is_requested();
        answer(req, &metrics, ready);
    });
    Ok(())
}

fn answer(req: Request, metrics: &Metrics, ready: bool) {
    let (status, text) = match req.url() {
        "/metrics" => (200, metrics.text()),
        "/livez" => (200, "live\n".to_owned()),
        "/readyz" if ready => (200, "ready\n".to_owned()),
        "/readyz" => (503, "not ready\n".to_owned()),
        _ => (404, "unknown path\n".to_owned()),
    };
    req.respond_text(status, text);
}
