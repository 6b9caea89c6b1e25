//! `puffinladder trace`: its commands and their flags.

mod ask;
mod bench;
mod export;
mod input;
mod make;
mod plot;
mod view;

use crate::say::{Done, Wrong};
use clap::{Args, Subcommand, ValueEnum};
use puffinladder_trace::expr::{self, Expr};
use puffinladder_trace::summary::GroupBy;
use puffinladder_trace::tools::Selection;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Command {
    /// Tell what is in a trace: versions, span, blocks, losses, a torn end
    #[command(after_help = "Example:\n  puffinladder trace info n1.trace --columns")]
    Info {
        /// Traces; - is standard input
        #[arg(required = true)]
        files: Vec<String>,
        /// Bytes that each column takes
        #[arg(long)]
        columns: bool,
        /// As JSON, an object for each file
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
        which: Which,
        /// A JSON object a line
        #[arg(long)]
        json: bool,
        /// The state beside the txns instead of the txns
        #[arg(long)]
        notes: bool,
    },
    /// Print the txns that an expression means
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
        span: Span,
        #[arg(long)]
        json: bool,
        /// Only how many there are
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
        which: Which,
        #[command(flatten)]
        out: Out,
    },
    /// Write traces of many nodes as one, in the order of time
    #[command(after_help = "Examples:\n  puffinladder trace merge n*.trace -o all.trace\n  \
        puffinladder trace merge n1.trace n2.trace --offset 2=-1500ms -o all.trace")]
    Merge {
        #[arg(required = true)]
        files: Vec<String>,
        /// Put on every time of the Nth file, for a clock known to be wrong: N=SPAN
        #[arg(long, value_name = "N=SPAN", allow_hyphen_values = true)]
        offset: Vec<String>,
        #[command(flatten)]
        out: Out,
    },
    /// Take customers, callers and keys out of a trace
    #[command(
        after_help = "The same key gives the same names in every file; another key's can't be linked to them.\n\nExample:\n  \
        head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \\n' > key\n  \
        puffinladder trace anonymise --key-file key --k 50 n1.trace -o given-away.trace"
    )]
    Anonymise {
        file: String,
        /// 64 hex digits
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// Customers with fewer txns than this go together as one
        #[arg(long, default_value_t = 0)]
        k: u64,
        /// Names of nodes too
        #[arg(long)]
        nodes: bool,
        #[command(flatten)]
        out: Out,
    },
    /// Sum up what was asked for and what was settled within its SLA time
    #[command(after_help = "Examples:\n  puffinladder trace summarise n1.trace --by reason\n  \
        puffinladder trace summarise n1.trace --by interval --interval 10s --svg hour.svg\n  \
        puffinladder trace summarise n1.trace --counts    # from the blocks' heads alone")]
    Summarise {
        file: String,
        #[command(flatten)]
        which: Which,
        #[arg(long, value_enum)]
        by: Option<ByWhat>,
        /// Length of an interval
        #[arg(long, default_value = "60s", value_parser = span)]
        interval: i64,
        /// No percentiles: blocks that are meant as a whole are not read
        #[arg(long)]
        counts: bool,
        #[arg(long)]
        json: bool,
        /// Draw value by interval into this file
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
    /// Compare two traces, as of before and after a change
    #[command(after_help = "Example:\n  puffinladder trace diff before.trace after.trace --by product")]
    Diff {
        before: String,
        after: String,
        #[command(flatten)]
        which: Which,
        #[arg(long, value_enum, default_value = "reason")]
        by: ByWhat,
        #[arg(long)]
        json: bool,
    },
    /// Write txns as Parquet or CSV for other tools
    #[command(after_help = "Examples:\n  puffinladder trace export --parquet n1.trace -o n1.parquet\n  \
        puffinladder trace export --csv --where declined n1.trace -o -")]
    Export {
        file: String,
        #[command(flatten)]
        which: Which,
        #[arg(long, conflicts_with = "csv", required_unless_present = "csv")]
        parquet: bool,
        #[arg(long)]
        csv: bool,
        #[command(flatten)]
        out: Out,
    },
    /// Write a sealed trace from a torn or damaged one
    #[command(after_help = "Example:\n  puffinladder trace repair torn.trace -o whole.trace")]
    Repair {
        file: String,
        #[command(flatten)]
        out: Out,
    },
    /// Make up a trace, the same for the same seed
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
        /// Share of the time that is a rush
        #[arg(long, default_value_t = 0.2)]
        rush: f64,
        /// Version of the format
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=2))]
        format: u16,
        #[command(flatten)]
        out: Out,
    },
    /// Look through a trace on the terminal: time line, txns, one txn's life
    #[command(
        after_help = "Keys: arrows or j k, page up and down, enter to go in, esc to go back, / to filter, q to end"
    )]
    View { file: String },
    /// Measure sizes and speeds on made-up traces
    #[command(after_help = "Example:\n  puffinladder trace bench --hours 1,10,100 --nodes 16")]
    Bench {
        /// Lengths of the traces from which a minute is cut
        #[arg(long, value_delimiter = ',', default_value = "1,10")]
        hours: Vec<u32>,
        /// Traces that are merged
        #[arg(long, default_value_t = 16)]
        nodes: usize,
        /// Times that each is measured; medians are told
        #[arg(long, default_value_t = 5)]
        runs: usize,
        /// Where the traces are made; it takes about 13 MB an hour and node
        #[arg(long)]
        folder: Option<PathBuf>,
    },
}

