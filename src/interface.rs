//! What a host tells a [`Brain`](crate::Brain) and what the brain may ask of its host.
//!
//! Times are seconds with fractions on the host's clock, memory is in kilobytes, and ids are the host's own.
//! A txn is *settled* when it is served, *declined* when it is turned away undone, *voided* when it fails.

/// What may happen to a txn that comes again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Inquiry,
    /// Carries a mark by which a repeat is known; must not run twice within its window.
    Referenced,
    /// Must never run twice.
    OnceOnly,
}

/// What the txns call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Below {
    #[default]
    Nothing,
    /// One dependency that all servers of the fleet load together.
    Common,
    /// A further tier of servers, which decide for themselves.
    NextTier,
}

/// Whether a run can be taken off the cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Halt {
    #[default]
    Never,
    /// It falls back into the hold and its work is lost.
    Drop,
    /// It keeps its progress and its memory.
    Pause,
}

/// The meaning of the one free value that rides on every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Signal {
    #[default]
    Silent,
    /// Callers send nothing of a lower rank.
    Level,
    /// Each caller has at most so many txns out here.
    Tokens,
    /// The chance that a caller does not pass this server over.
    Bias,
}

/// One product: the terms on which its txns are taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Product {
    pub sla: f64,
    /// What a txn's SLA time gains for each second of its work.
    pub sla_stretch: f64,
    pub expiry: f64,
    pub value: f64,
    /// Share of the value that an answer between SLA time and expiry still earns.
    pub late_share: f64,
    pub effect: Effect,
    /// For referenced products: how long after its arrival a txn may come again.
    pub window: f64,
    pub calls: bool,
    /// Share of the value that an answer without the call earns; 0 where the call can't be left out.
    pub skip_share: f64,
}

/// One customer: the rate over the whole fleet up to which its txns keep their value.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub quota: f64,
}

/// What a server is told when its process comes up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Charter {
    pub servers: f64,
    pub callers: f64,
    pub cores: f64,
    pub ram: f64,
    /// Memory of a running txn over that of a held one.
    pub run_factor: f64,
    /// Memory of one remembered txn.
    pub key_memory: f64,
    pub products: Vec<Product>,
    pub customers: Vec<Customer>,
    /// Share of its value that a txn beyond its customer's quota keeps.
    pub over_quota: f64,
    /// Value counts for each unit of work rather than for each txn.
    pub by_work: bool,
    pub below: Below,
    /// This server's share of the calls that the common dependency survives, as a mean number in its hands.
    pub calls_share: f64,
    /// The span over which that mean is taken.
    pub calls_span: f64,
    /// How long a call given up stays in the dependency's hands.
    pub lingers: f64,
    pub halt: Halt,
    pub signal: Signal,
    /// The fleet's list follows what this server says of its health.
    pub list_follows: bool,
    pub cold: bool,
    pub cold_share: f64,
    pub cold_span: f64,
    /// Running txns a core at which a warm server falls over, and the span over which they are averaged.
    pub fall_multiple: f64,
    pub fall_span: f64,
    /// What arrives later than this after the notice to leave must not run.
    pub grace: f64,
    /// The longest Retry-After that is heeded; 0 where none is passed on.
    pub retry_after: f64,
    /// How long callers keep an unused connection open, if nothing else is said.
    pub idle: f64,
}

