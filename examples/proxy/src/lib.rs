//! A stand-in for a proxy that gets its routing from an xDS control service, written from the published protocol. It
//! holds each resource until its lease ends, counted from the latest of its own requests that the service had read, and
//! can be scripted to misbehave: to hang, to acknowledge late or never, to reject updates, to forge nonces.
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
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
pub use tonic::transport::{Certificate, ClientTlsConfig, Identity};

use tonic::transport::Endpoint;

/// The type URLs that a proxy subscribes to.
pub const TYPE_URLS: [&str; 4] = [
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
];
const ENDPOINTS_TYPE_URL: &str = TYPE_URLS[1];
const ROUTES_TYPE_URL: &str = TYPE_URLS[3];

/// Scripted behaviour of a proxy, which can be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Neither reads nor writes; the connection stays open.
    pub unresponsive: bool,
    /// Closes its stream and opens no other, as if the process were down.
    pub disconnected: bool,
    /// Delay before each acknowledgement or rejection.
    pub ack_delay: Duration,
    pub withhold_acks: bool,
    /// Rejects responses with resources.
    pub reject_updates: bool,
    /// Acknowledges nonces that were never sent.
    pub forge_nonces: bool,
}

/// An event on the stream of a proxy.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    StreamOpened,
    StreamClosed,
    /// The proxy sent a message of this many bytes, gRPC prefix included.
    Sent(usize),
    /// The proxy received a message of this many bytes, gRPC prefix included.
    Received(usize),
    /// A response was applied and acknowledged.
    Acknowledged(&'a Acknowledgement<'a>),
}

/// A response that was applied and acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement<'a> {
    pub service: SocketAddr,
    /// Index of its type in [`TYPE_URLS`], `None` for other types.
    pub type_index: Option<usize>,
    pub plan: &'a str,
    /// The shortest lease of its resources.
    pub ttl: Option<Duration>,
    /// Whether it had resource bodies and did not only renew leases.
    pub has_resources: bool,
    pub stream_opened_at: Instant,
    pub received_at: Instant,
}

/// A callback for events. It must not block.
pub type EventListener = Arc<dyn Fn(&Event) + Send + Sync>;

const MAX_RECENT_PLANS: usize = 128;
const MAX_SENT_TIMES: usize = 256;
const MAX_RESOURCES: usize = 16_384;
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Bytes that gRPC puts before each message.
const GRPC_PREFIX_BYTES: usize = 5;
/// Interval of HTTP/2 pings, and the time after which an unanswered one fails the connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time to a connection, and then to the head of the response; pings detect a service that hangs sooner.
const OPEN_TIMEOUT: Duration = Duration::from_secs(15);
/// Denominator of the routes' runtime fractions.
const FRACTION_DENOMINATOR: f64 = 1e6;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const REQUEST_QUEUE_LENGTH: usize = 64;
/// gRPC status code `INVALID_ARGUMENT`.
const INVALID_ARGUMENT: i32 = 3;
/// Name of the only resource of a type whose resources have no names.
const UNNAMED_RESOURCE: &str = "only";

/// Times at which the requests of the current stream were sent. Only the first and the latest ones are kept.
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

    /// Returns when the request with this number, from 1 on, was sent. If that time is no longer kept, returns the time of
    /// the first request, since a lease may be counted from too early a time but never from too late.
    fn at(&self, number: usize) -> Option<Instant> {
        let back = self.count.checked_sub(number).filter(|_| number > 0)?;
        self.times.iter().rev().nth(back).copied().or(self.first)
    }
}

/// A resource and its lease.
#[derive(Clone, Debug)]
struct HeldResource {
    version: String,
    plan: String,
    body: Vec<u8>,
    /// End of its lease, `None` without one.
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
    sent: SentTimes,
    received: ReceivedCounts,
    /// The latest plans received, oldest first.
    plans: VecDeque<String>,
}

/// A routing decision for one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Routed to `server` according to `plan`, with `remaining_lease` left.
    RouteTo { server: SocketAddr, plan: String, remaining_lease: Duration },
    /// Dropped according to `plan`.
    Dropped { plan: String },
    /// Not routable: the proxy holds no endpoints and routes with valid leases, or no endpoint has a weight.
    Unroutable,
}

