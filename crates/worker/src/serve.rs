//! The process: one task owns the [`Holder`], steps run beside it and come back with what they got done. The clock is looked at before every step and
//! whenever anything happens.

use crate::haul::{Came, Haul, Told};
use crate::link::{Link, News};
use puffinladder_leases::coordination::{self, CoordinatorReply, QuotaCoordinator, ServerReport};
use puffinladder_leases::holder::{EndReason, HolderAction, LeaseHolder, LeaseStage, StepPermit};
use puffinladder_leases::protocol::{Event, EventSink, ReplicaReply, ReplicaRequest};
use puffinladder_leases::replica_selector::{NextStep, ReplicaSelector};
use puffinladder_leases::table::Rejection;
use puffinladder_leases::{Epoch, HolderId, Task};
use puffinladder_transport::{bind, write_line, Clock, LineReader, TransportError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// How a steward is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    pub name: String,
    pub zone: String,
    /// Rises with every start.
    pub incarnation: u64,
    pub keepers: BTreeMap<u64, SocketAddr>,
    pub gather: Option<Told>,
    pub desk: Option<Reported>,
    /// Duties that it holds beside: nothing is done for them here, whoever asks who owns them learns it from the keepers.
    pub holds: Vec<String>,
    pub clock: Clock,
    pub events: EventSink,
}

/// The two duties that answer servers' reports.
#[derive(Clone, Debug)]
pub struct Reported {
    pub listen: SocketAddr,
    pub told: coordination::CoordinatorSettings,
    pub quota: bool,
    pub turns: bool,
    pub most_connections: usize,
}

/// s between answers to reports.
const PLAN: f64 = 0.1;
/// Reports that wait for the main task, and answers that wait for one server: it reports again.
const REPORTS: usize = 4096;
const REPLIES: usize = 8;
/// Longest report, in bytes; a server may be silent for so long.
const REPORT: usize = 4 << 20;
const SILENCE: Duration = Duration::from_secs(60);
const UNREAD: Duration = Duration::from_secs(2);

/// The term until a keeper tells it: s.
const TERM: f64 = 2.0;
/// s without an answer to any line after which another keeper is tried.
const SILENT: f64 = 0.5;
/// Share of what is left of a term that a step may take: its last effect has to arrive too.
const STEP: f64 = 0.8;
/// Longest s between two looks at the clock.
const LOOK: f64 = 0.25;
/// s for which a steward that leaves waits until all is handed over.
const LEAVE: f64 = 5.0;
/// Bounded waits of the main task for its own parts: news of links, ends of steps.
const NEWS: usize = 256;

/// What a step gives back.
struct Stepped {
    duty: Task,
    epoch: Epoch,
    haul: Haul,
    came: Came,
}

/// The work on one grant.
struct Work {
    epoch: Epoch,
    /// Away while a step is under way.
    haul: Option<Haul>,
    /// Set when the step under way is to end early: the duty is to be handed over.
    halt: Arc<AtomicBool>,
    /// Not before then, where there was nothing to do.
    due: f64,
}

pub struct Running {
    /// Where servers report, if anywhere.
    pub listen: Option<SocketAddr>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    /// Hands everything over, then ends.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
    /// Until it ends by itself, which only a later life of it makes it do.
    pub async fn ended(&mut self) {
        let _ = (&mut self.task).await;
    }
    pub fn kill(self) {
        self.task.abort();
    }
}

/// Starts a steward; it listens for reports when this returns, if it is to.
pub async fn start(setup: Setup) -> Result<Running, String> {
    let (stop, stopped) = watch::channel(false);
    let (reports, heard) = mpsc::channel(REPORTS);
    let mut listen = None;
    if let Some(desk) = &setup.desk {
        let (listener, at) = bind("reports", desk.listen).await.map_err(|e| e.to_string())?;
        listen = Some(at);
        let each = move |stream, _| converse(stream, reports.clone());
        tokio::spawn(puffinladder_transport::serve_connections(
            listener,
            "reports",
            desk.most_connections,
            stopped.clone(),
            each,
        ));
    }
    let task = tokio::spawn(Steward::new(setup).work(heard, stopped));
    Ok(Running { listen, stop, task })
}

/// A server's report, and the way back to it.
type Heard = (ServerReport, mpsc::Sender<CoordinatorReply>);

