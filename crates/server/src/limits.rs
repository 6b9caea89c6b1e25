//! Sizes, counts and timeouts of the process. Admission is configured by the policy settings instead.

use puffinladder::Idempotency;
use puffinladder_settings::ServerConfig;
use std::time::Duration;

/// File descriptors reserved for the process: 10 for standard streams, pipe, listener and event loop, two
/// agent links during a reconnect, a registry report, a connection being accepted, and two spare.
/// `tests/process.rs` checks the count.
const INTERNAL_DESCRIPTORS: usize = 16;
/// The store gets the remaining descriptors divided by this number.
const STORE_DESCRIPTOR_DIVISOR: usize = 4;
/// Share of all descriptors that gateways may use, in eighths.
const GATEWAY_DESCRIPTOR_EIGHTHS: usize = 5;
/// Closing connections get all descriptors divided by this number.
const CLOSING_DESCRIPTOR_DIVISOR: usize = 32;

const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;
/// Share of the memory that requests may use with full stacks and bodies, in percent.
const REQUEST_MEMORY_PERCENT: usize = 45;
/// Size of the stack and the body of a request.
const REQUEST_FOOTPRINT_BYTES: usize = 32768 + 4096;
/// Lower bound of the limit on requests in flight.
const MIN_REQUESTS_IN_FLIGHT: usize = 64;
/// Maximum number of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// One connection may have all requests in flight divided by this number.
const CONNECTION_REQUEST_DIVISOR: usize = 8;
/// Size of the id of an ended attempt with its table entry.
const ENDED_ATTEMPT_BYTES: usize = 128;
/// Maximum size of a message from a gateway.
const MAX_MESSAGE_BYTES: usize = 4096;
/// Size of a response without its body.
const RESPONSE_OVERHEAD_BYTES: usize = 256;
/// Size of an idempotency key with its table entry.
const KEY_ENTRY_BYTES: usize = 256;

