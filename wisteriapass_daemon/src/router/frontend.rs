//! HTTP frontend for callers.

use wisteriapass_config::Limits;

use crate::http::{BodyError, Listener, Request, read_body};
use crate::prelude::*;
use crate::router::ConfigInForce;
use crate::router::answer::{AnswerWriter, refuse};
use crate::router::checked_request::{CheckedRequest, IDEMPOTENCY_KEY_HEADER};
use crate::router::pipeline::Pipeline;
use crate::shutdown::Shutdown;

struct Frontend {
    config: Arc<ConfigInForce>,
    metrics: Arc<Metrics>,
    pipeline: Arc<Pipeline>,
    shutdown: Arc<Shutdown>,
    limits: Limits,
}

/// Serves requests from callers on a listener.
///
/// # Errors
///
/// [`crate::kernel::KernelError`] if a required service is missing.
pub fn serve(listener: &Listener, kernel: &Kernel, limits: Limits) -> crate::kernel::Result<()> {
    let pipeline = kernel.register(Pipeline::new(kernel)?);
    let frontend = Frontend {
        config: kernel.find()?,
        metrics: kernel.find()?,
        shutdown: kernel.find()?,
        pipeline,
        limits,
    };
    crate::http::serve(listener, "router", move |req| frontend.handle(req));
    Ok(())
}

impl Frontend {
    fn handle(&self, req: Request) {
        let _work = self.shutdown.begin_work();
        self.metrics.count_request();
        let request = match self.check_request(&req) {
            Ok(request) => request,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.reason);
                return refuse(req, &refusal);
            }
        };
        let run = self.pipeline.run_id(&request);
        log::debug!(
            target: "router",
            "Accepted. run={run} account={} priority={:?}",
            request.account,
            request.priority
        );
        let mut answer = AnswerWriter::new(req, &run, &request.run_request, request.stream);
        self.metrics.adjust_streams(1);
        self.pipeline.process(&request, &run, &mut answer);
        self.metrics.adjust_streams(-1);
    }

    /// Reads and checks a request.
    ///
    /// The body is read even while the router is stopping: closing a connection with unread data
    /// resets it, and the caller would not receive the refusal.
    fn check_request(&self, req: &Request) -> Result<CheckedRequest, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(self.limits.body_ms);
        let body = read_body(req, self.limits.body_bytes, deadline).map_err(body_refusal)?;
        let Some(document) = self.config.serving_document() else {
            let message = "this router does not know the configuration in force yet";
            let refusal = Refusal::not_run(Reason::NotReady, message);
            let is_keyed = req.header(IDEMPOTENCY_KEY_HEADER).is_some();
            return Err(if is_keyed {
                refusal.with_unknown_outcome()
            } else {
                refusal
            });
        };
        let request = CheckedRequest::new(req, body, &document, &self.limits)?;
        match self.refusal_if_closed() {
            Some(refusal) => Err(self.pipeline.refusal_without_attempt(&request, refusal)),
            None => Ok(request),
        }
    }

    /// Returns a refusal if this router does not accept requests now.
    fn refusal_if_closed(&self) -> Option<Refusal> {
        if self.shutdown.is_requested() {
            return Some(Refusal::not_run(
                Reason::Stopping,
                "this router is stopping",
            ));
        }
        if self.shutdown.active_work() > self.limits.requests {
            let message =
                "this router has reached the maximum number of concurrent requests in its settings";
            return Some(Refusal::not_run(Reason::Overloaded, message));
        }
        None
    }
}

fn body_refusal(e: BodyError) -> Refusal {
    let reason = match e {
        BodyError::TooLarge { .. } => Reason::BodyTooLarge,
        BodyError::TimedOut => Reason::BodyTimeout,
        BodyError::Truncated => Reason::BadRequest,
    };
    Refusal::not_run(reason, e.to_string())
}