/// A proxy. Clones share its state.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    behaviour: watch::Sender<Behaviour>,
    tls: Option<ClientTlsConfig>,
    node: Node,
    incremental: bool,
    listener: Option<EventListener>,
}

/// A response of either variant of the protocol, incremental or state of the world.
struct Update {
    type_url: String,
    plan: String,
    nonce: String,
    resources: Vec<Resource>,
    removed: Vec<String>,
    /// Whether the response contains every resource of its type.
    full_state: bool,
    size: usize,
}

/// Bounds a step of the opening of a stream, which can wait for ever on a connection that ended meanwhile.
async fn within_open_timeout<T>(
    step: impl Future<Output = Result<T, tonic::Status>>,
) -> Result<T, tonic::Status> {
    let timed_out = || tonic::Status::deadline_exceeded("the service did not open the stream in time");
    tokio::time::timeout(OPEN_TIMEOUT, step).await.unwrap_or_else(|_| Err(timed_out()))
}

impl Proxy {
    /// Starts a proxy on the current runtime that connects to `control`.
    pub fn start(control: SocketAddr, node: &str, zone: &str, incremental: bool) -> Proxy {
        Proxy::start_with_tls(vec![control], node, zone, incremental, None)
    }

    /// Starts a proxy that knows several services and connects to the next one when a stream ends.
    pub fn start_with_services(control: Vec<SocketAddr>, node: &str, zone: &str, incremental: bool) -> Proxy {
        Proxy::start_with_tls(control, node, zone, incremental, None)
    }

