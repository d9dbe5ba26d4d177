//! Guards the exit codes and the error list of `lacewingd --check-config`.
//!
//! A wrong exit code lets a script start the daemon with invalid settings; a list that ends at the
//! first error hides the others.

use std::path::Path;
use std::process::{Command, Output};

fn check(text: &str) -> Output {
    let path = std::env::temp_dir().join(format!("lacewingd-{}.ini", uuid::Uuid::new_v4()));
    std::fs::write(&path, text).unwrap();
    let output = run(&path);
    std::fs::remove_file(&path).unwrap();
    output
}

fn run(path: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lacewingd")).arg("--check-config").arg(path).output().unwrap()
}

#[test]
fn a_valid_file_exits_with_0() {
    let output = check("[instance]\nname = quito-1\n");
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn all_errors_are_listed_at_once_with_exit_code_2() {
    let output = check("[instance]\nworkers = none\n[ledger]\ndivisor = 0\nsize = 1\n");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("3 wrong settings"), "{text}");
    assert!(text.contains("[instance] workers = none: a number of threads from 1 to 256"));
    assert!(text.contains("[ledger] divisor = 0: a number of parts from 1 to 10000"));
    assert!(text.contains("[ledger] size = 1: unknown key; known are"));
}

#[test]
fn a_missing_file_exits_with_2() {
    let output = run(Path::new("/nonexistent/lacewingd.ini"));
    assert_eq!(output.status.code(), Some(2));
}
