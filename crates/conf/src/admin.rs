//! Section `[admin]`: the root operator, who can act before any operator is configured.

use crate::reader::Section;

/// Settings of the admin API.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admin {
    /// SHA-256 of the root operator's key in lower-case hexadecimal.
    ///
    /// With `None` only operators of the configuration have access.
    pub root_digest: Option<String>,
}

impl Admin {
    /// Reads the section; invalid values are added to the reader's faults.
    pub fn read(section: &mut Section<'_>) -> Self {
        let root_digest =
            section.parse("root_digest", None, "64 lower-case hexadecimal digits", |text| {
                let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
                (text.len() == 64 && text.chars().all(is_hex)).then(|| Some(text.to_owned()))
            });
        Self { root_digest }
    }
}
