//! `puffinladder keeper`.

use super::{ask, failed, print, Ground};
use crate::say::{Done, Wrong};
use crate::serve;
use clap::{Args, Subcommand};
use puffinladder_lease_store::core::Terms;
use puffinladder_lease_store::serve::{start, Setup};
use puffinladder_lease_store::store::Store;
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, ReplicaStatus};
use puffinladder_leases::table::{LeaseRules, TaskDeclaration};
use puffinladder_settings::LeaseStoreSettings as Told;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder keeper --settings keeper1.scm --found     the first start of all, once for each keeper\n  \
        puffinladder keeper --settings keeper1.scm\n  puffinladder keeper --settings keeper4.scm --join      in place of one whose disk is lost\n  \
        puffinladder keeper status --at 127.0.0.1:18201,127.0.0.2:18201"
)]
pub struct Line {
    /// Settings with a (keeper ...) in them
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Found a new set of keepers: makes this one's disk, which must not be there yet
    #[arg(long)]
    found: bool,
    /// Make an empty disk, to join keepers that run already under a number that was never used
    #[arg(long, conflicts_with = "found")]
    join: bool,
    /// Tell each change on standard output, a line of JSON each
    #[arg(long)]
    events: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// How each keeper is: who leads, who votes, how far it is
    #[command(
        after_help = "Example:\n  puffinladder keeper status --at 127.0.0.1:18201,127.0.0.2:18201 --json"
    )]
    Status {
        /// Keepers to ask, each for itself
        #[arg(long, value_delimiter = ',', required = true)]
        at: Vec<SocketAddr>,
        #[arg(long)]
        json: bool,
    },
    /// Take in a keeper that was started with --join; it votes once it knows nearly all
    #[command(
        after_help = "Example:\n  puffinladder keeper add 4 127.0.0.4:18201 --at 127.0.0.1:18201,127.0.0.2:18201"
    )]
    Add {
        number: u64,
        address: SocketAddr,
        #[arg(long, value_delimiter = ',', required = true)]
        at: Vec<SocketAddr>,
    },
    /// Take a keeper out for good: its number is never used again
    #[command(after_help = "Example:\n  puffinladder keeper remove 2 --at 127.0.0.1:18201,127.0.0.3:18201")]
    Remove {
        number: u64,
        #[arg(long, value_delimiter = ',', required = true)]
        at: Vec<SocketAddr>,
    },
}

pub fn run(line: Line) -> Done {
    match line.command {
        None => {
            let (name, settings) = serve::settings(line.settings)?;
            let told = serve::section(&name, "keeper", settings.lease_store.clone())?;
            serve::log(&settings);
            let begin = if line.found {
                Begin::Found
            } else if line.join {
                Begin::Join
            } else {
                Begin::Open
            };
            serve::runtime()?.block_on(keep(&told, begin, &Ground::usual(line.events)))
        }
        Some(Command::Status { at, json }) => serve::runtime()?.block_on(status(&at, json)),
        Some(Command::Add { number, address, at }) => {
            let address = address.to_string();
            serve::runtime()?.block_on(tell_leader(&at, &ReplicaRequest::AddReplica { number, address }))
        }
        Some(Command::Remove { number, at }) => {
            serve::runtime()?.block_on(tell_leader(&at, &ReplicaRequest::RemoveReplica { number }))
        }
    }
}

/// How a keeper comes by its disk.
#[derive(Clone, Copy, PartialEq)]
pub enum Begin {
    Open,
    Found,
    Join,
}

pub fn terms(told: &Told) -> Terms {
    let rules = LeaseRules {
        term: told.lease_duration,
        drift: told.max_clock_drift,
        stall_timeout: told.stall_timeout,
        exclusion_period: told.exclusion_time,
        max_flaps: told.flap_limit,
        flap_window: told.flap_window,
        flap_penalty: told.flap_backoff,
        panic_window: told.panic_window,
        settle_time: told.rebalance_delay,
        max_moves: told.max_moves,
    };
    let declared = |duty: &puffinladder_settings::TaskSettings| TaskDeclaration {
        name: duty.name.clone(),
        parts: duty.parts as u32,
        zone: duty.zone.clone(),
    };
    Terms { rules, duties: told.tasks.iter().map(declared).collect(), ..Terms::default() }
}

