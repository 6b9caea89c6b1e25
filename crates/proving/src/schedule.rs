//! Fault schedules: read from S-expressions, generated from a seed, and written back. Times are seconds since all processes were ready.
//!
//! ```text
//! (schedule (seed 7) (keepers 3) (stewards 4) (servers 6) (parts 8) (span 12s)
//!   (fault (at 2s) (do pause) (who "s1") (span 3s))
//!   (fault (at 4s) (do cut) (who "s2") (to "archive") (way there) (span 2s)))
//! ```

use puffinladder_settings::sexpr::{Block, Diagnostic, Reader};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::{self, Write};

/// Process of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessId {
    /// Lease store replica, numbered from 1.
    Replica(u64),
    Worker(usize),
    TraceStore,
    /// Stand-in server that reports to the workers.
    QuotaServer(usize),
}

impl fmt::Display for ProcessId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProcessId::Replica(number) => write!(out, "k{number}"),
            ProcessId::Worker(number) => write!(out, "s{number}"),
            ProcessId::TraceStore => out.write_str("archive"),
            ProcessId::QuotaServer(number) => write!(out, "n{number}"),
        }
    }
}

impl ProcessId {
    pub fn read(text: &str) -> Option<ProcessId> {
        if text == "archive" {
            return Some(ProcessId::TraceStore);
        }
        let (kind, number) = text.split_at_checked(1)?;
        let number = number.parse().ok().filter(|number| (1..=10_000).contains(number))?;
        match kind {
            "k" => Some(ProcessId::Replica(number)),
            "s" => Some(ProcessId::Worker(number as usize)),
            "n" => Some(ProcessId::QuotaServer(number as usize)),
            _ => None,
        }
    }
}

/// Direction of a link; `Forward` is from the fault's `process` to its `peer`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    Forward,
    Reverse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGSTOP, and SIGCONT at the end.
    Pause,
    /// Pause of the replica that is leader at that time.
    PauseLeader,
    /// SIGKILL, and a restart with the same disk at the end.
    Kill,
    /// Kill of the replica that is leader at that time.
    KillLeader,
    /// SIGTERM, and a restart at the end.
    Terminate,
    /// SIGTERM to a server, and a restart once it has exited by itself.
    DrainAndRestart,
    /// A replica loses its disk; a new replica joins in its place at the end.
    LoseDisk,
    /// No bytes pass a link; its connections are reset at the end.
    Partition,
    /// No bytes pass a link; all of them are delivered at the end.
    HoldTraffic,
    /// Connections of a link are reset.
    ResetConnections,
    /// Each chunk is delayed by up to `value` s.
    Delay,
    /// Bandwidth is limited to `value` bytes/s.
    Throttle,
    /// The clock runs `value` times as fast.
    ClockRate,
    /// The wall clock is off by `value` s.
    WallClockOffset,
    /// Disk syncs of a replica take `value` s.
    SlowSync,
}

const FAULT_KEYWORDS: [(&str, FaultKind); 15] = [
    ("pause", FaultKind::Pause),
    ("pause-leader", FaultKind::PauseLeader),
    ("kill", FaultKind::Kill),
    ("kill-leader", FaultKind::KillLeader),
    ("leave", FaultKind::Terminate),
    ("release", FaultKind::DrainAndRestart),
    ("lose", FaultKind::LoseDisk),
    ("cut", FaultKind::Partition),
    ("hold", FaultKind::HoldTraffic),
    ("reset", FaultKind::ResetConnections),
    ("slow", FaultKind::Delay),
    ("trickle", FaultKind::Throttle),
    ("rate", FaultKind::ClockRate),
    ("wall", FaultKind::WallClockOffset),
    ("sync", FaultKind::SlowSync),
];
const DIRECTION_KEYWORDS: [(&str, Direction); 3] =
    [("both", Direction::Both), ("there", Direction::Forward), ("back", Direction::Reverse)];

impl FaultKind {
    pub fn keyword(self) -> &'static str {
        FAULT_KEYWORDS.iter().find(|(_, kind)| *kind == self).map_or("", |(keyword, _)| keyword)
    }
    fn affects_link(self) -> bool {
        matches!(
            self,
            FaultKind::Partition
                | FaultKind::HoldTraffic
                | FaultKind::ResetConnections
                | FaultKind::Delay
                | FaultKind::Throttle
        )
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub start: f64,
    pub kind: FaultKind,
    pub process: ProcessId,
    /// Other end of a link; `None` means all links of the process.
    pub peer: Option<ProcessId>,
    pub direction: Direction,
    pub duration: f64,
    pub value: f64,
}

