//! `trace bench`: sizes and speeds on synthetic traces, as medians over runs in one process.

use super::input::{open, Output};
use super::make::write_records;
use crate::measure::{memory, percentile};
use crate::terminal::{CommandError, CommandResult};
use puffinladder_trace::block::column_name;
use puffinladder_trace::file::{BlockKind, FileMetadata, Writer};
use puffinladder_trace::recorder::rotation::{RotationLimits, StoredFile};
use puffinladder_trace::recorder::{Recorder, RecorderConfig, RequestRecord, TraceStorage};
use puffinladder_trace::row::{Names, Step};
use puffinladder_trace::summary::GroupBy;
use puffinladder_trace::synth::{Generator, SynthConfig};
use puffinladder_trace::tools::{self, Selection};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Returns the median, the least and the largest of the times.
fn spread(mut times: Vec<f64>) -> (f64, f64, f64) {
    (percentile(&mut times, 0.5), times[0], times[times.len() - 1])
}

fn timed(runs: usize, mut work: impl FnMut() -> CommandResult) -> CommandResult<(f64, f64, f64)> {
    let mut times = Vec::new();
    for _ in 0..runs.max(1) {
        let started = Instant::now();
        work()?;
        times.push(started.elapsed().as_secs_f64());
    }
    Ok(spread(times))
}

fn generate(folder: &Path, config: &SynthConfig, name: &str) -> CommandResult<String> {
    let path = folder.join(name).display().to_string();
    let mut names = Names::default();
    let mut maker = Generator::new(config, &mut names);
    let meta = FileMetadata { node: config.node.clone(), created: config.from };
    write_records(&mut maker, &mut names, &meta, Output::new(&path)?, |_| {})?;
    Ok(path)
}

pub fn bench(hours: &[u32], nodes: usize, runs: usize, folder: Option<PathBuf>) -> CommandResult {
    if hours.is_empty() || hours.contains(&0) || nodes == 0 {
        return Err(CommandError::Usage("--hours and --nodes should be 1 or more".into()));
    }
    let own = tempfile::Builder::new().prefix("puffinladder-bench").tempdir()?;
    let folder = folder.unwrap_or_else(|| own.path().to_owned());
    // First, before other measurements grow the process.
    bench_recorder(runs)?;
    println!("medians of {runs} runs (least to most), on synthetic traces of 230 txns a second");

    let started = Instant::now();
    let hour = generate(&folder, &SynthConfig::default(), "hour.trace")?;
    let took = started.elapsed().as_secs_f64();
    let mut trace = open(&hour)?;
    let txns = trace.record_count(BlockKind::Rows);
    println!(
        "an hour: {txns} txns in {} bytes, {:.2} a txn; generated in {took:.2} s",
        trace.len,
        trace.len as f64 / txns as f64
    );
    for (id, size) in trace.column_sizes()? {
        let name = if id == 0 { "heads" } else { column_name(id) };
        println!("  {name:<10} {size:>9} bytes {:>7.3} a txn", size as f64 / txns as f64);
    }
    let report = |label: &str, (mid, low, high): (f64, f64, f64)| {
        println!("{label:<52} {:>9.1} ms ({:.1} to {:.1})", mid * 1e3, low * 1e3, high * 1e3);
    };

    let sum = |by, percentiles| {
        let hour = &hour;
        move || -> CommandResult {
            let mut trace = open(hour)?;
            let choice = Selection::default();
            tools::summarise(
                &mut trace,
                &mut Names::default(),
                &choice,
                by,
                60_000_000,
                percentiles,
                &mut |_, _| {},
            )?;
            Ok(())
        }
    };
    report("summarise the hour, with percentiles", timed(runs, sum(Some(GroupBy::Product), true))?);
    report("summarise the hour, from heads alone", timed(runs, sum(Some(GroupBy::Product), false))?);

    for hours in hours {
        let path = match hours {
            1 => hour.clone(),
            _ => {
                let span = 3600.0 * f64::from(*hours);
                generate(
                    &folder,
                    &SynthConfig { span, ..SynthConfig::default() },
                    &format!("{hours}h.trace"),
                )?
            }
        };
        let out = folder.join("cut.trace").display().to_string();
        let from = SynthConfig::default().from + i64::from(*hours) * 1_800_000_000;
        let choice = Selection { from, to: from + 60_000_000, ..Selection::default() };
        let cut = timed(runs, || {
            let mut trace = open(&path)?;
            let mut writer = Writer::new(Output::new(&out)?, &trace.meta)?;
            tools::cut(&mut trace, &choice, &mut writer, &mut |_, _| {})?;
            writer.seal()?.finish()
        })?;
        let size = std::fs::metadata(&path)?.len() as f64 / 1e6;
        report(&format!("cut a minute of {hours} h ({size:.0} MB)"), cut);
        if *hours != 1 {
            std::fs::remove_file(&path)?;
        }
    }

    let mut files = Vec::new();
    for node in 0..nodes {
        let config =
            SynthConfig { seed: node as u64 + 1, node: format!("n{}", node + 1), ..SynthConfig::default() };
        files.push(generate(&folder, &config, &format!("n{node}.trace"))?);
    }
    let before = memory("VmHWM:");
    let out = folder.join("merged.trace").display().to_string();
    let mut rows = 0;
    let merge = timed(runs.min(3), || {
        let mut traces = Vec::new();
        for file in &files {
            traces.push((open(file)?, 0));
        }
        let mut writer =
            Writer::new(Output::new(&out)?, &FileMetadata { node: "merged".into(), created: 0 })?;
        rows = tools::merge(traces, &mut writer, &mut |_, _| {})?.rows;
        writer.seal()?.finish()
    })?;
    report(&format!("merge {nodes} nodes, {rows} txns"), merge);
    println!(
        "  {:.2} million txns a second; peak memory {before:.0} MB before, {:.0} MB after",
        rows as f64 / merge.0 / 1e6,
        memory("VmHWM:")
    );
    for file in files {
        std::fs::remove_file(file)?;
    }
    std::fs::remove_file(out)?;
    Ok(())
}

