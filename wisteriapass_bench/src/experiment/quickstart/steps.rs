//! The steps of the tour.

use std::io::Write;
use std::time::{Duration, Instant};

use wisteriapass_daemon::api::Reason;

use super::desk::Session;
use super::error::ensure;
use super::{LARGE, QuickstartError, Result, SMALL};
use crate::fleet::Signal;
use crate::load::{Answered, Outcome};

/// Calls after which a budget must have run out.
const MOST_CALLS: usize = 60;

/// Tokens that the small account is topped up with.
const TOPUP: u64 = 2_000;

/// Longest time until a top-up is in force everywhere, in seconds.
const TOPUP_S: u64 = 8;

/// Pause between tries after a top-up, in milliseconds.
const PAUSE_MS: u64 = 100;

/// Longest time for a router to end after its streams have ended, in seconds.
const STOP_S: u64 = 10;

/// Time after which a stream of the last step is surely open, in milliseconds.
const OPEN_MS: u64 = 150;

/// Streamed and whole answers through both routers.
pub(super) fn answers(desk: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "\n1. Answers, streamed and whole, through both routers"
    )?;
    for router in 0..2 {
        let streamed = desk.chat(LARGE, "How do I tidy a wiki page? tokens=24");
        report(out, "streamed", router, &desk.ask(router, &streamed)?)?;
        let whole = desk.chat(LARGE, "Which crimp fault is this? tokens=12");
        let whole = desk.ask(router, &whole.without_streaming())?;
        report(out, "whole", router, &whole)?;
    }
    Ok(())
}

/// A read, and a write that must not happen twice, repeated at the other router.
pub(super) fn plain_service(desk: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "\n2. A plain service; a write that must not happen twice"
    )?;
    desk.ask(0, &desk.service(LARGE, "GET", "/records/7", ""))?;
    writeln!(out, "   read /records/7")?;
    let write = desk.service(LARGE, "PUT", "/records/7", "seal 1234");
    let write = write.with_key("certificate-7").with_non_idempotent();
    let first = desk.ask(0, &write)?;
    let second = desk.ask(1, &write)?;
    let effects = first.effects.max(second.effects);
    writeln!(
        out,
        "   wrote it, and repeated that at router-2: {effects} write took effect"
    )?;
    ensure(effects == 1, format!("a write took effect {effects} times"))
}

/// A request repeated under its key at the other router.
pub(super) fn repeated_request(desk: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "\n3. A request repeated under its key at the other router"
    )?;
    let before = desk.engine_runs();
    let call = desk.chat(LARGE, "Draft the release notes. tokens=30");
    let call = call.with_key("draft-1");
    let first = desk.ask(0, &call)?;
    let second = desk.ask(1, &call)?;
    let runs = desk.engine_runs() - before;
    writeln!(
        out,
        "   both got the whole answer; it ran {runs} time, as {}",
        first.run
    )?;
    ensure(runs == 1, format!("a repeated request ran {runs} times"))?;
    ensure(first.run == second.run, "the repeat was another run")
}

/// A budget that runs out and is topped up.
pub(super) fn budget(desk: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(out, "\n4. A budget that runs out and is topped up")?;
    let mut answered = 0;
    let mut billed = 0;
    let refused = loop {
        let call = desk.chat(SMALL, &format!("Checklist {answered} tokens=32"));
        match desk.send(answered, &call.with_max_tokens(32)) {
            Outcome::Answered(answer) if answered < MOST_CALLS => {
                billed += answer.billed_tokens.unwrap_or_default();
                answered += 1;
            }
            Outcome::Refused(refused) => break refused.refusal,
            other => return Err(unexpected(&other)),
        }
    };
    writeln!(
        out,
        "   {answered} requests were answered for {billed} tokens; then: {refused}"
    )?;
    ensure(
        refused.reason == Reason::BudgetExhausted,
        "the reason is another",
    )?;
    desk.fleet.top_up(SMALL, "invoice-17", TOPUP)?;
    desk.fleet.top_up(SMALL, "invoice-17", TOPUP)?;
    writeln!(
        out,
        "   topped up {TOPUP} tokens (twice under one id, which counts once)"
    )?;
    let answer = ask_until_topped_up(desk)?;
    report(out, "answered again", 0, &answer)
}

/// Repeats a request of the small account until its top-up is in force.
fn ask_until_topped_up(desk: &Session<'_>) -> Result<Answered> {
    let deadline = Instant::now() + Duration::from_secs(TOPUP_S);
    loop {
        let call = desk.chat(SMALL, "Checklist after the top-up tokens=32");
        match desk.send(0, &call.with_max_tokens(32)) {
            Outcome::Answered(answer) => return Ok(answer),
            Outcome::Refused(_) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(PAUSE_MS));
            }
            other => return Err(unexpected(&other)),
        }
    }
}

/// A router that is stopped while it streams.
pub(super) fn graceful_stop(desk: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(out, "\n5. A router is stopped while it streams")?;
    let call = desk.chat(LARGE, "A long draft tokens=150");
    let call = call.with_max_tokens(150);
    let answer = std::thread::scope(|scope| {
        let stream = scope.spawn(|| desk.ask(0, &call));
        std::thread::sleep(Duration::from_millis(OPEN_MS));
        let stopped = stop(desk);
        let answer = stream.join().expect("a call does not panic")?;
        stopped.map(|()| answer)
    })?;
    report(out, "the stream ended whole", 0, &answer)?;
    let answer = desk.ask(1, &desk.chat(LARGE, "The next one tokens=10"))?;
    report(out, "the next request", 1, &answer)
}

/// Asks the first router to stop and waits until it has.
fn stop(desk: &Session<'_>) -> Result<()> {
    let mut router = desk.fleet.daemon("router-1")?;
    router.signal(Signal::Terminate)?;
    let deadline = Instant::now() + Duration::from_secs(STOP_S);
    let status = router.wait_exit(deadline);
    ensure(
        status.is_some_and(|s| s.success()),
        "the router did not stop well",
    )
}

/// Where the money is.
pub(super) fn money(desk: &Session<'_>, out: &mut impl Write) -> Result<()> {
    writeln!(out, "\n6. Where the money is, in tokens")?;
    for budget in desk.fleet.totals()? {
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

fn report(out: &mut impl Write, what: &str, router: usize, answer: &Answered) -> Result<()> {
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

fn unexpected(outcome: &Outcome) -> QuickstartError {
    QuickstartError::Unexpected {
        what: format!("unexpected end of a request: {outcome:?}"),
    }
}