/// One server's connection: reports come in, answers go out as they are made.
async fn converse(stream: TcpStream, reports: mpsc::Sender<Heard>) -> Result<(), TransportError> {
    let (from, mut to) = stream.into_split();
    let (back, mut replies) = mpsc::channel::<CoordinatorReply>(REPLIES);
    let mut lines = LineReader::new(from, REPORT);
    loop {
        tokio::select! {
            report = lines.read_within(SILENCE) => match report? {
                Some(report) => if reports.send((report, back.clone())).await.is_err() {
                    return Ok(());
                },
                None => return Ok(()),
            },
            Some(reply) = replies.recv() => drop(write_line(&mut to, &reply, UNREAD).await?),
        }
    }
}

struct Steward {
    setup: Setup,
    holder: LeaseHolder,
    route: ReplicaSelector<SocketAddr>,
    link: Option<Link>,
    links: u64,
    /// When the line was sent that is not answered yet.
    unanswered: Option<f64>,
    works: BTreeMap<Task, Work>,
    desk: Option<QuotaCoordinator>,
    /// Where each server was heard last, and when answers are made next.
    servers: BTreeMap<String, mpsc::Sender<CoordinatorReply>>,
    plan_at: f64,
    news: mpsc::Sender<(u64, News)>,
    steps: mpsc::Sender<Stepped>,
    heard: bool,
}

impl Steward {
    fn new(setup: Setup) -> Steward {
        let me = HolderId::new(&setup.name, setup.incarnation);
        let mut wants = setup.holds.clone();
        wants.extend(setup.gather.iter().map(|_| "gather".to_string()));
        wants.extend(
            setup.desk.iter().filter(|desk| desk.quota).map(|_| coordination::QUOTA_TASK.to_string()),
        );
        wants.extend(
            setup.desk.iter().filter(|desk| desk.turns).map(|_| coordination::DRAIN_TASK.to_string()),
        );
        let desk = setup.desk.as_ref().map(|reported| QuotaCoordinator::new(reported.told.clone()));
        let seed = puffinladder_leases::assignment::rank("route", setup.incarnation as u32, &setup.name);
        // What is received in place of these comes with the two channels of `work`.
        let (news, _) = mpsc::channel(1);
        let (steps, _) = mpsc::channel(1);
        Steward {
            holder: LeaseHolder::new(me, &setup.zone, wants, TERM),
            route: ReplicaSelector::new(setup.keepers.clone(), seed),
            setup,
            link: None,
            links: 0,
            unanswered: None,
            works: BTreeMap::new(),
            desk,
            servers: BTreeMap::new(),
            plan_at: 0.0,
            news,
            steps,
            heard: true,
        }
    }

    async fn work(mut self, mut reports: mpsc::Receiver<Heard>, mut stopped: watch::Receiver<bool>) {
        let (news, mut on_links) = mpsc::channel(NEWS);
        let (steps, mut ended) = mpsc::channel(NEWS);
        (self.news, self.steps) = (news, steps);
        let clock = self.setup.clock.clone();
        let mut leave_by = f64::MAX;
        loop {
            let wait = self.wait(clock.now());
            tokio::select! {
                Some((number, news)) = on_links.recv() => self.hear(clock.now(), number, news),
                Some(stepped) = ended.recv() => self.stepped(clock.now(), stepped),
                Some((report, back)) = reports.recv() => self.report(clock.now(), report, back),
                _ = stopped.changed(), if leave_by == f64::MAX => {
                    tracing::info!("{}: was told to leave, hands over", self.holder.id());
                    leave_by = clock.now() + LEAVE;
                    self.holder.start_draining();
                    let acts = self.holder.leases().map(|(duty, epoch)| HolderAction::Release(duty.clone(), epoch)).collect();
                    self.carry(clock.now(), acts);
                }
                _ = tokio::time::sleep(wait) => {}
            }
            let now = clock.now();
            let acts = self.holder.expire(now);
            self.carry(now, acts);
            self.speak(now);
            self.begin_steps(now);
            self.plan(now);
            if now >= leave_by || self.done(leave_by) {
                return;
            }
        }
    }

    /// Whether nothing is held and the keepers know, or this life is over.
    fn done(&self, leave_by: f64) -> bool {
        let over = self.holder.rejection() == Some(Rejection::Superseded);
        let empty =
            self.holder.leases().next().is_none() && self.works.values().all(|work| work.haul.is_some());
        over || (leave_by < f64::MAX && empty && !self.holder.has_pending_releases())
    }

