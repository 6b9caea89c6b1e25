//! A stand-in for a proxy that takes its routing from an xDS control service, written from the published protocol. It
//! keeps the lease of what it holds, counted from its own last request that a response had seen, and can be told to
//! misbehave: to go dark, to answer late or never, to refuse, to lie about nonces.
#![forbid(unsafe_code)]

use envoy_types::pb::envoy::config::core::v3::{address, socket_address, Locality, Node};
use envoy_types::pb::envoy::config::endpoint::v3::{lb_endpoint, ClusterLoadAssignment};
use envoy_types::pb::envoy::config::route::v3::{header_matcher, route, RouteConfiguration};
use envoy_types::pb::envoy::r#type::matcher::v3::string_matcher::MatchPattern;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::{protobuf::Any, rpc::Status as Fault};
use prost::{Message, Name};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
pub use tonic::transport::{Certificate, ClientTlsConfig, Identity};

use tonic::transport::Endpoint;

pub const TYPE_URLS: [&str; 4] = [
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
];
const ENDPOINTS_TYPE_URL: &str = TYPE_URLS[1];
const ROUTES_TYPE_URL: &str = TYPE_URLS[3];

/// How it behaves; can be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Neither reads nor writes, its connection stands.
    pub unresponsive: bool,
    /// Not connected, as if its process were down.
    pub disconnected: bool,
    /// Before it answers.
    pub ack_delay: Duration,
    pub withhold_acks: bool,
    pub reject_updates: bool,
    /// Answers with nonces that never were.
    pub forge_nonces: bool,
}

/// What happens to it, for whoever counts.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A stream stands, and a stream is over.
    StreamOpened,
    StreamClosed,
    /// Bytes of a message, with the five that gRPC puts before it.
    Sent(usize),
    Received(usize),
    /// It took a response and said so.
    Acknowledged(&'a Acknowledgement<'a>),
}

/// A response that was taken.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement<'a> {
    pub service: SocketAddr,
    /// Its type's place in [`TYPE_URLS`], none if it is of another.
    pub type_index: Option<usize>,
    pub plan: &'a str,
    /// The least lease of its pieces.
    pub ttl: Option<Duration>,
    /// It had content, and not leases alone.
    pub has_resources: bool,
    pub stream_opened_at: Instant,
    pub received_at: Instant,
}

/// Is told what happens; it may not wait.
pub type EventListener = Arc<dyn Fn(&Event) + Send + Sync>;

/// Plans and times of requests that are remembered, names that are held: what a service sends is bounded by these.
const MAX_RECENT_PLANS: usize = 128;
const MAX_SENT_TIMES: usize = 256;
const MAX_RESOURCES: usize = 16_384;
/// Bytes of a message, and what gRPC puts before each.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
const GRPC_PREFIX_BYTES: usize = 5;
/// A service that does not answer a question of HTTP/2 for so long is hung; asked as often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// When requests of the present stream were sent: all are counted, the first and the latest are known.
#[derive(Default)]
struct SentTimes {
    count: usize,
    first: Option<Instant>,
    times: VecDeque<Instant>,
}

impl SentTimes {
    fn push(&mut self, at: Instant) {
        self.count += 1;
        self.first.get_or_insert(at);
        self.times.push_back(at);
        if self.times.len() > MAX_SENT_TIMES {
            self.times.pop_front();
        }
    }
    /// When the request of that number was sent, from 1 on. For one that is no longer known the first has to do: a lease may
    /// be counted from too early, never from too late.
    fn at(&self, number: usize) -> Option<Instant> {
        let back = self.count.checked_sub(number).filter(|_| number > 0)?;
        self.times.iter().rev().nth(back).copied().or(self.first)
    }
}

/// What it holds of one type, by name.
#[derive(Clone, Debug)]
struct HeldResource {
    version: String,
    plan: String,
    body: Vec<u8>,
    /// When its lease ends; none where it has none.
    until: Option<Instant>,
}

/// Counts of what a proxy has received since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedCounts {
    /// Responses with resource bodies.
    pub updates: u64,
    /// Responses that only renew leases.
    pub renewals: u64,
    /// Bytes of all responses.
    pub bytes: u64,
}

