//! Output and exit codes of the commands.

mod support;

use std::fs;
use std::io::{self, Write};

use gumdrop::{Options, ParsingStyle};
use support::{
    FakeDaemons, Fault, FaultyStore, apply_example, empty_dir, example_file, run, run_json,
    run_json_with, run_with,
};
use wisteriapass::args::Args;
use wisteriapass::{Context, Exit, Output, budgets, edit};
use wisteriapass_coord::budget::{BudgetId, GrantRequest, Journal, Ledger, Origin, Shards, Tokens};
use wisteriapass_coord::store::MemoryStore;

#[test]
fn check_counts_the_accepted_entries() {
    let store = MemoryStore::new();
    let files = [example_file("inventory.toml"), example_file("rules.toml")];
    let (exit, text) = run(&store, &["check", &files[0], &files[1]], "");
    assert_eq!(exit, Exit::Success);
    assert!(text.contains("15 targets, 10 accounts"), "{text}");
}

#[test]
fn a_missing_file_is_a_usage_error() {
    let store = MemoryStore::new();
    let (exit, _) = run_json(&store, &["check", "no-such-file", "no-such-file"]);
    assert_eq!(exit, Exit::Usage);
}

#[test]
fn diff_shows_the_changes_and_the_revision_to_apply_from() {
    let store = MemoryStore::new();
    apply_example(&store);
    run_json(&store, &["drain", "lm-b3"]);
    let files = [example_file("inventory.toml"), example_file("rules.toml")];
    let (exit, text) = run(&store, &["diff", &files[0], &files[1]], "");
    assert_eq!(exit, Exit::Success);
    assert!(text.contains("--from 2"), "{text}");
    assert!(
        text.contains("~ target lm-b3: draining: true -> false"),
        "{text}"
    );
}

#[test]
fn an_exported_configuration_can_be_edited_and_applied() {
    let store = MemoryStore::new();
    apply_example(&store);
    let dir = empty_dir("export");
    let (exit, output) = run_json(&store, &["export", dir.to_str().unwrap()]);
    assert_eq!(
        (exit, output["revision"].as_u64()),
        (Exit::Success, Some(1))
    );
    let path = |file| dir.join(file).display().to_string();
    let files = [path("inventory.toml"), path("rules.toml")];
    let (_, output) = run_json(&store, &["diff", &files[0], &files[1]]);
    assert_eq!(output["changes"].as_array().unwrap().len(), 0);
    let text = fs::read_to_string(&files[0]).unwrap();
    fs::write(&files[0], text.replacen("slots = 16", "slots = 17", 1)).unwrap();
    let (_, output) = run_json(&store, &["apply", &files[0], &files[1], "--from", "1"]);
    assert_eq!(output["changes"].as_array().unwrap().len(), 1);
}

#[test]
fn export_does_not_overwrite_files() {
    let store = MemoryStore::new();
    apply_example(&store);
    let dir = empty_dir("export_twice");
    fs::write(dir.join("rules.toml"), "mine").unwrap();
    let (exit, _) = run_json(&store, &["export", dir.to_str().unwrap()]);
    assert_eq!(exit, Exit::Usage);
    assert_eq!(fs::read_to_string(dir.join("rules.toml")).unwrap(), "mine");
    assert!(!dir.join("inventory.toml").exists());
}

#[test]
fn digest_ignores_the_line_ending_of_the_key() {
    let store = MemoryStore::new();
    let (exit, text) = run(&store, &["digest"], "test\n");
    let expected = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n";
    assert_eq!((exit, text.as_str()), (Exit::Success, expected));
    assert_eq!(run(&store, &["digest"], "\n").0, Exit::Usage);
}

#[test]
fn the_example_configuration_has_the_digests_of_the_example_keys() {
    let store = MemoryStore::new();
    for account in support::example_document().rules.account {
        let key = format!("example-key-{}", account.name);
        let (_, text) = run(&store, &["digest"], &key);
        assert_eq!(text.trim(), account.key_digest);
    }
}

