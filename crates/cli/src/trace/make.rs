//! The commands that write traces: cut, merge, anonymise, repair, synth.

use super::input::{apart, open, Output};
use super::Which;
use crate::say::{bar, damage, step, Done, Wrong};
use puffinladder_trace::anonymise::parse_key;
use puffinladder_trace::expr::parse_span;
use puffinladder_trace::file::{FileMetadata, Writer};
use puffinladder_trace::merge::BlockWriter;
use puffinladder_trace::row::Names;
use puffinladder_trace::synth::{Generator, Record, SynthConfig};
use puffinladder_trace::tools::{self, Selection, BLOCK_ROWS};
use puffinladder_trace::v1;
use std::path::Path;

pub fn cut(file: &str, which: &Which, out: &str) -> Done {
    which.expr()?;
    apart(&[file], out)?;
    let mut trace = open(file)?;
    let choice = which.choice(trace.time_range().map_or(0, |span| span.0))?;
    let mut writer = Writer::new(Output::new(out)?, &trace.meta)?;
    let bar = bar("cutting");
    let seen = tools::cut(&mut trace, &choice, &mut writer, &mut step(&bar))?;
    writer.seal()?.finish()?;
    damage(file, &seen.damage);
    eprintln!("{} txns", seen.rows);
    Ok(())
}

pub fn repair(file: &str, out: &str) -> Done {
    apart(&[file], out)?;
    let mut trace = open(file)?;
    let mut writer = Writer::new(Output::new(out)?, &trace.meta)?;
    let bar = bar("mending");
    let seen = tools::cut(&mut trace, &Selection::default(), &mut writer, &mut step(&bar))?;
    writer.seal()?.finish()?;
    damage(file, &seen.damage);
    eprintln!("{} txns kept, {} parts could not be read", seen.rows, seen.damage.len());
    Ok(())
}

pub fn merge(files: &[String], offsets: &[String], out: &str) -> Done {
    let names: Vec<&str> = files.iter().map(String::as_str).collect();
    apart(&names, out)?;
    if names.iter().filter(|name| **name == "-").count() > 1 {
        return Err(Wrong::Asked("standard input can be read once only".into()));
    }
    let mut shift = vec![0i64; files.len()];
    for offset in offsets {
        let wrong = || Wrong::Asked(format!("--offset {offset}: should be N=SPAN, as in 2=-1500ms"));
        let (at, span) = offset.split_once('=').ok_or_else(wrong)?;
        let at: usize = at.parse().ok().filter(|at| (1..=files.len()).contains(at)).ok_or_else(wrong)?;
        let (sign, span) = span.strip_prefix('-').map_or((1, span), |span| (-1, span));
        shift[at - 1] = sign * parse_span(span).ok_or_else(wrong)?;
    }
    let mut traces = Vec::new();
    for (file, shift) in files.iter().zip(shift) {
        traces.push((open(file)?, shift));
    }
    let made = traces.iter().map(|(trace, _)| trace.meta.created).min().unwrap_or(0);
    let mut writer = Writer::new(Output::new(out)?, &FileMetadata { node: "merged".into(), created: made })?;
    let bar = bar("merging");
    let report = tools::merge(traces, &mut writer, &mut step(&bar))?;
    writer.seal()?.finish()?;
    for (at, one) in &report.damage {
        damage(&files[*at], std::slice::from_ref(one));
    }
    eprintln!("{} txns", report.rows);
    if report.duplicates > 0 {
        eprintln!("{} txns stood in more than one input and were written once", report.duplicates);
    }
    if report.out_of_order > 0 {
        eprintln!("{} txns are out of order: a node's clock stepped back too far", report.out_of_order);
    }
    Ok(())
}

pub fn anonymise(file: &str, key_file: &Path, floor: u64, nodes: bool, out: &str) -> Done {
    apart(&[file], out)?;
    let told = key_file.display();
    let text = std::fs::read_to_string(key_file).map_err(|e| Wrong::Failed(format!("{told}: {e}")))?;
    let key = parse_key(&text).ok_or_else(|| Wrong::Asked(format!("{told}: should hold 64 hex digits")))?;
    let mut trace = open(file)?;
    let node = if nodes { "anonymised".into() } else { trace.meta.node.clone() };
    let mut writer = Writer::new(Output::new(out)?, &FileMetadata { node, created: trace.meta.created })?;
    let bar = bar("veiling");
    let seen = tools::anonymise(&mut trace, &key, floor, nodes, &mut writer, &mut step(&bar))?;
    writer.seal()?.finish()?;
    damage(file, &seen.damage);
    eprintln!("{} txns", seen.rows);
    Ok(())
}

pub fn synth(told: &SynthConfig, format: u16, out: &str) -> Done {
    let good = told.rate > 0.0 && told.rate.is_finite() && (0.0..=1.0).contains(&told.overload_share);
    if !good || told.node.is_empty() || told.callers == 0 || told.customers == 0 {
        return Err(Wrong::Asked(
            "rate should be above 0, rush from 0 to 1, customers and callers 1 or more".into(),
        ));
    }
    let mut names = Names::default();
    let mut maker = Generator::new(told, &mut names);
    let meta = FileMetadata { node: told.node.clone(), created: told.from };
    let output = Output::new(out)?;
    let bar = bar("making up");
    let whole = (told.span * told.rate) as usize;
    let mut count = 0usize;
    let mut show = step(&bar);
    if format == v1::MAJOR {
        let mut writer = v1::Writer::new(output, &meta)?;
        while let Some(record) = maker.next(&mut names) {
            match record {
                Record::Row(row) => writer.write_row(&names, &row)?,
                Record::Note(note) => writer.write_note(&names, &note)?,
            }
            count += 1;
            if count.is_multiple_of(BLOCK_ROWS) {
                show(count.min(whole), whole.max(1));
            }
        }
        writer.finish()?.finish()?;
    } else {
        count = write(&mut maker, &mut names, &meta, output, |count| show(count.min(whole), whole.max(1)))?;
    }
    show(1, 1);
    eprintln!("{count} records");
    Ok(())
}

/// Writes all that a maker gives, and says how many records there were.
pub fn write(
    maker: &mut Generator,
    names: &mut Names,
    meta: &FileMetadata,
    output: Output,
    mut show: impl FnMut(usize),
) -> Done<usize> {
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
