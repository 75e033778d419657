//! Taking requests from callers.

use wisteriapass_config::Limits;

use crate::http::{BodyError, Listener, Request, read_body};
use crate::prelude::*;
use crate::router::ConfigInForce;
use crate::router::answer::{AnswerWriter, refuse};
use crate::router::checked_request::{CheckedRequest, IDEMPOTENCY_KEY_HEADER};
use crate::router::pipeline::Pipeline;
use crate::shutdown::Shutdown;

struct Front {
    config: Arc<ConfigInForce>,
    metrics: Arc<Metrics>,
    pipeline: Arc<Pipeline>,
    stop: Arc<Shutdown>,
    limits: Limits,
}

/// Serves callers on a listener.
///
/// # Errors
///
/// [`crate::kernel::KernelError`] if a service it needs is missing.
pub fn serve(listener: &Listener, kernel: &Kernel, limits: Limits) -> crate::kernel::Result<()> {
    let pipeline = kernel.register(Pipeline::new(kernel)?);
    let front = Front {
        config: kernel.find()?,
        metrics: kernel.find()?,
        stop: kernel.find()?,
        pipeline,
        limits,
    };
    crate::http::serve(listener, "router", move |req| front.handle(req));
    Ok(())
}

impl Front {
    fn handle(&self, req: Request) {
        let _work = self.stop.begin_work();
        self.metrics.count_request();
        let asked = match self.ask(&req) {
            Ok(asked) => asked,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.reason);
                return refuse(req, &refusal);
            }
        };
        let run = self.pipeline.run_id(&asked);
        log::debug!(
            target: "router",
            "Accepted. run={run} account={} priority={:?}",
            asked.account,
            asked.priority
        );
        let mut answer = AnswerWriter::new(req, &run, &asked.run_request, asked.stream);
        self.metrics.adjust_streams(1);
        self.pipeline.process(&asked, &run, &mut answer);
        self.metrics.adjust_streams(-1);
    }

    /// Reads and checks a request.
    ///
    /// The body is read also by a router that stops: a connection that closes with its request
    /// unread is reset, and the refusal lost.
    fn ask(&self, req: &Request) -> Result<CheckedRequest, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(self.limits.body_ms);
        let body = read_body(req, self.limits.body_bytes, deadline).map_err(body_refusal)?;
        let Some(document) = self.config.serving_document() else {
            let message = "the configuration in force is not known yet";
            let refusal = Refusal::not_run(Reason::NotReady, message);
            let is_keyed = req.header(IDEMPOTENCY_KEY_HEADER).is_some();
            return Err(if is_keyed {
                refusal.with_unknown_outcome()
            } else {
                refusal
            });
        };
        let asked = CheckedRequest::new(req, body, &document, &self.limits)?;
        match self.closed() {
            Some(refusal) => Err(self.pipeline.refusal_without_attempt(&asked, refusal)),
            None => Ok(asked),
        }
    }

    /// Returns why this router takes no request now, if so.
    fn closed(&self) -> Option<Refusal> {
        if self.stop.is_requested() {
            return Some(Refusal::not_run(
                Reason::Stopping,
                "this router is stopping",
            ));
        }
        if self.stop.active_work() > self.limits.requests {
            let message = "this router works on as many requests as its settings allow";
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
