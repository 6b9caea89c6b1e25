//! `trace export`: writes txns as rows of Parquet or CSV for other tools.

use super::input::{open, reject_overwrite, Output};
use super::RowFilter;
use crate::terminal::{print_damage, progress_bar, progress_callback, CommandError, CommandResult};
use parquet::basic::{Compression, ZstdLevel};
use parquet::data_type::{BoolType, ByteArray, ByteArrayType, DoubleType, Int32Type, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;
use puffinladder_trace::row::{Names, Row, Step};
use puffinladder_trace::tools::scan;
use std::io::Write;
use std::ops::ControlFlow;
use std::sync::Arc;

const SCHEMA: &str = "message txns {
    required int64 read (TIMESTAMP(MICROS,true));
    required binary node (UTF8);
    required binary product (UTF8);
    required binary customer (UTF8);
    required int32 caller;
    required boolean repeat;
    required binary name (UTF8);
    optional binary key (UTF8);
    required int64 unread_us;
    required int64 wait_us;
    optional int64 run_us;
    optional int64 answered_us;
    required binary answer (UTF8);
    optional binary reason (UTF8);
    required boolean in_sla;
    required int32 keep_off_ms;
    required boolean last;
    required double value;
    required binary steps (UTF8);
}";

/// Rows of a Parquet row group.
const MAX_GROUP_ROWS: usize = 1 << 17;

/// Value of one column of a row.
enum Cell {
    Time(i64),
    Text(Option<String>),
    Small(i32),
    Large(Option<i64>),
    Flag(bool),
    Real(f64),
}

/// Returns the cells of a row, in the order of [`SCHEMA`].
fn row_cells(row: &Row, names: &Names) -> Vec<Cell> {
    let path = names.path(row.path);
    let terms = names.product(row.product);
    let disposition = path.disposition();
    let text = |text: &str| Cell::Text(Some(text.to_owned()));
    let large = |value: Option<u64>| Cell::Large(value.map(|v| v as i64));
    let steps: Vec<String> =
        path.steps().zip(&row.spans).map(|(step, span)| format!("{span}:{}", step.text())).collect();
    vec![
        Cell::Time(row.read),
        text(names.text(row.node)),
        text(&terms.name),
        text(names.text(row.customer)),
        Cell::Small(row.caller as i32),
        Cell::Flag(row.repeat()),
        text(&format!("{:08x}", row.name)),
        Cell::Text((row.key != 0).then(|| format!("{:012x}", row.key))),
        large(Some(row.unread.into())),
        large(Some(row.wait(path))),
        large(row.run_time(path)),
        large(row.response_time(path)),
        text(disposition.label()),
        Cell::Text(disposition.step().reason().map(|reason| reason.text().to_owned())),
        Cell::Flag(disposition.step() == Step::SETTLED),
        Cell::Small(row.keep_off as i32),
        Cell::Flag(row.last()),
        Cell::Real(row.value(terms)),
        text(&steps.join(" ")),
    ]
}

/// Formats a CSV field, quoted if it needs to be.
fn csv_field(cell: &Cell) -> String {
    let quoted = |text: &str| {
        if text.contains([',', '"', '\n', '\r']) {
            format!("\"{}\"", text.replace('"', "\"\""))
        } else {
            text.to_owned()
        }
    };
    match cell {
        Cell::Time(at) => quoted(&super::query::date(*at)),
        Cell::Text(text) => quoted(text.as_deref().unwrap_or("")),
        Cell::Small(value) => value.to_string(),
        Cell::Large(value) => value.map_or(String::new(), |v| v.to_string()),
        Cell::Flag(flag) => flag.to_string(),
        Cell::Real(value) => value.to_string(),
    }
}

