//! `puffinladder duties`.

use super::keeper::{ask_leader, tell_leader};
use super::{failed, print};
use crate::say::{Done, Wrong};
use crate::serve;
use clap::{Args, Subcommand};
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest};
use puffinladder_leases::table::{Command as Order, InstanceRow, LeaseRow};
use puffinladder_leases::Task;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Args)]
pub struct Line {
    /// Keepers; whoever of them leads is asked
    #[arg(long, value_delimiter = ',', global = true)]
    at: Vec<SocketAddr>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Every duty with its parts and owners, and who is there
    #[command(after_help = "Example:\n  puffinladder duties list --at 127.0.0.1:18201,127.0.0.2:18201")]
    List {
        #[arg(long)]
        json: bool,
    },
    /// Each part of one duty: its owner, epoch, and since when
    #[command(after_help = "Example:\n  puffinladder duties show gather --at 127.0.0.1:18201")]
    Show {
        duty: String,
        #[arg(long)]
        json: bool,
    },
    /// Give a part to an instance, as soon as its owner has handed it over
    #[command(after_help = "Example:\n  puffinladder duties move gather/3 s2 --at 127.0.0.1:18201")]
    Move {
        /// As in gather/3
        part: String,
        to: String,
    },
    /// Let nobody own a duty until it is resumed
    Pause { duty: String },
    /// Give a paused duty out again
    Resume { duty: String },
}

pub fn run(line: Line) -> Done {
    let at = &line.at;
    if at.is_empty() {
        return Err(Wrong::Asked("--at should name keepers, such as 127.0.0.1:18201,127.0.0.2:18201".into()));
    }
    let runtime = serve::runtime()?;
    match line.command {
        Command::List { json } => runtime.block_on(list(at, json)),
        Command::Show { duty, json } => runtime.block_on(show(at, &duty, json)),
        Command::Move { part, to } => {
            let wrong = || Wrong::Asked(format!("{part:?}: should be a duty and a part, such as gather/3"));
            let (name, number) = part.rsplit_once('/').ok_or_else(wrong)?;
            let duty = Task::new(name, number.parse().map_err(|_| wrong())?);
            runtime.block_on(tell_leader(at, &ReplicaRequest::Command(Order::Move { task: duty, to })))
        }
        Command::Pause { duty } => runtime
            .block_on(tell_leader(at, &ReplicaRequest::Command(Order::Pause { task: duty, paused: true }))),
        Command::Resume { duty } => runtime
            .block_on(tell_leader(at, &ReplicaRequest::Command(Order::Pause { task: duty, paused: false }))),
    }
}

async fn duties(at: &[SocketAddr]) -> Done<(Vec<LeaseRow>, Vec<InstanceRow>, f64)> {
    match ask_leader(at, &ReplicaRequest::Tasks).await? {
        ReplicaReply::Tasks { leases: rows, instances: seats, at } => Ok((rows, seats, at)),
        other => Err(failed(format!("the keeper says {other:?}"))),
    }
}

fn json<T: serde::Serialize>(value: &T) -> Done {
    println!("{}", serde_json::to_string(value).map_err(std::io::Error::from)?);
    Ok(())
}

async fn list(at: &[SocketAddr], as_json: bool) -> Done {
    let (rows, seats, _) = duties(at).await?;
    if as_json {
        return json(&(rows, seats));
    }
    let mut of: BTreeMap<&str, Vec<&LeaseRow>> = BTreeMap::new();
    rows.iter().for_each(|row| of.entry(&row.task.name).or_default().push(row));
    let mut out = vec![["duty", "parts", "owned", "on the move", "paused"].map(String::from).to_vec()];
    for (name, rows) in of {
        let count = |fit: &dyn Fn(&LeaseRow) -> bool| rows.iter().filter(|row| fit(row)).count().to_string();
        let paused = if rows.iter().any(|row| row.paused) { "yes" } else { "no" };
        let (owned, moving) = (count(&|row| row.holder.is_some()), count(&|row| row.revoked));
        out.push(vec![name.into(), rows.len().to_string(), owned, moving, paused.into()]);
    }
    out.push(vec![]);
    out.push(["instance", "zone", "has", "leaves", "session ends in", "rests"].map(String::from).to_vec());
    for seat in seats {
        let leaves = if seat.draining { "yes" } else { "no" };
        let rests = if seat.penalty_remaining > 0.0 {
            format!("{:.0}s", seat.penalty_remaining)
        } else {
            "no".into()
        };
        let left = format!("{:.1}s", seat.session_remaining);
        out.push(vec![
            seat.holder.to_string(),
            seat.zone,
            seat.parts.to_string(),
            leaves.into(),
            left,
            rests,
        ]);
    }
    print(&out)
}

async fn show(at: &[SocketAddr], duty: &str, as_json: bool) -> Done {
    let (rows, _, now) = duties(at).await?;
    let rows: Vec<LeaseRow> = rows.into_iter().filter(|row| row.task.name == duty).collect();
    if rows.is_empty() {
        return Err(Wrong::Asked(format!("no duty {duty:?} is declared")));
    }
    if as_json {
        return json(&rows);
    }
    let mut out = vec![["part", "owner", "epoch", "for", ""].map(String::from).to_vec()];
    for row in rows {
        let note = match (row.paused, row.revoked) {
            (true, _) => "paused",
            (_, true) => "taken back",
            _ => "",
        };
        let owner = row.holder.map_or("nobody".into(), |owner| owner.to_string());
        let since = format!("{:.1}s", now - row.since);
        out.push(vec![row.task.to_string(), owner, row.epoch.to_string(), since, note.into()]);
    }
    print(&out)
}
