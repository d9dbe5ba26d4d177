//! Typed access to the sections of an INI file, which collects all faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;

use crate::Fault;

/// Name of a setting: its section and its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Section without its brackets.
    pub section: String,
    /// Key within the section.
    pub key: String,
}

/// Reads the settings of one file; records the keys that were read and all faults.
#[derive(Debug)]
pub struct Reader {
    ini: Ini,
    known_keys: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses the text of an INI file.
    ///
    /// # Errors
    ///
    /// Returns the position and the cause if the text is not valid INI.
    pub fn open(text: &str) -> Result<Self, String> {
        let ini = Ini::load_from_str(text).map_err(|error| error.to_string())?;
        Ok(Self { ini, known_keys: BTreeSet::new(), faults: Vec::new() })
    }

    /// Returns access to one section; a missing section has only defaults.
    pub fn section<'a>(&'a mut self, name: &'a str) -> Section<'a> {
        Section { reader: self, name }
    }

    /// Returns all keys that were read, sorted by section and key.
    #[must_use]
    pub fn known_keys(&self) -> Vec<Key> {
        let key =
            |(section, key): &(String, String)| Key { section: section.clone(), key: key.clone() };
        self.known_keys.iter().map(key).collect()
    }

    /// Returns all faults, including unknown keys and sections.
    ///
    /// A key is unknown if nothing has read it, so all settings must be read before.
    #[must_use]
    pub fn finish(mut self) -> Vec<Fault> {
        let sections: BTreeSet<&str> =
            self.known_keys.iter().map(|(name, _)| name.as_str()).collect();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            for (key, value) in properties {
                if self.known_keys.contains(&(section.to_owned(), key.to_owned())) {
                    continue;
                }
                let keys: Vec<&str> = self
                    .known_keys
                    .iter()
                    .filter(|(name, _)| name == section)
                    .map(|(_, key)| key.as_str())
                    .collect();
                let allowed = if sections.contains(section) {
                    format!("unknown key; known are {}", keys.join(", "))
                } else {
                    let names: Vec<&str> = sections.iter().copied().collect();
                    format!("unknown section; known are {}", names.join(", "))
                };
                self.faults.push(new_fault(section, key, value, allowed));
            }
        }
        self.faults
    }
}

fn new_fault(section: &str, key: &str, value: &str, allowed: String) -> Fault {
    Fault { section: section.into(), key: key.into(), value: value.into(), allowed }
}

/// Access to the keys of one section.
#[derive(Debug)]
pub struct Section<'a> {
    reader: &'a mut Reader,
    name: &'a str,
}

impl Section<'_> {
    fn raw(&mut self, key: &str) -> Option<String> {
        self.reader.known_keys.insert((self.name.to_owned(), key.to_owned()));
        self.reader.ini.get_from(Some(self.name), key).map(str::to_owned)
    }

    fn reject(&mut self, key: &str, value: &str, allowed: String) {
        self.reader.faults.push(new_fault(self.name, key, value, allowed));
    }

    /// Reads a value with the parser `parse_text`.
    ///
    /// Returns `default` if the key is missing. If `parse_text` returns `None`, the value becomes
    /// a fault with the phrase `allowed`.
    pub fn parse<T>(
        &mut self,
        key: &str,
        default: T,
        allowed: &str,
        parse_text: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        let Some(text) = self.raw(key) else { return default };
        if let Some(value) = parse_text(&text) {
            value
        } else {
            self.reject(key, &text, allowed.to_owned());
            default
        }
    }

    /// Reads a text; an empty one is a fault.
    pub fn text(&mut self, key: &str, default: &str) -> String {
        self.parse(key, default.to_owned(), "must not be empty", |text| {
            (!text.is_empty()).then(|| text.to_owned())
        })
    }

    /// Reads a text that may be missing; an empty one counts as missing.
    pub fn optional(&mut self, key: &str) -> Option<String> {
        self.raw(key).filter(|text| !text.is_empty())
    }

    /// Reads a name of ASCII letters, digits, `-` and `_`.
    pub fn name(&mut self, key: &str, default: &str) -> String {
        self.parse(key, default.to_owned(), "letters, digits, '-' and '_'", |text| {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            (!text.is_empty() && text.chars().all(is_allowed)).then(|| text.to_owned())
        })
    }

    /// Reads a socket address in the form `ip:port`.
    pub fn address(&mut self, key: &str, default: SocketAddr) -> SocketAddr {
        self.parse(key, default, "an address as ip:port", |text| text.parse().ok())
    }

    /// Reads a number within a range; `unit` is used only in the text of a fault.
    pub fn number<T>(&mut self, key: &str, default: T, range: &RangeInclusive<T>, unit: &str) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let allowed = format!("a number of {unit} from {} to {}", range.start(), range.end());
        self.parse(key, default, &allowed, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Reads a duration in milliseconds within a range.
    pub fn millis(
        &mut self,
        key: &str,
        default: Duration,
        range: &RangeInclusive<u64>,
    ) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(key, default, range, "milliseconds"))
    }

    /// Reads one of several words and returns the value that belongs to it.
    pub fn choice<T: Copy>(&mut self, key: &str, default: T, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = format!("one of {}", names.join(", "));
        self.parse(key, default, &allowed, |text| {
            choices.iter().find(|(name, _)| *name == text).map(|(_, value)| *value)
        })
    }
}
