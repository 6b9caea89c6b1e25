//! Our own settings: all that the platform does not tell a server. Without a file everything here is off, and the
//! log is as it was.

use crate::sexpr::{Fault, Reader};
use std::fmt::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// An object a line, for programs.
    Json,
}

#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Log {
    pub format: LogFormat,
    /// Levels by part, as in `RUST_LOG`, which wins.
    pub filter: Option<String>,
}

/// What the recorder writes, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    pub folder: String,
    /// Of a block: rows, and s that a row waits for it to be full, which is what a kill loses.
    pub block_rows: usize,
    pub block_span: f64,
    pub file_bytes: u64,
    /// s
    pub file_span: f64,
    pub most_bytes: u64,
    pub most_files: usize,
    /// One txn of so many; 1 is all.
    pub sample: u32,
    /// 32 bytes in hex by which names and keys are hashed; without it they are new with every start.
    pub key_file: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Default)]
pub struct Settings {
    pub log: Log,
    pub trace: Option<Trace>,
}

/// Reads settings; `file` is named in faults, of which there may be several.
pub fn read_settings(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let reader = Reader::new(file, text);
    let forms = reader.forms();
    let top = reader.top(&forms);
    let mut settings = Settings::default();
    if let Some(log) = top.block("log") {
        let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        settings.log =
            Log { format: log.word("format", LogFormat::Text, &formats), filter: log.text("filter") };
        log.finish();
    }
    if let Some(trace) = top.block("trace") {
        let folder = trace.text("folder");
        if folder.is_none() && !trace.has("folder") {
            trace.fault("folder", "should be given");
        }
        let read = Trace {
            folder: folder.unwrap_or_default(),
            block_rows: trace.count("block-rows", 4096, 16..=65536),
            block_span: trace.span("block-span", 5.0, 0.1..=600.0),
            file_bytes: trace.bytes("file-bytes", 64 << 20, 1 << 16..=1 << 40),
            file_span: trace.span("file-span", 3600.0, 1.0..=604_800.0),
            most_bytes: trace.bytes("most-bytes", 1 << 30, 1 << 17..=1 << 50),
            most_files: trace.count("most-files", 200, 2..=100_000),
            sample: trace.count("sample", 1, 1..=1_000_000) as u32,
            key_file: trace.text("key-file"),
        };
        if read.most_bytes < 2 * read.file_bytes && trace.has("file-bytes") {
            trace.fault("most-bytes", "should have room for two files of file-bytes at the least");
        }
        trace.finish();
        settings.trace = Some(read);
    }
    top.finish();
    match reader.faults() {
        faults if faults.is_empty() => Ok(settings),
        faults => Err(faults),
    }
}

/// Text as it may stand in settings.
fn quoted(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n").replace('\t', "\\t");
    format!("\"{escaped}\"")
}

/// What holds, defaults included, as settings that say the same.
pub fn show_settings(settings: &Settings) -> String {
    let mut out = String::new();
    let format = if settings.log.format == LogFormat::Json { "json" } else { "text" };
    let filter = settings.log.filter.as_ref().map_or(String::new(), |f| format!(" (filter {})", quoted(f)));
    let _ = writeln!(out, "(log (format {format}){filter})");
    match &settings.trace {
        None => out.push_str("; trace: off\n"),
        Some(t) => {
            let _ = writeln!(out, "(trace\n  (folder {})", quoted(&t.folder));
            let _ = writeln!(out, "  (block-rows {})\n  (block-span {}s)", t.block_rows, t.block_span);
            let _ = writeln!(out, "  (file-bytes {}B)\n  (file-span {}s)", t.file_bytes, t.file_span);
            let _ = writeln!(out, "  (most-bytes {}B)\n  (most-files {})", t.most_bytes, t.most_files);
            let key = t.key_file.as_ref().map_or(String::new(), |f| format!("\n  (key-file {})", quoted(f)));
            let _ = writeln!(out, "  (sample {}){key})", t.sample);
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_read_as_they_are_shown() {
        let text =
            "; ours\n(log (format json))\n(trace (folder \"/a \\\"b\\\"\") (file-span 2h) (file-bytes 1MB))";
        let settings = read_settings("x", text).unwrap();
        let trace = settings.trace.as_ref().unwrap();
        assert_eq!((trace.folder.as_str(), trace.file_span, trace.file_bytes), ("/a \"b\"", 7200.0, 1 << 20));
        assert_eq!(read_settings("shown", &show_settings(&settings)).unwrap(), settings);
        assert_eq!(read_settings("x", "").unwrap(), Settings::default());
    }

    #[test]
    fn every_fault_is_named_with_its_place_in_one_reading() {
        let text = "(log (format yaml))\n(trace\n  (block-rows many)\n  (file-spam 1h)\n  (file-span 90)\n  (sample 1) (sample 2))\nstray";
        let said: Vec<String> =
            read_settings("f.scm", text).unwrap_err().iter().map(Fault::to_string).collect();
        let wanted = [
            "f.scm:1:14: log.format: should be one of text, json",
            "f.scm:2:1: trace.folder: should be given",
            "f.scm:3:15: trace.block-rows: should be a whole number from 16 to 65536",
            "f.scm:4:3: trace.file-spam: is not known; file-span may be meant",
            "f.scm:5:14: trace.file-span: should be from 1s to 168h",
            "f.scm:6:14: trace.sample: stands here a second time",
            "f.scm:7:1: should be a list that begins with a key",
        ];
        assert_eq!(said, wanted);
    }

    #[test]
    fn a_text_that_cannot_be_read_says_where() {
        for (text, place) in [("(log", "1:5"), ("(a))", "1:4"), ("(a \"x", "1:6"), ("(a \"\\q\")", "1:6")] {
            let faults = read_settings("f", text).unwrap_err();
            assert!(
                faults.iter().any(|f| f.to_string().starts_with(&format!("f:{place}: "))),
                "{text}: {faults:?}"
            );
        }
        assert!(read_settings("f", &"(".repeat(1_000_000)).is_err());
    }
}