impl Fault {
    pub fn new(start: f64, kind: FaultKind, process: ProcessId, duration: f64) -> Fault {
        Fault { start, kind, process, peer: None, direction: Direction::Both, duration, value: 0.0 }
    }
    /// Returns the affected direction of the link, as seen from `from`, its connecting end, or `None` if the fault does not affect it.
    pub fn direction_on_link(&self, from: ProcessId, to: ProcessId) -> Option<Direction> {
        let other = |end: ProcessId| self.peer.is_none_or(|to| to == end);
        if self.process == from && other(to) {
            return Some(self.direction);
        }
        let reversed = match self.direction {
            Direction::Both => Direction::Both,
            Direction::Forward => Direction::Reverse,
            Direction::Reverse => Direction::Forward,
        };
        (self.process == to && other(from)).then_some(reversed)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    pub replicas: u64,
    pub workers: usize,
    /// Stand-in servers that report to the workers for quota shares and drain slots.
    pub quota_servers: usize,
    /// Servers whose traces are collected, and parts of the collection task.
    pub servers: usize,
    pub parts: usize,
    /// Trace files that each server has at the start, and s between later files over all servers.
    pub backlog_files: usize,
    pub file_interval: f64,
    /// Time for which there is traffic and faults start, s.
    pub duration: f64,
    /// Lease term, s; all other times of the replicas derive from it.
    pub lease_term: f64,
    pub faults: Vec<Fault>,
}

impl Default for Schedule {
    fn default() -> Schedule {
        Schedule {
            seed: 1,
            replicas: 3,
            workers: 3,
            quota_servers: 0,
            servers: 6,
            parts: 6,
            backlog_files: 1,
            file_interval: 0.02,
            duration: 8.0,
            lease_term: 0.6,
            faults: Vec::new(),
        }
    }
}

const MAX_DURATION_S: f64 = 3600.0;
const MAX_FAULTS: usize = 10_000;

impl Schedule {
    pub fn read(file: &str, text: &str) -> Result<Schedule, Vec<Diagnostic>> {
        let reader = Reader::new(file, text);
        let forms = reader.parse();
        let top = reader.top_level(&forms);
        let defaults = Schedule::default();
        let read = top.block("schedule").map(|block| {
            let mut schedule = Schedule {
                seed: block.count("seed", defaults.seed as usize, 0..=usize::MAX) as u64,
                replicas: block.count("keepers", defaults.replicas as usize, 1..=9) as u64,
                workers: block.count("stewards", defaults.workers, 1..=300),
                quota_servers: block.count("seats", defaults.quota_servers, 0..=300),
                servers: block.count("servers", defaults.servers, 1..=300),
                parts: block.count("parts", defaults.parts, 1..=10_000),
                backlog_files: block.count("backlog", defaults.backlog_files, 0..=10_000),
                file_interval: block.duration("files", defaults.file_interval, 0.001..=60.0),
                duration: block.duration("span", defaults.duration, 0.1..=MAX_DURATION_S),
                lease_term: block.duration("term", defaults.lease_term, 0.2..=60.0),
                faults: Vec::new(),
            };
            let faults = block.blocks("fault");
            if faults.len() > MAX_FAULTS {
                block.report("fault", format!("should be given at most {MAX_FAULTS} times"));
            }
            schedule.faults =
                faults.iter().take(MAX_FAULTS).map(|block| read_fault(block, &schedule)).collect();
            block.finish();
            schedule
        });
        if read.is_none() {
            top.report("schedule", "should be given");
        }
        top.finish();
        match (read, reader.into_diagnostics()) {
            (Some(schedule), faults) if faults.is_empty() => Ok(schedule),
            (_, faults) => Err(faults),
        }
    }

    pub fn has(&self, who: ProcessId) -> bool {
        match who {
            ProcessId::Replica(number) => (1..=self.replicas).contains(&number),
            ProcessId::Worker(number) => (1..=self.workers).contains(&number),
            ProcessId::TraceStore => true,
            ProcessId::QuotaServer(number) => (1..=self.quota_servers).contains(&number),
        }
    }

