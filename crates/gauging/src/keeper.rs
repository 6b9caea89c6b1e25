//! The keeper that leads three, over instances and parts. Keepers are processes; instances are tasks of this one, each with its own holder and
//! connection, as stewards have them.
//!
//! Bytes and messages are lines on the wire to and from the leader, instances' and the other keepers' together, counted by relays in front of the keepers.
//! `syncs` are what the keeper counts itself.

use crate::child::until;
use crate::fleet::Keepers;
use crate::meter::Passed;
use crate::{count, pass, Counted, Gauge, Sizes, Taken};
use puffinladder_leases::protocol::{EventSink, ReplicaStatus};
use puffinladder_transport::Clock;
use puffinladder_worker::config::WorkerConfig;
use puffinladder_worker::service::{self, RunningWorker};
use std::time::{Duration, Instant};

/// Most parts of an instance over an even load, once they are levelled.
const EVEN: f64 = 1.25;
/// s without a change of owners after which all is settled: the calm that keepers wait for before they level loads.
const CALM: Duration = Duration::from_millis(2500);

/// Ends its instances when it is dropped.
struct Instances(Vec<RunningWorker>);

impl Drop for Instances {
    fn drop(&mut self) {
        self.0.drain(..).for_each(RunningWorker::kill);
    }
}

pub async fn point(gauge: &Gauge, sizes: &Sizes) -> Result<Vec<Taken>, String> {
    let (instances, parts) = (count(sizes, "instances")?, count(sizes, "parts")?);
    if instances == 0 || parts < instances {
        return Err("every instance should have a part".into());
    }
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let duties = format!("(duty (name \"load\") (parts {parts}))");
    let mut keepers = Keepers::start(gauge, folder.path(), &duties).await?;
    let mut all = Instances(Vec::new());
    for one in 0..instances {
        let setup = WorkerConfig {
            name: format!("n{one}"),
            zone: format!("z{}", one % 3),
            incarnation: 1,
            replicas: keepers.reached(),
            collection: None,
            reporting: None,
            idle_tasks: vec!["load".into()],
            clock: Clock::system(),
            events: EventSink { enabled: false },
        };
        all.0.push(service::start(setup).await.map_err(|e| e.to_string())?);
    }
    level(&mut keepers, instances, parts).await?;
    let leader = keepers.leader().await?;
    let look = async |keepers: &Keepers| -> Result<_, String> {
        let child = &keepers.children[leader];
        // Before it is asked anything: the question's own connection would be counted.
        let used = child.usage()?;
        let passed = Counted::now(keepers.passed(leader));
        let status = keepers.status(leader).await.ok_or_else(|| child.fault("does not say how it is"))?;
        Ok((used, status, passed))
    };
    let before = look(&keepers).await?;
    let span = pass(gauge.span).await;
    let after = look(&keepers).await?;
    if !after.1.is_leader || after.1.term != before.1.term {
        return Err(keepers.children[leader].fault("lost the lead while it was measured"));
    }
    let mut taken = Taken::of("keeper", span);
    after.0.tell(&before.0, &mut taken);
    let rate = |of: fn(&Passed) -> u64| after.2.rate(&before.2, of);
    taken.put("sent", rate(|all| all.back));
    taken.put("received", rate(|all| all.there));
    taken.put("messages_sent", rate(|all| all.lines_back));
    taken.put("messages_received", rate(|all| all.lines_there));
    let syncs = |status: &ReplicaStatus| status.counts.get("syncs").copied();
    let rose = syncs(&after.1).zip(syncs(&before.1)).map(|(now, then)| now.saturating_sub(then) as f64);
    taken.put_known("syncs", rose.map(|rose| rose / span));
    Ok(vec![taken])
}

/// Waits until all parts are owned, evenly, and nothing has changed for a while.
async fn level(keepers: &mut Keepers, instances: usize, parts: usize) -> Result<(), String> {
    let most = (EVEN * parts as f64 / instances as f64).ceil() as usize;
    let leader = keepers.leader().await?;
    let mut children = std::mem::take(&mut keepers.children);
    let (mut epoch, mut since) = (0, Instant::now());
    let settled = async || {
        // Reading all rows is work for the keeper: not more often than it needs.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let status = keepers.status(leader).await?;
        if status.last_epoch != epoch {
            (epoch, since) = (status.last_epoch, Instant::now());
        }
        if since.elapsed() < CALM {
            return None;
        }
        let (rows, seats) = keepers.duties().await?;
        let owned = rows.len() == parts && rows.iter().all(|row| row.holder.is_some() && !row.revoked);
        let even = seats.len() == instances && seats.iter().all(|seat| seat.parts > 0 && seat.parts <= most);
        (owned && even).then_some(())
    };
    let found =
        until("all parts to be owned evenly", &mut children.iter_mut().collect::<Vec<_>>(), settled).await;
    keepers.children = children;
    found
}
