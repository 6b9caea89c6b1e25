//! Every size, count and time of the process in one place. These are properties of the program; what is admitted, run
//! and rejected is the policy's business.

use puffinladder::Idempotency;
use puffinladder_settings::ServerConfig;
use std::time::Duration;

/// Descriptors that the process keeps for itself, however many connect: 10 beside its links (`tests/process.rs` counts
/// them: standard streams, pipe, listener, event loop), two links to the agent while one replaces the other, a report
/// and a connection that is being accepted, and two to spare.
const INTERNAL_DESCRIPTORS: usize = 16;
/// Of the other descriptors one in so many is the store's.
const STORE_DESCRIPTOR_DIVISOR: usize = 4;
/// Gateways may take five eighths of all descriptors: the half that is theirs, and an eighth for those of others.
const GATEWAY_DESCRIPTOR_EIGHTHS: usize = 5;
/// One descriptor in so many is for connections that are being closed.
const CLOSING_DESCRIPTOR_DIVISOR: usize = 32;

const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;
/// Share of the memory, in percent, that requests may take when each touches its whole stack and holds a body.
const REQUEST_MEMORY_PERCENT: usize = 45;
/// Bytes of a request's stack and of its body.
const REQUEST_FOOTPRINT_BYTES: usize = 32768 + 4096;
/// Fewest requests in flight that are allowed, however small the memory.
const MIN_REQUESTS_IN_FLIGHT: usize = 64;
/// Requests that may be open on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Bytes of a message of a gateway.
const MAX_MESSAGE_BYTES: usize = 4096;
/// Bytes that an answer has beside its body.
const RESPONSE_OVERHEAD_BYTES: usize = 256;
/// Bytes of a key with all that belongs to it.
const KEY_ENTRY_BYTES: usize = 256;

/// Every size, count and time of the process. Times are seconds where they are no [`Duration`].
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of gateways that are served. One more makes the idlest close, and as many as are being closed may
    /// have got work meanwhile.
    pub max_gateways: usize,
    /// Connections over that which may be on their way out.
    pub closing_allowance: usize,
    /// Descriptors of all connections of gateways, those being closed among them: at no moment more, also in a drain,
    /// when all of them close.
    pub max_gateway_descriptors: usize,
    /// Connections to the store.
    pub max_store_connections: usize,
    /// Requests in flight; one more is rejected at once, since each takes a coroutine.
    pub max_requests: usize,
    /// Requests open on one connection.
    pub max_open_requests: usize,
    /// Used tags above an unused one that a connection remembers: far more than may be open.
    pub max_remembered_tags: usize,
    /// Bytes of a body, or of any other element, that a gateway sends.
    pub max_element_bytes: usize,
    /// Bytes of an unfinished message.
    pub max_message_bytes: usize,
    /// Bytes read from one connection before others have their turn.
    pub read_turn_bytes: usize,
    /// Bytes that wait for one slow gateway.
    pub max_unsent_bytes: usize,
    /// Bytes that wait for all gateways together.
    pub max_total_unsent_bytes: usize,
    /// Bytes that each gateway may leave unread though all together leave too much.
    pub fair_unsent_bytes: usize,
    /// Bytes of a line of the agent.
    pub max_line_bytes: usize,
    /// Bytes that wait for the agent.
    pub max_agent_unsent_bytes: usize,
    /// Bytes of a reply's head, from store and registry.
    pub max_head_bytes: usize,
    /// Bytes of a reply's body, from store and registry.
    pub max_reply_bytes: usize,
    /// Idempotency keys known.
    pub max_keys: usize,
    /// Bytes of results stored for replays.
    pub max_result_bytes: usize,
    /// By how much two timestamps, which are whole milliseconds, may lie nearer than their requests: a key is valid that
    /// much past its window.
    pub key_clock_tolerance: f64,
    /// How long past that a key stays known: an attempt that came within the window may lie unread until it is due, and
    /// would run as a new one if its key were forgotten by then.
    pub key_retention: f64,
    /// How long a request waits for a key that one of other content holds.
    pub key_contention_timeout: f64,
    /// Bytes to which a connection's buffer shrinks back when it runs empty.
    pub min_buffer_bytes: usize,
    /// Stack of a coroutine that lives with a request or a connection, in words of eight bytes.
    pub stack_words: usize,
    /// Stack of a coroutine that reads JSON and logs lines, in words of eight bytes.
    pub deep_stack_words: usize,
    /// Stack of the threads for signals and for the log, in bytes.
    pub thread_stack_bytes: usize,
    /// Stack of the thread that packs a trace, in bytes.
    pub recorder_stack_bytes: usize,
    /// Lines of the log that wait for a slow reader; more are lost.
    pub max_queued_log_lines: usize,
    /// Coroutines kept for the next request.
    pub coroutine_pool_size: usize,
    /// Lines about faults of peers between two summaries; more are only counted.
    pub max_fault_lines: u32,
    /// How long the worker sleeps while nothing happens.
    pub idle_poll_timeout: Duration,
    /// Between lines that sum up what was done.
    pub summary_interval: f64,
    /// Between looks at what is idle, stuck or due to be tried again.
    pub housekeeping_interval: Duration,
    /// How long a tick waits for its gauges.
    pub gauge_timeout: Duration,
    /// How long a new link to the agent waits for the end of replayed notices.
    pub replay_timeout: f64,
    /// Between reports to the registry.
    pub report_interval: Duration,
    /// How long a report may take.
    pub report_timeout: Duration,
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long a reply of the store may stand still once a part of it has come.
    pub reply_stall_timeout: f64,
    /// How long a message may take from its first byte to its last, and a connection to its first message.
    pub message_timeout: f64,
    /// Times its usual interval between messages that a connection which came again may lie unused.
    pub idle_interval_factor: f64,
    /// How long a connection that is only asked for health may lie unused.
    pub health_check_idle_timeout: f64,
    /// How long a gateway may take to close what it was asked to leave.
    pub goaway_timeout: f64,
    /// How long a connection that was ended from here is read to its end.
    pub closing_timeout: f64,
    /// For how many bytes a connection that was ended from here is read to its end.
    pub max_closing_bytes: usize,
    /// How long before the kill gateways are asked to leave.
    pub goaway_lead: f64,
    /// How long before the kill, when all answers are out, connections are ended.
    pub close_lead: f64,
    /// How long before the kill, when all answers are out, log entries are closed.
    pub log_close_lead: f64,
    /// How long a trace may take to seal.
    pub trace_seal_timeout: Duration,
}

