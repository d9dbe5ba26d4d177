//! Section `[log]`: level and format of the log.

use crate::reader::Section;

/// Log level; records below it are dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Level {
    /// Logs only errors.
    Error,
    /// Logs errors and warnings.
    Warning,
    /// Also logs refusals and changes of state.
    #[default]
    Info,
    /// Logs all records, those for debugging included.
    Debug,
}

/// Output format of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Writes lines of text for people to read.
    #[default]
    Text,
    /// Writes one JSON object per line.
    Json,
}

/// Settings of the log that the process writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Log {
    /// Level below which records are dropped.
    pub level: Level,
    /// Format of each record.
    pub format: Format,
}

impl Log {
    /// Reads the section; invalid values are added to the reader's faults.
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