pub async fn keep(told: &Told, begin: Begin, ground: &Ground) -> Done {
    let folder = Path::new(&told.directory);
    std::fs::create_dir_all(folder).map_err(|e| failed(format!("{}: {e}", told.directory)))?;
    let path = folder.join("keeper.redb");
    let voters: Vec<u64> = told.peers.keys().copied().collect();
    let opened = match begin {
        Begin::Open => Store::open(&path),
        Begin::Found if !told.peers.contains_key(&told.replica_id) => {
            return Err(Wrong::Asked(format!(
                "keeper.peers: should name keeper {} itself to found it",
                told.replica_id
            )))
        }
        Begin::Found => Store::found(&path, told.replica_id, &voters),
        Begin::Join => Store::join(&path, told.replica_id),
    };
    let (store, disk) = opened.map_err(|e| failed(e.to_string()))?;
    if store.id() != told.replica_id {
        let (held, told) = (store.id(), told.replica_id);
        return Err(failed(format!(
            "{}: is the disk of keeper {held}, and the settings say {told}",
            path.display()
        )));
    }
    let setup = Setup {
        terms: terms(told),
        listen: told.listen,
        peers: told.peers.clone(),
        tick: told.tick_interval,
        most_connections: told.max_connections,
        clock: ground.clock.clone(),
        events: ground.events,
        sync_pause: ground.sync_pause.clone(),
    };
    let mut running = start(setup, store, &disk).await.map_err(failed)?;
    match serve::until_told(running.ended()).await? {
        Some(ended) => ended.map_err(|e| failed(e.to_string())),
        None => running.stop().await.map_err(|e| failed(e.to_string())),
    }
}

async fn status(at: &[SocketAddr], json: bool) -> Done {
    let mut rows: Vec<Vec<String>> = vec![[
        "address",
        "keeper",
        "is",
        "term",
        "entry",
        "log",
        "votes",
        "learns",
        "instances",
        "epoch",
        "up",
    ]
    .map(String::from)
    .into()];
    let mut reached = 0;
    for &at in at {
        match ask::<_, ReplicaReply>(at, &ReplicaRequest::Status).await {
            Ok(ReplicaReply::Status(status)) if json => {
                reached += 1;
                println!("{}", serde_json::to_string(&status).map_err(std::io::Error::from)?);
            }
            Ok(ReplicaReply::Status(status)) => {
                reached += 1;
                rows.push(row(at, &status));
            }
            Ok(other) => rows.push(vec![at.to_string(), format!("says {other:?}")]),
            Err(what) => rows.push(vec![at.to_string(), what]),
        }
    }
    if !json {
        print(&rows)?;
    }
    if 2 * reached <= at.len() {
        return Err(failed(format!(
            "{reached} of {} answer: no majority, nothing is given to anybody",
            at.len()
        )));
    }
    Ok(())
}

fn row(at: SocketAddr, status: &ReplicaStatus) -> Vec<String> {
    let list = |numbers: &[u64]| numbers.iter().map(u64::to_string).collect::<Vec<_>>().join(",");
    let is = match (status.is_leader, status.leader) {
        (true, _) => "leads".to_string(),
        (_, Some(leader)) => format!("follows {leader}"),
        _ => "finds no leader".to_string(),
    };
    let is = if status.slow_disk { format!("{is}, slow disk") } else { is };
    vec![
        at.to_string(),
        status.number.to_string(),
        is,
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

/// Asks whoever leads: each in turn, and whomever one of them names. Tries for a while, since they may be electing.
pub async fn ask_leader(at: &[SocketAddr], what: &ReplicaRequest) -> Done<ReplicaReply> {
    let until = std::time::Instant::now() + std::time::Duration::from_secs(5);
    let mut last = "no keeper was named".to_string();
    loop {
        for &at in at {
            match ask::<_, ReplicaReply>(at, what).await {
                Ok(ReplicaReply::NotLeader { leader, .. }) => {
                    last = leader.map_or("nobody leads".into(), |number| {
                        format!("keeper {number} leads, none of these does")
                    });
                }
                Ok(answer) => return Ok(answer),
                Err(what) => last = what,
            }
        }
        if std::time::Instant::now() >= until {
            return Err(failed(last));
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}

pub async fn tell_leader(at: &[SocketAddr], what: &ReplicaRequest) -> Done {
    match ask_leader(at, what).await? {
        ReplicaReply::Done => Ok(()),
        ReplicaReply::Failed(what) => Err(failed(what)),
        other => Err(failed(format!("the keeper says {other:?}"))),
    }
}
