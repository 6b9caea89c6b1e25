//! `puffinladder trace`: commands on traces, and their arguments.

mod bench;
mod export;
mod input;
mod make;
mod plot;
mod query;
mod view;

use crate::terminal::{CommandError, CommandResult};
use clap::{Args, Subcommand, ValueEnum};
use puffinladder_trace::expr::{self, Expr};
use puffinladder_trace::summary::GroupBy;
use puffinladder_trace::tools::Selection;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Command {
    /// Describe a trace: version, span, blocks, losses, a truncated end
    #[command(after_help = "Example:\n  puffinladder trace info n1.trace --columns")]
    Info {
        /// Traces; - is standard input
        #[arg(required = true)]
        files: Vec<String>,
        /// Show the size of each column
        #[arg(long)]
        columns: bool,
        /// Print JSON, one object for each file
        #[arg(long)]
        json: bool,
    },
    /// Print every txn with its steps
    #[command(
        after_help = "Examples:\n  puffinladder trace cat n1.trace --from 10m --to 11m\n  puffinladder trace cat n1.trace --json | head"
    )]
    Cat {
        file: String,
        #[command(flatten)]
        filter: RowFilter,
        /// Print JSON, one object a line
        #[arg(long)]
        json: bool,
        /// Print the recorded state instead of the txns
        #[arg(long)]
        notes: bool,
    },
    /// Print the txns that match an expression
    #[command(after_help = "The language:\n  \
        settled declined voided gone in-sla late replayed ran called skipped repeat last referenced\n  \
        product customer node reason step key name   with = != ~ !~ (patterns: * and ?)\n  \
        wait run unread answer hint keep-off memory rank caller value at   with < <= = != >= >\n  \
        and, or, not, ( )   units us ms s m h KB MB\n\nExamples:\n  \
        puffinladder trace grep 'declined and product = bid-submit and wait > 200ms and customer ~ \"k*\"' n1.trace\n  \
        puffinladder trace grep 'reason = \"no time\" or late' n1.trace --count")]
    Grep {
        expr: String,
        file: String,
        #[command(flatten)]
        span: TimeRange,
        #[arg(long)]
        json: bool,
        /// Print only the number of matches
        #[arg(long)]
        count: bool,
    },
    /// Write a part of a trace to another
    #[command(
        after_help = "Examples:\n  puffinladder trace cut --from 30m --to 31m n1.trace -o minute.trace\n  \
        puffinladder trace cut --from 2026-01-01T00:30:00Z --where 'declined' n1.trace -o declined.trace"
    )]
    Cut {
        file: String,
        #[command(flatten)]
        filter: RowFilter,
        #[command(flatten)]
        out: OutputArg,
    },
    /// Merge traces of many nodes into one, ordered by time
    #[command(after_help = "Examples:\n  puffinladder trace merge n*.trace -o all.trace\n  \
        puffinladder trace merge n1.trace n2.trace --offset 2=-1500ms -o all.trace")]
    Merge {
        #[arg(required = true)]
        files: Vec<String>,
        /// Add SPAN to every time of the Nth file, to correct a clock: N=SPAN
        #[arg(long, value_name = "N=SPAN", allow_hyphen_values = true)]
        offset: Vec<String>,
        #[command(flatten)]
        out: OutputArg,
    },
    /// Replace customers, callers and keys of a trace by pseudonyms
    #[command(
        after_help = "The same key gives the same pseudonyms in every file; those of different keys can't be linked.\n\nExample:\n  \
        head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \\n' > key\n  \
        puffinladder trace anonymise --key-file key --k 50 n1.trace -o given-away.trace"
    )]
    Anonymise {
        file: String,
        /// File with 64 hex digits
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// Merge customers with fewer txns than this into one
        #[arg(long, default_value_t = 0)]
        k: u64,
        /// Replace the names of nodes too
        #[arg(long)]
        nodes: bool,
        #[command(flatten)]
        out: OutputArg,
    },
    /// Sum up the txns by outcome, and the value settled within the SLA time
    #[command(after_help = "Examples:\n  puffinladder trace summarise n1.trace --by reason\n  \
        puffinladder trace summarise n1.trace --by interval --interval 10s --svg hour.svg\n  \
        puffinladder trace summarise n1.trace --counts    # reads only block headers")]
    Summarise {
        file: String,
        #[command(flatten)]
        filter: RowFilter,
        #[arg(long, value_enum)]
        by: Option<GroupByArg>,
        /// Length of an interval
        #[arg(long, default_value = "60s", value_parser = span)]
        interval: i64,
        /// Leave out percentiles; then blocks that match as a whole need not be read
        #[arg(long)]
        counts: bool,
        #[arg(long)]
        json: bool,
        /// Plot the value by interval into this file
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
    /// Compare two traces, such as before and after a change
    #[command(after_help = "Example:\n  puffinladder trace diff before.trace after.trace --by product")]
    Diff {
        before: String,
        after: String,
        #[command(flatten)]
        filter: RowFilter,
        #[arg(long, value_enum, default_value = "reason")]
        by: GroupByArg,
        #[arg(long)]
        json: bool,
    },
    /// Write txns as Parquet or CSV for other tools
    #[command(after_help = "Examples:\n  puffinladder trace export --parquet n1.trace -o n1.parquet\n  \
        puffinladder trace export --csv --where declined n1.trace -o -")]
    Export {
        file: String,
        #[command(flatten)]
        filter: RowFilter,
        #[arg(long, conflicts_with = "csv", required_unless_present = "csv")]
        parquet: bool,
        #[arg(long)]
        csv: bool,
        #[command(flatten)]
        out: OutputArg,
    },
    /// Write a sealed trace from a truncated or damaged one
    #[command(after_help = "Example:\n  puffinladder trace repair torn.trace -o whole.trace")]
    Repair {
        file: String,
        #[command(flatten)]
        out: OutputArg,
    },
    /// Generate a synthetic trace from a seed
    #[command(
        after_help = "Example:\n  puffinladder trace synth --span 1h --rate 230 --seed 1 -o hour.trace"
    )]
    Synth {
        #[arg(long, default_value = "1h", value_parser = span)]
        span: i64,
        /// Txns a second
        #[arg(long, default_value_t = 230.0)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "n1")]
        node: String,
        #[arg(long, default_value_t = 24)]
        customers: usize,
        #[arg(long, default_value_t = 40)]
        callers: u32,
        /// Share of the time with a load spike
        #[arg(long, default_value_t = 0.2)]
        rush: f64,
        /// Version of the format
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=2))]
        format: u16,
        #[command(flatten)]
        out: OutputArg,
    },
    /// Browse a trace on the terminal: time line, txns, details of a txn
    #[command(
        after_help = "Keys: arrows or j k, page up and down, enter to open, esc to go back, / to filter, q to quit"
    )]
    View { file: String },
    /// Measure sizes and speeds on synthetic traces
    #[command(after_help = "Example:\n  puffinladder trace bench --hours 1,10,100 --nodes 16")]
    Bench {
        /// Lengths of the traces from which a minute is cut
        #[arg(long, value_delimiter = ',', default_value = "1,10")]
        hours: Vec<u32>,
        /// Number of traces to merge
        #[arg(long, default_value_t = 16)]
        nodes: usize,
        /// Runs of each measurement; medians are printed
        #[arg(long, default_value_t = 5)]
        runs: usize,
        /// Folder for the synthetic traces, about 13 MB for each hour and node
        #[arg(long)]
        folder: Option<PathBuf>,
    },
}