/// Which txns of a trace are meant.
#[derive(Args)]
pub struct Which {
    #[command(flatten)]
    span: Span,
    /// An expression, as for grep
    #[arg(long = "where", value_name = "EXPR")]
    expr: Option<String>,
}

#[derive(Args)]
pub struct Span {
    /// From this time on: a span since the trace's beginning (30m), or a date (2026-01-01T00:30:00Z)
    #[arg(long, value_parser = time)]
    from: Option<Time>,
    /// Up to this time
    #[arg(long, value_parser = time)]
    to: Option<Time>,
}

#[derive(Args)]
pub struct Out {
    /// Where to write; - is standard output
    #[arg(short = 'o', long = "out", value_name = "FILE")]
    out: String,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum ByWhat {
    Product,
    Customer,
    Caller,
    Reason,
    Node,
    Interval,
}

impl ByWhat {
    fn by(self) -> GroupBy {
        match self {
            ByWhat::Product => GroupBy::Product,
            ByWhat::Customer => GroupBy::Customer,
            ByWhat::Caller => GroupBy::Caller,
            ByWhat::Reason => GroupBy::Reason,
            ByWhat::Node => GroupBy::Node,
            ByWhat::Interval => GroupBy::Interval,
        }
    }
}

/// us, since the trace's beginning or 1970.
#[derive(Clone, Copy)]
pub enum Time {
    Since(i64),
    Unix(i64),
}

fn span(text: &str) -> Result<i64, String> {
    expr::parse_span(text).filter(|span| *span > 0).ok_or("should be a span such as 90s, 30m or 1h30m".into())
}

fn time(text: &str) -> Result<Time, String> {
    if let Some(span) = expr::parse_span(text) {
        return Ok(Time::Since(span));
    }
    let time: Result<jiff::Timestamp, _> = text.parse();
    time.map(|time| Time::Unix(time.as_microsecond()))
        .map_err(|_| "should be a span such as 30m, or a date such as 2026-01-01T00:30:00Z".into())
}

impl Span {
    fn bounds(&self, begin: i64) -> (i64, i64) {
        let at = |time: Option<Time>, usual| match time {
            None => usual,
            Some(Time::Since(span)) => begin.saturating_add(span),
            Some(Time::Unix(at)) => at,
        };
        (at(self.from, i64::MIN), at(self.to, i64::MAX))
    }
}

pub fn parse(text: &str) -> Done<Expr> {
    expr::parse(text).map_err(|wrong| {
        let mark = " ".repeat(wrong.column - 1);
        Wrong::Asked(format!("the expression is wrong at {wrong}\n  {text}\n  {mark}^"))
    })
}

impl Which {
    fn expr(&self) -> Done<Expr> {
        self.expr.as_deref().map_or(Ok(Expr::All), parse)
    }
    /// The same in a trace that begins at `begin`, us.
    fn choice(&self, begin: i64) -> Done<Selection> {
        let (from, to) = self.span.bounds(begin);
        Ok(Selection { from, to, expr: self.expr()? })
    }
}

pub fn run(command: Command) -> Done {
    match command {
        Command::Info { files, columns, json } => ask::info(&files, columns, json),
        Command::Cat { file, which, json, notes } => ask::cat(&file, &which, json, notes),
        Command::Grep { expr, file, span, json, count } => ask::grep(&expr, &file, &span, json, count),
        Command::Cut { file, which, out } => make::cut(&file, &which, &out.out),
        Command::Merge { files, offset, out } => make::merge(&files, &offset, &out.out),
        Command::Anonymise { file, key_file, k, nodes, out } => {
            make::anonymise(&file, &key_file, k, nodes, &out.out)
        }
        Command::Summarise { file, which, by, interval, counts, json, svg } => {
            let asked = ask::Asked { by: by.map(ByWhat::by), interval, percentiles: !counts, json, svg };
            ask::summarise(&file, &which, &asked)
        }
        Command::Diff { before, after, which, by, json } => {
            ask::diff([&before, &after], &which, by.by(), json)
        }
        Command::Export { file, which, parquet, csv: _, out } => {
            export::export(&file, &which, parquet, &out.out)
        }
        Command::Repair { file, out } => make::repair(&file, &out.out),
        Command::Synth { span, rate, seed, node, customers, callers, rush, format, out } => {
            let told = puffinladder_trace::synth::SynthConfig {
                seed,
                span: span as f64 / 1e6,
                rate,
                node,
                customers,
                callers,
                overload_share: rush,
                ..Default::default()
            };
            make::synth(&told, format, &out.out)
        }
        Command::View { file } => view::view(&file),
        Command::Bench { hours, nodes, runs, folder } => bench::bench(&hours, nodes, runs, folder),
    }
}
