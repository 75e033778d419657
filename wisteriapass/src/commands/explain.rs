//! `explain`: the outcome of a request, from the logs of routers.

use std::fmt;
use std::fs;
use std::io::Read;

use serde::Serialize;

use crate::args::Explain;
use crate::{Context, Exit, Result, ToolError};

/// A log line about the request.
#[derive(Debug, Serialize)]
struct LogLine {
    /// Unix time, in seconds.
    time: f64,
    router: String,
    text: String,
}

/// Output of `explain`.
#[derive(Debug, Serialize)]
struct ExplainOutput {
    id: String,
    cause: &'static str,
    lines: Vec<LogLine>,
}

impl fmt::Display for ExplainOutput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{:.3} {} {}", line.time, line.router, line.text)?;
        }
        write!(f, "{}: {}", self.id, self.cause)
    }
}

/// Prints the log lines of one request in order of time, and the cause of its outcome.
pub(super) fn explain(cx: &mut Context<'_>, opts: &Explain) -> Result<Exit> {
    let mut text = String::new();
    if opts.files.is_empty() {
        let read = cx.input.read_to_string(&mut text);
        read.map_err(|e| ToolError::file("standard input", &e))?;
    }
    for file in &opts.files {
        let read = fs::read_to_string(file).map_err(|e| ToolError::file(file, &e))?;
        text.push_str(&read);
    }
    let request_field = format!("request={}", opts.id);
    let has_request = |line: &&str| line.split_whitespace().any(|word| word == request_field);
    let mut lines: Vec<LogLine> = text
        .lines()
        .filter(has_request)
        .map(parse_log_line)
        .collect();
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let output = ExplainOutput {
        id: opts.id.clone(),
        cause: find_cause(&lines),
        lines,
    };
    cx.out.print(&output, &output)?;
    Ok(Exit::Success)
}

fn parse_log_line(line: &str) -> LogLine {
    let start = line.find("part=").unwrap_or(0);
    LogLine {
        time: field_value(line, "time")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0.0),
        router: field_value(line, "process").unwrap_or("-").to_owned(),
        text: line[start..].to_owned(),
    }
}

fn field_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut words = line.split_whitespace();
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Describes the cause of the outcome: from the refusal if there is one, and the lines before it.
fn find_cause(lines: &[LogLine]) -> &'static str {
    if lines.is_empty() {
        return "no log line has its id: a target answered it, or its router's logs are missing";
    }
    let has = |text: &str| lines.iter().any(|l| l.text.contains(text));
    let unproven_end = find_unproven_end(lines);
    let broken_end = unproven_end.and_then(broken_end_cause);
    let refusal = lines.iter().rfind(|l| l.text.contains("Refused."));
    match refusal.and_then(|l| field_value(&l.text, "reason")) {
        Some("share_short") if has("in_touch=false") => {
            "refused: the router had lost contact with the store, and its share was used up"
        }
        Some("share_short") => {
            "refused: the rest of the account's total is held, or was lost, by other routers"
        }
        Some("budget_exhausted") => "refused: the account's prepaid total is used up; top it up",
        Some("unknown_key") => "refused: no account of the configuration in force has its key",
        Some("no_route") => {
            "refused: no route of the configuration in force matches its host and path"
        }
        Some("not_configured") => {
            "refused: the router had just started and had no configuration yet"
        }
        Some("saved") => {
            "refused in favor of more urgent requests: its account lost tokens to dead routers, and \
             few are left"
        }
        Some("cold") => {
            "refused: the remaining targets have just started and cannot take more requests yet"
        }
        Some("limited") => {
            "refused: the remaining targets name limits, and take no more requests from this router"
        }
        Some("no_same_version") => {
            "refused: it resumes a stream, and no target of the software version that began it \
             accepted work"
        }
        Some("unknown_version") => {
            "refused: it resumes a stream that several software versions may have begun, and no \
             router remembered which"
        }
        Some("overloaded") => {
            "refused: its router had too little processor time to serve it in time"
        }
        Some("resting") => "refused: the remaining targets turned requests away and asked for rest",
        Some("stopping") => "refused: its router was stopping, and the answer would come too late",
        Some("no_region") => "refused: no target is in a region that its route and account allow",
        Some("no_target") => "refused: no target of its service accepted work",
        Some("not_taken") if has("fault=shed") => {
            "refused: the targets that were tried had no free capacity"
        }
        Some("not_taken") => "refused: the targets that were tried could not be reached",
        Some("late") => {
            "timed out at its deadline or its route's timeout: its target did not answer"
        }
        Some("late_not_run") => "timed out at its deadline before any target ran it",
        Some("quarantined") if has_banned_part(lines) => {
            "refused before it ran: requests with a part of its prompt crashed the targets that ran \
             them; search for its prompt_part in part=quarantine"
        }
        Some("quarantined") => {
            "refused before it ran: requests like it crashed the targets that ran them; search for \
             its fingerprint in part=quarantine"
        }
        Some("suspect") => {
            "refused before it ran: requests like it were running at targets that crashed, and another \
             copy of it was in its trial; search for its fingerprint in part=quarantine"
        }
        Some("outcome_unknown") if has("Target died under it") => {
            "its target's process ended while it ran, and it must not be sent again"
        }
        Some("outcome_unknown") => broken_end
            .unwrap_or("its target's answer was lost or invalid, and it must not be sent again"),
        Some("cut_short") => {
            "its router was stopped and exited before the answer was complete; it may have run"
        }
        _ if has("this router ended") => {
            "its stream was cut off when its router stopped: the target took longer than expected"
        }
        _ if has("Stream broken") && has("Target died under it") => {
            "its target's process ended during its stream, which could not be resumed at another"
        }
        _ if has("Stream broken") => {
            broken_end.unwrap_or("its stream broke and could not be resumed at another target")
        }
        _ if unproven_end == Some("target_alive") => {
            "its target ended the answer with neither a length nor a last chunk and lives, so the \
             answer counts as whole"
        }
        _ => "it was sent again, and a target then answered it",
    }
}

/// Returns whether the request was not sent because of a part of its prompt.
fn has_banned_part(lines: &[LogLine]) -> bool {
    let mut unsent = lines.iter().filter(|l| l.text.contains("Not sent."));
    unsent.any(|l| field_value(&l.text, "prompt_part").is_some_and(|part| part != "-"))
}

/// Returns what was found of the last answer whose end proved nothing, unless another target failed
/// the request after it.
fn find_unproven_end(lines: &[LogLine]) -> Option<&str> {
    let last = lines
        .iter()
        .rposition(|l| l.text.contains("Unproven end."))?;
    let end = &lines[last].text;
    let target = field_value(end, "target");
    let failed_elsewhere = lines[last..]
        .iter()
        .any(|l| l.text.contains("Target failed it.") && field_value(&l.text, "target") != target);
    if failed_elsewhere {
        return None;
    }
    field_value(end, "found")
}

/// Describes an answer that is not complete, although its connection did not break.
fn broken_end_cause(found: &str) -> Option<&'static str> {
    match found {
        "inside_event" => Some("its target ended the stream inside an event"),
        "no_event" => Some(
            "its target ended the stream before the first event, with neither a length nor a last \
             chunk",
        ),
        "deadline" => Some(
            "its target ended the answer at the deadline, with neither a length nor a last chunk",
        ),
        "target_ended" => Some(
            "its target ended, or no longer responded, behind an answer with neither a length nor a \
             last chunk, which may be incomplete",
        ),
        _ => None,
    }
}
