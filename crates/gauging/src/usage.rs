//! What the kernel says that a process used.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// What a process had used by a moment, and what it holds then.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// When its processor time was read: what follows takes its own time where many connections stand.
    at: Option<Instant>,
    /// ns on a core of each of its threads that live.
    threads: BTreeMap<u64, u64>,
    /// s on cores of all its threads, those that ended too, in the kernel's hundredths.
    cpu: f64,
    /// Bytes resident.
    pub memory: f64,
    /// Open descriptors, standard streams among them.
    pub descriptors: f64,
    /// TCP connections that stand; absent where the kernel does not tell.
    pub connections: Option<f64>,
    /// Bytes that went to a disk's cache so far; absent where the kernel does not tell.
    pub written: Option<f64>,
}

/// The kernel's ticks a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;
/// Ticks by which both ways to count may differ before threads that ended are missed in the finer one.
const GRAIN: f64 = 3.0 / TICKS;

/// How many of these descriptors are TCP connections that stand, by the kernel's table of all of them.
fn standing(table: &str, open: &[String]) -> f64 {
    let sockets: BTreeSet<&str> =
        open.iter().filter_map(|one| one.strip_prefix("socket:[")?.strip_suffix(']')).collect();
    let stands = |line: &&str| {
        let mut words = line.split_whitespace();
        // Its state, then its inode.
        words.nth(3) == Some("01") && words.nth(5).is_some_and(|inode| sockets.contains(inode))
    };
    table.lines().skip(1).filter(stands).count() as f64
}

impl Usage {
    pub fn of(pid: u32) -> Result<Usage, String> {
        let read = |what: &str| {
            std::fs::read_to_string(format!("/proc/{pid}/{what}"))
                .map_err(|e| format!("/proc/{pid}/{what}: {e}"))
        };
        let untold = |what: &str| format!("/proc/{pid}/{what}: not as expected");
        let at = Some(Instant::now());
        let stat = read("stat")?;
        let words: Vec<&str> =
            stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
        let ticks = |at: usize| words.get(at).and_then(|word| word.parse::<f64>().ok());
        let cpu = ticks(11).zip(ticks(12)).map(|(user, system)| (user + system) / TICKS);
        let mut threads = BTreeMap::new();
        if let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) {
            for task in tasks.flatten() {
                let Some(thread) = task.file_name().to_str().and_then(|name| name.parse().ok()) else {
                    continue;
                };
                // A thread may end while it is looked at.
                let Ok(text) = std::fs::read_to_string(task.path().join("schedstat")) else { continue };
                if let Some(ns) = text.split_whitespace().next().and_then(|word| word.parse().ok()) {
                    threads.insert(thread, ns);
                }
            }
        }
        let io = read("io").unwrap_or_default();
        let written = io.lines().find_map(|line| line.strip_prefix("write_bytes:")?.trim().parse().ok());
        let status = read("status")?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix("kB"));
        let resident = resident.and_then(|kb| kb.trim().parse::<f64>().ok());
        let open =
            std::fs::read_dir(format!("/proc/{pid}/fd")).map_err(|e| format!("/proc/{pid}/fd: {e}"))?;
        let open: Vec<String> = open
            .flatten()
            .map(|one| std::fs::read_link(one.path()).map_or(String::new(), |to| to.display().to_string()))
            .collect();
        let connections = read("net/tcp").ok().map(|table| standing(&table, &open));
        Ok(Usage {
            at,
            threads,
            cpu: cpu.ok_or_else(|| untold("stat"))?,
            memory: resident.ok_or_else(|| untold("status"))? * 1024.0,
            descriptors: open.len() as f64,
            connections,
            written,
        })
    }

    /// s on cores since an earlier look: by the threads' own counts, which are exact to the ns, unless threads ended in between.
    pub fn cpu_since(&self, before: &Usage) -> f64 {
        let coarse = self.cpu - before.cpu;
        let used =
            |(thread, ns): (&u64, &u64)| ns.saturating_sub(before.threads.get(thread).copied().unwrap_or(0));
        let fine = self.threads.iter().map(used).sum::<u64>() as f64 / 1e9;
        if self.threads.is_empty() || fine + GRAIN < coarse {
            coarse
        } else {
            fine
        }
    }

    /// Puts into a point what a process used over its span.
    pub fn tell(&self, before: &Usage, taken: &mut crate::Taken) {
        let span = match (self.at, before.at) {
            (Some(now), Some(then)) => now.duration_since(then).as_secs_f64(),
            _ => taken.span,
        };
        taken.put("cpu", self.cpu_since(before) / span);
        taken.put("memory", self.memory);
        taken.put("descriptors", self.descriptors);
        taken.put_known("connections", self.connections);
        taken.put_known("disk", self.written.zip(before.written).map(|(now, then)| (now - then) / span));
    }
}

#[cfg(test)]
mod tests;
