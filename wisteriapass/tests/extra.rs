//! The man page and completions cover every command, option and kind of state, and the operators'
//! guide covers every refusal reason.

use std::fs;
use std::path::Path;

use gumdrop::Options;
use wisteriapass::args::{Args, Command};
use wisteriapass_daemon::api::Reason;

const FILES: [&str; 4] = [
    "extra/man/wisteriapass.1",
    "extra/completions/wisteriapass.bash",
    "extra/completions/_wisteriapass",
    "extra/completions/wisteriapass.fish",
];

fn read(file: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    fs::read_to_string(root.join(file)).unwrap()
}

/// Returns the names of all commands.
fn commands() -> Vec<&'static str> {
    let list = Command::usage().lines();
    list.filter_map(|l| l.split_whitespace().next()).collect()
}

/// Returns the long options in a usage text.
fn options(usage: &str) -> Vec<String> {
    let words = usage.split_whitespace();
    let long = words.filter_map(|w| w.strip_prefix("--"));
    long.map(str::to_owned).collect()
}

/// Returns a man page without its escaped hyphens.
fn unescape(text: &str) -> String {
    text.replace("\\-", "-")
}

#[test]
fn every_command_is_in_man_page_and_completions() {
    let commands = commands();
    assert_eq!(commands.len(), 12);
    for file in FILES {
        let text = unescape(&read(file));
        for command in &commands {
            assert!(text.contains(command), "{file}: {command}");
        }
    }
}

#[test]
fn every_option_is_in_man_page_and_completions() {
    let usages = commands().into_iter().filter_map(Command::command_usage);
    let mut all = options(Args::usage());
    all.extend(usages.flat_map(options));
    assert!(all.iter().any(|o| o == "inventory"), "{all:?}");
    for file in FILES {
        let text = unescape(&read(file));
        for option in &all {
            let (long, fish) = (format!("--{option}"), format!("-l {option}"));
            assert!(
                text.contains(&long) || text.contains(&fish),
                "{file}: {option}"
            );
        }
    }
}

#[test]
fn every_kind_of_state_is_in_man_page_and_completions() {
    for file in FILES {
        let text = read(file);
        for what in [
            "targets", "budgets", "grants", "refusals", "retries", "revision",
        ] {
            assert!(text.contains(what), "{file}: {what}");
        }
    }
}

#[test]
fn every_refusal_reason_is_in_the_operators_guide() {
    // The error lists all variants, so the test also covers reasons that are added later.
    let error = serde_json::from_str::<Reason>("\"?\"").unwrap_err();
    let text = error.to_string();
    let reasons: Vec<&str> = text.split('`').skip(3).step_by(2).collect();
    assert!(reasons.len() > 15, "{text}");
    let guide = read("docs/OPERATORS.md");
    for reason in reasons {
        assert!(guide.contains(&format!("| `{reason}` |")), "{reason}");
    }
}