const TOPUP: [&str; 5] = ["topup", "lican-estudio/all", "5000", "--id", "invoice-1"];

fn total_prepaid(store: &dyn wisteriapass_coord::store::Store) -> u64 {
    let totals = budgets::totals(store).unwrap();
    totals.iter().map(|t| t.prepaid.0).sum()
}

#[test]
fn a_topup_with_the_same_id_is_applied_once() {
    let store = MemoryStore::new();
    apply_example(&store);
    let (exit, output) = run_json(&store, &TOPUP);
    assert_eq!(
        (exit, &output["applied_now"]),
        (Exit::Success, &true.into())
    );
    let (exit, output) = run_json(&store, &TOPUP);
    assert_eq!(
        (exit, &output["applied_now"]),
        (Exit::Success, &false.into())
    );
    assert_eq!(total_prepaid(&store), 5_000);
}

#[test]
fn a_topup_with_a_lost_response_is_applied_once() {
    let store = FaultyStore::new();
    apply_example(&store);
    store.inject_faults("budgets/", &[Fault::LostAnswer, Fault::LostRequest]);
    assert_eq!(run_json(&store, &TOPUP).0, Exit::Success);
    assert_eq!(total_prepaid(&store), 5_000);
}

#[test]
fn a_topup_without_any_response_has_an_unknown_outcome_and_can_be_repeated() {
    let store = FaultyStore::new();
    apply_example(&store);
    store.inject_faults("budgets/", &[Fault::LostRequest; 4]);
    let (exit, output) = run_json(&store, &TOPUP);
    assert_eq!(exit, Exit::OutcomeUnknown);
    assert!(output["error"].as_str().unwrap().contains("invoice-1"));
    assert_eq!(run_json(&store, &TOPUP).0, Exit::Success);
    assert_eq!(total_prepaid(&store), 5_000);
}

#[test]
fn a_topup_id_with_another_amount_is_refused() {
    let store = MemoryStore::new();
    apply_example(&store);
    run_json(&store, &TOPUP);
    let mut other_amount = TOPUP;
    other_amount[2] = "6000";
    assert_eq!(run_json(&store, &other_amount).0, Exit::Refused);
    assert_eq!(total_prepaid(&store), 5_000);
}

#[test]
fn a_topup_of_a_budget_outside_the_rules_is_refused() {
    let store = MemoryStore::new();
    apply_example(&store);
    let (exit, _) = run_json(&store, &["topup", "lican-estudio/al", "1", "--id", "x"]);
    assert_eq!(exit, Exit::Refused);
    let (exit, _) = run_json(&store, &["topup", "lican-estudio/all", "0", "--id", "x"]);
    assert_eq!(exit, Exit::Usage);
}

#[test]
fn budgets_and_grants_show_outstanding_tokens() {
    let store = MemoryStore::new();
    apply_example(&store);
    run_json(&store, &TOPUP);
    let journal = Journal::new(Origin(7), Shards::default());
    let budget = BudgetId::new("lican-estudio", "all");
    let request = GrantRequest {
        held: Tokens::ZERO,
        budget,
        need: Tokens(100),
        usage_per_second: Tokens(100),
    };
    let receipt = Ledger::new(&store, &journal).request_grants(vec![request]);
    let granted = receipt.grants[0].amount.0;
    assert!(granted > 0);
    let (_, rows) = run_json(&store, &["show", "budgets"]);
    let rows = rows.as_array().unwrap();
    assert_eq!(rows.len(), 13);
    let row = rows.iter().find(|r| r["budget"] == "lican-estudio/all");
    assert_eq!(row.unwrap()["outstanding"], granted);
    let (_, grants) = run_json(&store, &["show", "grants"]);
    assert_eq!(grants[0]["outstanding"], granted);
}

#[test]
fn targets_shows_draining_targets() {
    let store = MemoryStore::new();
    apply_example(&store);
    run_json(&store, &["drain", "lm-a4"]);
    let (_, text) = run(&store, &["show", "targets"], "");
    let line = text.lines().find(|l| l.starts_with("lm-a4")).unwrap();
    assert!(line.ends_with("draining"), "{line}");
    assert_eq!(edit::current(&store).unwrap().revision, 2);
    assert_eq!(run_json(&store, &["show", "weather"]).0, Exit::Usage);
}

