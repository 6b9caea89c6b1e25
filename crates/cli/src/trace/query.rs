//! Commands that print: info, cat, grep, summarise, diff.

use super::input::{open, Opened};
use super::{parse_expr, plot, RowFilter, TimeRange};
use crate::terminal::{print_damage, progress_bar, progress_callback, CommandResult};
use puffinladder_trace::block::column_name;
use puffinladder_trace::file::BlockKind;
use puffinladder_trace::row::{Names, Note, Row, Topic};
use puffinladder_trace::summary::{GroupBy, Summary, Totals};
use puffinladder_trace::tools::{notes, scan, summarise as summarise_trace, Selection};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{self, BufWriter, Write};
use std::ops::ControlFlow;
use std::path::PathBuf;

/// Formats a time in us since 1970 as a date.
pub fn date(us: i64) -> String {
    jiff::Timestamp::from_microsecond(us).map_or_else(|_| format!("{us} us"), |t| format!("{t:.6}"))
}

/// Formats a span in us with a suitable unit.
pub fn span(us: u64) -> String {
    match us {
        0..=999 => format!("{us}us"),
        1_000..=999_999 => format!("{:.1}ms", us as f64 / 1e3),
        1_000_000..=59_999_999 => format!("{:.2}s", us as f64 / 1e6),
        _ => {
            let seconds = (us + 500_000) / 1_000_000;
            format!("{}m{:02}s", seconds / 60, seconds % 60)
        }
    }
}

/// Returns the time of the first txn, us since 1970.
fn begin(trace: &Opened) -> i64 {
    trace.time_range().map_or(0, |span| span.0)
}

/// Describes traces.
pub fn info(files: &[String], columns: bool, as_json: bool) -> CommandResult {
    let mut out = BufWriter::new(io::stdout().lock());
    for file in files {
        let mut trace = open(file)?;
        let mut names = Names::default();
        let mut damage = trace.damage.clone();
        let recorded = notes(&mut trace, &mut names, &Selection::default(), &mut damage)
            .map_err(|e| crate::terminal::CommandError::from(e).with_context(file))?;
        let dropped: u64 =
            recorded.iter().filter(|n| n.topic == Topic::DROPPED).map(|n| n.value as u64).sum();
        let mut nodes = BTreeSet::new();
        for entry in trace.entries.clone().iter().filter(|entry| entry.kind == BlockKind::Rows) {
            if let Ok(head) = trace.head(entry, &mut names) {
                nodes.extend(head.nodes.iter().map(|node| names.text(*node).to_owned()));
            }
        }
        let (rows, count) = (trace.record_count(BlockKind::Rows), trace.entries.len());
        let (from, to) = trace.time_range().unwrap_or_default();
        let bytes_each = if rows > 0 { trace.len as f64 / rows as f64 } else { 0.0 };
        let sizes = if columns { trace.column_sizes()? } else { Vec::new() };
        let column = |id: u8| if id == 0 { "heads" } else { column_name(id) };
        if as_json {
            let damage: Vec<Value> = damage
                .iter()
                .map(|d| json!({"offset": d.offset, "len": d.len, "rows": d.rows, "what": d.problem}))
                .collect();
            let sizes: serde_json::Map<String, Value> =
                sizes.iter().map(|(id, size)| (column(*id).to_owned(), json!(size))).collect();
            let object = json!({
                "file": file, "version": format!("{}.{}", trace.major, trace.minor), "node": trace.meta.node, "nodes": nodes,
                "sealed": trace.sealed, "bytes": trace.len, "txns": rows, "notes": trace.record_count(BlockKind::Notes), "blocks": count,
                "from_us": from, "to_us": to, "dropped": dropped, "damage": damage, "columns": sizes,
            });
            writeln!(out, "{object}")?;
            continue;
        }
        let sealed = if trace.sealed {
            "sealed"
        } else {
            "not sealed: its node crashed or still writes; blocks found by scanning"
        };
        writeln!(out, "{file}: version {}.{}, {sealed}", trace.major, trace.minor)?;
        writeln!(
            out,
            "  written by   {} (nodes: {})",
            trace.meta.node,
            nodes.into_iter().collect::<Vec<_>>().join(", ")
        )?;
        if rows > 0 {
            writeln!(
                out,
                "  span         {} to {} ({})",
                date(from),
                date(to),
                span((to - from).max(0) as u64)
            )?;
        }
        writeln!(
            out,
            "  txns         {rows} in {count} blocks, {} state records",
            trace.record_count(BlockKind::Notes)
        )?;
        writeln!(out, "  size         {} bytes, {bytes_each:.2} a txn", trace.len)?;
        writeln!(out, "  dropped      {dropped} records dropped by the recorder")?;
        for range in &damage {
            let rows = range.rows.map_or(String::new(), |rows| format!(", {rows} records"));
            writeln!(
                out,
                "  damage       bytes {} to {}: {}{rows}",
                range.offset,
                range.offset + range.len,
                range.problem
            )?;
        }
        for (id, size) in &sizes {
            writeln!(
                out,
                "  {:<12} {size:>10} bytes, {:.3} a txn",
                column(*id),
                *size as f64 / rows.max(1) as f64
            )?;
        }
    }
    out.flush()?;
    Ok(())
}