impl Charter {
    /// Says what makes the charter unusable, if anything.
    pub fn check(&self) -> Result<(), String> {
        let positive = [
            ("servers", self.servers),
            ("cores", self.cores),
            ("ram", self.ram),
            ("run factor", self.run_factor),
            ("fall multiple", self.fall_multiple),
        ];
        let natural = [
            ("callers", self.callers),
            ("key memory", self.key_memory),
            ("over-quota share", self.over_quota),
            ("calls share", self.calls_share),
            ("calls span", self.calls_span),
            ("lingering", self.lingers),
            ("cold share", self.cold_share),
            ("cold span", self.cold_span),
            ("fall span", self.fall_span),
            ("grace", self.grace),
            ("retry-after", self.retry_after),
            ("idle time", self.idle),
        ];
        let bad = |what: &str, value: f64| Err(format!("charter: {what} is out of range: {value}"));
        for (what, value) in positive {
            if !(value > 0.0 && value.is_finite()) {
                return bad(what, value);
            }
        }
        for (what, value) in natural {
            if !(value >= 0.0 && value.is_finite()) {
                return bad(what, value);
            }
        }
        if self.products.is_empty() {
            return Err("charter: no products".into());
        }
        for (at, p) in self.products.iter().enumerate() {
            for (what, value) in [("SLA time", p.sla), ("expiry", p.expiry)] {
                if !(value > 0.0 && value.is_finite()) {
                    return bad(&format!("{what} of product {at}"), value);
                }
            }
            for (what, value) in [
                ("value", p.value),
                ("SLA stretch", p.sla_stretch),
                ("late share", p.late_share),
                ("window", p.window),
                ("skip share", p.skip_share),
            ] {
                if !(value >= 0.0 && value.is_finite()) {
                    return bad(&format!("{what} of product {at}"), value);
                }
            }
        }
        for (at, c) in self.customers.iter().enumerate() {
            if !(c.quota >= 0.0 && c.quota.is_finite()) {
                return bad(&format!("quota of customer {at}"), c.quota);
            }
        }
        Ok(())
    }
}

/// A txn that was read and now waits in the hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Txn {
    pub id: u32,
    /// Place in `Charter::products`.
    pub product: usize,
    /// Place in `Charter::customers`; meaningless where there are none.
    pub customer: usize,
    /// When its caller gives this try up, 0 where that is not told.
    pub not_after: f64,
    /// Guess of its core time, 0 for none.
    pub hint: f64,
    pub memory: f64,
    /// Place from 0 to under 1 in the order that `Signal::Level` cuts, lowest first.
    pub rank: f64,
    /// Which caller sent it.
    pub caller: u32,
    /// Another try or a second copy.
    pub repeat: bool,
    /// How long it lay unread.
    pub unread: f64,
    /// An earlier try of the same txn, 0 for none.
    pub forerunner: u32,
}

/// How a run or a call came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Failed,
    /// Turned away unseen.
    Full,
    TimedOut,
    Unreachable,
    BrokenOff,
    Cancelled,
    /// It was over before it began.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Moot)
    }
}

/// Why a txn was declined or voided, whoever decided it: logs, traces and answers tell the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// Held past its threshold.
    Waited,
    /// It could not finish in the time left.
    NoTime,
    /// The hold was cut to stay in memory.
    Memory,
    /// A referenced txn whose key could not be remembered.
    NoKeyRoom,
    /// It came after the drain's grace.
    Leaving,
    /// It was due.
    Due,
    /// A call that it can't do without could not be had.
    NoCall,
    // From here on the host's own: the module never hears of these txns, or not of their ends.
    /// The process has no room for one more.
    ProcessFull,
    /// Its run failed.
    RunFailed,
    /// The try that holds its key failed, or left no result.
    Forerunner,
    /// One of its name is in hand.
    NameTaken,
    /// Its key belongs to other content.
    KeyTaken,
    /// Its life in the host broke off.
    Lost,
    /// The module's again: the server is cold, and has in hand what its ramp bears.
    Cold,
}

impl Reason {
    const ALL: [(Reason, &'static str); 14] = [
        (Reason::Waited, "waited"),
        (Reason::NoTime, "no time"),
        (Reason::Memory, "memory"),
        (Reason::NoKeyRoom, "no key room"),
        (Reason::Leaving, "leaving"),
        (Reason::Due, "due"),
        (Reason::NoCall, "no call"),
        (Reason::ProcessFull, "process full"),
        (Reason::RunFailed, "run failed"),
        (Reason::Forerunner, "forerunner failed"),
        (Reason::NameTaken, "name taken"),
        (Reason::KeyTaken, "key taken"),
        (Reason::Lost, "lost"),
        (Reason::Cold, "cold"),
    ];

    /// As logs and traces write it.
    pub fn text(self) -> &'static str {
        Reason::ALL[self as usize].1
    }
    /// Under 16; it stands in files and never changes its meaning.
    pub fn code(self) -> u8 {
        self as u8
    }
    pub fn from_code(code: u8) -> Option<Reason> {
        Reason::ALL.get(usize::from(code)).map(|known| known.0)
    }
}

