//! Section `[admin]`: the first operator.

use crate::reader::Section;

/// Settings of the intent API.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admin {
    /// SHA-256 of the root operator's key in hexadecimal; without it only configured operators
    /// are let in.
    pub root_digest: Option<String>,
}

impl Admin {
    /// Reads the section.
    pub fn read(section: &mut Section<'_>) -> Self {
        let root_digest =
            section.parse("root_digest", None, "64 lower-case hexadecimal digits", |text| {
                let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
                (text.len() == 64 && text.chars().all(is_hex)).then(|| Some(text.to_owned()))
            });
        Self { root_digest }
    }
}