#[derive(Default)]
struct State {
    held: BTreeMap<(String, String), HeldResource>,
    /// When each request on the present stream was sent.
    sent: SentTimes,
    /// Responses with bodies, renewals, bytes of all, since it began.
    received: ReceivedCounts,
    /// The latest plans that it saw, in the order in which they came.
    plans: VecDeque<String>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// To this server, by this plan; how much of the lease was left.
    RouteTo { server: SocketAddr, plan: String, remaining_lease: Duration },
    /// Nowhere: the plan has it dropped.
    Dropped { plan: String },
    /// Nowhere: nothing that it holds may be used any more.
    Unroutable,
}

/// A running stand-in.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    behaviour: watch::Sender<Behaviour>,
    tls: Option<ClientTlsConfig>,
    node: Node,
    incremental: bool,
    listener: Option<EventListener>,
}

/// What is told of a response, of either protocol.
struct Update {
    type_url: String,
    plan: String,
    nonce: String,
    resources: Vec<Resource>,
    removed: Vec<String>,
    /// All names that there are, where the response has all.
    full_state: bool,
    size: usize,
}

impl Proxy {
    /// Starts on the present runtime and connects there.
    pub fn start(control: SocketAddr, node: &str, zone: &str, incremental: bool) -> Proxy {
        Proxy::start_with_tls(vec![control], node, zone, incremental, None)
    }

    /// One that knows several services, and takes the next where one fails.
    pub fn start_with_services(control: Vec<SocketAddr>, node: &str, zone: &str, incremental: bool) -> Proxy {
        Proxy::start_with_tls(control, node, zone, incremental, None)
    }

