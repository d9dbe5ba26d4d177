//! Section `[log]`: what is logged and how.

use crate::reader::Section;

/// Least important records that are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Level {
    /// Only errors.
    Error,
    /// Warnings too.
    Warning,
    /// Refusals and changes of state too.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// Form of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Log {
    /// Least important records that are logged.
    pub level: Level,
    /// Form.
    pub format: Format,
}

impl Log {
    /// Reads the section.
    pub fn read(section: &mut Section<'_>) -> Self {
        let levels = [
            ("error", Level::Error),
            ("warning", Level::Warning),
            ("info", Level::Info),
            ("debug", Level::Debug),
        ];
        let formats = [("text", Format::Text), ("json", Format::Json)];
        Self {
            level: section.choice("level", Level::default(), &levels),
            format: section.choice("format", Format::default(), &formats),
        }
    }
}