/// Returns a txn as a JSON object.
fn row_json(row: &Row, names: &Names) -> Value {
    let path = names.path(row.path);
    let terms = names.product(row.product);
    let mut at = 0u64;
    let steps: Vec<Value> = path
        .steps()
        .zip(&row.spans)
        .map(|(step, span)| {
            at += u64::from(*span);
            json!([at, step.text()])
        })
        .collect();
    json!({
        "read_us": row.read, "unread_us": row.unread, "node": names.text(row.node), "product": terms.name,
        "customer": names.text(row.customer), "caller": row.caller, "rank": f64::from(row.rank) / 64.0,
        "hint_us": row.hint, "memory": row.memory, "repeat": row.repeat(), "name": format!("{:08x}", row.name),
        "key": (row.key != 0).then(|| format!("{:012x}", row.key)), "answer": path.disposition().label(),
        "reason": path.disposition().step().reason().map(|r| r.text()), "in_sla": path.disposition().step() == puffinladder_trace::row::Step::SETTLED,
        "wait_us": row.wait(path), "run_us": row.run_time(path), "answered_us": row.response_time(path),
        "keep_off_ms": row.keep_off, "last": row.last(), "value": row.value(terms), "steps": steps,
    })
}

/// Formats a txn as one line.
pub fn row_text(row: &Row, names: &Names) -> String {
    let path = names.path(row.path);
    let steps: Vec<String> = path
        .steps()
        .zip(&row.spans)
        .map(|(step, took)| format!("+{} {}", span((*took).into()), step.text()))
        .collect();
    let repeat = if row.repeat() { " repeat" } else { "" };
    let key = if row.key != 0 { format!(" key {:012x}", row.key) } else { String::new() };
    let keep = if row.keep_off > 0 { format!(" w {}ms", row.keep_off) } else { String::new() };
    let last = if row.last() { " last" } else { "" };
    format!(
        "{} {} {:08x} {} {} caller {}{repeat}{key} unread {}: {}{keep}{last}",
        date(row.read),
        names.text(row.node),
        row.name,
        names.product(row.product).name,
        names.text(row.customer),
        row.caller,
        span(row.unread.into()),
        steps.join(", ")
    )
}

fn note_text(note: &Note, names: &Names) -> String {
    format!("{} {} {} {}", date(note.at), names.text(note.node), note.topic.text(), note.value)
}

fn print_rows(trace: &mut Opened, name: &str, choice: &Selection, as_json: bool) -> CommandResult<u64> {
    let mut out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut names = Names::default();
    let mut failed = None;
    let result = scan(trace, &mut names, choice, &mut |_, _| {}, |row, names| {
        let line = if as_json { row_json(row, names).to_string() } else { row_text(row, names) };
        match writeln!(out, "{line}") {
            Ok(()) => ControlFlow::Continue(()),
            Err(e) => {
                failed = Some(e);
                ControlFlow::Break(())
            }
        }
    })?;
    failed.map_or(Ok(()), Err)?;
    out.flush()?;
    print_damage(name, &result.damage);
    Ok(result.rows)
}