    /// The same over TLS.
    pub fn start_with_tls(
        control: Vec<SocketAddr>,
        node: &str,
        zone: &str,
        incremental: bool,
        tls: Option<ClientTlsConfig>,
    ) -> Proxy {
        let proxy = Proxy { tls, ..Proxy::new(node, "", zone, incremental) };
        let run = proxy.clone();
        tokio::spawn(async move {
            let mut behaviours = run.behaviour.subscribe();
            for at in (0..control.len()).cycle() {
                while behaviours.borrow().disconnected {
                    if behaviours.changed().await.is_err() {
                        return;
                    }
                }
                let _ = run.run_stream(control[at]).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        proxy
    }

    /// One that is not connected: whoever has it calls [`Proxy::run_stream`].
    pub fn new(node: &str, service: &str, zone: &str, incremental: bool) -> Proxy {
        let node = Node {
            id: node.into(),
            cluster: service.into(),
            locality: Some(Locality { zone: zone.into(), ..Default::default() }),
            user_agent_name: "puffinladder stand-in".into(),
            ..Default::default()
        };
        let behaviour = watch::Sender::new(Behaviour::default());
        Proxy { state: Arc::default(), behaviour, tls: None, node, incremental, listener: None }
    }

    /// The same, and what happens to it is told there.
    pub fn with_listener(self, listener: EventListener) -> Proxy {
        Proxy { listener: Some(listener), ..self }
    }

    fn emit(&self, event: &Event) {
        if let Some(listener) = &self.listener {
            listener(event);
        }
    }

    /// One stream with one service, until it ends or is broken off; what it holds it keeps.
    pub async fn run_stream(&self, control: SocketAddr) -> Result<(), tonic::Status> {
        let ended = self.open_stream(control, &mut self.behaviour.subscribe()).await;
        self.lock().sent = SentTimes::default();
        ended
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let _ = self.behaviour.send(behaviour);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn open_stream(
        &self,
        control: SocketAddr,
        behaviours: &mut watch::Receiver<Behaviour>,
    ) -> Result<(), tonic::Status> {
        let node = &self.node;
        let wrong = |e: tonic::transport::Error| tonic::Status::unavailable(e.to_string());
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{control}")).map_err(wrong)?;
        if let Some(tls) = &self.tls {
            endpoint = endpoint.tls_config(tls.clone()).map_err(wrong)?;
        }
        let endpoint = endpoint.connect_timeout(Duration::from_secs(1)).tcp_nodelay(true);
        // A service that hangs is left for another.
        let endpoint = endpoint
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_INTERVAL)
            .keep_alive_while_idle(true);
        let channel = endpoint.connect().await.map_err(wrong)?;
        let mut client =
            AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        if self.incremental {
            let (out, requests) = mpsc::channel::<DeltaDiscoveryRequest>(64);
            for kind in TYPE_URLS {
                let held = self.lock().held.clone().into_iter().filter(|((of, _), _)| of == kind);
                let request = DeltaDiscoveryRequest {
                    node: Some(node.clone()),
                    type_url: kind.into(),
                    initial_resource_versions: held.map(|((_, name), held)| (name, held.version)).collect(),
                    ..Default::default()
                };
                self.send(&out, request).await?;
            }
            let mut answers =
                client.delta_aggregated_resources(ReceiverStream::new(requests)).await?.into_inner();
            let read = |r: DeltaDiscoveryResponse| {
                let size = r.encoded_len();
                Update {
                    type_url: r.type_url,
                    plan: r.system_version_info,
                    nonce: r.nonce,
                    resources: r.resources,
                    removed: r.removed_resources,
                    full_state: false,
                    size,
                }
            };
            let answer =
                |type_url: String, nonce: String, fault: Option<Fault>, _: String| DeltaDiscoveryRequest {
                    type_url,
                    response_nonce: nonce,
                    error_detail: fault,
                    ..Default::default()
                };
            self.exchange(control, &mut answers, &out, behaviours, read, answer).await
        } else {
            let (out, requests) = mpsc::channel::<DiscoveryRequest>(64);
            for kind in TYPE_URLS {
                let node = Some(node.clone());
                let request = DiscoveryRequest { node, type_url: kind.into(), ..Default::default() };
                self.send(&out, request).await?;
            }
            let mut answers =
                client.stream_aggregated_resources(ReceiverStream::new(requests)).await?.into_inner();
            let read = |r: DiscoveryResponse| {
                let size = r.encoded_len();
                let open = |any: Any| match any.type_url == Resource::type_url() {
                    true => Resource::decode(&any.value[..]).unwrap_or_default(),
                    false => Resource { resource: Some(any), ..Default::default() },
                };
                Update {
                    type_url: r.type_url,
                    plan: r.version_info,
                    nonce: r.nonce,
                    resources: r.resources.into_iter().map(open).collect(),
                    removed: Vec::new(),
                    full_state: true,
                    size,
                }
            };
            let answer =
                |type_url: String, nonce: String, fault: Option<Fault>, plan: String| DiscoveryRequest {
                    type_url,
                    response_nonce: nonce,
                    error_detail: fault,
                    version_info: plan,
                    ..Default::default()
                };
            self.exchange(control, &mut answers, &out, behaviours, read, answer).await
        }
    }

    async fn send<Q: Message>(&self, out: &mpsc::Sender<Q>, request: Q) -> Result<(), tonic::Status> {
        self.lock().sent.push(Instant::now());
        let size = request.encoded_len();
        out.send(request).await.map_err(|_| tonic::Status::unavailable("the stream ended"))?;
        self.emit(&Event::Sent(size + GRPC_PREFIX_BYTES));
        Ok(())
    }

    async fn exchange<A, Q: Message>(
        &self,
        control: SocketAddr,
        answers: &mut tonic::Streaming<A>,
        out: &mpsc::Sender<Q>,
        behaviours: &mut watch::Receiver<Behaviour>,
        read: impl Fn(A) -> Update,
        answer: impl Fn(String, String, Option<Fault>, String) -> Q,
    ) -> Result<(), tonic::Status> {
        /// Says that the stream is over, also where the task of its proxy ends in the middle.
        struct Stream<'a>(&'a Proxy);
        impl Drop for Stream<'_> {
            fn drop(&mut self) {
                self.0.emit(&Event::StreamClosed);
            }
        }
        let stream_opened_at = Instant::now();
        self.emit(&Event::StreamOpened);
        let _stream = Stream(self);
        loop {
            let behaviour = *behaviours.borrow_and_update();
            if behaviour.disconnected {
                return Ok(());
            }
            if behaviour.unresponsive {
                let _ = behaviours.changed().await;
                continue;
            }
            let update = tokio::select! {
                message = answers.message() => message?,
                _ = behaviours.changed() => continue,
            };
            let Some(update) = update.map(&read) else { return Ok(()) };
            let received_at = Instant::now();
            self.emit(&Event::Received(update.size + GRPC_PREFIX_BYTES));
            let (type_url, nonce, plan) =
                (update.type_url.clone(), update.nonce.clone(), update.plan.clone());
            let has_resources = update.resources.iter().any(|resource| resource.resource.is_some());
            let ttls = update.resources.iter().filter_map(|resource| resource.ttl);
            let ttl = ttls.map(|ttl| Duration::new(ttl.seconds.max(0) as u64, ttl.nanos.max(0) as u32)).min();
            let refused = behaviour.reject_updates && has_resources;
            if !refused && !self.apply(update) {
                return Err(tonic::Status::resource_exhausted("more names than are held"));
            }
            if behaviour.withhold_acks {
                continue;
            }
            tokio::time::sleep(behaviour.ack_delay).await;
            let nonce = if behaviour.forge_nonces { format!("9999{nonce}") } else { nonce };
            let fault =
                refused.then(|| Fault { code: 3, message: "as scripted".into(), details: Vec::new() });
            let type_index = TYPE_URLS.iter().position(|of| *of == type_url);
            self.send(out, answer(type_url, nonce, fault, plan.clone())).await?;
            if !refused && !behaviour.forge_nonces {
                let (service, plan) = (control, plan.as_str());
                self.emit(&Event::Acknowledged(&Acknowledgement {
                    service,
                    type_index,
                    plan,
                    ttl,
                    has_resources,
                    stream_opened_at,
                    received_at,
                }));
            }
        }
    }

    /// Takes a response in, unless it holds too much by then. Its lease counts from the last request that it had seen.
    fn apply(&self, update: Update) -> bool {
        let mut state = self.lock();
        let seen = update.nonce.split_once('.').and_then(|(_, heard)| heard.parse::<usize>().ok());
        let since = seen.and_then(|seen| state.sent.at(seen));
        let since = since.unwrap_or_else(Instant::now);
        state.received.bytes += update.size as u64;
        if state.plans.back() != Some(&update.plan) {
            state.plans.push_back(update.plan.clone());
        }
        if state.plans.len() > MAX_RECENT_PLANS {
            state.plans.pop_front();
        }
        let bodies = update.resources.iter().filter(|resource| resource.resource.is_some()).count();
        *if bodies > 0 { &mut state.received.updates } else { &mut state.received.renewals } += 1;
        let mut names = Vec::new();
        for resource in update.resources {
            let until = resource
                .ttl
                .map(|ttl| since + Duration::new(ttl.seconds.max(0) as u64, ttl.nanos.max(0) as u32));
            let name = if resource.name.is_empty() { "only".to_owned() } else { resource.name };
            names.push(name.clone());
            let key = (update.type_url.clone(), name);
            match resource.resource {
                Some(any) => {
                    let plan = update.plan.clone();
                    state.held.insert(
                        key,
                        HeldResource { version: resource.version, plan, body: any.value, until },
                    );
                }
                // A lease for what it holds; never for other content.
                None => {
                    if let Some(held) =
                        state.held.get_mut(&key).filter(|held| held.version == resource.version)
                    {
                        (held.until, held.plan) = (until, update.plan.clone());
                    }
                }
            }
        }
        for name in update.removed {
            state.held.remove(&(update.type_url.clone(), name));
        }
        if update.full_state {
            state.held.retain(|(kind, name), _| *kind != update.type_url || names.contains(name));
        }
        state.held.len() <= MAX_RESOURCES
    }

    /// Where a request of this product and customer goes now; the draws, from 0 to under 1, are the caller's chance.
    pub fn pick(&self, product: &str, customer: &str, draws: [f64; 3]) -> Pick {
        let state = self.lock();
        let now = Instant::now();
        let valid = |kind: &str| {
            let held = state.held.iter().find(|((of, _), _)| of == kind).map(|(_, held)| held)?;
            let until = held.until?;
            (now < until).then_some((held, until - now))
        };
        let (Some((endpoints, endpoints_lease)), Some((routes, routes_lease))) =
            (valid(ENDPOINTS_TYPE_URL), valid(ROUTES_TYPE_URL))
        else {
            return Pick::Unroutable;
        };
        let config = RouteConfiguration::decode(&routes.body[..]).unwrap_or_default();
        let headers = [("x-product", product), ("x-customer", customer)];
        if is_dropped(&config, &headers, draws[0]) {
            return Pick::Dropped { plan: routes.plan.clone() };
        }
        let assignment = ClusterLoadAssignment::decode(&endpoints.body[..]).unwrap_or_default();
        match choose_server(&assignment, draws[1], draws[2]) {
            Some(server) => Pick::RouteTo {
                server,
                plan: endpoints.plan.clone(),
                remaining_lease: endpoints_lease.min(routes_lease),
            },
            None => Pick::Unroutable,
        }
    }

    /// The plan of what it holds of endpoints, whether it may still be used or not.
    pub fn endpoints_plan(&self) -> Option<String> {
        let state = self.lock();
        state.held.iter().find(|((kind, _), _)| kind == ENDPOINTS_TYPE_URL).map(|(_, held)| held.plan.clone())
    }
    /// The version of what it holds of endpoints.
    pub fn endpoints_version(&self) -> Option<String> {
        let state = self.lock();
        state
            .held
            .iter()
            .find(|((kind, _), _)| kind == ENDPOINTS_TYPE_URL)
            .map(|(_, held)| held.version.clone())
    }
    /// Responses with bodies, renewals, bytes.
    pub fn received_counts(&self) -> ReceivedCounts {
        let state = self.lock();
        state.received
    }
    /// The latest plans that it saw.
    pub fn recent_plans(&self) -> Vec<String> {
        self.lock().plans.iter().cloned().collect()
    }
    /// Whether it may route now: leases of endpoints and routes hold.
    pub fn can_route(&self) -> bool {
        let (state, now) = (self.lock(), Instant::now());
        let valid = |kind: &str| {
            state.held.iter().any(|((of, _), held)| of == kind && held.until.is_some_and(|until| now < until))
        };
        valid(ENDPOINTS_TYPE_URL) && valid(ROUTES_TYPE_URL)
    }
}

/// Whether the first route that matches ends in a refusal.
fn is_dropped(config: &RouteConfiguration, headers: &[(&str, &str)], draw: f64) -> bool {
    for route in config.virtual_hosts.iter().flat_map(|host| &host.routes) {
        let Some(wanted) = &route.r#match else { continue };
        let header = |matcher: &envoy_types::pb::envoy::config::route::v3::HeaderMatcher| {
            let found = headers.iter().find(|(name, _)| *name == matcher.name).map(|(_, value)| *value);
            match &matcher.header_match_specifier {
                Some(header_matcher::HeaderMatchSpecifier::StringMatch(m)) => match &m.match_pattern {
                    Some(MatchPattern::Exact(text)) => found == Some(text.as_str()),
                    _ => false,
                },
                _ => false,
            }
        };
        let part = wanted.runtime_fraction.as_ref().and_then(|f| f.default_value.as_ref());
        let within = part.is_none_or(|part| draw * 1e6 < f64::from(part.numerator));
        if wanted.headers.iter().all(header) && within {
            return matches!(route.action, Some(route::Action::DirectResponse(_)));
        }
    }
    false
}

/// A server by the weights of zones and then of servers.
fn choose_server(assignment: &ClusterLoadAssignment, zone: f64, endpoint: f64) -> Option<SocketAddr> {
    let weigh =
        |weight: &Option<envoy_types::pb::google::protobuf::UInt32Value>| weight.map_or(0, |w| w.value);
    let zones: Vec<u32> = assignment.endpoints.iter().map(|z| weigh(&z.load_balancing_weight)).collect();
    let zone = &assignment.endpoints[weighted_index(&zones, zone)?];
    let servers: Vec<u32> = zone.lb_endpoints.iter().map(|e| weigh(&e.load_balancing_weight)).collect();
    let chosen = &zone.lb_endpoints[weighted_index(&servers, endpoint)?];
    let Some(lb_endpoint::HostIdentifier::Endpoint(endpoint)) = &chosen.host_identifier else { return None };
    let Some(address::Address::SocketAddress(at)) = endpoint.address.as_ref()?.address.as_ref() else {
        return None;
    };
    let Some(socket_address::PortSpecifier::PortValue(port)) = at.port_specifier else { return None };
    Some(SocketAddr::new(at.address.parse().ok()?, u16::try_from(port).ok()?))
}

fn weighted_index(weights: &[u32], draw: f64) -> Option<usize> {
    let mut left = draw * weights.iter().map(|w| f64::from(*w)).sum::<f64>();
    for (at, weight) in weights.iter().enumerate().filter(|(_, weight)| **weight > 0) {
        left -= f64::from(*weight);
        if left < 0.0 {
            return Some(at);
        }
    }
    None
}
