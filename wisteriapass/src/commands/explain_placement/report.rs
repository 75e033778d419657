//! The explanation of a placement as text of at most 100 columns.

use std::fmt;

use wisteriapass_daemon::explain::{
    CostSummary, Decision, ExplainAnswer, MoneyAtHand, RefusalSummary, ServicePlacement,
    TargetPlacement,
};

use crate::Table;

/// Maximum width of a line, in columns.
const MAX_WIDTH: usize = 100;

/// Maximum width of the name of a target, in columns; the numbers beside it need the rest.
const MAX_NAME: usize = 16;

/// Stands for what is not known or does not apply.
const NONE: &str = "-";

/// The explanation of a placement as text.
pub(super) struct PlacementReport<'a> {
    answer: &'a ExplainAnswer,
}

impl<'a> PlacementReport<'a> {
    /// Creates the text form of an answer.
    pub fn new(answer: &'a ExplainAnswer) -> Self {
        Self { answer }
    }

    fn summary(&self) -> Vec<(&'static str, String)> {
        let ExplainAnswer {
            router,
            request,
            route,
            money,
            ..
        } = self.answer;
        let mut state = vec![format!("configuration {}", router.configuration)];
        if !router.knows_targets {
            state.push("knows no targets yet".into());
        }
        if router.is_stopping {
            state.push("stopping".into());
        } else if !router.is_ready {
            state.push("not ready".into());
        }
        let resumable = if route.is_resumable {
            ", resumable"
        } else {
            ""
        };
        let tokens = match (request.prompt_tokens, request.max_output_tokens) {
            (Some(prompt), Some(output)) => format!(", {prompt} prompt + {output} output tokens"),
            _ => String::new(),
        };
        let mut lines = vec![
            (
                "router",
                format!(
                    "{} in {}, {}, {}",
                    router.name,
                    router.failure_domain,
                    router.role,
                    state.join(", ")
                ),
            ),
            (
                "request",
                format!(
                    "{}{}, account {}, priority {}, {} ms left{tokens}",
                    request.host,
                    request.path,
                    request.account.as_deref().unwrap_or(NONE),
                    request.priority,
                    request.remaining_ms
                ),
            ),
            (
                "route",
                format!(
                    "{} ({}{resumable}), latency goal {} ms, max attempts {}",
                    route.name, route.kind, route.latency_goal_ms, route.max_attempts
                ),
            ),
            ("money", money_text(money)),
        ];
        if !request.shared_parts.is_empty() {
            let parts = request.shared_parts.iter();
            let parts: Vec<String> = parts.map(|p| format!("{}:{}", p.id, p.tokens)).collect();
            lines.push(("shared", parts.join(",")));
        }
        lines
    }
}

impl fmt::Display for PlacementReport<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, text) in self.summary() {
            write_wrapped(f, name, &text)?;
        }
        for service in &self.answer.services {
            writeln!(f)?;
            write_service(f, service)?;
        }
        Ok(())
    }
}

fn write_service(f: &mut fmt::Formatter<'_>, service: &ServicePlacement) -> fmt::Result {
    let share = service.share * 100.0;
    let trial = if service.is_trial { ", as a trial" } else { "" };
    let name = format!("{} ({share:.0}% of requests){trial}", service.service);
    write_wrapped(f, "service", &name)?;
    write_wrapped(f, "decision", &decision_text(&service.decision))?;
    write_wrapped(f, "target", &choice_text(service))?;
    write_wrapped(f, "hedge", &service.hedge)?;
    if service.targets.is_empty() {
        return Ok(());
    }
    let headings = [
        "  TARGET", "TOTAL", "QUEUE", "READ", "SLOW", "FAIL", "DOM", "PREFIX", "RUN", "STATE",
    ];
    let mut table = Table::new(headings);
    for target in &service.targets {
        table.push_row(target_row(target));
    }
    write!(f, "{table}")
}

fn target_row(target: &TargetPlacement) -> [String; 10] {
    let term = |of: fn(&CostSummary) -> f64| {
        let cost = target.cost.as_ref();
        cost.map_or_else(|| NONE.to_owned(), |cost| number(of(cost)))
    };
    let mark = if target.is_chosen { ">" } else { " " };
    [
        format!("{mark} {}", shorten(&target.id)),
        term(|c| c.total),
        term(|c| c.queue),
        term(|c| c.read),
        term(|c| c.slowness),
        term(|c| c.failures),
        term(|c| c.domain),
        prefix_text(&target.prefix).to_owned(),
        format!("{}/{}", target.running, target.slots),
        state_text(target),
    ]
}

