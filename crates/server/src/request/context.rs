//! What the coroutines of all requests share.

use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::runtime::clock::Clock;
use crate::runtime::fault_log::FaultLog;
use crate::runtime::request_slots::RequestSlots;
use crate::runtime::summary::AnswerSummary;
use crate::wire::agent::link::AgentLink;
use crate::wire::store::StoreClient;
use puffinladder_settings::ServerConfig;
use std::sync::Arc;

/// What the coroutines of all requests share.
pub struct RequestContext {
    /// Decides about them.
    pub dispatcher: Arc<Dispatcher>,
    /// Runs them.
    pub agent: Arc<AgentLink>,
    /// Takes their downstream calls.
    pub store: Arc<StoreClient>,
    /// How many there may be.
    pub slots: Arc<RequestSlots>,
    /// Counts their answers.
    pub summary: Arc<AnswerSummary>,
    /// Where gateways' faults are logged.
    pub faults: Arc<FaultLog>,
    /// Names and settings of their classes.
    pub config: Arc<ServerConfig>,
    /// The process's clock.
    pub clock: Arc<Clock>,
    /// Times and counts.
    pub limits: Arc<Limits>,
}
