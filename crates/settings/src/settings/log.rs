//! Section `log`: format and filter of the log.

use super::format::write_optional;
use crate::sexpr::Block;
use std::fmt;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct LogSettings {
    /// Format of log lines. Key `format`.
    pub format: LogFormat,
    /// Levels by target, as in `RUST_LOG`, which takes precedence. Key `filter`.
    pub filter: Option<String>,
}

impl LogSettings {
    pub(super) fn read(block: &Block) -> LogSettings {
        let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        let log = LogSettings {
            format: block.choice("format", LogFormat::Text, &formats),
            filter: block.text("filter"),
        };
        block.finish();
        log
    }
}

impl fmt::Display for LogSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let format = match self.format {
            LogFormat::Text => "text",
            LogFormat::Json => "json",
        };
        write!(f, "(log (format {format})")?;
        write_optional(f, " ", "filter", self.filter.as_ref())?;
        f.write_str(")")
    }
}
