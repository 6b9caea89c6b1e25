//! Generated trace files, and the comparison of their rows with an export of the trace store.

use puffinladder_trace::file::{BlockKind, FileMetadata, Writer};
use puffinladder_trace::merge::BlockWriter;
use puffinladder_trace::row::{Names, Row};
use puffinladder_trace::synth::{Generator, Record, SynthConfig};
use puffinladder_trace::Trace;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::Path;

/// Node, read time, name, key and caller: identifies a row across files.
type RowKey = (String, i64, u32, u64, u32);

/// Number of occurrences of each row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowCounts(BTreeMap<RowKey, u32>);

impl RowCounts {
    pub fn len(&self) -> usize {
        self.0.values().map(|count| *count as usize).sum()
    }
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn add(&mut self, names: &Names, row: &Row) {
        let key = (names.text(row.node).to_string(), row.read, row.name, row.key, row.caller);
        *self.0.entry(key).or_default() += 1;
    }

    /// Returns the number of distinct rows that `other` holds fewer copies of, and of those that it holds more copies of.
    pub fn missing_and_extra(&self, other: &RowCounts) -> (usize, usize) {
        let missing = self.0.iter().filter(|(key, count)| other.0.get(*key).copied().unwrap_or(0) < **count);
        let extra = other.0.iter().filter(|(key, count)| self.0.get(*key).copied().unwrap_or(0) < **count);
        (missing.count(), extra.count())
    }

    pub fn read(path: &Path) -> Result<RowCounts, String> {
        let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let file = BufReader::new(File::open(path).map_err(|e| failed(&e))?);
        let mut trace = Trace::open(file).map_err(|e| failed(&e))?;
        let (mut names, mut rows, mut all) = (Names::default(), Vec::new(), RowCounts::default());
        for entry in trace.entries.clone().iter().filter(|entry| entry.kind == BlockKind::Rows) {
            rows.clear();
            trace.rows(entry, &mut names, &mut rows).map_err(|e| failed(&e))?;
            rows.iter().for_each(|row| all.add(&names, row));
        }
        Ok(all)
    }
}

/// Writes a sealed trace file of one server, under a temporary name until it is complete. Times of files with different serials do not overlap.
pub fn write_trace_file(
    folder: &Path,
    server: &str,
    serial: u64,
    blocks: usize,
    all: &mut RowCounts,
) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let from = 1_767_225_600_000_000 + serial as i64 * 3_600_000_000;
    let synth = SynthConfig {
        seed: serial,
        span: blocks as f64 * 2.0,
        rate: 8.0,
        node: server.into(),
        from,
        overload_share: 0.0,
        ..SynthConfig::default()
    };
    let mut names = Names::default();
    let mut maker = Generator::new(&synth, &mut names);
    let temporary = folder.join(format!("{serial:010}.half"));
    let mut writer = Writer::new(
        BufWriter::new(File::create(&temporary)?),
        &FileMetadata { node: server.into(), created: from },
    )?;
    let mut into = BlockWriter::new(16, &mut writer);
    while let Some(record) = maker.next(&mut names) {
        if let Record::Row(row) = record {
            all.add(&names, &row);
            into.write_row(&names, row)?;
        }
    }
    into.flush(&names)?;
    writer.seal()?.flush()?;
    std::fs::rename(temporary, folder.join(format!("{server}-{serial:010}.trace")))
}

#[cfg(test)]
mod tests;