    /// How long nothing is due.
    fn wait(&self, now: f64) -> Duration {
        let mut next = now + LOOK;
        if self.link.is_some() {
            next = next.min(self.holder.next_renewal());
            next = self.unanswered.map_or(next, |sent| next.min(sent + SILENT));
        } else if let NextStep::WaitUntil(until) = self.route.next_step(now) {
            next = next.min(until);
        } else {
            next = now;
        }
        if self.desk.is_some() {
            next = next.min(self.plan_at);
        }
        let works = self.works.values().filter(|work| work.haul.is_some()).map(|work| work.due);
        self.setup.clock.sleep_duration(works.fold(next, f64::min).max(now + 0.001) - now)
    }

    /// Sends the line that is due, and turns to another keeper where this one is silent.
    fn speak(&mut self, now: f64) {
        if self.unanswered.is_some_and(|sent| now - sent >= SILENT) {
            self.lost(now, "does not answer");
        }
        match &self.link {
            None => {
                if let NextStep::Connect(to) = self.route.next_step(now) {
                    if let Some(at) = self.route.address(to).copied() {
                        self.links += 1;
                        self.link = Some(Link::open(self.links, at, self.news.clone()));
                        // The dial has a bound of its own.
                        self.unanswered = None;
                    }
                }
            }
            Some(link) if self.route.connected().is_some() => {
                if let Some(said) = self.holder.next_request(now) {
                    if link.say(ReplicaRequest::Renew(said)) {
                        self.unanswered.get_or_insert(now);
                    } else {
                        self.lost(now, "does not read");
                    }
                }
            }
            Some(_) => {}
        }
    }

    fn lost(&mut self, now: f64, what: &str) {
        tracing::debug!("{}: the keeper {what}", self.holder.id());
        (self.link, self.unanswered) = (None, None);
        self.route.mark_failed(now);
        self.hears(false);
    }

    /// Told once, not with every try.
    fn hears(&mut self, heard: bool) {
        if heard != self.heard {
            let what = if heard {
                "hears from the keepers again"
            } else {
                "hears from no keeper, goes on while its term lasts"
            };
            tracing::info!("{}: {what}", self.holder.id());
            self.heard = heard;
        }
    }

    fn hear(&mut self, now: f64, number: u64, news: News) {
        if self.link.as_ref().is_none_or(|link| link.number != number) {
            return; // of a connection that was given up
        }
        match news {
            News::Open => {
                self.route.mark_connected();
                // Whoever is new there has heard nothing yet: the next line is due at once.
                self.holder.renew_now();
            }
            News::Answer(ReplicaReply::Lease(told)) => {
                self.unanswered = None;
                self.route.mark_healthy();
                self.hears(true);
                let acts = self.holder.handle_response(now, &told);
                if let Some(refused) = told.rejection {
                    tracing::warn!("{}: the keepers refuse it: {refused:?}", self.holder.id());
                }
                self.carry(now, acts);
            }
            News::Answer(ReplicaReply::NotLeader { leader, address }) => {
                (self.link, self.unanswered) = (None, None);
                let address = address.and_then(|text| text.parse().ok());
                self.route.follow_redirect(now, leader.map(|number| (number, address)));
            }
            News::Answer(other) => self.lost(now, &format!("says {other:?}")),
            News::Over(what) => self.lost(now, &what),
        }
    }

    /// Does what the holder says.
    fn carry(&mut self, now: f64, acts: Vec<HolderAction>) {
        let me = self.holder.id().clone();
        for act in acts {
            match act {
                HolderAction::Start(duty, epoch) => {
                    tracing::info!("{me}: begins with {duty}, epoch {epoch}");
                    self.setup.events.emit(&Event::LeaseStarted {
                        holder: me.clone(),
                        task: duty.clone(),
                        epoch,
                    });
                    if let Some(desk) = &mut self.desk {
                        desk.start_lease(now, &duty, epoch);
                    }
                    let told = self.setup.gather.clone().filter(|_| duty.name == "gather");
                    if let Some(told) = told {
                        let haul = Some(Haul::new(told, duty.clone(), epoch));
                        self.works.insert(duty, Work { epoch, haul, halt: Arc::default(), due: now });
                    }
                }
                HolderAction::Release(duty, epoch) => {
                    if let Some(work) = self.works.get(&duty) {
                        work.halt.store(true, Ordering::Relaxed);
                    }
                    let idle = self.works.get(&duty).is_none_or(|work| work.haul.is_some());
                    let down = if idle { self.holder.release(&duty, epoch) } else { None };
                    self.carry(now, down.into_iter().collect());
                }
                HolderAction::Stop(duty, epoch, why) => {
                    tracing::info!("{me}: stands down from {duty}, epoch {epoch}: {}", text(why));
                    let owner = me.clone();
                    let why = text(why).to_string();
                    self.setup.events.emit(&Event::LeaseEnded {
                        holder: owner,
                        task: duty.clone(),
                        epoch,
                        reason: why,
                    });
                    if let Some(desk) = &mut self.desk {
                        desk.end_lease(&duty, epoch);
                    }
                    if self.works.get(&duty).is_some_and(|work| work.epoch == epoch) {
                        // A step that is under way comes back to nobody, and is told to the holder alone.
                        self.works.remove(&duty);
                    }
                }
            }
        }
    }

