//! Our own settings: all that the platform does not tell a server. Without a file everything here is off, and the
//! log is as it was.

use crate::fleet::{self, Archive, Keeper, Steward};
use crate::sexpr::{Block, Fault, Reader};
use std::fmt::Write;
use std::net::SocketAddr;

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

/// Where a server sends what it decided of late.
#[derive(Clone, Debug, PartialEq)]
pub struct Publish {
    pub control: Vec<SocketAddr>,
    pub zone: String,
    /// s
    pub every: f64,
    /// Where proxies reach this server, if not where it listens.
    pub address: Option<SocketAddr>,
}

/// The control service.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub xds: SocketAddr,
    pub reports: SocketAddr,
    pub debug: Option<SocketAddr>,
    /// All of these s: the oldest decision that a proxy may use, heartbeats, plans, how long a server is believed.
    pub bound: f64,
    pub heartbeat: f64,
    pub plan_every: f64,
    pub fresh: f64,
    pub gone: f64,
    /// Share of the servers that may be silent before the reports are suspected.
    pub panic: f64,
    pub subset: usize,
    pub most_proxies: usize,
    pub most_servers: usize,
    pub snapshot: Option<String>,
    /// Certificate, key, and the authority of proxies' certificates; PEM files.
    pub tls: Option<(String, String, Option<String>)>,
}

#[derive(Clone, Debug, PartialEq, Default)]
pub struct Settings {
    pub log: Log,
    pub trace: Option<Trace>,
    pub publish: Option<Publish>,
    pub control: Option<Control>,
    pub keeper: Option<Keeper>,
    pub steward: Option<Steward>,
    pub archive: Option<Archive>,
}

/// An address behind a key, as text.
pub(crate) fn address(block: &Block, key: &'static str) -> Option<SocketAddr> {
    let text = block.text(key)?;
    let found = text.parse().ok();
    if found.is_none() {
        block.fault(key, "should be an address such as \"127.0.0.1:18000\"");
    }
    found
}

