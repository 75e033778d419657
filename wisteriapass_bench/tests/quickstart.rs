//! The tour that the README begins with.

use std::process::Command;

#[test]
fn the_tour_goes_as_promised() {
    let tool = env!("CARGO_BIN_EXE_wisteriapass_bench");
    let done = Command::new(tool).arg("quickstart").output().unwrap();
    let text = String::from_utf8_lossy(&done.stdout);
    let errors = String::from_utf8_lossy(&done.stderr);
    assert!(done.status.success(), "{text}\n{errors}");
    assert!(text.contains("budget_exhausted"), "{text}");
    assert!(text.contains("Everything went as promised."), "{text}");
}