/// Trace directory that discards all files.
struct NullDirectory;

impl TraceStorage for NullDirectory {
    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        Ok(Vec::new())
    }
    fn create(&mut self, _: &str) -> io::Result<Box<dyn Write + Send>> {
        Ok(Box::new(io::sink()))
    }
    fn remove(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the CPU time of the recorder's thread, ns.
fn thread_cpu() -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return 0.0 };
    let read = |path: PathBuf| std::fs::read_to_string(path).unwrap_or_default();
    let recorder =
        tasks.flatten().map(|task| task.path()).find(|path| read(path.join("comm")).trim() == "trace");
    let schedstat = recorder.map(|path| read(path.join("schedstat"))).unwrap_or_default();
    schedstat.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0.0)
}

/// Measures the cost of a record: on the request's path (clock readings and the ring buffer), and on the recorder's thread, with
/// its memory.
fn bench_recorder(runs: usize) -> CommandResult {
    const COUNT: u32 = 1000;
    let config = RecorderConfig {
        node: "n1".into(),
        limits: RotationLimits::default(),
        products: vec![Default::default()],
        customers: vec!["k1".into()],
        key: [7; 32],
        sample: 1,
    };
    let before = memory("VmRSS:");
    let (recorder, running) = Recorder::start(config, NullDirectory, 1 << 20, |_| {})?;
    let unix = || {
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0.0, |s| s.as_secs_f64())
    };
    let mut times = Vec::new();
    // Enough for a dozen blocks.
    let rounds = runs.max(1) * 10;
    for round in 0..rounds as u32 {
        let started = Instant::now();
        for at in 0..COUNT {
            let mut entry = RequestRecord::new(unix(), (u128::from(round * COUNT + at)).to_le_bytes());
            (entry.caller, entry.hint) = (at % 40, f64::from(at) * 1e-5);
            entry.key = at.is_multiple_of(4).then_some([at as u8; 32]);
            for step in [Step::RUN, Step::ended(puffinladder_trace::row::COMPLETED), Step::SETTLED] {
                entry.add_step(unix(), step);
            }
            recorder.record_request(&entry);
        }
        times.push(started.elapsed().as_secs_f64() / f64::from(COUNT));
        // Lets the recorder's thread empty the ring.
        std::thread::sleep(Duration::from_millis(110));
    }
    let cpu_each = thread_cpu() / f64::from(COUNT * rounds as u32);
    let (mid, low, high) = spread(times);
    println!(
        "{:<52} {:>9.0} ns ({:.0} to {:.0})",
        "record a txn, on the request's path",
        mid * 1e9,
        low * 1e9,
        high * 1e9
    );
    println!("{:<52} {cpu_each:>9.0} ns", "the same on the recorder's thread, CPU");
    println!(
        "  memory {:.1} MB for the recorder; {} records lost",
        memory("VmRSS:") - before,
        recorder.lost_records()
    );
    running.shutdown(Duration::from_secs(1));
    Ok(())
}