    fn report(&mut self, now: f64, report: ServerReport, back: mpsc::Sender<CoordinatorReply>) {
        let Some(desk) = &mut self.desk else { return };
        match desk.handle_report(now, &report) {
            Ok(()) => drop(self.servers.insert(report.server, back)),
            Err(what) => tracing::debug!("{}: a report of {:.64}: {what}", self.holder.id(), report.server),
        }
    }

    /// Answers servers, a step for each part of the two duties that it owns. Looked at before each: what is said after its term would be too much.
    fn plan(&mut self, now: f64) {
        let Some(desk) = self.desk.as_mut().filter(|_| now >= self.plan_at) else { return };
        self.plan_at = now + PLAN;
        let held = self.holder.leases().filter(|(duty, _)| {
            [coordination::QUOTA_TASK, coordination::DRAIN_TASK].contains(&duty.name.as_str())
        });
        let held: Vec<Task> = held.map(|(duty, _)| duty.clone()).collect();
        let mut acts = Vec::new();
        for duty in held {
            let now = self.setup.clock.now();
            let Some(StepPermit { epoch, .. }) = self.holder.begin_step(now, &duty) else { continue };
            let replies = desk.plan_replies(now, &duty);
            let progress = !replies.is_empty();
            for reply in replies {
                let sent = self.servers.get(&reply.server).map(|back| back.try_send(reply.clone()));
                if matches!(sent, Some(Err(mpsc::error::TrySendError::Closed(_)))) {
                    self.servers.remove(&reply.server);
                }
            }
            acts.extend(self.holder.finish_step(now, &duty, epoch, progress, false));
        }
        self.carry(now, acts);
    }

    /// Begins steps where one is due and the term allows it.
    fn begin_steps(&mut self, now: f64) {
        for (duty, work) in &mut self.works {
            if now < work.due || work.haul.is_none() {
                continue;
            }
            let Some(StepPermit { epoch, valid_until: until }) = self.holder.begin_step(now, duty) else {
                continue;
            };
            let Some(mut haul) = work.haul.take() else { continue };
            let (clock, steps, duty) = (self.setup.clock.clone(), self.steps.clone(), duty.clone());
            let (until, halt) = (now + STEP * (until - now), work.halt.clone());
            tokio::spawn(async move {
                let came = haul.step(&clock, until, &halt).await;
                let _ = steps.send(Stepped { duty, epoch, haul, came }).await;
            });
        }
    }

    fn stepped(&mut self, now: f64, stepped: Stepped) {
        let Stepped { duty, epoch, haul, came } = stepped;
        let mut acts = self.holder.finish_step(now, &duty, epoch, came.progress, came.work);
        if came.fenced {
            acts.extend(self.holder.handle_fenced(&duty, epoch));
        }
        if let Some(work) = self.works.get_mut(&duty).filter(|work| work.epoch == epoch) {
            // With nothing to do, or nothing done, it rests until the next look.
            work.due = if came.work && came.progress { now } else { now + haul.rest() };
            work.haul = Some(haul);
        }
        self.carry(now, acts);
        let holds = |duty: &Task| self.holder.leases().any(|(held, of)| held == duty && of == epoch);
        if holds(&duty) && self.holder.stage(now, &duty) == LeaseStage::Releasing {
            self.carry(now, vec![HolderAction::Release(duty, epoch)]);
        }
    }
}

fn text(why: EndReason) -> &'static str {
    match why {
        EndReason::TermExpired => "its term is over",
        EndReason::Released => "handed over",
        EndReason::NotListed => "the keepers no longer list it",
        EndReason::Superseded => "a later life of this instance has spoken",
        EndReason::Fenced => "a fence has seen a later epoch",
    }
}
