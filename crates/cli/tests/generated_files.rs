//! Guards the man pages and completions under `extra/`, which are generated from the flags.
//!
//! They become outdated when a flag or its help changes and the files are not written again.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use bpaf::doc::Section;
use test_case::test_case;

/// Environment variable with which the tests write the files before they compare them.
const BLESS_VARIABLE: &str = "LACEWING_BLESS";

fn path_in_extra(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../extra").join(path)
}

fn check_or_write(path: &str, generated: &str) {
    let path = path_in_extra(path);
    if std::env::var_os(BLESS_VARIABLE).is_some() {
        fs::write(&path, generated).unwrap();
    }
    let stored = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        stored == generated,
        "{} is out of date; set {BLESS_VARIABLE}=1 to write it",
        path.display()
    );
}

fn man_page<T>(options: &bpaf::OptionParser<T>, name: &str) -> String {
    options.render_manpage(name, Section::General, None, None, Some("lacewingpost"))
}

#[test]
fn the_man_page_of_lacewing_matches_its_flags() {
    check_or_write("man/lacewing.1", &man_page(&cli::args::command(), "lacewing"));
}

#[test]
fn the_man_page_of_lacewingd_matches_its_flags() {
    check_or_write("man/lacewingd.1", &man_page(&daemon::cli::options(), "lacewingd"));
}

#[test_case("bash", "completions/lacewing.bash")]
#[test_case("zsh", "completions/_lacewing")]
#[test_case("fish", "completions/lacewing.fish")]
fn the_completions_match_the_program(shell: &str, path: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_lacewing"))
        .arg(format!("--bpaf-complete-style-{shell}"))
        .output()
        .unwrap();
    assert!(output.status.success());
    check_or_write(path, &String::from_utf8(output.stdout).unwrap());
}
