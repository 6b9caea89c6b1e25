//! Shared state of the request coroutines.

use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::runtime::fault_log::FaultLog;
use crate::runtime::request_slots::RequestSlots;
use crate::runtime::summary::AnswerSummary;
use crate::wire::agent::link::AgentLink;
use crate::wire::store::StoreClient;
use puffinladder_settings::ServerConfig;
use std::sync::Arc;

/// Shared state of the request coroutines.
pub struct RequestContext {
    /// Admission decisions.
    pub dispatcher: Arc<Dispatcher>,
    /// Link to the agent that runs the requests.
    pub agent: Arc<AgentLink>,
    /// Client for downstream calls.
    pub store: Arc<StoreClient>,
    /// Bound on the number of requests.
    pub slots: Arc<RequestSlots>,
    /// Counts of answers by status.
    pub summary: Arc<AnswerSummary>,
    /// Rate-limited log of gateway faults.
    pub faults: Arc<FaultLog>,
    /// Names and settings of the request classes.
    pub config: Arc<ServerConfig>,
    /// Sizes, counts and timeouts.
    pub limits: Arc<Limits>,
}