/// The same where there must be one.
pub(crate) fn needed(block: &Block, key: &'static str) -> SocketAddr {
    if !block.has(key) {
        block.fault(key, "should be given");
    }
    address(block, key).unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn publish(block: &Block) -> Publish {
    let control = block.texts("control");
    let read: Vec<SocketAddr> = control.iter().filter_map(|text| text.parse().ok()).collect();
    if read.len() != control.len() || read.is_empty() {
        block.fault("control", "should be addresses such as \"127.0.0.1:18001\", one or more");
    }
    let told = Publish {
        control: read,
        zone: block.text("zone").unwrap_or_else(|| "default".into()),
        every: block.span("every", 0.25, 0.05..=10.0),
        address: address(block, "address"),
    };
    block.finish();
    told
}

fn control(block: &Block) -> Control {
    let tls = block.block("tls").map(|tls| {
        let read = (tls.text("certificate"), tls.text("key"), tls.text("clients"));
        for key in ["certificate", "key"] {
            if !tls.has(key) {
                tls.fault(key, "should be given");
            }
        }
        tls.finish();
        (read.0.unwrap_or_default(), read.1.unwrap_or_default(), read.2)
    });
    let told = Control {
        xds: needed(block, "xds"),
        reports: needed(block, "reports"),
        debug: address(block, "debug"),
        bound: block.span("bound", 2.0, 0.2..=600.0),
        heartbeat: block.span("heartbeat", 0.5, 0.05..=300.0),
        plan_every: block.span("plan-every", 0.25, 0.05..=60.0),
        fresh: block.span("fresh", 1.0, 0.1..=600.0),
        gone: block.span("gone", 4.0, 0.2..=3600.0),
        panic: block.number("panic", 0.5, 0.05..=1.0),
        subset: block.count("subset", 100, 1..=100_000),
        most_proxies: block.count("most-proxies", 10_000, 1..=1_000_000),
        most_servers: block.count("most-servers", 20_000, 1..=1_000_000),
        snapshot: block.text("snapshot"),
        tls,
    };
    if told.heartbeat * 2.0 > told.bound {
        block.fault("heartbeat", "should be half of the bound at the most, or leases end between two");
    }
    if told.gone <= told.fresh {
        block.fault("gone", "should be longer than fresh");
    }
    block.finish();
    told
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
    settings.publish = top.block("publish").as_ref().map(publish);
    settings.control = top.block("control").as_ref().map(control);
    settings.keeper = top.block("keeper").as_ref().map(fleet::keeper);
    settings.steward = top.block("steward").as_ref().map(fleet::steward);
    settings.archive = top.block("archive").as_ref().map(fleet::archive);
    top.finish();
    match reader.faults() {
        faults if faults.is_empty() => Ok(settings),
        faults => Err(faults),
    }
}

/// Text as it may stand in settings.
pub(crate) fn quoted(text: &str) -> String {
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
    match &settings.publish {
        None => out.push_str("; publish: off\n"),
        Some(p) => {
            let at: Vec<String> = p.control.iter().map(|at| format!("\"{at}\"")).collect();
            let own = p.address.map_or(String::new(), |at| format!(" (address \"{at}\")"));
            let (at, zone, every) = (at.join(" "), quoted(&p.zone), p.every);
            let _ = writeln!(out, "(publish (control {at}) (zone {zone}) (every {every}s){own})");
        }
    }
    match &settings.control {
        None => out.push_str("; control: off\n"),
        Some(c) => {
            let debug = c.debug.map_or(String::new(), |at| format!("\n  (debug \"{at}\")"));
            let _ = writeln!(out, "(control\n  (xds \"{}\")\n  (reports \"{}\"){debug}", c.xds, c.reports);
            let _ = writeln!(
                out,
                "  (bound {}s) (heartbeat {}s) (plan-every {}s)",
                c.bound, c.heartbeat, c.plan_every
            );
            let _ = writeln!(out, "  (fresh {}s) (gone {}s) (panic {})", c.fresh, c.gone, c.panic);
            let _ = write!(
                out,
                "  (subset {}) (most-proxies {}) (most-servers {})",
                c.subset, c.most_proxies, c.most_servers
            );
            let snapshot =
                c.snapshot.as_ref().map_or(String::new(), |f| format!("\n  (snapshot {})", quoted(f)));
            let tls = c.tls.as_ref().map_or(String::new(), |(certificate, key, clients)| {
                let clients = clients.as_ref().map_or(String::new(), |f| format!(" (clients {})", quoted(f)));
                format!("\n  (tls (certificate {}) (key {}){clients})", quoted(certificate), quoted(key))
            });
            let _ = writeln!(out, "{snapshot}{tls})");
        }
    }
    // Those of other processes are shown where they stand.
    settings.keeper.iter().for_each(|keeper| keeper.show(&mut out));
    settings.steward.iter().for_each(|steward| steward.show(&mut out));
    settings.archive.iter().for_each(|archive| archive.show(&mut out));
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
    fn the_control_service_and_who_publishes_to_it_read_as_they_are_shown() {
        let text = "(control (xds \"127.0.0.1:1\") (reports \"127.0.0.1:2\") (debug \"127.0.0.1:3\") (bound 3s) (snapshot \"s\")
            (tls (certificate \"c\") (key \"k\") (clients \"a\")))
            (publish (control \"127.0.0.1:2\" \"127.0.0.2:2\") (zone \"a\") (every 100ms))";
        let settings = read_settings("x", text).unwrap();
        assert_eq!(settings.control.as_ref().unwrap().bound, 3.0);
        assert_eq!(settings.publish.as_ref().unwrap().control.len(), 2);
        assert_eq!(read_settings("shown", &show_settings(&settings)).unwrap(), settings);
        let wrong = "(control (xds \"here\") (heartbeat 2s) (gone 500ms)) (publish (control 5))";
        let said: Vec<String> =
            read_settings("f", wrong).unwrap_err().iter().map(|f| f.key.clone()).collect();
        assert_eq!(
            said,
            [
                "control.reports",
                "control.xds",
                "control.heartbeat",
                "control.gone",
                "publish.control",
                "publish.control"
            ]
        );
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