/// Arguments that select txns of a trace.
#[derive(Args)]
pub struct RowFilter {
    #[command(flatten)]
    span: TimeRange,
    /// An expression, as for grep
    #[arg(long = "where", value_name = "EXPR")]
    expr: Option<String>,
}

/// Arguments that select a range of time.
#[derive(Args)]
pub struct TimeRange {
    /// Start time: a span since the trace's beginning (30m), or a date (2026-01-01T00:30:00Z)
    #[arg(long, value_parser = time_arg)]
    from: Option<TimeArg>,
    /// End time, exclusive
    #[arg(long, value_parser = time_arg)]
    to: Option<TimeArg>,
}

/// Argument that names the output.
#[derive(Args)]
pub struct OutputArg {
    /// Output file; - is standard output
    #[arg(short = 'o', long = "out", value_name = "FILE")]
    out: String,
}

/// Key by which sums are grouped.
#[derive(Clone, Copy, ValueEnum)]
pub enum GroupByArg {
    Product,
    Customer,
    Caller,
    Reason,
    Node,
    Interval,
}

impl GroupByArg {
    fn by(self) -> GroupBy {
        match self {
            GroupByArg::Product => GroupBy::Product,
            GroupByArg::Customer => GroupBy::Customer,
            GroupByArg::Caller => GroupBy::Caller,
            GroupByArg::Reason => GroupBy::Reason,
            GroupByArg::Node => GroupBy::Node,
            GroupByArg::Interval => GroupBy::Interval,
        }
    }
}

