//! `explain`: what became of a request, from the logs of routers.

use std::fmt;
use std::fs;
use std::io::Read;

use serde::Serialize;

use crate::args::Explain;
use crate::{Context, Exit, Result, ToolError};

/// A line about the request.
#[derive(Debug, Serialize)]
struct LogLine {
    /// Unix seconds.
    time: f64,
    router: String,
    text: String,
}

/// Result of `explain`.
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

/// Puts the lines of one request in order and names the cause.
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
    let mark = format!("request={}", opts.id);
    let names_it = |line: &&str| line.split_whitespace().any(|word| word == mark);
    let mut lines: Vec<LogLine> = text.lines().filter(names_it).map(parse_log_line).collect();
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let explained = ExplainOutput {
        id: opts.id.clone(),
        cause: find_cause(&lines),
        lines,
    };
    cx.out.print(&explained, &explained)?;
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

/// Names the cause in a sentence: by the refusal if there is one, and what came before it.
fn find_cause(lines: &[LogLine]) -> &'static str {
    if lines.is_empty() {
        return "no line names it: a target answered it, or the logs of its router are missing";
    }
    let has = |text: &str| lines.iter().any(|l| l.text.contains(text));
    let refusal = lines.iter().rfind(|l| l.text.contains("Refused."));
    match refusal.and_then(|l| field_value(&l.text, "reason")) {
        Some("share_short") if has("in_touch=false") => {
            "refused: the router was out of touch with the store, and its share was used up"
        }
        Some("share_short") => {
            "refused: what is left of the account's total is held or was lost by other routers"
        }
        Some("budget_exhausted") => "refused: the account's prepaid total is used up; top it up",
        Some("unknown_key") => "refused: no account of the configuration in force holds its key",
        Some("no_route") => {
            "refused: no route of the configuration in force fits its host and path"
        }
        Some("not_configured") => "refused: the router had just started and knew no configuration",
        Some("saved") => {
            "refused for more urgent requests: its account lost money with dead routers, and little \
             is left"
        }
        Some("cold") => "refused: the targets that are left have just started and bear no more",
        Some("no_region") => "refused: its route and account name regions without a target",
        Some("no_target") => "refused: no target of its service took work",
        Some("not_taken") if has("fault=shed") => "refused: the targets that were asked were full",
        Some("not_taken") => "refused: the targets that were asked could not be reached",
        Some("late") => "given up at its deadline or its route's timeout: its target was silent",
        Some("late_not_run") => "given up at its deadline before any target ran it",
        Some("quarantined") => {
            "refused before it ran: requests like it crashed the targets that ran them; look for its \
             fingerprint in part=quarantine"
        }
        Some("outcome_unknown") if has("Target died under it") => {
            "its target's process ended while it ran, and it may not be sent again"
        }
        Some("outcome_unknown") => {
            "its target's answer was lost or wrong, and it may not be sent again"
        }
        Some("cut_short") => {
            "its router was stopped and ended before the answer was whole; it may have run"
        }
        _ if has("this router ended") => {
            "its stream was cut as its router was stopped: the target took longer than expected"
        }
        _ if has("Stream broken") && has("Target died under it") => {
            "its target's process ended while its stream ran, and it could not go on at another"
        }
        _ if has("Stream broken") => "its stream broke, and could not go on at another target",
        _ => "it was sent again, and then answered by a target",
    }
}
