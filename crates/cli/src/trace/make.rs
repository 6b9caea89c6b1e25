//! The commands that write traces: cut, merge, anonymise, repair, synth.

use super::input::{open, reject_overwrite, Output};
use super::RowFilter;
use crate::terminal::{print_damage, progress_bar, progress_callback, CommandError, CommandResult};
use puffinladder_trace::anonymise::parse_key;
use puffinladder_trace::expr::parse_span;
use puffinladder_trace::file::{FileMetadata, Writer};
use puffinladder_trace::merge::BlockWriter;
use puffinladder_trace::row::Names;
use puffinladder_trace::synth::{Generator, Record, SynthConfig};
use puffinladder_trace::tools::{self, Selection, BLOCK_ROWS};
use puffinladder_trace::v1;
use std::path::Path;

/// Writes the selected txns of a trace to another.
pub fn cut(file: &str, filter: &RowFilter, out: &str) -> CommandResult {
    filter.expr()?;
    reject_overwrite(&[file], out)?;
    let mut trace = open(file)?;
    let choice = filter.choice(trace.time_range().map_or(0, |span| span.0))?;
    let mut writer = Writer::new(Output::new(out)?, &trace.meta)?;
    let bar = progress_bar("cutting");
    let result = tools::cut(&mut trace, &choice, &mut writer, &mut progress_callback(&bar))?;
    writer.seal()?.finish()?;
    print_damage(file, &result.damage);
    eprintln!("{} txns", result.rows);
    Ok(())
}

/// Writes the readable blocks of a damaged trace to a sealed one.
pub fn repair(file: &str, out: &str) -> CommandResult {
    reject_overwrite(&[file], out)?;
    let mut trace = open(file)?;
    let mut writer = Writer::new(Output::new(out)?, &trace.meta)?;
    let bar = progress_bar("repairing");
    let result = tools::cut(&mut trace, &Selection::default(), &mut writer, &mut progress_callback(&bar))?;
    writer.seal()?.finish()?;
    print_damage(file, &result.damage);
    eprintln!("{} txns kept, {} ranges unreadable", result.rows, result.damage.len());
    Ok(())
}

/// Merges traces in the order of time.
pub fn merge(files: &[String], offsets: &[String], out: &str) -> CommandResult {
    let names: Vec<&str> = files.iter().map(String::as_str).collect();
    reject_overwrite(&names, out)?;
    if names.iter().filter(|name| **name == "-").count() > 1 {
        return Err(CommandError::Usage("standard input can be only one of the inputs".into()));
    }
    let mut shift = vec![0i64; files.len()];
    for offset in offsets {
        let invalid = || CommandError::Usage(format!("--offset {offset}: should be N=SPAN, as in 2=-1500ms"));
        let (at, span) = offset.split_once('=').ok_or_else(invalid)?;
        let at: usize = at.parse().ok().filter(|at| (1..=files.len()).contains(at)).ok_or_else(invalid)?;
        let (sign, span) = span.strip_prefix('-').map_or((1, span), |span| (-1, span));
        shift[at - 1] = sign * parse_span(span).ok_or_else(invalid)?;
    }
    let mut traces = Vec::new();
    for (file, shift) in files.iter().zip(shift) {
        traces.push((open(file)?, shift));
    }
    let made = traces.iter().map(|(trace, _)| trace.meta.created).min().unwrap_or(0);
    let mut writer = Writer::new(Output::new(out)?, &FileMetadata { node: "merged".into(), created: made })?;
    let bar = progress_bar("merging");
    let merged = tools::merge(traces, &mut writer, &mut progress_callback(&bar))?;
    writer.seal()?.finish()?;
    for (input, range) in &merged.damage {
        print_damage(&files[*input], std::slice::from_ref(range));
    }
    eprintln!("{} txns", merged.rows);
    if merged.duplicates > 0 {
        eprintln!("{} txns occurred in more than one input and were written once", merged.duplicates);
    }
    if merged.out_of_order > 0 {
        eprintln!("{} txns are out of order: a node's clock moved back too far", merged.out_of_order);
    }
    Ok(())
}

/// Replaces names and keys of a trace by pseudonyms.
pub fn anonymise(file: &str, key_file: &Path, floor: u64, nodes: bool, out: &str) -> CommandResult {
    reject_overwrite(&[file], out)?;
    let key_name = key_file.display();
    let text =
        std::fs::read_to_string(key_file).map_err(|e| CommandError::Failed(format!("{key_name}: {e}")))?;
    let key = parse_key(&text)
        .ok_or_else(|| CommandError::Usage(format!("{key_name}: should hold 64 hex digits")))?;
    let mut trace = open(file)?;
    let node = if nodes { "anonymised".into() } else { trace.meta.node.clone() };
    let mut writer = Writer::new(Output::new(out)?, &FileMetadata { node, created: trace.meta.created })?;
    let bar = progress_bar("anonymising");
    let result = tools::anonymise(&mut trace, &key, floor, nodes, &mut writer, &mut progress_callback(&bar))?;
    writer.seal()?.finish()?;
    print_damage(file, &result.damage);
    eprintln!("{} txns", result.rows);
    Ok(())
}

/// Generates a synthetic trace in format version 1 or 2.
pub fn synth(config: &SynthConfig, format: u16, out: &str) -> CommandResult {
    let valid = config.rate > 0.0 && config.rate.is_finite() && (0.0..=1.0).contains(&config.overload_share);
    if !valid || config.node.is_empty() || config.callers == 0 || config.customers == 0 {
        return Err(CommandError::Usage(
            "--rate should be above 0, --rush from 0 to 1, --customers and --callers 1 or more, --node not empty".into(),
        ));
    }
    let mut names = Names::default();
    let mut maker = Generator::new(config, &mut names);
    let meta = FileMetadata { node: config.node.clone(), created: config.from };
    let output = Output::new(out)?;
    let bar = progress_bar("generating");
    let expected = (config.span * config.rate) as usize;
    let mut count = 0usize;
    let mut show = progress_callback(&bar);
    if format == v1::MAJOR {
        let mut writer = v1::Writer::new(output, &meta)?;
        while let Some(record) = maker.next(&mut names) {
            match record {
                Record::Row(row) => writer.write_row(&names, &row)?,
                Record::Note(note) => writer.write_note(&names, &note)?,
            }
            count += 1;
            if count.is_multiple_of(BLOCK_ROWS) {
                show(count.min(expected), expected.max(1));
            }
        }
        writer.finish()?.finish()?;
    } else {
        count = write_records(&mut maker, &mut names, &meta, output, |count| {
            show(count.min(expected), expected.max(1))
        })?;
    }
    show(1, 1);
    eprintln!("{count} records");
    Ok(())
}

/// Writes all records of a generator, and returns their number.
pub fn write_records(
    maker: &mut Generator,
    names: &mut Names,
    meta: &FileMetadata,
    output: Output,
    mut show: impl FnMut(usize),
) -> CommandResult<usize> {
    let mut writer = Writer::new(output, meta)?;
    let mut blocks = BlockWriter::new(BLOCK_ROWS, &mut writer);
    let mut count = 0usize;
    while let Some(record) = maker.next(names) {
        count += 1;
        match record {
            Record::Row(row) => {
                if blocks.write_row(names, row)? {
                    show(count);
                }
            }
            Record::Note(note) => blocks.write_note(names, note)?,
        }
    }
    blocks.flush(names)?;
    writer.seal()?.finish()?;
    Ok(count)
}