    pub fn processes(&self) -> Vec<ProcessId> {
        let replicas = (1..=self.replicas).map(ProcessId::Replica);
        let workers = (1..=self.workers).map(ProcessId::Worker);
        replicas
            .chain([ProcessId::TraceStore])
            .chain(workers)
            .chain((1..=self.quota_servers).map(ProcessId::QuotaServer))
            .collect()
    }

    /// Returns the schedule with other faults.
    pub fn with(&self, faults: Vec<Fault>) -> Schedule {
        Schedule { faults, ..self.clone() }
    }

    /// Generates a schedule: the same for the same seed and size.
    pub fn generate(seed: u64, size: &Schedule) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut generated = Schedule { seed, faults: Vec::new(), ..size.clone() };
        let processes = generated.processes();
        for who in processes {
            if rng.random_bool(0.4) {
                let value = 1.0 + rng.random_range(-0.01..0.01);
                generated
                    .faults
                    .push(Fault { value, ..Fault::new(0.0, FaultKind::ClockRate, who, MAX_DURATION_S) });
            }
        }
        let count = rng.random_range(4..=10);
        let mut disk_lost = false;
        for _ in 0..count {
            let at = rng.random_range(0.3..generated.duration.max(0.6) * 0.9);
            // Short faults end within a term, long ones outlast several terms.
            let short = rng.random_bool(0.3);
            let terms = if short { rng.random_range(0.1..0.9) } else { rng.random_range(1.5..5.0) };
            let span = terms * generated.lease_term;
            let replica = ProcessId::Replica(rng.random_range(1..=generated.replicas));
            let worker = ProcessId::Worker(rng.random_range(1..=generated.workers));
            let direction = [Direction::Both, Direction::Forward, Direction::Reverse][rng.random_range(0..3)];
            let ProcessId::Replica(number) = replica else { continue };
            let other = ProcessId::Replica(1 + number % generated.replicas);
            let ends = [(worker, ProcessId::TraceStore), (worker, replica), (replica, other)];
            let (from, to) = ends[rng.random_range(0..3)];
            let link = |kind| Fault { peer: Some(to), direction, ..Fault::new(at, kind, from, span) };
            let fault = match rng.random_range(0..17) {
                // Paused workers are the most frequent fault: they resume in the middle of a step.
                0..4 => Fault::new(at, FaultKind::Pause, worker, span),
                4 => Fault::new(at, FaultKind::PauseLeader, replica, span),
                5 => Fault::new(
                    at,
                    FaultKind::Pause,
                    ProcessId::TraceStore,
                    span.min(2.0 * generated.lease_term),
                ),
                6 => Fault::new(at, FaultKind::Kill, worker, span),
                7 => Fault::new(at, FaultKind::KillLeader, replica, span),
                8 => Fault::new(at, FaultKind::Kill, ProcessId::TraceStore, 0.5 * generated.lease_term),
                9 => Fault::new(at, FaultKind::Terminate, worker, span),
                10 if !disk_lost && generated.replicas >= 3 => {
                    disk_lost = true;
                    Fault::new(at, FaultKind::LoseDisk, replica, generated.lease_term)
                }
                11 => link(FaultKind::Partition),
                // Effects of a worker are held until another worker has its leases; the trace store may have restarted by then.
                12 | 13 => {
                    let hold_time = rng.random_range(2.5..6.0) * generated.lease_term;
                    let paused =
                        Fault::new(at + 0.1 * generated.lease_term, FaultKind::Pause, worker, hold_time);
                    generated.faults.push(paused);
                    Fault {
                        peer: Some(ProcessId::TraceStore),
                        direction: Direction::Forward,
                        ..Fault::new(at, FaultKind::HoldTraffic, worker, hold_time)
                    }
                }
                14 => Fault { value: rng.random_range(0.02..0.3), ..link(FaultKind::Delay) },
                15 => Fault { value: rng.random_range(2e3..5e4), ..link(FaultKind::Throttle) },
                16 => {
                    let off = rng.random_range(-86_400.0..86_400.0);
                    Fault { value: off, ..Fault::new(at, FaultKind::WallClockOffset, worker, MAX_DURATION_S) }
                }
                _ => Fault {
                    value: rng.random_range(0.1..2.0),
                    ..Fault::new(at, FaultKind::SlowSync, replica, span)
                },
            };
            generated.faults.push(fault);
        }
        for _ in 0..if generated.quota_servers > 0 { rng.random_range(2..=3) } else { 0 } {
            let at = rng.random_range(0.3..generated.duration.max(0.6) * 0.9);
            let server = ProcessId::QuotaServer(rng.random_range(1..=generated.quota_servers));
            let worker = ProcessId::Worker(rng.random_range(1..=generated.workers));
            let span = rng.random_range(0.1..4.0) * generated.lease_term;
            let direction = [Direction::Both, Direction::Forward, Direction::Reverse][rng.random_range(0..3)];
            generated.faults.push(match rng.random_range(0..5) {
                0 => Fault::new(at, FaultKind::Pause, server, span),
                1 => Fault::new(at, FaultKind::Kill, server, span),
                2 => Fault { direction, ..Fault::new(at, FaultKind::HoldTraffic, server, span) },
                3 => Fault {
                    direction,
                    peer: Some(worker),
                    ..Fault::new(at, FaultKind::Partition, server, span)
                },
                _ => Fault::new(at, FaultKind::DrainAndRestart, server, 0.0),
            });
        }
        generated.faults.sort_by(|a, b| a.start.total_cmp(&b.start));
        generated
    }
}

