//! Guards the settings against drift from the example file, and operators against unclear errors.
//!
//! A changed default or a new key is easily forgotten in `extra/lacewingd.ini`; an invalid value
//! must be reported with its key, not ignored, and must not panic.

use conf::{Error, Fault, Settings};
use proptest::prelude::*;
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../extra/lacewingd.ini");

fn faults(text: &str) -> Vec<Fault> {
    match Settings::parse(text) {
        Err(Error::Faults(faults)) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

#[test]
fn the_example_file_states_the_defaults() {
    assert_eq!(Settings::parse(EXAMPLE).unwrap(), Settings::default());
}

/// Returns the keys of a section of the example file, those in comments included.
fn example_keys(section: &str) -> Vec<&'static str> {
    let mut lines = EXAMPLE.lines().skip_while(|line| *line != format!("[{section}]"));
    lines.next();
    let own = lines.take_while(|line| !line.starts_with('['));
    own.filter_map(|line| Some(line.trim_start_matches("; ").split_once('=')?.0.trim())).collect()
}

#[test]
fn the_example_file_names_every_setting() {
    for name in Settings::known_keys() {
        let found = example_keys(&name.section).contains(&name.key.as_str());
        assert!(found, "{name:?} is not in the example file");
    }
}

#[test]
fn all_faults_are_reported_together() {
    let text = "[instance]\nworkers = 0\nlisten = here\n[log]\nlevel = loud\n[nowhere]\nx = 1\n";
    let faults = faults(text);
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["listen", "workers", "level", "x"]);
}

#[test_case("[instance]\nname = a b\n", "name", "letters" ; "a name with a blank")]
#[test_case("[instance]\nname =\n", "name", "letters" ; "an empty name")]
#[test_case("[platform]\ntimeout_ms = -1\n", "timeout_ms", "milliseconds" ; "a negative time")]
#[test_case("[ledger]\ndivisor = 0\n", "divisor", "parts" ; "a divisor of zero")]
#[test_case("[admin]\nroot_digest = XY\n", "root_digest", "hexadecimal" ; "a short digest")]
#[test_case("[log]\nformat = xml\n", "format", "text, json" ; "an unknown word")]
#[test_case("[log]\nfrmat = json\n", "frmat", "unknown key" ; "an unknown key")]
fn a_wrong_setting_is_reported_with_its_key_and_the_allowed_values(
    text: &str,
    key: &str,
    allowed: &str,
) {
    let faults = faults(text);
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].key, key);
    assert!(faults[0].allowed.contains(allowed), "{}", faults[0]);
}

proptest! {
    #[test]
    fn any_text_parses_or_returns_an_error(text in "\\PC*") {
        drop(Settings::parse(&text));
    }

    #[test]
    fn any_value_of_any_setting_parses_or_returns_an_error(
        index in any::<prop::sample::Index>(),
        value in "[ -~]{0,20}",
    ) {
        let known = Settings::known_keys();
        let name = &known[index.index(known.len())];
        drop(Settings::parse(&format!("[{}]\n{} = {value}\n", name.section, name.key)));
    }
}