/// The end of a call below, or of a run, and how long it took.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub id: u32,
    pub outcome: Outcome,
    pub took: f64,
}

/// What the machine shows when a timer fires; absent where it has no such gauge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Share of the cores busy, over a short while.
    pub busy: Option<f64>,
    /// All that wants a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
    pub sockets: Option<f64>,
}

/// All that came in since the last round, in the order in which it is to be read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Round<'a> {
    pub now: f64,
    pub returned: &'a [End],
    pub at_call: &'a [u32],
    pub ended: &'a [End],
    pub gone: &'a [u32],
    pub arrived: &'a [Txn],
    /// Notice to leave: the time of the kill.
    pub leave: Option<f64>,
    pub wake: Option<Gauges>,
}

/// What came in since the last round, for hosts that hear it piece by piece.
#[derive(Debug, Default)]
pub struct News {
    pub returned: Vec<End>,
    pub at_call: Vec<u32>,
    pub ended: Vec<End>,
    pub gone: Vec<u32>,
    pub arrived: Vec<Txn>,
    pub leave: Option<f64>,
    pub wake: Option<Gauges>,
}

impl News {
    /// All of it as one round. A txn that came and went before needs no decision.
    pub fn round(&mut self, now: f64) -> Round<'_> {
        let gone = &self.gone;
        if !gone.is_empty() {
            self.arrived.retain(|txn| !gone.contains(&txn.id));
        }
        Round {
            now,
            returned: &self.returned,
            at_call: &self.at_call,
            ended: &self.ended,
            gone: &self.gone,
            arrived: &self.arrived,
            leave: self.leave,
            wake: self.wake,
        }
    }

    pub fn clear(&mut self) {
        self.returned.clear();
        self.at_call.clear();
        self.ended.clear();
        self.gone.clear();
        self.arrived.clear();
        (self.leave, self.wake) = (None, None);
    }
}

/// What a brain may ask of its host.
pub trait Writer {
    /// Give a held txn to the cores.
    fn run(&mut self, id: u32);
    /// End a txn undone; `retry_after` is advice to keep off (0 for none), `last` says to try nowhere else.
    fn decline(&mut self, id: u32, retry_after: f64, last: bool, reason: Reason);
    /// End a txn as failed. A run goes on, answerless, until it ends, reaches a call or is paused.
    fn void(&mut self, id: u32, reason: Reason);
    /// Take a run off the cores, as `Charter::halt` allows.
    fn pause(&mut self, id: u32);
    /// Let a txn at a call go on with it, for `limit` at most.
    fn call(&mut self, id: u32, limit: f64);
    /// Finish a txn at a call with a poorer answer.
    fn skip_call(&mut self, id: u32);
    /// Know repeats of this txn for `span` from now.
    fn remember(&mut self, id: u32, span: f64);
    fn forget(&mut self, id: u32);
    /// Settle a repeat from its forerunner's result.
    fn replay(&mut self, id: u32);
    fn health(&mut self, good: bool, stored: bool);
    fn signal(&mut self, amount: f64);
    fn keepalive(&mut self, span: f64);
    /// Ask for a round with gauges after this time.
    fn wake(&mut self, after: f64);
    /// Runs allowed on the cores, calls kept open and the pressure behind the signal, from 0 to 1, told at each step; for
    /// whoever keeps a record.
    fn limits(&mut self, _runs: f64, _calls: f64, _pressure: f64) {}
    /// A line for the operators; rare.
    fn note(&mut self, text: &str);
}

#[cfg(test)]
mod tests;
