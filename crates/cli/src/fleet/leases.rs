//! `puffinladder leases`: lists, moves and pauses the leases on the fleet's tasks.

use super::lease_store::{command_leader, read_from_leader};
use super::{failed, print_table};
use crate::serve;
use crate::terminal::{CommandError, CommandResult};
use clap::{Args, Subcommand};
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest};
use puffinladder_leases::table::{Command as TableCommand, InstanceRow, LeaseRow};
use puffinladder_leases::Task;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Args)]
pub struct LeasesArgs {
    /// Replicas of the lease store; the command is sent to the leader among them
    #[arg(long, value_delimiter = ',', global = true)]
    at: Vec<SocketAddr>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List every task with its leased parts, and every instance
    #[command(after_help = "Example:\n  puffinladder leases list --at 127.0.0.1:18201,127.0.0.2:18201")]
    List {
        #[arg(long)]
        json: bool,
    },
    /// Show each part of one task: its holder, epoch, and since when
    #[command(after_help = "Example:\n  puffinladder leases show gather --at 127.0.0.1:18201")]
    Show {
        /// Name of the task
        #[arg(value_name = "TASK")]
        task: String,
        #[arg(long)]
        json: bool,
    },
    /// Move a part to an instance, as soon as its holder has released it
    #[command(after_help = "Example:\n  puffinladder leases move gather/3 s2 --at 127.0.0.1:18201")]
    Move {
        /// Task and part, such as gather/3
        part: String,
        /// Name of the instance
        to: String,
    },
    /// Revoke all leases on a task, and grant none until it is resumed
    Pause {
        /// Name of the task
        #[arg(value_name = "TASK")]
        task: String,
    },
    /// Grant leases on a paused task again
    Resume {
        /// Name of the task
        #[arg(value_name = "TASK")]
        task: String,
    },
}

pub fn run(args: LeasesArgs) -> CommandResult {
    let at = &args.at;
    if at.is_empty() {
        return Err(CommandError::Usage(
            "--at should name keepers (lease store replicas), such as 127.0.0.1:18201,127.0.0.2:18201".into(),
        ));
    }
    let runtime = serve::runtime()?;
    match args.command {
        Command::List { json } => runtime.block_on(list(at, json)),
        Command::Show { task, json } => runtime.block_on(show(at, &task, json)),
        Command::Move { part, to } => {
            let task = parse_part(&part)?;
            runtime.block_on(change_table(at, TableCommand::Move { task, to }))
        }
        Command::Pause { task } => {
            runtime.block_on(change_table(at, TableCommand::Pause { task, paused: true }))
        }
        Command::Resume { task } => {
            runtime.block_on(change_table(at, TableCommand::Pause { task, paused: false }))
        }
    }
}

/// Parses a task and part such as `gather/3`.
fn parse_part(text: &str) -> CommandResult<Task> {
    let invalid = || CommandError::Usage(format!("{text:?}: should be a task and a part, such as gather/3"));
    let (name, part) = text.rsplit_once('/').ok_or_else(invalid)?;
    Ok(Task::new(name, part.parse().map_err(|_| invalid())?))
}

async fn change_table(at: &[SocketAddr], command: TableCommand) -> CommandResult {
    command_leader(at, &ReplicaRequest::Command(command)).await
}

/// Lease table of the leader.
struct TableView {
    leases: Vec<LeaseRow>,
    instances: Vec<InstanceRow>,
    /// Time of the table's clock, s.
    now: f64,
}

async fn read_table(at: &[SocketAddr]) -> CommandResult<TableView> {
    match read_from_leader(at, &ReplicaRequest::Tasks).await? {
        ReplicaReply::Tasks { leases, instances, at } => Ok(TableView { leases, instances, now: at }),
        other => Err(failed(format!("unexpected reply of the replica: {other:?}"))),
    }
}

fn print_json<T: serde::Serialize>(value: &T) -> CommandResult {
    println!("{}", serde_json::to_string(value).map_err(std::io::Error::from)?);
    Ok(())
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_string()
}

async fn list(at: &[SocketAddr], as_json: bool) -> CommandResult {
    let table = read_table(at).await?;
    if as_json {
        return print_json(&(table.leases, table.instances));
    }
    let mut rows = task_rows(&table.leases);
    rows.push(vec![]);
    rows.extend(instance_rows(&table.instances));
    print_table(&rows)
}

fn task_rows(leases: &[LeaseRow]) -> Vec<Vec<String>> {
    let mut by_task: BTreeMap<&str, Vec<&LeaseRow>> = BTreeMap::new();
    for lease in leases {
        by_task.entry(&lease.task.name).or_default().push(lease);
    }
    let mut rows = vec![["task", "parts", "leased", "moving", "paused"].map(String::from).to_vec()];
    for (name, parts) in by_task {
        let leased = parts.iter().filter(|part| part.holder.is_some()).count();
        let moving = parts.iter().filter(|part| part.revoked).count();
        let paused = parts.iter().any(|part| part.paused);
        let count = parts.len();
        rows.push(vec![
            name.into(),
            count.to_string(),
            leased.to_string(),
            moving.to_string(),
            yes_no(paused),
        ]);
    }
    rows
}

fn instance_rows(instances: &[InstanceRow]) -> Vec<Vec<String>> {
    let columns = ["instance", "zone", "leases", "draining", "session ends in", "penalty"];
    let mut rows = vec![columns.map(String::from).to_vec()];
    for instance in instances {
        let has_penalty = instance.penalty_remaining > 0.0;
        let penalty = if has_penalty { format!("{:.0}s", instance.penalty_remaining) } else { "no".into() };
        rows.push(vec![
            instance.holder.to_string(),
            instance.zone.clone(),
            instance.parts.to_string(),
            yes_no(instance.draining),
            format!("{:.1}s", instance.session_remaining),
            penalty,
        ]);
    }
    rows
}

async fn show(at: &[SocketAddr], task: &str, as_json: bool) -> CommandResult {
    let table = read_table(at).await?;
    let leases: Vec<LeaseRow> = table.leases.into_iter().filter(|lease| lease.task.name == task).collect();
    if leases.is_empty() {
        return Err(CommandError::Usage(format!("no task {task:?} is declared")));
    }
    if as_json {
        return print_json(&leases);
    }
    let mut rows = vec![["part", "holder", "epoch", "age", ""].map(String::from).to_vec()];
    rows.extend(leases.iter().map(|lease| part_row(lease, table.now)));
    print_table(&rows)
}

fn part_row(lease: &LeaseRow, now: f64) -> Vec<String> {
    let note = match (lease.paused, lease.revoked) {
        (true, _) => "paused",
        (_, true) => "revoked",
        _ => "",
    };
    let holder = lease.holder.as_ref().map_or("nobody".into(), |holder| holder.to_string());
    let age = format!("{:.1}s", now - lease.since);
    vec![lease.task.to_string(), holder, lease.epoch.to_string(), age, note.into()]
}
