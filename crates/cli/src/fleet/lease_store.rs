//! `puffinladder lease-store`: runs a replica of the lease store, shows its status, and changes the cluster's membership.

use super::common::{run_until_stopped, ServiceArgs};
use super::{failed, print_table, send_request, ServiceEnvironment};
use crate::serve;
use crate::terminal::{CommandError, CommandResult};
use clap::{Args, Subcommand};
use puffinladder_lease_store::durable::DurableState;
use puffinladder_lease_store::replica::ReplicaConfig;
use puffinladder_lease_store::server::{start, ServerOptions};
use puffinladder_lease_store::store::Store;
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, ReplicaStatus};
use puffinladder_leases::table::{LeaseRules, TaskDeclaration};
use puffinladder_settings::{LeaseStoreSettings, TaskSettings};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// File name of the replica's database.
const FILE_NAME: &str = "keeper.redb";
/// Time limit of the search for the leader, longer than an election.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two rounds over all replicas.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Columns of the status table.
const STATUS_COLUMNS: [&str; 11] = [
    "address",
    "replica",
    "state",
    "term",
    "applied",
    "log",
    "voters",
    "learners",
    "instances",
    "epoch",
    "uptime",
];

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder lease-store --settings replica1.scm --found     first start of a new cluster, once for each replica\n  \
        puffinladder lease-store --settings replica1.scm\n  puffinladder lease-store --settings replica4.scm --join      replaces a replica that lost its disk\n  \
        puffinladder lease-store status --at 127.0.0.1:18201,127.0.0.2:18201"
)]
pub struct LeaseStoreArgs {
    #[command(flatten)]
    service: ServiceArgs,
    /// Bootstrap a new cluster: creates this replica's file, which must not exist yet
    #[arg(long)]
    found: bool,
    /// Create an empty file, to join a running cluster under a number that was never used
    #[arg(long, conflicts_with = "found")]
    join: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Show the leader, the voters, and how far each replica has applied the log
    #[command(
        after_help = "Example:\n  puffinladder lease-store status --at 127.0.0.1:18201,127.0.0.2:18201 --json"
    )]
    Status {
        /// Addresses of all replicas
        #[arg(long, value_delimiter = ',', required = true)]
        at: Vec<SocketAddr>,
        #[arg(long)]
        json: bool,
    },
    /// Add a replica that was started with --join; it becomes a voter once its log has nearly caught up
    #[command(
        after_help = "Example:\n  puffinladder lease-store add 4 127.0.0.4:18201 --at 127.0.0.1:18201,127.0.0.2:18201"
    )]
    Add {
        number: u64,
        address: SocketAddr,
        #[arg(long, value_delimiter = ',', required = true)]
        at: Vec<SocketAddr>,
    },
    /// Remove a replica permanently; its number is never used again
    #[command(
        after_help = "Example:\n  puffinladder lease-store remove 2 --at 127.0.0.1:18201,127.0.0.3:18201"
    )]
    Remove {
        number: u64,
        #[arg(long, value_delimiter = ',', required = true)]
        at: Vec<SocketAddr>,
    },
}

pub fn run(args: LeaseStoreArgs) -> CommandResult {
    let Some(command) = args.command else {
        let start_mode = StartMode::from_flags(args.found, args.join);
        let (settings, environment) = args.service.load("keeper", |settings| settings.lease_store.clone())?;
        return serve::runtime()?.block_on(run_replica(&settings, start_mode, &environment));
    };
    let runtime = serve::runtime()?;
    match command {
        Command::Status { at, json } => runtime.block_on(status(&at, json)),
        Command::Add { number, address, at } => {
            let address = address.to_string();
            runtime.block_on(command_leader(&at, &ReplicaRequest::AddReplica { number, address }))
        }
        Command::Remove { number, at } => {
            runtime.block_on(command_leader(&at, &ReplicaRequest::RemoveReplica { number }))
        }
    }
}

/// How a replica obtains its database file.
#[derive(Clone, Copy, PartialEq)]
pub enum StartMode {
    /// Opens an existing file.
    Open,
    /// Creates the file, for a new cluster.
    Bootstrap,
    /// Creates an empty file, to join a running cluster.
    Join,
}

impl StartMode {
    fn from_flags(found: bool, join: bool) -> StartMode {
        match (found, join) {
            (true, _) => StartMode::Bootstrap,
            (_, true) => StartMode::Join,
            _ => StartMode::Open,
        }
    }
}

fn replica_config(settings: &LeaseStoreSettings) -> ReplicaConfig {
    let rules = LeaseRules {
        term: settings.lease_duration,
        drift: settings.max_clock_drift,
        stall_timeout: settings.stall_timeout,
        exclusion_period: settings.exclusion_time,
        max_flaps: settings.flap_limit,
        flap_window: settings.flap_window,
        flap_penalty: settings.flap_backoff,
        panic_window: settings.panic_window,
        settle_time: settings.rebalance_delay,
        max_moves: settings.max_moves,
    };
    let tasks = settings.tasks.iter().map(task_declaration).collect();
    ReplicaConfig { rules, tasks, ..ReplicaConfig::default() }
}

fn task_declaration(task: &TaskSettings) -> TaskDeclaration {
    TaskDeclaration { name: task.name.clone(), parts: task.parts as u32, zone: task.zone.clone() }
}

/// Runs a replica until it fails or the process receives a stop signal.
pub async fn run_replica(
    settings: &LeaseStoreSettings,
    start_mode: StartMode,
    environment: &ServiceEnvironment,
) -> CommandResult {
    let (store, durable) = open_store(settings, start_mode)?;
    let options = ServerOptions {
        replica: replica_config(settings),
        listen: settings.listen,
        peers: settings.peers.clone(),
        tick_interval: settings.tick_interval,
        max_connections: settings.max_connections,
        clock: environment.clock.clone(),
        events: environment.events,
        sync_delay: environment.sync_pause.clone(),
    };
    let service = start(options, store, &durable).await.map_err(|e| failed(e.to_string()))?;
    run_until_stopped(service).await
}