fn prefix_text(prefix: &str) -> &str {
    match prefix {
        "none" => NONE,
        "second_home" => "2nd home",
        other => other,
    }
}

fn state_text(target: &TargetPlacement) -> String {
    if let Some(exclusion) = &target.exclusion {
        let back = target
            .back_ms
            .map(|ms| format!(" {:.1}s", ms as f64 / 1_000.0));
        return format!("{exclusion}{}", back.unwrap_or_default());
    }
    let passed_over = target.passed_over.as_deref();
    passed_over.unwrap_or("candidate").to_owned()
}

fn choice_text(service: &ServicePlacement) -> String {
    let Some(choice) = &service.choice else {
        return "none".into();
    };
    let next = choice.next.as_deref().unwrap_or(NONE);
    let why = match choice.reason.as_str() {
        "only_candidate" => "the only candidate".into(),
        "draw" => format!("drawn among those of the lowest cost, as {next} costs the same"),
        "lowest_cost" => format!(
            "the lowest cost; {next} costs {} more, mostly by {}",
            number(choice.margin.unwrap_or_default()),
            choice.decided_by.as_deref().unwrap_or(NONE)
        ),
        other => other.to_owned(),
    };
    format!("{}: {why}", choice.target)
}

fn decision_text(decision: &Decision) -> String {
    if let Some(refusal) = &decision.refusal {
        return format!("{}: {}", decision.action, refusal_text(refusal));
    }
    let waits = decision.waits.iter();
    let waits = waits.map(|w| format!("{}, else {}", w.what, refusal_text(&w.otherwise)));
    let waits: Vec<String> = waits.collect();
    if waits.is_empty() {
        return decision.action.clone();
    }
    format!("{} for {}", decision.action, waits.join("; "))
}

fn refusal_text(refusal: &RefusalSummary) -> String {
    let back = refusal.retry_after_ms;
    let back = back.map_or_else(
        || "no retry helps".to_owned(),
        |ms| format!("retry after {ms} ms"),
    );
    format!("{} ({}), {back}", refusal.reason, refusal.status)
}

fn money_text(money: &MoneyAtHand) -> String {
    let total = money.total.map_or("unlimited".into(), |t| t.to_string());
    let Some(at_hand) = money.at_hand else {
        return money.source.clone();
    };
    let mut parts = vec![format!(
        "{}, {at_hand} tokens at hand, total {total}",
        money.source
    )];
    let known = [
        ("this request costs at most", money.max_cost),
        ("known spent", money.known_spent),
        ("lost", money.lost.filter(|lost| *lost > 0)),
        ("granted here", money.granted),
        ("of it sealed", money.sealed.filter(|sealed| *sealed > 0)),
        ("granted elsewhere", money.others_granted),
    ];
    let known = known
        .iter()
        .filter_map(|(name, value)| Some((name, (*value)?)));
    parts.extend(known.map(|(name, value)| format!("{name} {value}")));
    if money.in_contact == Some(false) {
        parts.push("no contact with the store".into());
    }
    if let Some(probability) = money.refusal_probability.filter(|p| *p > 0.0) {
        parts.push(format!(
            "refused in favor of more urgent requests in {:.0}% of cases",
            probability * 100.0
        ));
    }
    parts.join(", ")
}

/// Formats tokens in at most six characters, without a sign before zero.
fn number(value: f64) -> String {
    let tokens = value.round() + 0.0;
    match tokens.abs() {
        size if size < 100_000.0 => format!("{tokens:.0}"),
        size if size < 9_999_500.0 => format!("{:.0}k", tokens / 1_000.0),
        _ => format!("{:.0}M", tokens / 1_000_000.0),
    }
}

/// Returns a name with its middle left out if it is long.
fn shorten(name: &str) -> String {
    let length = name.chars().count();
    if length <= MAX_NAME {
        return name.to_owned();
    }
    let half = (MAX_NAME - 2) / 2;
    let start: String = name.chars().take(half).collect();
    let end: String = name.chars().skip(length - half).collect();
    format!("{start}..{end}")
}

/// Writes a named text in lines of at most [`MAX_WIDTH`] columns, broken at spaces.
fn write_wrapped(f: &mut fmt::Formatter<'_>, name: &str, text: &str) -> fmt::Result {
    let indent = 10;
    let mut line = format!("{name:<indent$}");
    let mut is_empty = true;
    for word in text.split(' ') {
        if !is_empty && line.chars().count() + 1 + word.chars().count() > MAX_WIDTH {
            writeln!(f, "{line}")?;
            line = " ".repeat(indent);
            is_empty = true;
        }
        if !is_empty {
            line.push(' ');
        }
        line.push_str(word);
        is_empty = false;
    }
    writeln!(f, "{line}")
}
