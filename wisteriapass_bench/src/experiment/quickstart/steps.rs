//! Steps of the quickstart.

use std::io::Write;
use std::time::{Duration, Instant};

use wisteriapass_daemon::api::Reason;

use super::error::ensure;
use super::session::Session;
use super::{LARGE_ACCOUNT, QuickstartError, Result, SMALL_ACCOUNT};
use crate::fleet::Signal;
use crate::load::{Answered, Outcome};

/// Maximum number of calls within which the budget must run out.
const MAX_CALLS: usize = 60;

/// Tokens by which the small account is topped up.
const TOPUP_TOKENS: u64 = 2_000;

/// Maximum time until a top-up takes effect at every router, in seconds.
const TOPUP_TIMEOUT_S: u64 = 8;

/// Interval between attempts after a top-up, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 100;

/// Maximum time for a router to exit after its streams have ended, in seconds.
const STOP_TIMEOUT_S: u64 = 10;

/// Time to wait for the stream to be open before the router is stopped, in milliseconds.
const STREAM_OPEN_MS: u64 = 150;

/// Requests streamed and non-streamed answers through both routers.
pub(super) fn answers(session: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "\n1. Answers, streamed and whole, through both routers"
    )?;
    for router in 0..2 {
        let streamed = session.chat(LARGE_ACCOUNT, "How do I tidy a wiki page? tokens=24");
        print_answer(out, "streamed", router, &session.ask(router, &streamed)?)?;
        let whole = session.chat(LARGE_ACCOUNT, "Which crimp fault is this? tokens=12");
        let whole = session.ask(router, &whole.without_streaming())?;
        print_answer(out, "whole", router, &whole)?;
    }
    Ok(())
}

/// Reads from a plain service, and sends a non-idempotent write to it through both routers.
pub(super) fn plain_service(session: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "\n2. A plain service; a write that must not happen twice"
    )?;
    session.ask(0, &session.service(LARGE_ACCOUNT, "GET", "/records/7", ""))?;
    writeln!(out, "   read /records/7")?;
    let write = session.service(LARGE_ACCOUNT, "PUT", "/records/7", "seal 1234");
    let write = write.with_key("certificate-7").with_non_idempotent();
    let first = session.ask(0, &write)?;
    let second = session.ask(1, &write)?;
    let effects = first.effects.max(second.effects);
    writeln!(
        out,
        "   wrote it, and repeated that at router-2: {effects} write took effect"
    )?;
    ensure(effects == 1, format!("a write took effect {effects} times"))
}

/// Repeats a request with the same idempotency key at the other router.
pub(super) fn repeated_request(session: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "\n3. A request repeated under its key at the other router"
    )?;
    let before = session.engine_runs();
    let call = session.chat(LARGE_ACCOUNT, "Draft the release notes. tokens=30");
    let call = call.with_key("draft-1");
    let first = session.ask(0, &call)?;
    let second = session.ask(1, &call)?;
    let runs = session.engine_runs() - before;
    writeln!(
        out,
        "   both got the whole answer; it ran {runs} time, as {}",
        first.run
    )?;
    ensure(runs == 1, format!("a repeated request ran {runs} times"))?;
    ensure(
        first.run == second.run,
        "the repeated request started another run",
    )
}

/// Spends a budget until it runs out and tops it up.
pub(super) fn budget(session: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(out, "\n4. A budget that runs out and is topped up")?;
    let mut answered = 0;
    let mut billed = 0;
    let refused = loop {
        let call = session.chat(SMALL_ACCOUNT, &format!("Checklist {answered} tokens=32"));
        match session.send(answered, &call.with_max_tokens(32)) {
            Outcome::Answered(answer) if answered < MAX_CALLS => {
                billed += answer.billed_tokens.unwrap_or_default();
                answered += 1;
            }
            Outcome::Refused(refused) => break refused.refusal,
            other => return Err(unexpected_outcome(&other)),
        }
    };
    writeln!(
        out,
        "   {answered} requests were answered for {billed} tokens; then: {refused}"
    )?;
    ensure(
        refused.reason == Reason::BudgetExhausted,
        "the request was refused for another reason",
    )?;
    session
        .fleet
        .top_up(SMALL_ACCOUNT, "invoice-17", TOPUP_TOKENS)?;
    session
        .fleet
        .top_up(SMALL_ACCOUNT, "invoice-17", TOPUP_TOKENS)?;
    writeln!(
        out,
        "   topped up {TOPUP_TOKENS} tokens (twice under one id, which counts once)"
    )?;
    let answer = ask_until_topped_up(session)?;
    print_answer(out, "answered again", 0, &answer)
}

/// Repeats a request of the small account until the top-up takes effect.
fn ask_until_topped_up(session: &Session<'_>) -> Result<Answered> {
    let deadline = Instant::now() + Duration::from_secs(TOPUP_TIMEOUT_S);
    loop {
        let call = session.chat(SMALL_ACCOUNT, "Checklist after the top-up tokens=32");
        match session.send(0, &call.with_max_tokens(32)) {
            Outcome::Answered(answer) => return Ok(answer),
            Outcome::Refused(_) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(RETRY_INTERVAL_MS));
            }
            other => return Err(unexpected_outcome(&other)),
        }
    }
}

/// Stops a router while it streams an answer.
pub(super) fn graceful_stop(session: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(out, "\n5. A router is stopped while it streams")?;
    let call = session.chat(LARGE_ACCOUNT, "A long draft tokens=150");
    let call = call.with_max_tokens(150);
    let answer = std::thread::scope(|scope| {
        let stream = scope.spawn(|| session.ask(0, &call));
        std::thread::sleep(Duration::from_millis(STREAM_OPEN_MS));
        let stopped = stop_first_router(session);
        let answer = stream.join().expect("a call does not panic")?;
        stopped.map(|()| answer)
    })?;
    print_answer(out, "the stream ended whole", 0, &answer)?;
    let answer = session.ask(1, &session.chat(LARGE_ACCOUNT, "The next one tokens=10"))?;
    print_answer(out, "the next request", 1, &answer)
}

/// Sends the first router a termination signal and waits until it has exited.
fn stop_first_router(session: &Session<'_>) -> Result<()> {
    let mut router = session.fleet.daemon("router-1")?;
    router.signal(Signal::Terminate)?;
    let deadline = Instant::now() + Duration::from_secs(STOP_TIMEOUT_S);
    let status = router.wait_exit(deadline);
    ensure(
        status.is_some_and(|s| s.success()),
        "the router did not exit cleanly",
    )
}

/// Prints the state of all budgets.
pub(super) fn budget_totals(session: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(out, "\n6. Budget totals, in tokens")?;
    for budget in session.fleet.totals()? {
        writeln!(
            out,
            "   {:<14} prepaid {:>10}  reported spent {:>7}  held by routers {:>8}  free {:>10}",
            budget.budget, budget.prepaid, budget.spent, budget.outstanding, budget.free
        )?;
        ensure(
            budget.spent <= budget.prepaid,
            format!("{} is overspent", budget.budget),
        )?;
    }
    Ok(())
}

fn print_answer(out: &mut impl Write, what: &str, router: usize, answer: &Answered) -> Result<()> {
    writeln!(
        out,
        "   {what} by router-{}: {} + {} tokens, billed {}",
        router + 1,
        answer.prompt_tokens,
        answer.completion_tokens,
        answer.billed_tokens.unwrap_or_default()
    )?;
    Ok(())
}

fn unexpected_outcome(outcome: &Outcome) -> QuickstartError {
    QuickstartError::Unexpected {
        what: format!("unexpected outcome of a request: {outcome:?}"),
    }
}
