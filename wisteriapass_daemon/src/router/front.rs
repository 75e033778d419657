//! Taking requests from callers.

use tiny_http::Request;
use wisteriapass_config::Limits;

use crate::api::Ran;
use crate::http::{BodyError, Listener, header, read_body};
use crate::prelude::*;
use crate::router::InForce;
use crate::router::answer::{Answer, refuse};
use crate::router::asked::{Asked, KEY_HEADER};
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
                let refusal = truthful(refusal, header(&req, KEY_HEADER).is_some());
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
            // A connection that closes with its request unread is reset, and the refusal lost.
            let deadline = Instant::now() + Duration::from_millis(self.limits.body_ms);
            let _ = read_body(req, self.limits.body_bytes, deadline);
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

/// Says that the outcome is unknown where a repeat could have been asked for elsewhere before.
///
/// A router that is stopping, overloaded or not ready has not looked whether the key ran already.
fn truthful(refusal: Refusal, is_keyed: bool) -> Refusal {
    match refusal.reason {
        Reason::Stopping | Reason::Overloaded | Reason::NotReady if is_keyed => Refusal {
            ran: Ran::OutcomeUnknown,
            ..refusal
        },
        _ => refusal,
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