/// Prints the selected txns, or the recorded state if `state` is set.
pub fn cat(file: &str, filter: &RowFilter, as_json: bool, state: bool) -> CommandResult {
    filter.expr()?;
    let mut trace = open(file)?;
    let choice = filter.choice(begin(&trace))?;
    if !state {
        return print_rows(&mut trace, file, &choice, as_json).map(drop);
    }
    let (mut names, mut damage) = (Names::default(), trace.damage.clone());
    let mut out = BufWriter::new(io::stdout().lock());
    for note in notes(&mut trace, &mut names, &choice, &mut damage)? {
        if as_json {
            let (node, topic) = (names.text(note.node), note.topic.text());
            writeln!(
                out,
                "{}",
                json!({"at_us": note.at, "node": node, "topic": topic, "value": note.value})
            )?;
        } else {
            writeln!(out, "{}", note_text(&note, &names))?;
        }
    }
    out.flush()?;
    print_damage(file, &damage);
    Ok(())
}

/// Prints or counts the txns that match an expression.
pub fn grep(expr: &str, file: &str, range: &TimeRange, as_json: bool, count: bool) -> CommandResult {
    let expr = parse_expr(expr)?;
    let mut trace = open(file)?;
    let (from, to) = range.bounds(begin(&trace));
    let choice = Selection { from, to, expr };
    if !count {
        return print_rows(&mut trace, file, &choice, as_json).map(drop);
    }
    let bar = progress_bar("searching");
    let result = scan(&mut trace, &mut Names::default(), &choice, &mut progress_callback(&bar), |_, _| {
        ControlFlow::Continue(())
    })?;
    print_damage(file, &result.damage);
    writeln!(io::stdout(), "{}", result.rows)?;
    Ok(())
}

/// Options of [`summarise`].
pub struct SummaryOptions {
    pub by: Option<GroupBy>,
    pub interval: i64,
    pub percentiles: bool,
    pub json: bool,
    pub svg: Option<PathBuf>,
}

fn sums_json(sums: &Totals) -> Value {
    json!({
        "asked": sums.requests, "settled": sums.settled, "in_sla": sums.in_sla, "declined": sums.declined,
        "voided": sums.voided, "gone": sums.gone, "value_asked": sums.requested_value,
        "value_in_sla": sums.value_in_sla, "kept": sums.value_share(),
    })
}

fn summary_json(summary: &Summary) -> Value {
    let parts: serde_json::Map<String, Value> =
        summary.groups.iter().map(|(name, sums)| (name.trim().to_owned(), sums_json(sums))).collect();
    let percentiles = |t: &puffinladder_trace::summary::DurationHistogram| json!({"count": t.0.len(), "p50": t.percentile(50.0), "p90": t.percentile(90.0), "p99": t.percentile(99.0), "p999": t.percentile(99.9), "max": t.0.max()});
    json!({"total": sums_json(&summary.total), "parts": parts, "wait_us": percentiles(&summary.waits), "run_us": percentiles(&summary.runs)})
}

fn write_sums(out: &mut impl Write, name: &str, sums: &Totals) -> io::Result<()> {
    let Totals { requests, settled, in_sla, declined, voided, gone, requested_value, value_in_sla } = sums;
    writeln!(
        out,
        "{name:<28} {requests:>9} {settled:>9} {in_sla:>9} {declined:>9} {voided:>7} {gone:>7} {requested_value:>11.0} {value_in_sla:>11.0} {:>6.3}",
        sums.value_share()
    )
}

