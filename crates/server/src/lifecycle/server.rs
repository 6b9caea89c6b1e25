//! Construction and wiring of the server's components.

use super::dispatch_loop::DispatchLoop;
use crate::dispatcher::Dispatcher;
use crate::ingress::decode::RequestDecoder;
use crate::ingress::listener::GatewayListener;
use crate::ingress::session::SessionContext;
use crate::limits::Limits;
use crate::request::context::RequestContext;
use crate::runtime::addresses::PeerAddresses;
use crate::runtime::alarm::Alarm;
use crate::runtime::fault_log::FaultLog;
use crate::runtime::request_slots::RequestSlots;
use crate::runtime::summary::AnswerSummary;
use crate::runtime::wait_queue::WaitQueue;
use crate::state::ended_attempts::EndedAttempts;
use crate::state::idempotency::{IdempotencyKeys, KeyBounds};
use crate::state::request_log::RequestLog;
use crate::wire::agent::link::AgentLink;
use crate::wire::agent::reader::AgentReader;
use crate::wire::gateway::connection::ConnectionContext;
use crate::wire::gateway::connections::Connections;
use crate::wire::registry::RegistryReporter;
use crate::wire::store::StoreClient;
use puffinladder::{AdmissionPolicy, PolicySettings};
use puffinladder_settings::ServerConfig;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;

/// Components of a server.
pub struct Server {
    /// Configuration read at startup. Its peer addresses may be outdated; see `addresses`.
    pub config: Arc<ServerConfig>,
    pub addresses: Arc<PeerAddresses>,
    pub limits: Arc<Limits>,
    /// Runs the admission policy.
    pub dispatcher: Arc<Dispatcher>,
    /// Sending side of the agent connection.
    pub agent: Arc<AgentLink>,
    pub connections: Arc<Connections>,
    /// State shared by all requests.
    pub requests: Arc<RequestContext>,
    /// State shared by all gateway sessions.
    pub sessions: Arc<SessionContext>,
    /// Woken in each housekeeping cycle.
    pub housekeeping: Arc<WaitQueue>,
    /// Wakes the main thread.
    pub alarm: Arc<Alarm>,
    summary: Arc<AnswerSummary>,
    faults: Arc<FaultLog>,
}

impl Server {
    /// Creates the components without starting them.
    pub fn new(config: ServerConfig, limits: Limits, log: RequestLog) -> Server {
        let (config, limits) = (Arc::new(config), Arc::new(limits));
        let addresses = Arc::new(PeerAddresses::new(config.peers));
        let faults = Arc::new(FaultLog::new(limits.clone()));
        let summary = Arc::<AnswerSummary>::default();
        let dispatcher = Arc::new(new_dispatcher(&config, &limits, log));
        let agent = Arc::new(AgentLink::new(limits.min_buffer_bytes, limits.max_agent_unsent_bytes));
        let store = Arc::new(StoreClient::new(addresses.clone(), limits.clone()));
        let connections = Arc::new(Connections::new(Arc::new(ConnectionContext {
            limits: limits.clone(),
            faults: faults.clone(),
            max_idle: config.policy.settings.idle_timeout,
            total_unsent: AtomicUsize::new(0),
        })));
        let requests = Arc::new(RequestContext {
            dispatcher: dispatcher.clone(),
            agent: agent.clone(),
            store,
            slots: Arc::new(RequestSlots::new(limits.max_requests)),
            summary: summary.clone(),
            faults: faults.clone(),
            config: config.clone(),
            limits: limits.clone(),
        });
        let sessions = Arc::new(SessionContext {
            connections: connections.clone(),
            dispatcher: dispatcher.clone(),
            decoder: RequestDecoder::new(config.clone()),
            requests: requests.clone(),
            faults: faults.clone(),
            limits: limits.clone(),
        });
        Server {
            config,
            addresses,
            limits,
            dispatcher,
            agent,
            connections,
            requests,
            sessions,
            housekeeping: Arc::default(),
            alarm: Arc::default(),
            summary,
            faults,
        }
    }

    pub fn dispatch_loop(&self) -> DispatchLoop {
        DispatchLoop {
            dispatcher: self.dispatcher.clone(),
            agent: self.agent.clone(),
            store: self.requests.store.clone(),
            connections: self.connections.clone(),
            slots: self.requests.slots.clone(),
            summary: self.summary.clone(),
            housekeeping: self.housekeeping.clone(),
            alarm: self.alarm.clone(),
            limits: self.limits.clone(),
        }
    }

    /// Creates the reading side of the agent connection.
    pub fn agent_reader(&self) -> AgentReader {
        AgentReader {
            link: self.agent.clone(),
            dispatcher: self.dispatcher.clone(),
            addresses: self.addresses.clone(),
            config: self.config.clone(),
            faults: self.faults.clone(),
            housekeeping: self.housekeeping.clone(),
            limits: self.limits.clone(),
        }
    }

    pub fn registry_reporter(&self) -> RegistryReporter {
        RegistryReporter {
            dispatcher: self.dispatcher.clone(),
            agent: self.agent.clone(),
            addresses: self.addresses.clone(),
            config: self.config.clone(),
            housekeeping: self.housekeeping.clone(),
            limits: self.limits.clone(),
        }
    }

    pub fn gateway_listener(&self) -> GatewayListener {
        GatewayListener { context: self.sessions.clone(), housekeeping: self.housekeeping.clone() }
    }
}

fn new_dispatcher(config: &ServerConfig, limits: &Limits, log: RequestLog) -> Dispatcher {
    let keys = IdempotencyKeys::new(KeyBounds {
        max_keys: limits.max_keys,
        max_result_bytes: limits.max_result_bytes,
        clock_tolerance: limits.key_clock_tolerance,
        retention: limits.key_retention,
    });
    // Keys are stored in this process and bounded by `limits.max_keys`, so the policy charges no memory for them.
    let settings = PolicySettings { key_memory: 0.0, ..config.policy.settings.clone() };
    let policy = AdmissionPolicy::new(&settings, config.seed);
    let ended_attempts = EndedAttempts::new(limits.max_ended_attempts, limits.ended_attempt_retention);
    Dispatcher::new(policy, keys, ended_attempts, settings.idle_timeout, log)
}
