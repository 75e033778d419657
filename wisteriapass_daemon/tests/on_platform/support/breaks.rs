//! Targets that break off their answers.

use std::time::Duration;

use wisteriapass_bench::standin::users_platform::{Behaviour, BreakOff, SimulatedTarget};

use super::{Answer, Request, Router, TestPlatform, wait_for};

/// Prepaid total that suffices for all requests of a test.
const PREPAID: u64 = 1_000_000;

/// Time from a crash to the restart, longer than any test.
const RESTART_DELAY: Duration = Duration::from_secs(600);

/// Number of whole answers that earn the retries of a test.
const EARNING_REQUESTS: usize = 10;

/// What happens to a target that breaks off an answer.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    /// It goes on accepting.
    Lives,
    /// It stops accepting before its connections end.
    Crashes,
}

impl Fate {
    /// Makes the next request break off at each target.
    pub fn prepare(self, targets: &[SimulatedTarget], break_off: BreakOff) {
        for target in targets {
            match self {
                Self::Lives => target.push_behaviours(&[Behaviour::BreakOff(break_off)]),
                Self::Crashes => {
                    target.set_crash_condition(|_| true, RESTART_DELAY);
                    target.set_crash_break(break_off);
                }
            }
        }
    }
}

/// Returns a platform and a router that has earned retries for both services.
pub fn platform_with_retries() -> (TestPlatform, Router) {
    let platform = TestPlatform::new(PREPAID);
    let router = Router::start("r", &platform.store);
    for n in 0..EARNING_REQUESTS {
        for request in [
            stream(&format!("s{n}"), "/ask/x"),
            plain(&format!("p{n}"), "/safe/x"),
        ] {
            assert_eq!(router.send(&request).unwrap().status, 200);
        }
    }
    (platform, router)
}

/// Returns a request for a stream.
pub fn stream(id: &str, path: &str) -> Request {
    Request::new(id, path).with_tokens(100, 10)
}

/// Returns a request for a plain answer.
pub fn plain(id: &str, path: &str) -> Request {
    Request::new(id, path)
}

/// Returns the text of a whole stream.
pub fn whole_stream() -> String {
    (1..=5).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect()
}

/// Returns the number of runs at all targets.
pub fn run_count(targets: &[SimulatedTarget]) -> usize {
    targets.iter().map(SimulatedTarget::run_count).sum()
}

/// Sends requests until one runs at a target, and checks that each is answered whole.
pub fn assert_whole_until_run(
    router: &Router,
    target: &SimulatedTarget,
    request: impl Fn(&str) -> Request,
    body: &str,
) {
    let before = target.run_count();
    let mut n = 0;
    wait_for("a run at the target", || {
        n += 1;
        assert_whole(router.send(&request(&format!("w{n}"))), body);
        target.run_count() > before
    });
}

/// Checks that an answer is whole and marked as such.
pub fn assert_whole(answer: Option<Answer>, body: &str) {
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, body);
    assert!(answer.is_framed);
}

/// Checks that an answer states that the request may have run.
pub fn assert_outcome_unknown(answer: Option<Answer>) {
    let answer = answer.unwrap();
    assert_eq!(answer.status, 502);
    assert!(answer.body.contains("outcome_unknown"), "{}", answer.body);
}