/// The longest, s, that a request with a key may lie unread and yet be run: until its timeout.
fn max_unread_time(config: &ServerConfig) -> f64 {
    let classes = config.policy.settings.classes.iter();
    classes
        .filter(|class| class.idempotency == Idempotency::Keyed)
        .map(|class| class.timeout)
        .fold(0.0, f64::max)
}

/// How the descriptors are shared out.
struct DescriptorShares {
    gateways: usize,
    closing: usize,
    store: usize,
}

impl DescriptorShares {
    fn new(descriptors: usize) -> DescriptorShares {
        let store = descriptors.saturating_sub(INTERNAL_DESCRIPTORS) / STORE_DESCRIPTOR_DIVISOR;
        let closing = (descriptors / CLOSING_DESCRIPTOR_DIVISOR).max(1);
        let remaining = descriptors.saturating_sub(INTERNAL_DESCRIPTORS + store + 2 * closing);
        let gateways = (descriptors * GATEWAY_DESCRIPTOR_EIGHTHS / 8).min(remaining).max(1);
        DescriptorShares { gateways, closing, store: store.max(1) }
    }
}

impl Limits {
    /// The limits of a process of this configuration. `reserved_descriptors` are those that the settings ask for beside
    /// all that: a trace's files and connections to control services.
    pub fn new(config: &ServerConfig, reserved_descriptors: usize) -> Limits {
        let shares = DescriptorShares::new(config.max_sockets.saturating_sub(reserved_descriptors));
        let memory = (config.memory_mb * BYTES_PER_MEGABYTE) as usize;
        Limits {
            max_gateways: shares.gateways,
            closing_allowance: shares.closing,
            max_gateway_descriptors: shares.gateways + 2 * shares.closing,
            max_store_connections: shares.store,
            max_requests: (memory * REQUEST_MEMORY_PERCENT / 100 / REQUEST_FOOTPRINT_BYTES)
                .max(MIN_REQUESTS_IN_FLIGHT),
            max_open_requests: MAX_OPEN_REQUESTS,
            max_remembered_tags: 256,
            max_element_bytes: 2048,
            max_message_bytes: MAX_MESSAGE_BYTES,
            read_turn_bytes: 65536,
            max_unsent_bytes: MAX_OPEN_REQUESTS * (MAX_MESSAGE_BYTES + RESPONSE_OVERHEAD_BYTES),
            max_total_unsent_bytes: memory / 8,
            fair_unsent_bytes: 2 * MAX_MESSAGE_BYTES,
            max_line_bytes: 65536,
            max_agent_unsent_bytes: memory / 16,
            max_head_bytes: 4096,
            max_reply_bytes: 32768,
            max_keys: memory / 12 / KEY_ENTRY_BYTES,
            max_result_bytes: memory / 8,
            key_clock_tolerance: 0.002,
            key_retention: max_unread_time(config),
            key_contention_timeout: 1.0,
            min_buffer_bytes: 4096,
            stack_words: 4096,
            deep_stack_words: 32768,
            thread_stack_bytes: 131_072,
            recorder_stack_bytes: 1 << 20,
            max_queued_log_lines: 1024,
            coroutine_pool_size: 64,
            max_fault_lines: 20,
            idle_poll_timeout: Duration::from_secs(1),
            summary_interval: 10.0,
            housekeeping_interval: Duration::from_millis(100),
            gauge_timeout: Duration::from_millis(10),
            replay_timeout: 2.0,
            report_interval: Duration::from_millis(1000),
            report_timeout: Duration::from_millis(500),
            connect_timeout: Duration::from_millis(1000),
            reply_stall_timeout: 0.3,
            message_timeout: 2.0,
            idle_interval_factor: 4.0,
            health_check_idle_timeout: 30.0,
            goaway_timeout: 2.0,
            closing_timeout: 1.0,
            max_closing_bytes: 1 << 18,
            goaway_lead: 0.25,
            close_lead: 0.05,
            log_close_lead: 0.04,
            trace_seal_timeout: Duration::from_millis(200),
        }
    }
}