    /// Starts a proxy with several services that connects over TLS if `tls` is given.
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
            for index in (0..control.len()).cycle() {
                while behaviours.borrow().disconnected {
                    if behaviours.changed().await.is_err() {
                        return;
                    }
                }
                let _ = run.run_stream(control[index]).await;
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        });
        proxy
    }

    /// Creates a proxy that is not connected. [`Proxy::run_stream`] opens a stream.
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

    /// Sets the callback for events.
    pub fn with_listener(self, listener: EventListener) -> Proxy {
        Proxy { listener: Some(listener), ..self }
    }

    fn emit(&self, event: &Event) {
        if let Some(listener) = &self.listener {
            listener(event);
        }
    }

    /// Runs one stream with a service until it ends or fails. The proxy keeps its resources.
    pub async fn run_stream(&self, control: SocketAddr) -> Result<(), tonic::Status> {
        let ended = self.open_stream(control, &mut self.behaviour.subscribe()).await;
        self.lock().sent = SentTimes::default();
        ended
    }

    /// Changes the behaviour of the running proxy.
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
        let unavailable = |e: tonic::transport::Error| tonic::Status::unavailable(e.to_string());
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{control}")).map_err(unavailable)?;
        if let Some(tls) = &self.tls {
            endpoint = endpoint.tls_config(tls.clone()).map_err(unavailable)?;
        }
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        // Pings detect a service that hangs.
        let endpoint = endpoint
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_INTERVAL)
            .keep_alive_while_idle(true);
        let channel = within_open_timeout(async { endpoint.connect().await.map_err(unavailable) }).await?;
        let mut client =
            AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        if self.incremental {
            let (out, requests) = mpsc::channel::<DeltaDiscoveryRequest>(REQUEST_QUEUE_LENGTH);
            for type_url in TYPE_URLS {
                let held =
                    self.lock().held.clone().into_iter().filter(|((held_type, _), _)| held_type == type_url);
                let request = DeltaDiscoveryRequest {
                    node: Some(node.clone()),
                    type_url: type_url.into(),
                    initial_resource_versions: held.map(|((_, name), held)| (name, held.version)).collect(),
                    ..Default::default()
                };
                self.send(&out, request).await?;
            }
            let mut responses =
                within_open_timeout(client.delta_aggregated_resources(ReceiverStream::new(requests)))
                    .await?
                    .into_inner();
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
            let acknowledge =
                |type_url: String, nonce: String, fault: Option<Fault>, _: String| DeltaDiscoveryRequest {
                    type_url,
                    response_nonce: nonce,
                    error_detail: fault,
                    ..Default::default()
                };
            self.exchange(control, &mut responses, &out, behaviours, read, acknowledge).await
        } else {
            let (out, requests) = mpsc::channel::<DiscoveryRequest>(REQUEST_QUEUE_LENGTH);
            for type_url in TYPE_URLS {
                let node = Some(node.clone());
                let request = DiscoveryRequest { node, type_url: type_url.into(), ..Default::default() };
                self.send(&out, request).await?;
            }
            let mut responses =
                within_open_timeout(client.stream_aggregated_resources(ReceiverStream::new(requests)))
                    .await?
                    .into_inner();
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
            let acknowledge =
                |type_url: String, nonce: String, fault: Option<Fault>, plan: String| DiscoveryRequest {
                    type_url,
                    response_nonce: nonce,
                    error_detail: fault,
                    version_info: plan,
                    ..Default::default()
                };
            self.exchange(control, &mut responses, &out, behaviours, read, acknowledge).await
        }
    }

    async fn send<Q: Message>(&self, out: &mpsc::Sender<Q>, request: Q) -> Result<(), tonic::Status> {
        self.lock().sent.push(Instant::now());
        let size = request.encoded_len();
        out.send(request).await.map_err(|_| tonic::Status::unavailable("the request stream has ended"))?;
        self.emit(&Event::Sent(size + GRPC_PREFIX_BYTES));
        Ok(())
    }

    async fn exchange<A, Q: Message>(
        &self,
        control: SocketAddr,
        responses: &mut tonic::Streaming<A>,
        out: &mpsc::Sender<Q>,
        behaviours: &mut watch::Receiver<Behaviour>,
        read: impl Fn(A) -> Update,
        acknowledge: impl Fn(String, String, Option<Fault>, String) -> Q,
    ) -> Result<(), tonic::Status> {
        /// Reports the end of the stream, even if the task is aborted.
        struct StreamGuard<'a>(&'a Proxy);
        impl Drop for StreamGuard<'_> {
            fn drop(&mut self) {
                self.0.emit(&Event::StreamClosed);
            }
        }
        let stream_opened_at = Instant::now();
        self.emit(&Event::StreamOpened);
        let _stream = StreamGuard(self);
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
                message = responses.message() => message?,
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
            let rejected = behaviour.reject_updates && has_resources;
            if !rejected && !self.apply(update) {
                return Err(tonic::Status::resource_exhausted(format!(
                    "more than {MAX_RESOURCES} resources held"
                )));
            }
            if behaviour.withhold_acks {
                continue;
            }
            tokio::time::sleep(behaviour.ack_delay).await;
            let nonce = if behaviour.forge_nonces { format!("9999{nonce}") } else { nonce };
            let fault = rejected.then(|| Fault {
                code: INVALID_ARGUMENT,
                message: "as scripted".into(),
                details: Vec::new(),
            });
            let type_index = TYPE_URLS.iter().position(|known| *known == type_url);
            self.send(out, acknowledge(type_url, nonce, fault, plan.clone())).await?;
            if !rejected && !behaviour.forge_nonces {
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

    /// Applies a response, whose leases count from the last request that the service had read. Returns whether the proxy holds
    /// at most [`MAX_RESOURCES`] resources afterwards.
    fn apply(&self, update: Update) -> bool {
        let mut state = self.lock();
        let requests_read = update.nonce.split_once('.').and_then(|(_, count)| count.parse::<usize>().ok());
        let since = requests_read.and_then(|number| state.sent.at(number));
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
            let name = if resource.name.is_empty() { UNNAMED_RESOURCE.to_owned() } else { resource.name };
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
                // Without a body it renews the lease of the same version only.
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
            state.held.retain(|(type_url, name), _| *type_url != update.type_url || names.contains(name));
        }
        state.held.len() <= MAX_RESOURCES
    }

    /// Routes a request of this product and customer. The draws are uniform random numbers in `0..1` for drops, the zone and
    /// the endpoint.
    pub fn pick(&self, product: &str, customer: &str, draws: [f64; 3]) -> Pick {
        let state = self.lock();
        let now = Instant::now();
        let valid = |type_url: &str| {
            let held =
                state.held.iter().find(|((held_type, _), _)| held_type == type_url).map(|(_, held)| held)?;
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

    /// Returns the plan of the endpoints held, even if their lease has ended.
    pub fn endpoints_plan(&self) -> Option<String> {
        let state = self.lock();
        state
            .held
            .iter()
            .find(|((type_url, _), _)| type_url == ENDPOINTS_TYPE_URL)
            .map(|(_, held)| held.plan.clone())
    }

    /// Returns the version of the endpoints held.
    pub fn endpoints_version(&self) -> Option<String> {
        let state = self.lock();
        state
            .held
            .iter()
            .find(|((type_url, _), _)| type_url == ENDPOINTS_TYPE_URL)
            .map(|(_, held)| held.version.clone())
    }

    /// Returns counts of what was received.
    pub fn received_counts(&self) -> ReceivedCounts {
        self.lock().received
    }

    /// Returns the latest plans received, oldest first.
    pub fn recent_plans(&self) -> Vec<String> {
        self.lock().plans.iter().cloned().collect()
    }

    /// Returns whether the proxy holds endpoints and routes with valid leases.
    pub fn can_route(&self) -> bool {
        let (state, now) = (self.lock(), Instant::now());
        let valid = |type_url: &str| {
            state.held.iter().any(|((held_type, _), held)| {
                held_type == type_url && held.until.is_some_and(|until| now < until)
            })
        };
        valid(ENDPOINTS_TYPE_URL) && valid(ROUTES_TYPE_URL)
    }
}

/// Returns whether the first route that matches is a direct response, which drops the request.
fn is_dropped(config: &RouteConfiguration, headers: &[(&str, &str)], draw: f64) -> bool {
    for route in config.virtual_hosts.iter().flat_map(|host| &host.routes) {
        let Some(matcher) = &route.r#match else { continue };
        let header_matches = |header: &envoy_types::pb::envoy::config::route::v3::HeaderMatcher| {
            let found = headers.iter().find(|(name, _)| *name == header.name).map(|(_, value)| *value);
            match &header.header_match_specifier {
                Some(header_matcher::HeaderMatchSpecifier::StringMatch(m)) => match &m.match_pattern {
                    Some(MatchPattern::Exact(text)) => found == Some(text.as_str()),
                    _ => false,
                },
                _ => false,
            }
        };
        let fraction = matcher.runtime_fraction.as_ref().and_then(|f| f.default_value.as_ref());
        let within =
            fraction.is_none_or(|fraction| draw * FRACTION_DENOMINATOR < f64::from(fraction.numerator));
        if matcher.headers.iter().all(header_matches) && within {
            return matches!(route.action, Some(route::Action::DirectResponse(_)));
        }
    }
    false
}

/// Chooses a server by the weights of zones and then of the zone's endpoints.
fn choose_server(assignment: &ClusterLoadAssignment, zone: f64, endpoint: f64) -> Option<SocketAddr> {
    let weight_of =
        |weight: &Option<envoy_types::pb::google::protobuf::UInt32Value>| weight.map_or(0, |w| w.value);
    let zones: Vec<u32> = assignment.endpoints.iter().map(|z| weight_of(&z.load_balancing_weight)).collect();
    let zone = &assignment.endpoints[weighted_index(&zones, zone)?];
    let servers: Vec<u32> = zone.lb_endpoints.iter().map(|e| weight_of(&e.load_balancing_weight)).collect();
    let chosen = &zone.lb_endpoints[weighted_index(&servers, endpoint)?];
    let Some(lb_endpoint::HostIdentifier::Endpoint(endpoint)) = &chosen.host_identifier else { return None };
    let Some(address::Address::SocketAddress(socket)) = endpoint.address.as_ref()?.address.as_ref() else {
        return None;
    };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?))
}

/// Returns the index that `draw`, in `0..1`, selects by weight, or `None` if all weights are 0.
fn weighted_index(weights: &[u32], draw: f64) -> Option<usize> {
    let mut remaining = draw * weights.iter().map(|w| f64::from(*w)).sum::<f64>();
    for (index, weight) in weights.iter().enumerate().filter(|(_, weight)| **weight > 0) {
        remaining -= f64::from(*weight);
        if remaining < 0.0 {
            return Some(index);
        }
    }
    None
}