/// Sizes, counts and timeouts of the process. Times that are not a [`Duration`] are in seconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Gateway connections that are served. Each one beyond that closes the one idle longest.
    pub max_gateways: usize,
    /// Additional gateway connections allowed while others are closing.
    pub closing_allowance: usize,
    /// Upper bound on the descriptors of all gateway connections, closing ones included.
    pub max_gateway_descriptors: usize,
    /// Maximum number of connections to the store.
    pub max_store_connections: usize,
    /// Requests in flight, each with its own coroutine. Further ones are rejected at once.
    pub max_requests: usize,
    /// Requests in flight of one connection, those that were taken back or answered while their run goes on included.
    /// Further ones are rejected at once.
    pub max_connection_requests: usize,
    /// Open requests on one connection.
    pub max_open_requests: usize,
    /// Used tags that a connection remembers above its lowest unused tag.
    pub max_remembered_tags: usize,
    /// Size of a body, or of any other element, of a gateway message.
    pub max_element_bytes: usize,
    /// Size of an incomplete message.
    pub max_message_bytes: usize,
    /// Bytes read from one connection before it yields to others.
    pub read_turn_bytes: usize,
    /// Unsent bytes for one gateway.
    pub max_unsent_bytes: usize,
    /// Unsent bytes for all gateways together.
    pub max_total_unsent_bytes: usize,
    /// Unsent bytes that each gateway may have even when the total limit is exceeded.
    pub fair_unsent_bytes: usize,
    /// Size of a line from the agent.
    pub max_line_bytes: usize,
    /// Unsent bytes for the agent.
    pub max_agent_unsent_bytes: usize,
    /// Size of the head of a reply from the store or the registry.
    pub max_head_bytes: usize,
    /// Size of the body of a reply from the store or the registry.
    pub max_reply_bytes: usize,
    /// Number of idempotency keys.
    pub max_keys: usize,
    /// Size of all results stored for retries.
    pub max_result_bytes: usize,
    /// Ids of ended attempts that may not run again.
    pub max_ended_attempts: usize,
    /// Time for which the id of an ended attempt is kept.
    pub ended_attempt_retention: f64,
    /// Time added to the validity of a key, since timestamps are rounded to whole milliseconds.
    pub key_clock_tolerance: f64,
    /// Time for which an expired key is kept, so that a retry that arrived in time but was read late does not
    /// run.
    pub key_retention: f64,
    /// Time for which a request waits for a key held by different content.
    pub key_contention_timeout: f64,
    /// Size to which an empty connection buffer shrinks.
    pub min_buffer_bytes: usize,
    /// Stack of a request or connection coroutine, in words of eight bytes.
    pub stack_words: usize,
    /// Stack of a coroutine that parses JSON, in words of eight bytes.
    pub deep_stack_words: usize,
    /// Stack of the signal and log threads, in bytes.
    pub thread_stack_bytes: usize,
    /// Stack of the trace recorder thread, in bytes.
    pub recorder_stack_bytes: usize,
    /// Queued log lines; further ones are dropped.
    pub max_queued_log_lines: usize,
    /// Idle coroutines kept for reuse.
    pub coroutine_pool_size: usize,
    /// Logged faults of peers per summary interval; further ones are only counted.
    pub max_fault_lines: u32,
    /// Longest sleep of the coroutine worker without events.
    pub idle_poll_timeout: Duration,
    /// Interval between summary log lines.
    pub summary_interval: f64,
    /// Interval between housekeeping runs.
    pub housekeeping_interval: Duration,
    /// Time for which a tick waits for gauges.
    pub gauge_timeout: Duration,
    /// Time for which a new agent link waits for the end of replayed notices.
    pub replay_timeout: f64,
    /// Interval between reports to the registry.
    pub report_interval: Duration,
    /// Timeout of a report to the registry.
    pub report_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time without progress after which a partly received store reply fails.
    pub reply_stall_timeout: f64,
    /// Timeout from the first byte of a message to its last, and from a connection to its first message.
    pub message_timeout: f64,
    /// Idle timeout of a reused connection, as a multiple of its mean interval between messages.
    pub idle_interval_factor: f64,
    /// Time for which a connection used only for health checks may be idle.
    pub health_check_idle_timeout: f64,
    /// Time for a gateway to close a connection after `goaway`.
    pub goaway_timeout: f64,
    /// Time for which a connection closed by this side is read until its end.
    pub closing_timeout: f64,
    /// Bytes read from a connection closed by this side.
    pub max_closing_bytes: usize,
    /// Time before the kill at which `goaway` is sent.
    pub goaway_lead: f64,
    /// Time before the kill at which idle connections are closed.
    pub close_lead: f64,
    /// Time before the kill at which open log entries are closed.
    pub log_close_lead: f64,
    /// Timeout for sealing the trace.
    pub trace_seal_timeout: Duration,
}

/// Returns the longest timeout of the classes of this kind, s: the longest time for which a request may stay unread and
/// still run, or for which its gateway waits.
fn max_timeout(config: &ServerConfig, idempotency: Idempotency) -> f64 {
    let classes = config.policy.settings.classes.iter();
    classes.filter(|class| class.idempotency == idempotency).map(|class| class.timeout).fold(0.0, f64::max)
}

/// Allocation of file descriptors.
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
    /// Returns the limits for this configuration. `reserved_descriptors` are the descriptors used by
    /// settings: trace files and connections to control services.
    pub fn new(config: &ServerConfig, reserved_descriptors: usize) -> Limits {
        let shares = DescriptorShares::new(config.max_sockets.saturating_sub(reserved_descriptors));
        let memory = (config.memory_mb * BYTES_PER_MEGABYTE) as usize;
        let max_requests =
            (memory * REQUEST_MEMORY_PERCENT / 100 / REQUEST_FOOTPRINT_BYTES).max(MIN_REQUESTS_IN_FLIGHT);
        Limits {
            max_gateways: shares.gateways,
            closing_allowance: shares.closing,
            max_gateway_descriptors: shares.gateways + 2 * shares.closing,
            max_store_connections: shares.store,
            max_requests,
            max_connection_requests: (max_requests / CONNECTION_REQUEST_DIVISOR).max(2 * MAX_OPEN_REQUESTS),
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
            max_ended_attempts: memory / 64 / ENDED_ATTEMPT_BYTES,
            ended_attempt_retention: max_timeout(config, Idempotency::NonIdempotent),
            key_clock_tolerance: 0.002,
            key_retention: max_timeout(config, Idempotency::Keyed),
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