fn open_store(settings: &LeaseStoreSettings, start_mode: StartMode) -> CommandResult<(Store, DurableState)> {
    let folder = Path::new(&settings.directory);
    std::fs::create_dir_all(folder).map_err(|e| failed(format!("{}: {e}", settings.directory)))?;
    let path = folder.join(FILE_NAME);
    let number = settings.replica_id;
    let voters: Vec<u64> = settings.peers.keys().copied().collect();
    let opened = match start_mode {
        StartMode::Open => Store::open(&path),
        StartMode::Bootstrap if !voters.contains(&number) => {
            let message = format!("keeper.peers: should name keeper {number} itself to found it");
            return Err(CommandError::Usage(message));
        }
        StartMode::Bootstrap => Store::bootstrap(&path, number, &voters),
        StartMode::Join => Store::join(&path, number),
    };
    let (store, durable) = opened.map_err(|e| failed(e.to_string()))?;
    if store.id() != number {
        let (found, file) = (store.id(), path.display());
        return Err(failed(format!(
            "{file}: belongs to replica {found}, but the settings have number {number}"
        )));
    }
    Ok((store, durable))
}

async fn status(at: &[SocketAddr], json: bool) -> CommandResult {
    let mut rows = vec![STATUS_COLUMNS.map(String::from).to_vec()];
    let mut reached = 0;
    for &address in at {
        match send_request::<_, ReplicaReply>(address, &ReplicaRequest::Status).await {
            Ok(ReplicaReply::Status(status)) => {
                reached += 1;
                if json {
                    println!("{}", serde_json::to_string(&status).map_err(std::io::Error::from)?);
                }
                rows.push(status_row(address, &status));
            }
            Ok(other) => rows.push(vec![address.to_string(), format!("unexpected reply {other:?}")]),
            Err(error) => rows.push(vec![address.to_string(), error.to_string()]),
        }
    }
    if !json {
        print_table(&rows)?;
    }
    if 2 * reached <= at.len() {
        let replicas = at.len();
        return Err(failed(format!(
            "{reached} of {replicas} replicas reply: no majority, no lease is granted"
        )));
    }
    Ok(())
}

fn status_row(address: SocketAddr, status: &ReplicaStatus) -> Vec<String> {
    let list = |numbers: &[u64]| numbers.iter().map(u64::to_string).collect::<Vec<_>>().join(",");
    vec![
        address.to_string(),
        status.number.to_string(),
        state_text(status),
        status.term.to_string(),
        status.applied.to_string(),
        status.log_entries.to_string(),
        list(&status.voters),
        list(&status.learners),
        status.instances.to_string(),
        status.last_epoch.to_string(),
        format!("{:.0}s", status.uptime),
    ]
}

fn state_text(status: &ReplicaStatus) -> String {
    let state = match (status.is_leader, status.leader) {
        (true, _) => "leads".to_string(),
        (_, Some(leader)) => format!("follows {leader}"),
        _ => "finds no leader".to_string(),
    };
    if status.slow_disk {
        format!("{state}, slow disk")
    } else {
        state
    }
}

/// What follows if a replica may have received a request and did not reply.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OnUnknownOutcome {
    /// The request changes nothing and is sent to the next replica.
    Repeat,
    /// The request may have been applied, and other operators may have sent commands since: it is not sent again.
    Fail,
}

/// Sends a read to each replica in turn until the leader replies.
pub async fn read_from_leader(at: &[SocketAddr], request: &ReplicaRequest) -> CommandResult<ReplicaReply> {
    request_leader(at, request, OnUnknownOutcome::Repeat).await
}

/// Sends a request to each replica in turn until the leader replies. Retries for a while, since an election may be under way.
async fn request_leader(
    at: &[SocketAddr],
    request: &ReplicaRequest,
    on_unknown_outcome: OnUnknownOutcome,
) -> CommandResult<ReplicaReply> {
    let deadline = Instant::now() + LEADER_TIMEOUT;
    let mut last_error = "no replica address given".to_string();
    loop {
        for &address in at {
            match send_request::<_, ReplicaReply>(address, request).await {
                Ok(ReplicaReply::NotLeader { leader, .. }) => last_error = no_leader_text(leader),
                Ok(reply) => return Ok(reply),
                Err(error)
                    if on_unknown_outcome == OnUnknownOutcome::Fail && error.may_have_been_received() =>
                {
                    return Err(failed(format!(
                        "outcome unknown, the command may have been applied: {error}"
                    )));
                }
                Err(error) => last_error = error.to_string(),
            }
        }
        if Instant::now() >= deadline {
            return Err(failed(last_error));
        }
        tokio::time::sleep(LEADER_RETRY_DELAY).await;
    }
}

fn no_leader_text(leader: Option<u64>) -> String {
    match leader {
        Some(number) => format!("replica {number} is the leader, but its address was not given"),
        None => "the replicas have no leader".to_string(),
    }
}

/// Sends a command to the leader, and returns once it is applied. The command is received at most once.
pub async fn command_leader(at: &[SocketAddr], command: &ReplicaRequest) -> CommandResult {
    match request_leader(at, command, OnUnknownOutcome::Fail).await? {
        ReplicaReply::CommandApplied => Ok(()),
        ReplicaReply::CommandFailed(reason) => Err(failed(reason)),
        other => Err(failed(format!("unexpected reply of the replica: {other:?}"))),
    }
}
