//! Metrics and health.

use std::sync::atomic::{AtomicBool, Ordering};

use tiny_http::{Request, Response};

use super::Result;
use crate::fleet::InForce;
use crate::http::Listener;
use crate::prelude::*;
use crate::side::Index;
use crate::stop::Stop;

/// Serves metrics and health; the process is ready once `open` is set.
pub(super) fn serve(listener: &Listener, kernel: &Kernel, open: Arc<AtomicBool>) -> Result<()> {
    let metrics = kernel.find::<Metrics>()?;
    let config = kernel.find::<InForce>()?;
    let stop = kernel.find::<Stop>()?;
    // Only side processes have an index.
    let index = kernel.find::<Index>().ok();
    crate::http::serve(listener, "admin", move |req| {
        let indexed = index.as_ref().is_none_or(|i| i.is_ready());
        let is_open = open.load(Ordering::Acquire);
        let ready = is_open && indexed && config.is_ready() && !stop.is_raised();
        answer(req, &metrics, ready);
    });
    Ok(())
}

fn answer(req: Request, metrics: &Metrics, ready: bool) {
    let response = match req.url() {
        "/metrics" => Response::from_string(metrics.text()),
        "/livez" => Response::from_string("live\n"),
        "/readyz" if ready => Response::from_string("ready\n"),
        "/readyz" => Response::from_string("not ready\n").with_status_code(503),
        _ => Response::from_string("unknown path\n").with_status_code(404),
    };
    let _ = req.respond(response);
}
