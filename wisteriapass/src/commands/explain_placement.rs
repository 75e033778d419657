//! `explain-placement`: where a router would send a request now, and why.

mod report;

use std::fs;
use std::io::Read;
use std::net::SocketAddr;

use error_stack::Report;
use wisteriapass_daemon::explain::{ExplainCall, PromptPart, ask};

use self::report::PlacementReport;
use crate::args::ExplainPlacement;
use crate::{Context, Exit, Result, ToolError};

/// Stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Asks a router and prints its answer.
pub(super) fn explain_placement(cx: &mut Context<'_>, opts: &ExplainPlacement) -> Result<Exit> {
    if opts.json {
        cx.out.use_json();
    }
    let router: SocketAddr = opts
        .router
        .parse()
        .map_err(|_| usage(format!("--router {:?} is no IP:PORT", opts.router)))?;
    let call = compose_call(cx, opts)?;
    let explained = ask(router, &call).map_err(|e| Report::new(ToolError::Explain(e)))?;
    let report = PlacementReport::new(&explained.answer);
    cx.out.print(&report, &explained.json)?;
    Ok(Exit::Success)
}

fn compose_call(cx: &mut Context<'_>, opts: &ExplainPlacement) -> Result<ExplainCall> {
    if opts.account.is_some() && opts.key.is_some() {
        return Err(usage("give --account or --key, not both"));
    }
    if let Some(file) = &opts.request {
        return saved_call(cx, opts, file);
    }
    if opts.host.is_none() || opts.path.is_none() {
        return Err(usage("give --host and --path, or --request"));
    }
    let tokens = opts.tokens.as_deref().map(parse_tokens).transpose()?;
    let parts = opts.prompt_parts.as_deref().map(parse_parts).transpose()?;
    if parts.is_some() && tokens.is_none() {
        return Err(usage("give --tokens with --prompt-parts"));
    }
    let key = match opts.key.as_deref() {
        Some(STANDARD_INPUT) => Some(read_input(cx)?.trim().to_owned()),
        key => key.map(str::to_owned),
    };
    Ok(ExplainCall {
        host: opts.host.clone(),
        path: opts.path.clone(),
        account: opts.account.clone(),
        key,
        prompt_parts: parts.unwrap_or_default(),
        prompt_tokens: tokens.map(|(prompt, _)| prompt),
        max_output_tokens: tokens.map(|(_, output)| output),
        remaining_ms: opts.remaining,
        head: None,
    })
}

/// Composes the call for a saved request, whose headers say all but the account.
fn saved_call(cx: &mut Context<'_>, opts: &ExplainPlacement, file: &str) -> Result<ExplainCall> {
    let given = [
        (opts.host.is_some(), "--host"),
        (opts.path.is_some(), "--path"),
        (opts.key.is_some(), "--key"),
        (opts.prompt_parts.is_some(), "--prompt-parts"),
        (opts.tokens.is_some(), "--tokens"),
        (opts.remaining.is_some(), "--remaining"),
    ];
    if let Some((_, option)) = given.iter().find(|(is_given, _)| *is_given) {
        return Err(usage(format!("give {option} or --request, not both")));
    }
    let text = if file == STANDARD_INPUT {
        read_input(cx)?
    } else {
        fs::read_to_string(file).map_err(|e| ToolError::file(file, &e))?
    };
    Ok(ExplainCall {
        account: opts.account.clone(),
        head: Some(head_of(&text, file)?),
        ..ExplainCall::default()
    })
}

/// Returns the request line and headers of a saved request. Its body is not sent to the router.
fn head_of(text: &str, file: &str) -> Result<String> {
    let lines = text.lines().map(str::trim_end);
    let lines = lines.skip_while(|line| line.is_empty());
    let head: Vec<&str> = lines.take_while(|line| !line.is_empty()).collect();
    let has_request_line = head
        .first()
        .is_some_and(|line| line.split(' ').count() == 3 && line.contains(" HTTP/1."));
    let has_headers = head.iter().skip(1).all(|line| line.contains(':'));
    if !has_request_line || !has_headers {
        return Err(Report::new(ToolError::File {
            file: file.to_owned(),
            cause: "no request line like \"POST /path HTTP/1.1\" with header lines below it".into(),
        }));
    }
    Ok(head.join("\r\n"))
}

fn read_input(cx: &mut Context<'_>) -> Result<String> {
    let mut text = String::new();
    let read = cx.input.read_to_string(&mut text);
    read.map_err(|e| ToolError::file("standard input", &e))?;
    Ok(text)
}

/// Parses `IN,OUT`.
fn parse_tokens(text: &str) -> Result<(u64, u64)> {
    let counts = text.split_once(',').and_then(|(prompt, output)| {
        let output = output.trim().parse().ok()?;
        Some((prompt.trim().parse().ok()?, output))
    });
    counts.ok_or_else(|| usage(format!("--tokens {text:?} is no IN,OUT")))
}

/// Parses `ID:N,...`.
fn parse_parts(text: &str) -> Result<Vec<PromptPart>> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        u64::from_str_radix(id, 16).ok()?;
        let tokens = tokens.parse().ok()?;
        let id = id.to_owned();
        Some(PromptPart { id, tokens })
    });
    let parts: Option<Vec<PromptPart>> = parts.collect();
    parts.ok_or_else(|| {
        usage(format!(
            "--prompt-parts {text:?} is no ID:N,... with hexadecimal ids"
        ))
    })
}

fn usage(cause: impl Into<String>) -> Report<ToolError> {
    let cause = cause.into();
    Report::new(ToolError::Usage { cause })
}