/// Exports the selected txns.
pub fn export(file: &str, filter: &RowFilter, as_parquet: bool, out: &str) -> CommandResult {
    filter.expr()?;
    reject_overwrite(&[file], out)?;
    let mut trace = open(file)?;
    let choice = filter.choice(trace.time_range().map_or(0, |span| span.0))?;
    let mut output = Output::new(out)?;
    let schema = Arc::new(parse_message_type(SCHEMA).map_err(parquet_error)?);
    let bar = progress_bar("exporting");
    let mut names = Names::default();
    let mut failed: Option<CommandError> = None;
    let keep_error = |failed: &mut Option<CommandError>, result: CommandResult| match result {
        Ok(()) => ControlFlow::Continue(()),
        Err(e) => {
            *failed = Some(e);
            ControlFlow::Break(())
        }
    };
    let scanned = if as_parquet {
        let level = ZstdLevel::try_new(3).map_err(parquet_error)?;
        let properties = WriterProperties::builder().set_compression(Compression::ZSTD(level)).build();
        let mut writer = SerializedFileWriter::new(output.by_ref(), schema, Arc::new(properties))
            .map_err(parquet_error)?;
        let mut rows = Vec::new();
        let scanned = scan(&mut trace, &mut names, &choice, &mut progress_callback(&bar), |row, names| {
            rows.push(row_cells(row, names));
            let full = rows.len() >= MAX_GROUP_ROWS;
            keep_error(
                &mut failed,
                if full { write_group(&mut writer, &mut rows).map_err(parquet_error) } else { Ok(()) },
            )
        })?;
        if failed.is_none() {
            write_group(&mut writer, &mut rows).map_err(parquet_error)?;
            writer.close().map_err(parquet_error)?;
        }
        scanned
    } else {
        let columns: Vec<&str> = schema.get_fields().iter().map(|field| field.name()).collect();
        writeln!(output, "{}", columns.join(","))?;
        scan(&mut trace, &mut names, &choice, &mut progress_callback(&bar), |row, names| {
            let line: Vec<String> = row_cells(row, names).iter().map(csv_field).collect();
            keep_error(&mut failed, writeln!(output, "{}", line.join(",")).map_err(CommandError::from))
        })?
    };
    failed.map_or(Ok(()), Err)?;
    output.finish()?;
    print_damage(file, &scanned.damage);
    eprintln!("{} txns", scanned.rows);
    Ok(())
}

fn parquet_error(e: ParquetError) -> CommandError {
    CommandError::Failed(format!("parquet: {e}"))
}

/// Writes rows as one row group, column by column.
fn write_group<W: Write + Send>(
    writer: &mut SerializedFileWriter<W>,
    rows: &mut Vec<Vec<Cell>>,
) -> Result<(), ParquetError> {
    if rows.is_empty() {
        return Ok(());
    }
    let mut group = writer.next_row_group()?;
    let mut at = 0;
    while let Some(mut column) = group.next_column()? {
        let cells = rows.iter().map(|row| &row[at]);
        // Definition levels of optional columns: 1 for a present value.
        let mut present: Vec<i16> = Vec::new();
        match &rows[0][at] {
            Cell::Time(_) | Cell::Large(_) => {
                let mut values = Vec::new();
                for cell in cells {
                    let value = match cell {
                        Cell::Time(at) => Some(*at),
                        Cell::Large(value) => *value,
                        _ => None,
                    };
                    present.push(value.is_some().into());
                    values.extend(value);
                }
                column.typed::<Int64Type>().write_batch(&values, Some(&present), None)?;
            }
            Cell::Text(_) => {
                let mut values = Vec::new();
                for cell in cells {
                    if let Cell::Text(text) = cell {
                        present.push(text.is_some().into());
                        values.extend(text.as_ref().map(|text| ByteArray::from(text.as_str())));
                    }
                }
                column.typed::<ByteArrayType>().write_batch(&values, Some(&present), None)?;
            }
            Cell::Small(_) => {
                let values: Vec<i32> = cells.map(|c| if let Cell::Small(v) = c { *v } else { 0 }).collect();
                column.typed::<Int32Type>().write_batch(&values, None, None)?;
            }
            Cell::Flag(_) => {
                let values: Vec<bool> = cells.map(|c| matches!(c, Cell::Flag(true))).collect();
                column.typed::<BoolType>().write_batch(&values, None, None)?;
            }
            Cell::Real(_) => {
                let values: Vec<f64> = cells.map(|c| if let Cell::Real(v) = c { *v } else { 0.0 }).collect();
                column.typed::<DoubleType>().write_batch(&values, None, None)?;
            }
        }
        column.close()?;
        at += 1;
    }
    group.close()?;
    rows.clear();
    Ok(())
}
