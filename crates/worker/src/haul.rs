//! One step of gathering: reads the next pieces and brings them to the archive until the step's time is over.

use crate::gather::{over, part_of, Lying, Plan};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::{Epoch, Task};
use puffinladder_trace::file::{pack_notes, pack_rows, Kind};
use puffinladder_trace::{Names, Trace};
use puffinladder_trace_store::words::{Answer, Ask, Outcome, Piece, Source, Taken, LINE};
use puffinladder_transport::{connect, write_line, Clock, LineReader};
use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// What gathering needs to know.
#[derive(Clone, Debug)]
pub struct Told {
    /// Holds a folder of traces for each server.
    pub traces: PathBuf,
    pub archive: SocketAddr,
    pub parts: u32,
    /// s between looks at the folders, and that a step may take.
    pub every: f64,
    pub step: f64,
}

/// How a step ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Came {
    pub progress: bool,
    pub work: bool,
    /// The fence has seen a later epoch.
    pub fenced: bool,
}

struct Line {
    from: LineReader<OwnedReadHalf>,
    to: OwnedWriteHalf,
}

/// The state of one part's owner, from step to step.
pub struct Haul {
    told: Told,
    duty: Task,
    epoch: Epoch,
    plan: Plan,
    line: Option<Line>,
    /// Of the last effect that the archive is known to have.
    number: u64,
    looked: f64,
    /// s that a piece takes.
    took: f64,
    open: Option<(Source, Trace<BufReader<File>>)>,
    /// The archive has had no room, or could not be reached: told once.
    troubled: bool,
}

impl Haul {
    pub fn new(told: Told, duty: Task, epoch: Epoch) -> Haul {
        let (plan, line, open) = (Plan::default(), None, None);
        Haul { told, duty, epoch, plan, line, number: 0, looked: f64::MIN, took: 0.0, open, troubled: false }
    }

    /// s until there may be something to do.
    pub fn rest(&self) -> f64 {
        self.told.every
    }

    /// Works until `until` by this clock, until there is nothing to do, or until told to halt: then the piece under way is the last.
    pub async fn step(&mut self, clock: &Clock, until: f64, halt: &AtomicBool) -> Came {
        let mut came = Came { work: true, ..Came::default() };
        let until = until.min(clock.now() + self.told.step);
        let left = |now: f64| clock.sleep_duration((until - now).max(0.0));
        match tokio::time::timeout(left(clock.now()), self.pieces(clock, until, halt, &mut came)).await {
            Ok(Ok(())) => {
                if std::mem::take(&mut self.troubled) {
                    tracing::info!("{}: goes on", self.duty);
                }
            }
            Ok(Err(what)) => self.complain(&what),
            Err(_) => {
                // Whether the piece under way was taken is not known: asked anew.
                self.line = None;
                self.complain("the archive does not answer within the step");
            }
        }
        came
    }

    fn complain(&mut self, what: &str) {
        self.line = None;
        if !std::mem::replace(&mut self.troubled, true) {
            tracing::warn!("{}: {what}; tried again", self.duty);
        }
    }

