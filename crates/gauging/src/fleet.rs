//! Three keepers as processes, each behind a relay that counts: what keepers and instances say to it passes there.

use crate::child::{until, Child};
use crate::meter::{Meter, Passed};
use crate::Gauge;
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, ReplicaStatus};
use puffinladder_leases::table::{InstanceRow, LeaseRow};
use puffinladder_proving::cluster::{request, request_leader};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// As operators run them: s.
const TERM: f64 = 2.0;
pub const KEEPERS: usize = 3;

pub struct Keepers {
    pub children: Vec<Child>,
    pub meters: Vec<Meter>,
    /// Where they listen themselves.
    at: Vec<SocketAddr>,
}

impl Keepers {
    /// Founds them with these duties, `(duty ...) ...`, and waits until one leads.
    pub async fn start(gauge: &Gauge, folder: &Path, duties: &str) -> Result<Keepers, String> {
        let mut meters = Vec::new();
        for _ in 0..KEEPERS {
            meters.push(Meter::open().await?);
        }
        let peers: Vec<String> =
            meters.iter().enumerate().map(|(at, m)| format!("\"{}={}\"", at + 1, m.at)).collect();
        let (mut children, mut at) = (Vec::new(), Vec::new());
        for (place, meter) in meters.iter().enumerate() {
            let (number, name) = (place + 1, format!("keeper{}", place + 1));
            let text = format!(
                "(keeper (number {number}) (listen \"127.0.0.1:0\") (folder \"{}\") (peers {}) {duties} (term {TERM}s))\n",
                folder.join(&name).display(),
                peers.join(" "),
            );
            let path = folder.join(format!("{name}.scm"));
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            let args = ["keeper".into(), "--settings".into(), path.display().to_string(), "--found".into()];
            let mut child = Child::start(&gauge.program, &args, &name, folder)?;
            let listens = |line: &str| line.split_once("listens on ")?.1.trim().parse().ok();
            let listen = child.says("the keeper to listen", listens).await?;
            meter.lead_to(listen);
            children.push(child);
            at.push(listen);
        }
        let mut keepers = Keepers { children, meters, at };
        keepers.leader().await?;
        Ok(keepers)
    }

    /// Where instances reach them.
    pub fn reached(&self) -> BTreeMap<u64, SocketAddr> {
        self.meters.iter().enumerate().map(|(at, meter)| (at as u64 + 1, meter.at)).collect()
    }

    /// The same as settings have it.
    pub fn told(&self) -> String {
        let all: Vec<String> =
            self.reached().iter().map(|(number, at)| format!("\"{number}={at}\"")).collect();
        format!("(keepers {})", all.join(" "))
    }

    pub async fn status(&self, place: usize) -> Option<ReplicaStatus> {
        match request(*self.at.get(place)?, &ReplicaRequest::Status).await? {
            ReplicaReply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// The place of the one that leads, once one does.
    pub async fn leader(&mut self) -> Result<usize, String> {
        let at = self.at.clone();
        let leads = async || {
            for (place, at) in at.iter().enumerate() {
                if matches!(request(*at, &ReplicaRequest::Status).await, Some(ReplicaReply::Status(status)) if status.is_leader)
                {
                    return Some(place);
                }
            }
            None
        };
        until("a keeper to lead", &mut self.children.iter_mut().collect::<Vec<_>>(), leads).await
    }

    /// Who owns what and who is there, from the one that leads.
    pub async fn duties(&self) -> Option<(Vec<LeaseRow>, Vec<InstanceRow>)> {
        match request_leader(&self.at, &ReplicaRequest::Tasks).await? {
            ReplicaReply::Tasks { leases: rows, instances: seats, .. } => Some((rows, seats)),
            _ => None,
        }
    }

    /// Waits until every part is owned.
    pub async fn all_owned(&mut self) -> Result<(), String> {
        let at = self.at.clone();
        let owned = async || match request_leader(&at, &ReplicaRequest::Tasks).await? {
            ReplicaReply::Tasks { leases: rows, .. } => {
                rows.iter().all(|row| row.holder.is_some()).then_some(())
            }
            _ => None,
        };
        until("all parts to be owned", &mut self.children.iter_mut().collect::<Vec<_>>(), owned).await
    }

    /// What the one at this place got and sent so far: what passed its own relay is what others say to it and what it answers; what passed the relays of
    /// the others there is what it says to them, since they say next to nothing to each other while it leads.
    pub fn passed(&self, leader: usize) -> Passed {
        let mut sum = self.meters[leader].passed();
        for (_, meter) in self.meters.iter().enumerate().filter(|(at, _)| *at != leader) {
            let to = meter.passed();
            (sum.back, sum.lines_back) = (sum.back + to.there, sum.lines_back + to.lines_there);
            (sum.there, sum.lines_there) = (sum.there + to.back, sum.lines_there + to.lines_back);
        }
        sum
    }
}