fn read_fault(block: &Block, schedule: &Schedule) -> Fault {
    let who = |key: &'static str| {
        let text = block.text(key)?;
        let found = ProcessId::read(&text).filter(|who| schedule.has(*who));
        if found.is_none() {
            block.report(
                key,
                format!(
                    "{text:?}: should be a process of this schedule, such as \"k1\", \"s1\" or \"archive\""
                ),
            );
        }
        found
    };
    let what = block.choice("do", FaultKind::Pause, &FAULT_KEYWORDS);
    for key in ["at", "do", "who"] {
        block.require(key);
    }
    let defaults = match what {
        FaultKind::Delay => 0.1,
        FaultKind::Throttle => 10_000.0,
        FaultKind::ClockRate => 1.0,
        FaultKind::SlowSync => 1.0,
        _ => 0.0,
    };
    let read = Fault {
        start: block.duration("at", 0.0, 0.0..=MAX_DURATION_S),
        kind: what,
        process: who("who").unwrap_or(ProcessId::TraceStore),
        peer: who("to"),
        direction: block.choice("way", Direction::Both, &DIRECTION_KEYWORDS),
        duration: block.duration("span", 1.0, 0.0..=MAX_DURATION_S),
        value: block.number("value", defaults, -1e6..=1e9),
    };
    if read.peer.is_some() && !what.affects_link() {
        block.report("to", "applies to links only: cut, hold, reset, slow, trickle");
    }
    let replica = matches!(read.process, ProcessId::Replica(_));
    if matches!(what, FaultKind::LoseDisk | FaultKind::SlowSync) && !replica {
        block.report("who", "should be a keeper");
    }
    if what == FaultKind::DrainAndRestart && !matches!(read.process, ProcessId::QuotaServer(_)) {
        block.report("who", "should be a server, such as \"n1\"");
    }
    if what == FaultKind::ClockRate && !(0.1..=10.0).contains(&read.value) {
        block.report("value", "should be a rate from 0.1 to 10");
    }
    block.finish();
    read
}

impl fmt::Display for Schedule {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let (replicas, workers) = (self.replicas, self.workers);
        write!(
            out,
            "(schedule (seed {}) (keepers {replicas}) (stewards {workers}) (seats {})",
            self.seed, self.quota_servers
        )?;
        write!(
            out,
            " (servers {}) (parts {}) (span {}s) (term {}s)",
            self.servers, self.parts, self.duration, self.lease_term
        )?;
        write!(out, " (backlog {}) (files {}s)", self.backlog_files, self.file_interval)?;
        for fault in &self.faults {
            let mut more = String::new();
            if let Some(to) = fault.peer {
                let _ = write!(more, " (to \"{to}\")");
            }
            if fault.direction != Direction::Both {
                let direction = DIRECTION_KEYWORDS
                    .iter()
                    .find(|(_, direction)| *direction == fault.direction)
                    .map_or("", |(keyword, _)| keyword);
                let _ = write!(more, " (way {direction})");
            }
            if fault.value != 0.0 {
                let _ = write!(more, " (value {})", fault.value);
            }
            let (at, what, who, span) = (fault.start, fault.kind.keyword(), fault.process, fault.duration);
            write!(out, "\n  (fault (at {at}s) (do {what}) (who \"{who}\"){more} (span {span}s))")?;
        }
        out.write_str(")\n")
    }
}

#[cfg(test)]
mod tests;
