//! Runs the quickstart that the README begins with.

use std::process::Command;

#[test]
fn quickstart_succeeds() {
    let tool = env!("CARGO_BIN_EXE_wisteriapass_bench");
    let output = Command::new(tool).arg("quickstart").output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stdout}\n{stderr}");
    assert!(stdout.contains("budget_exhausted"), "{stdout}");
    assert!(stdout.contains("Everything went as promised."), "{stdout}");
}