    async fn pieces(
        &mut self,
        clock: &Clock,
        until: f64,
        halt: &AtomicBool,
        came: &mut Came,
    ) -> Result<(), String> {
        while !halt.load(Ordering::Relaxed) {
            if self.line.is_none() && !self.begin(came).await? {
                return Ok(());
            }
            let now = clock.now();
            // No piece is begun that would not be answered within the step.
            if now + 2.0 * self.took >= until && came.progress || now >= until {
                return Ok(());
            }
            if now - self.looked >= self.told.every {
                self.looked = now;
                let (told, part) = (self.told.clone(), self.duty.part);
                let lying = tokio::task::spawn_blocking(move || survey(&told.traces, told.parts, part));
                self.plan.look(lying.await.map_err(|e| e.to_string())??);
            }
            let Some((source, place)) = self.plan.next(now) else {
                came.work = false;
                return Ok(());
            };
            let path = self.told.traces.join(&source.server).join(&source.file);
            let open = self.open.take().filter(|(held, _)| *held == source);
            let file = source.clone();
            let read = tokio::task::spawn_blocking(move || read(open, &file, &path, place));
            let (open, block, last) = match read.await.map_err(|e| e.to_string())? {
                Ok(read) => read,
                Err(what) => {
                    if self.plan.put_off(now, &source) {
                        tracing::warn!(
                            "{}: {}/{}: {what}; tried again later",
                            self.duty,
                            source.server,
                            source.file
                        );
                    }
                    continue;
                }
            };
            self.open = Some((source.clone(), open));
            let on = self.put(Piece { source, place, last }, &block, came).await?;
            // The longest of late, since the disk over there has its moods.
            self.took = (0.9 * self.took).max(clock.now() - now);
            if !on {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Shows the epoch and learns where to go on. Whether it may.
    async fn begin(&mut self, came: &mut Came) -> Result<bool, String> {
        let at = self.told.archive;
        let stream = connect(at).await.map_err(|e| format!("the archive at {at}: {e}"))?;
        let (from, to) = stream.into_split();
        let mut line = Line { from: LineReader::new(from, 64 << 20), to };
        let ask = Ask::Announce { duty: self.duty.clone(), epoch: self.epoch, parts: self.told.parts };
        match converse(&mut line, &ask).await? {
            Answer::Begun { verdict, number, taken } if verdict.is_applied() => {
                self.plan.begin(taken);
                (self.number, self.line, self.looked) = (number, Some(line), f64::MIN);
                Ok(true)
            }
            Answer::Begun { .. } => {
                came.fenced = true;
                Ok(false)
            }
            other => Err(format!("the archive says {other:?}")),
        }
    }

    /// Brings a piece. Whether it may go on.
    async fn put(&mut self, piece: Piece, block: &[u8], came: &mut Came) -> Result<bool, String> {
        let ask = Ask::Put {
            duty: self.duty.clone(),
            epoch: self.epoch,
            number: self.number + 1,
            piece: piece.clone(),
            block: BASE64_STANDARD.encode(block),
        };
        let line = self.line.as_mut().ok_or("no line to the archive")?;
        match converse(line, &ask).await? {
            Answer::Put(Outcome::Fence(Verdict::New)) => {
                self.number += 1;
                came.progress = true;
                self.plan.took(&piece.source, Taken { blocks: piece.place + 1, done: piece.last });
                Ok(true)
            }
            Answer::Put(Outcome::Fence(Verdict::Stale { .. })) => {
                came.fenced = true;
                Ok(false)
            }
            Answer::Put(Outcome::Elsewhere(taken)) => {
                self.plan.took(&piece.source, taken);
                Ok(true)
            }
            // It knows more of this epoch than we do, or less: asked anew.
            Answer::Put(Outcome::Fence(_)) => {
                self.line = None;
                Ok(true)
            }
            Answer::Put(Outcome::Full) => Err("the archive is full".into()),
            other => Err(format!("the archive says {other:?}")),
        }
    }
}

async fn converse(line: &mut Line, ask: &Ask) -> Result<Answer, String> {
    write_line(&mut line.to, ask, Duration::from_secs(60)).await.map_err(|e| format!("the archive: {e}"))?;
    let answer = line.from.read().await.map_err(|e| format!("the archive: {e}"))?;
    answer.ok_or_else(|| "the archive closed the connection".into())
}

/// What lies in the folders of the servers that belong to a part. A server's folder that can't be read is as one without files.
pub fn survey(traces: &Path, parts: u32, part: u32) -> Result<Vec<Lying>, String> {
    let listed = std::fs::read_dir(traces).map_err(|e| format!("{}: {e}", traces.display()))?;
    let mut lying = Vec::new();
    for folder in listed.filter_map(Result::ok) {
        let Some(server) = folder.file_name().to_str().map(String::from) else { continue };
        if part_of(&server, parts) != part || !puffinladder_trace_store::core::fit(&server) {
            continue;
        }
        let Ok(files) = std::fs::read_dir(folder.path()) else { continue };
        let mut found = Vec::new();
        for file in files.filter_map(Result::ok) {
            let Some(name) = file.file_name().to_str().map(String::from) else { continue };
            if name.ends_with(".trace") && puffinladder_trace_store::core::fit(&name) {
                found.push((name, false));
            }
        }
        // Only of the newest it matters whether it is sealed.
        if let Some(newest) = found.iter_mut().max() {
            let opened = File::open(folder.path().join(&newest.0)).map(BufReader::new);
            newest.1 = opened.is_ok_and(|file| Trace::open(file).is_ok_and(|trace| trace.sealed));
        }
        lying.extend(over(&server, found));
    }
    Ok(lying)
}

type Read = (Trace<BufReader<File>>, Vec<u8>, bool);

/// A block of a file, and whether it is the last. One that can't be read is empty: the rest of the file goes on.
fn read(
    open: Option<(Source, Trace<BufReader<File>>)>,
    source: &Source,
    path: &Path,
    place: u64,
) -> Result<Read, String> {
    let mut trace = match open {
        Some((_, trace)) => trace,
        None => {
            let file = File::open(path).map_err(|e| e.to_string())?;
            Trace::open(BufReader::new(file)).map_err(|e| e.to_string())?
        }
    };
    let known = |kind: Kind| matches!(kind, Kind::Rows | Kind::Notes);
    let count = trace.entries.iter().filter(|entry| known(entry.kind)).count() as u64;
    let entry = trace.entries.iter().filter(|entry| known(entry.kind)).nth(place as usize).copied();
    let Some(entry) = entry else { return Ok((trace, Vec::new(), true)) };
    let mut names = Names::default();
    // Files of the first version have no blocks: they are made here.
    let block = if trace.major == puffinladder_trace::v1::MAJOR {
        let (mut rows, mut notes) = (Vec::new(), Vec::new());
        match entry.kind {
            Kind::Rows => trace.rows(&entry, &mut names, &mut rows).map(|()| pack_rows(&names, &mut rows)),
            _ => trace.notes(&entry, &mut names, &mut notes).map(|()| pack_notes(&names, &mut notes)),
        }
    } else {
        trace.raw(&entry)
    };
    let fits = |bytes: &Vec<u8>| bytes.len() < LINE / 2;
    let bytes = match block.map(|block| block.bytes) {
        Ok(bytes) if fits(&bytes) => bytes,
        Ok(_) => {
            tracing::warn!("{}/{}: block {place} is too long to be gathered", source.server, source.file);
            Vec::new()
        }
        Err(e) => {
            tracing::warn!("{}/{}: block {place}: {e}", source.server, source.file);
            Vec::new()
        }
    };
    Ok((trace, bytes, place + 1 >= count))
}