#[test]
fn a_store_that_is_down_is_reported_as_unreachable() {
    let store = FaultyStore::new();
    store.inject_faults("", &[Fault::Down]);
    assert_eq!(run_json(&store, &["show", "targets"]).0, Exit::Unreachable);
    assert_eq!(run_json(&store, &["export", "."]).0, Exit::Unreachable);
}

#[test]
fn a_command_without_a_store_address_is_a_usage_error() {
    let store = MemoryStore::new();
    let args = Args::parse_args(&["show", "targets"], ParsingStyle::AllOptions).unwrap();
    let mut out = Vec::new();
    let daemons = FakeDaemons::at_revision(1);
    let mut cx = Context::new(&store, &daemons, Output::new(&mut out, true), "".as_bytes());
    cx = cx.without_store();
    assert_eq!(wisteriapass::run(&mut cx, &args), Exit::Usage);
    drop(cx);
    assert!(
        String::from_utf8(out)
            .unwrap()
            .contains("WISTERIAPASS_STORE")
    );
}

#[test]
fn revision_shows_where_it_is_not_in_force() {
    let store = MemoryStore::new();
    apply_example(&store);
    let up_to_date = FakeDaemons::at_revision(1);
    assert_eq!(
        run_json_with(&store, &up_to_date, &["show", "revision"]).0,
        Exit::Success
    );
    let daemons = up_to_date
        .with_revision("lm-a1", 0)
        .with_silent("router-b1");
    let (exit, output) = run_json_with(&store, &daemons, &["show", "revision"]);
    assert_eq!((exit, &output["in_force"]), (Exit::Unreachable, &16.into()));
    let rows = output["processes"].as_array().unwrap();
    let state = |name| &rows.iter().find(|r| r["name"] == name).unwrap()["state"];
    assert_eq!(state("lm-a1"), "behind");
    assert_eq!(state("router-b1"), "no_answer");
}

#[test]
fn revision_works_with_an_inventory_file_while_the_store_is_down() {
    let store = FaultyStore::new();
    store.inject_faults("", &[Fault::Down]);
    let daemons = FakeDaemons::at_revision(6).with_revision("lm-c3", 7);
    let file = example_file("inventory.toml");
    let args = ["show", "revision", "--inventory", &file];
    let (exit, output) = run_json_with(&store, &daemons, &args);
    assert_eq!((exit, &output["expected"]), (Exit::Unreachable, &7.into()));
    assert_eq!(output["in_force"], 1);
}

#[test]
fn refusals_are_summed_over_the_daemons_that_answer() {
    let store = MemoryStore::new();
    apply_example(&store);
    let daemons = FakeDaemons::at_revision(1).with_silent("lm-a1");
    let (exit, output) = run_json_with(&store, &daemons, &["show", "refusals"]);
    assert_eq!(exit, Exit::Unreachable);
    assert_eq!(output["reasons"][0]["count"], 2 * 17);
    let (_, text) = run_with(&store, &daemons, &["show", "retries"], "");
    assert!(text.ends_with("no answer from lm-a1\n"), "{text}");
}

/// An output whose writes fail because it is closed.
struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn an_edit_whose_result_cannot_be_printed_has_an_unknown_outcome() {
    let store = MemoryStore::new();
    apply_example(&store);
    let args = Args::parse_args(&["drain", "lm-a1"], ParsingStyle::AllOptions).unwrap();
    let daemons = FakeDaemons::at_revision(1);
    let mut out = ClosedOutput;
    let mut cx = Context::new(&store, &daemons, Output::new(&mut out, false), io::empty());
    assert_eq!(wisteriapass::run(&mut cx, &args), Exit::OutcomeUnknown);
    assert_eq!(edit::current(&store).unwrap().revision, 2);
}
