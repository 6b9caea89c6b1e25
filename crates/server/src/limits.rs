//! Every size, count and time of the process in one place. These are properties of the program; what is
//! taken, run and turned away is the module's business.

use puffinladder::Idempotency;
use puffinladder_charter::Warrant;
use std::time::Duration;

/// Descriptors that the process holds for itself: 10 beside its links (`tests/process.rs` counts them), two links to the
/// agent while one replaces the other, a report and a connection that is being accepted, and two to spare.
const OWN_DESCRIPTORS: usize = 16;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of gateways with a seat: the half of the descriptors that they may take, and an eighth for
    /// those of others. One more makes the idlest go, and so many that were to go may have got work meanwhile.
    pub gateways: usize,
    pub outgoing: usize,
    /// Descriptors of all connections of gateways, those on their way out among them: at no moment more, also in a
    /// drain, when all of them part.
    pub connections: usize,
    /// Connections to the store.
    pub store: usize,
    /// Txns in hand; one more is declined at once, since each takes a coroutine.
    pub txns: usize,
    /// Txns open on one connection.
    pub open: usize,
    /// Used tags above an unused one that a connection remembers: far more than may be open.
    pub tags: usize,
    /// Bytes of a body, or of any other element, that a gateway sends, and of an unfinished message.
    pub body: usize,
    pub message: usize,
    /// Bytes read from one connection before others have their turn.
    pub turn: usize,
    /// Bytes that wait for one slow gateway, and for all of them.
    pub unsent: usize,
    pub unsent_all: usize,
    /// What each may leave unread though all together leave too much.
    pub unsent_fair: usize,
    /// Bytes of a line of the agent, and bytes that wait for it.
    pub line: usize,
    pub unsent_agent: usize,
    /// Bytes of a reply's head and of its body, from store and roster.
    pub head: usize,
    pub reply: usize,
    /// Keys known, of 256 bytes each with all that belongs to them, and bytes of results kept for replays.
    pub keys: usize,
    pub results: usize,
    /// By how much two stamps, which are whole milliseconds, may lie nearer than their txns: a key holds that
    /// much past its window.
    pub key_grain: f64,
    /// How long past that a key stays known: a try that came within the window may lie unread until it is due, and
    /// would run as a new one if its key were forgotten by then.
    pub key_over: f64,
    /// How long one waits for a key that another of other content holds.
    pub doubt: f64,
    /// A connection's buffer shrinks back to this when it runs empty.
    pub buffer: usize,
    /// Stack of a coroutine that lives with a txn or a connection, in words of eight bytes.
    pub stack: usize,
    /// The same where JSON is read and lines are logged.
    pub stack_deep: usize,
    /// Stack of the threads for signals and for the log, in bytes.
    pub stack_thread: usize,
    /// The same for the one that packs a trace.
    pub stack_recorder: usize,
    /// Lines of the log that wait for a slow reader; more are left out.
    pub log_lines: usize,
    /// Coroutines kept for the next txn.
    pub spare_stacks: usize,
    /// Lines about what others did wrong between two summaries; more are only counted.
    pub complaints: u32,
    /// How long the worker sleeps while nothing happens.
    pub idle_poll: Duration,
    /// Between lines that sum up what was done.
    pub summary: f64,
    /// Between looks at what is idle, stuck or late to be tried again.
    pub chores: Duration,
    /// How long a beat waits for its gauges, and a new link for the end of old notices.
    pub gauges: Duration,
    pub mark_wait: f64,
    /// Between reports to the roster, and how long one may take.
    pub report: Duration,
    pub report_wait: Duration,
    /// How long a connection may take to open.
    pub connect: Duration,
    /// How long a reply of the store may stand still once a part of it has come.
    pub stall: f64,
    /// How long a message may take from its first byte to its last, and a connection to its first message.
    pub message_wait: f64,
    /// Times its usual span between messages that a connection which came again may lie unused.
    pub usual_spans: f64,
    /// How long a connection that is only asked for health may lie unused.
    pub checks_idle: f64,
    /// How long a gateway may take to close what it was asked to leave.
    pub goodbye: f64,
    /// How long, and for how many bytes, a connection that was ended from here is read to its end.
    pub parting: f64,
    pub parting_bytes: usize,
    /// How long before the kill gateways are asked to leave, and when all answers are out, connections are ended.
    pub farewell: f64,
    pub last_close: f64,
    /// How long before the kill, when all answers are out, books are closed; how long a trace may take to seal.
    pub closing: f64,
    pub seal: Duration,
}

/// The longest that a txn with a key may lie unread and yet be run: until its expiry.
fn longest_unread(warrant: &Warrant) -> f64 {
    let products = warrant.terms.charter.classes.iter();
    products.filter(|p| p.idempotency == Idempotency::Keyed).map(|p| p.timeout).fold(0.0, f64::max)
}

impl Limits {
    /// `files`: descriptors that the settings ask for beside all that, a trace's files and control services.
    pub fn new(warrant: &Warrant, files: usize) -> Limits {
        let sockets = warrant.sockets.saturating_sub(files);
        let memory = (warrant.memory_mb * 1048576.0) as usize;
        // Descriptors: those that the process can't do without are nobody else's, however many connect: standard
        // streams, pipe, listener, event loop, the agent's link and the one that replaces it, a report, the one that is
        // being accepted. Of the others a quarter is the store's and five eighths are the gateways'.
        let store = sockets.saturating_sub(OWN_DESCRIPTORS) / 4;
        let outgoing = (sockets / 32).max(1);
        let rest = sockets.saturating_sub(OWN_DESCRIPTORS + store + 2 * outgoing);
        Limits {
            gateways: (sockets * 5 / 8).min(rest).max(1),
            outgoing,
            connections: (sockets * 5 / 8).min(rest).max(1) + 2 * outgoing,
            store: store.max(1),
            // Each may touch its whole stack and hold a body: at most 45% of the memory.
            txns: (memory * 45 / 100 / (32768 + 4096)).max(64),
            open: 32,
            tags: 256,
            body: 2048,
            message: 4096,
            turn: 65536,
            unsent: 32 * (4096 + 256),
            unsent_all: memory / 8,
            unsent_fair: 2 * 4096,
            line: 65536,
            unsent_agent: memory / 16,
            head: 4096,
            reply: 32768,
            keys: memory / 12 / 256,
            results: memory / 8,
            key_grain: 0.002,
            key_over: longest_unread(warrant),
            doubt: 1.0,
            buffer: 4096,
            stack: 4096,
            stack_deep: 32768,
            stack_thread: 131_072,
            stack_recorder: 1 << 20,
            log_lines: 1024,
            spare_stacks: 64,
            complaints: 20,
            idle_poll: Duration::from_secs(1),
            summary: 10.0,
            chores: Duration::from_millis(100),
            gauges: Duration::from_millis(10),
            mark_wait: 2.0,
            report: Duration::from_millis(1000),
            report_wait: Duration::from_millis(500),
            connect: Duration::from_millis(1000),
            stall: 0.3,
            message_wait: 2.0,
            usual_spans: 4.0,
            checks_idle: 30.0,
            goodbye: 2.0,
            parting: 1.0,
            parting_bytes: 1 << 18,
            farewell: 0.25,
            last_close: 0.05,
            closing: 0.04,
            seal: Duration::from_millis(200),
        }
    }
}