/// Prints sums and percentiles of the selected txns.
pub fn summarise(file: &str, filter: &RowFilter, options: &SummaryOptions) -> CommandResult {
    filter.expr()?;
    let mut trace = open(file)?;
    let choice = filter.choice(begin(&trace))?;
    let mut names = Names::default();
    let bar = progress_bar("summing up");
    let (summary, result) = summarise_trace(
        &mut trace,
        &mut names,
        &choice,
        options.by,
        options.interval,
        options.percentiles,
        &mut progress_callback(&bar),
    )?;
    print_damage(file, &result.damage);
    if let Some(path) = &options.svg {
        let by = Some(GroupBy::Interval);
        let (lines, _) =
            summarise_trace(&mut trace, &mut names, &choice, by, options.interval, false, &mut |_, _| {})?;
        plot::value_by_interval(path, file, &lines, options.interval)?;
    }
    let mut out = BufWriter::new(io::stdout().lock());
    if options.json {
        writeln!(out, "{}", summary_json(&summary))?;
        out.flush()?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<28} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>11} {:>11} {:>6}",
        "", "asked", "settled", "in SLA", "declined", "voided", "gone", "value", "in SLA", "kept"
    )?;
    write_sums(&mut out, "all", &summary.total)?;
    for (name, sums) in &summary.groups {
        write_sums(&mut out, name, sums)?;
    }
    if options.percentiles {
        for (label, times) in [("wait", &summary.waits), ("run", &summary.runs)] {
            let at = |p| span(times.percentile(p));
            writeln!(
                out,
                "{label:<5} p50 {} p90 {} p99 {} p99.9 {} most {} of {} txns",
                at(50.0),
                at(90.0),
                at(99.0),
                at(99.9),
                span(times.0.max()),
                times.0.len()
            )?;
        }
    }
    out.flush()?;
    Ok(())
}

/// Prints the sums and percentiles of two traces side by side.
pub fn diff(files: [&str; 2], filter: &RowFilter, by: GroupBy, as_json: bool) -> CommandResult {
    filter.expr()?;
    let mut summaries = Vec::new();
    for file in files {
        let mut trace = open(file)?;
        let choice = filter.choice(begin(&trace))?;
        let bar = progress_bar(file);
        let mut names = Names::default();
        let (summary, result) = summarise_trace(
            &mut trace,
            &mut names,
            &choice,
            Some(by),
            60_000_000,
            true,
            &mut progress_callback(&bar),
        )?;
        print_damage(file, &result.damage);
        summaries.push(summary);
    }
    let (before, after) = (&summaries[0], &summaries[1]);
    let mut out = BufWriter::new(io::stdout().lock());
    if as_json {
        writeln!(out, "{}", json!({"before": summary_json(before), "after": summary_json(after)}))?;
        out.flush()?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<28} {:>10} {:>10} {:>8}   {:>9} {:>9} {:>8}   {:>6} {:>6} {:>7}",
        "", "asked", "then", "", "declined", "then", "", "kept", "then", ""
    )?;
    let mut write_row = |name: &str, a: &Totals, b: &Totals| {
        let change = |a: u64, b: u64| match (a, b) {
            (0, 0) => "=".to_owned(),
            (0, _) => "new".to_owned(),
            _ => format!("{:+.1}%", (b as f64 / a as f64 - 1.0) * 100.0),
        };
        writeln!(
            out,
            "{name:<28} {:>10} {:>10} {:>8}   {:>9} {:>9} {:>8}   {:>6.3} {:>6.3} {:>+7.3}",
            a.requests,
            b.requests,
            change(a.requests, b.requests),
            a.declined,
            b.declined,
            change(a.declined, b.declined),
            a.value_share(),
            b.value_share(),
            b.value_share() - a.value_share()
        )
    };
    write_row("all", &before.total, &after.total)?;
    let keys: BTreeSet<&String> = before.groups.keys().chain(after.groups.keys()).collect();
    let none = Totals::default();
    for name in keys {
        write_row(name, before.groups.get(name).unwrap_or(&none), after.groups.get(name).unwrap_or(&none))?;
    }
    for (label, a, b) in [("wait", &before.waits, &after.waits), ("run", &before.runs, &after.runs)] {
        for p in [50.0, 99.0, 99.9] {
            writeln!(out, "{label} p{p}: {} then {}", span(a.percentile(p)), span(b.percentile(p)))?;
        }
    }
    out.flush()?;
    Ok(())
}