/// Time in us since the trace's beginning, or since 1970.
#[derive(Clone, Copy)]
pub enum TimeArg {
    Since(i64),
    Unix(i64),
}

fn span(text: &str) -> Result<i64, String> {
    expr::parse_span(text).filter(|span| *span > 0).ok_or("should be a span such as 90s, 30m or 1h30m".into())
}

fn time_arg(text: &str) -> Result<TimeArg, String> {
    if let Some(span) = expr::parse_span(text) {
        return Ok(TimeArg::Since(span));
    }
    let time: Result<jiff::Timestamp, _> = text.parse();
    time.map(|time| TimeArg::Unix(time.as_microsecond()))
        .map_err(|_| "should be a span such as 30m, or a date such as 2026-01-01T00:30:00Z".into())
}

impl TimeRange {
    /// Returns the range in us since 1970, for a trace that begins at `begin`.
    fn bounds(&self, begin: i64) -> (i64, i64) {
        let resolve = |time: Option<TimeArg>, default| match time {
            None => default,
            Some(TimeArg::Since(span)) => begin.saturating_add(span),
            Some(TimeArg::Unix(time)) => time,
        };
        (resolve(self.from, i64::MIN), resolve(self.to, i64::MAX))
    }
}

/// Parses an expression; the error marks the invalid column.
pub fn parse_expr(text: &str) -> CommandResult<Expr> {
    expr::parse(text).map_err(|error| {
        let mark = " ".repeat(error.column - 1);
        CommandError::Usage(format!("invalid expression at {error}\n  {text}\n  {mark}^"))
    })
}

impl RowFilter {
    fn expr(&self) -> CommandResult<Expr> {
        self.expr.as_deref().map_or(Ok(Expr::All), parse_expr)
    }
    /// Returns the selection in a trace that begins at `begin`, us.
    fn choice(&self, begin: i64) -> CommandResult<Selection> {
        let (from, to) = self.span.bounds(begin);
        Ok(Selection { from, to, expr: self.expr()? })
    }
}

pub fn run(command: Command) -> CommandResult {
    match command {
        Command::Info { files, columns, json } => query::info(&files, columns, json),
        Command::Cat { file, filter, json, notes } => query::cat(&file, &filter, json, notes),
        Command::Grep { expr, file, span, json, count } => query::grep(&expr, &file, &span, json, count),
        Command::Cut { file, filter, out } => make::cut(&file, &filter, &out.out),
        Command::Merge { files, offset, out } => make::merge(&files, &offset, &out.out),
        Command::Anonymise { file, key_file, k, nodes, out } => {
            make::anonymise(&file, &key_file, k, nodes, &out.out)
        }
        Command::Summarise { file, filter, by, interval, counts, json, svg } => {
            let options = query::SummaryOptions {
                by: by.map(GroupByArg::by),
                interval,
                percentiles: !counts,
                json,
                svg,
            };
            query::summarise(&file, &filter, &options)
        }
        Command::Diff { before, after, filter, by, json } => {
            query::diff([&before, &after], &filter, by.by(), json)
        }
        Command::Export { file, filter, parquet, csv: _, out } => {
            export::export(&file, &filter, parquet, &out.out)
        }
        Command::Repair { file, out } => make::repair(&file, &out.out),
        Command::Synth { span, rate, seed, node, customers, callers, rush, format, out } => {
            let config = puffinladder_trace::synth::SynthConfig {
                seed,
                span: span as f64 / 1e6,
                rate,
                node,
                customers,
                callers,
                overload_share: rush,
                ..Default::default()
            };
            make::synth(&config, format, &out.out)
        }
        Command::View { file } => view::view(&file),
        Command::Bench { hours, nodes, runs, folder } => bench::bench(&hours, nodes, runs, folder),
    }
}
