//! A steward that gathers traces and the archive that takes them, over servers that write. Each server has a sealed file ready each five seconds, with
//! one block of what it served meanwhile: a server's own files are sealed once an hour, with as many blocks in all.
//!
//! `servers` are those that write, `requests` all that they serve together a second. Bytes and messages are lines between steward and archive, counted by a
//! relay between them. A run in which the blocks taken fall behind those written is an error: its cost would be that of a smaller size.

use crate::child::{until, Child};
use crate::fleet::Keepers;
use crate::meter::{Meter, Passed};
use crate::{count, pass, size, steward, Counted, Gauge, Sizes, Taken};
use puffinladder_trace::file::{FileMetadata, Writer};
use puffinladder_trace::merge::BlockWriter;
use puffinladder_trace::row::Names;
use puffinladder_trace::synth::{Generator, Record, SynthConfig};
use puffinladder_trace_store::protocol::{Request, Response};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// s between two blocks of a server, as its settings have it by default; less where less is measured.
const BLOCK: f64 = 5.0;
const PARTS: usize = 4;
/// Share of the blocks written that has to be taken in the same time.
const KEPT_UP: f64 = 0.8;

/// A sealed file of one server over so many s at so many requests a second, as one block.
fn file(server: &str, span: f64, rate: f64, seed: u64) -> Result<Vec<u8>, String> {
    let told =
        SynthConfig { seed, span, rate, node: server.into(), overload_share: 0.0, ..SynthConfig::default() };
    let mut names = Names::default();
    let mut maker = Generator::new(&told, &mut names);
    let mut bytes = Vec::new();
    let told_by = FileMetadata { node: server.into(), created: told.from };
    let mut writer = Writer::new(&mut bytes, &told_by).map_err(|e| e.to_string())?;
    let mut into = BlockWriter::new(1 << 16, &mut writer);
    let mut rows = 0;
    while let Some(record) = maker.next(&mut names) {
        if let Record::Row(row) = record {
            rows += 1;
            into.write_row(&names, row).map_err(|e| e.to_string())?;
        }
    }
    into.flush(&names).map_err(|e| e.to_string())?;
    writer.seal().map_err(|e| e.to_string())?;
    if rows == 0 {
        return Err(format!("no request in {span} s at {rate} a second"));
    }
    Ok(bytes)
}

/// A server's files, one after the other: under another name first, so that nobody finds half of one.
async fn server(folder: PathBuf, name: String, bytes: Arc<Vec<u8>>, block: f64, first: Duration) {
    tokio::time::sleep(first).await;
    let mut due = tokio::time::interval(Duration::from_secs_f64(block));
    for serial in 1u64.. {
        due.tick().await;
        let half = folder.join(format!("{serial:010}.half"));
        let whole = folder.join(format!("{name}-{serial:010}.trace"));
        // A disk that fails shows as blocks that are not taken.
        if std::fs::write(&half, &*bytes).and_then(|()| std::fs::rename(&half, &whole)).is_err() {
            return;
        }
    }
}

async fn blocks(archive: SocketAddr) -> Option<u64> {
    let asked =
        puffinladder_transport::request(archive, &Request::Status, Duration::from_secs(2), 1 << 20).await;
    match asked {
        Ok(Some(Response::Status { blocks, .. })) => Some(blocks),
        _ => None,
    }
}

async fn start(gauge: &Gauge, folder: &Path) -> Result<(Child, SocketAddr), String> {
    let path = folder.join("archive.scm");
    let text =
        format!("(archive (listen \"127.0.0.1:0\") (folder \"{}\"))\n", folder.join("archive").display());
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    let args = ["archive".into(), "--settings".into(), path.display().to_string()];
    let mut child = Child::start(&gauge.program, &args, "archive", folder)?;
    let listens = |line: &str| line.split_once("listens on ")?.1.split(',').next()?.trim().parse().ok();
    let at = child.says("the archive to listen", listens).await?;
    Ok((child, at))
}

pub async fn point(gauge: &Gauge, sizes: &Sizes) -> Result<Vec<Taken>, String> {
    let (servers, requests) = (count(sizes, "servers")?, size(sizes, "requests")?);
    // Whole blocks: each server writes as often as any other while it is measured.
    let block = BLOCK.min(gauge.span);
    let span = (gauge.span / block).ceil() * block;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let duties = format!("(duty (name \"gather\") (parts {PARTS}))");
    let mut keepers = Keepers::start(gauge, folder.path(), &duties).await?;
    let (mut archive, at) = start(gauge, folder.path()).await?;
    let meter = Meter::open().await?;
    meter.lead_to(at);
    let traces = folder.path().join("traces");
    let inside = format!(
        "(gather (traces \"{}\") (archive \"{}\") (parts {PARTS}) (every 1s) (step 500ms))",
        traces.display(),
        meter.at
    );
    let mut writing = JoinSet::new();
    // What stands in it is the same for all: drawing it anew for each would cost this process more than what is measured.
    let bytes = Arc::new(file("n00000", block, requests / servers as f64, gauge.seed)?);
    for at in 0..servers {
        let name = format!("n{at:05}");
        let own = traces.join(&name);
        std::fs::create_dir_all(&own).map_err(|e| format!("{}: {e}", own.display()))?;
        let first = Duration::from_secs_f64(block * at as f64 / servers as f64);
        writing.spawn(server(own, name, bytes.clone(), block, first));
    }
    let (mut child, _) = steward::start(gauge, folder.path(), &keepers, &inside).await?;
    keepers.all_owned().await?;
    // Every server has written once, and as many blocks are there.
    let come = async || (blocks(at).await? >= servers as u64).then_some(());
    until("a block of each server", &mut [&mut child, &mut archive], come).await?;
    let look = async |child: &Child, archive: &Child| -> Result<_, String> {
        // Before it is asked anything: the question's own connection would be counted.
        let (gathers, keeps) = (child.usage()?, archive.usage()?);
        let passed = Counted::now(meter.passed());
        let blocks = blocks(at).await.ok_or_else(|| archive.fault("does not say what it holds"))?;
        Ok((gathers, keeps, passed, blocks))
    };
    let before = look(&child, &archive).await?;
    let span = pass(span).await;
    let after = look(&child, &archive).await?;
    let (took, written) = ((after.3 - before.3) as f64, servers as f64 * span / block);
    // One look's worth may lie between.
    if took + servers as f64 / block < KEPT_UP * written {
        return Err(archive
            .fault(&format!("took {took} blocks while {written:.0} were written: it does not keep up")));
    }
    let rate = |of: fn(&Passed) -> u64| after.2.rate(&before.2, of);
    let there = (rate(|all| all.there), rate(|all| all.lines_there));
    let back = (rate(|all| all.back), rate(|all| all.lines_back));
    let one =
        |role, now: &crate::usage::Usage, then: &crate::usage::Usage, out: (f64, f64), into: (f64, f64)| {
            let mut taken = Taken::of(role, span);
            now.tell(then, &mut taken);
            taken.put("sent", out.0);
            taken.put("messages_sent", out.1);
            taken.put("received", into.0);
            taken.put("messages_received", into.1);
            taken
        };
    Ok(vec![
        one("steward-gather", &after.0, &before.0, there, back),
        one("archive", &after.1, &before.1, back, there),
    ])
}
