//! Taking requests from callers.

use tiny_http::Request;
use wisteriapass_config::Limits;

use crate::http::{BodyError, Listener, read_body};
use crate::prelude::*;
use crate::router::InForce;
use crate::router::answer::{Answer, refuse};
use crate::router::asked::Asked;
use crate::router::pipeline::Pipeline;
use crate::stop::Stop;

struct Front {
    config: Arc<InForce>,
    metrics: Arc<Metrics>,
    pipeline: Arc<Pipeline>,
    stop: Arc<Stop>,
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
    fn handle(&self, mut req: Request) {
        let _work = self.stop.work();
        self.metrics.request();
        let asked = match self.ask(&mut req) {
            Ok(asked) => asked,
            Err(refusal) => {
                self.metrics.refusal(refusal.reason);
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
        let mut answer = Answer::new(req, &run, &asked.request, asked.stream);
        self.metrics.stream(1);
        self.pipeline.carry(&asked, &run, &mut answer);
        self.metrics.stream(-1);
    }

    fn ask(&self, req: &mut Request) -> Result<Asked, Refusal> {
        if self.stop.is_raised() {
            return Err(Refusal::not_run(
                Reason::Stopping,
                "this router is stopping",
            ));
        }
        if self.stop.working() > self.limits.requests {
            let message = "this router works on as many requests as its settings allow";
            return Err(Refusal::not_run(Reason::Overloaded, message));
        }
        let Some(document) = self.config.serving() else {
            return Err(Refusal::not_run(
                Reason::NotReady,
                "the configuration in force is not known yet",
            ));
        };
        let deadline = Instant::now() + Duration::from_millis(self.limits.body_ms);
        let body = read_body(req, self.limits.body_bytes, deadline).map_err(body_refusal)?;
        Asked::new(req, body, &document, &self.limits)
    }
}

fn body_refusal(e: BodyError) -> Refusal {
    let reason = match e {
        BodyError::TooLarge { .. } => Reason::BodyTooLarge,
        BodyError::Late => Reason::BodyTimeout,
        BodyError::Cut => Reason::BadRequest,
    };
    Refusal::not_run(reason, e.to_string())
}
