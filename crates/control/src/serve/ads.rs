//! Aggregated discovery service (ADS) over gRPC, for both protocols: one task per stream.

mod encoding;
mod request_memory;

#[cfg(test)]
mod tests;

use super::certificates::{self, Certificates};
use super::counted_connection::ConnectionLimit;
use super::handle::{Message, ServiceHandle};
use crate::service::StreamId;
use crate::stream::Update;
use encoding::{delta_response, state_of_the_world_response, DiscoveryMessage};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use puffinladder_transport::MemoryBudget;
use request_memory::{RequestLimits, RequestMemory};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_rustls::rustls::pki_types::CertificateDer;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_stream::StreamExt;
use tonic::transport::Server;
use tonic::{Response, Status, Streaming};
use tower::util::MapRequestLayer;

/// Maximum size of a request, bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Time from the first byte of a request to its last.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Memory of a decoded request per encoded byte; lists of empty strings take the most.
const DECODED_BYTES_PER_BYTE: usize = 12;
/// Memory of all streams for requests that are incomplete or not handled, bytes. Holds eight requests of the maximum size.
const REQUEST_MEMORY_BYTES: usize = 8 * (DECODED_BYTES_PER_BYTE + 1) * MAX_REQUEST_BYTES;
/// Time for which a proxy may leave a response unread.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections per open stream that the settings allow: proxies that reconnect may hold two for a while.
const CONNECTIONS_PER_STREAM: usize = 2;
/// Bytes that a connection may send before they are read (HTTP/2 windows of the connection and of each stream).
const RECEIVE_WINDOW_BYTES: u32 = 65_535;
/// Open streams on one connection; a proxy needs one, and another while it replaces it.
const MAX_STREAMS_PER_CONNECTION: u32 = 8;
/// Maximum size of the header list of a request, bytes.
const MAX_HEADER_LIST_BYTES: u32 = 16_384;
/// HTTP/2 keepalive interval and timeout of idle connections.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Timeout of the first request, which identifies the proxy.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a node id, bytes.
const MAX_NODE_BYTES: usize = 256;
/// Maximum length of a proxy's zone, characters; longer names are truncated.
const MAX_ZONE_CHARS: usize = 128;
/// Capacity of a stream's update queue: two updates per resource type.
const UPDATE_QUEUE: usize = 8;
/// Capacity of the queue of connections whose TLS handshake has completed.
const READY_QUEUE: usize = 16;

struct DiscoveryService {
    service: ServiceHandle,
    next_id: AtomicU64,
    open_streams: Arc<AtomicUsize>,
    /// Control plane identifier sent to proxies.
    name: String,
    /// Whether a proxy's certificate must name its node.
    verifies_clients: bool,
}

/// Guard that counts an open stream.
struct StreamSlot(Arc<AtomicUsize>);

impl StreamSlot {
    /// Reserves a slot; returns none if `limit` streams are open.
    fn reserve(open: &Arc<AtomicUsize>, limit: usize) -> Option<StreamSlot> {
        let slot = StreamSlot(open.clone());
        (open.fetch_add(1, Ordering::Relaxed) < limit).then_some(slot)
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Task that connects a stream's socket to the service's task.
struct StreamTask<Req, Resp> {
    id: StreamId,
    service: ServiceHandle,
    /// Control plane identifier sent to proxies.
    name: String,
    requests: Streaming<Req>,
    updates: mpsc::Receiver<Update>,
    responses: mpsc::Sender<Result<Resp, Status>>,
    encode: fn(&Update, &str) -> Resp,
    /// Memory of the request that is being received.
    request_memory: RequestMemory,
    _slot: StreamSlot,
}

impl<Req: DiscoveryMessage, Resp: prost::Message + 'static> StreamTask<Req, Resp> {
    /// Runs until either side closes the stream.
    async fn run(mut self) {
        loop {
            tokio::select! {
                update = self.updates.recv() => {
                    let Some(update) = update else {
                        let _ = self.responses.try_send(Err(Status::aborted("stream closed by the control service: reconnect")));
                        break;
                    };
                    if !self.respond(&update).await {
                        break;
                    }
                }
                request = self.requests.message() => match request {
                    Ok(Some(request)) => {
                        let (request, memory) = (request.into_request(), self.request_memory.complete());
                        self.service.send(Message::Request { id: self.id, request, memory }).await;
                    }
                    _ => break,
                },
                () = self.responses.closed() => break,
            }
        }
        self.service.send(Message::CloseStream { id: self.id }).await;
    }

    /// Sends a response. Returns whether the stream is still open and its proxy reads.
    async fn respond(&self, update: &Update) -> bool {
        let response = (self.encode)(update, &self.name);
        self.service.traffic.record_sent_update(update, response.encoded_len());
        let sent = tokio::time::timeout(RESPONSE_TIMEOUT, self.responses.send(Ok(response))).await;
        matches!(sent, Ok(Ok(())))
    }
}

/// Waits for the first request of a stream, which identifies the proxy.
async fn first_request<Req: DiscoveryMessage>(requests: &mut Streaming<Req>) -> Result<Req, Status> {
    let first = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, requests.message()).await;
    let first = first.map_err(|_| {
        Status::deadline_exceeded(format!("no first request within {FIRST_REQUEST_TIMEOUT:?}"))
    })??;
    first.ok_or_else(|| Status::cancelled("stream closed before the first request"))
}

fn node_of(request: &impl DiscoveryMessage) -> Result<&Node, Status> {
    let node = request.node().filter(|node| !node.id.is_empty() && node.id.len() <= MAX_NODE_BYTES);
    let message = || format!("first request must have a node id of 1 to {MAX_NODE_BYTES} bytes");
    node.ok_or_else(|| Status::invalid_argument(message()))
}

fn zone_of(node: &Node) -> String {
    let zone = |locality: &envoy_types::pb::envoy::config::core::v3::Locality| {
        locality.zone.chars().take(MAX_ZONE_CHARS).collect()
    };
    node.locality.as_ref().map_or(String::new(), zone)
}

/// Rejects a proxy whose certificate does not name its node.
fn verify_node(chain: Option<&[CertificateDer<'static>]>, node: &Node) -> Result<(), Status> {
    let leaf = chain.and_then(|chain| chain.first());
    if leaf.is_some_and(|leaf| certificates::names_node(leaf, &node.id)) {
        return Ok(());
    }
    tracing::warn!("xds: rejected proxy: its certificate does not name its node {:.64}", node.id);
    Err(Status::permission_denied("client certificate does not name the node"))
}

impl DiscoveryService {
    /// Opens a stream and starts its task, which sends updates encoded by `encode`.
    async fn open<Req: DiscoveryMessage, Resp: prost::Message + 'static>(
        &self,
        request: tonic::Request<Streaming<Req>>,
        incremental: bool,
        encode: fn(&Update, &str) -> Resp,
    ) -> Result<ReceiverStream<Result<Resp, Status>>, Status> {
        let chain = request.peer_certs();
        let request_memory = request.extensions().get::<RequestMemory>().cloned().unwrap_or_default();
        let mut requests = request.into_inner();
        let slot = StreamSlot::reserve(&self.open_streams, self.service.max_proxies).ok_or_else(|| {
            let limit = self.service.max_proxies;
            Status::resource_exhausted(format!("limit of {limit} open streams reached"))
        })?;
        let first = first_request(&mut requests).await?;
        let node = node_of(&first)?;
        if self.verifies_clients {
            verify_node(chain.as_deref().map(Vec::as_slice), node)?;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, updates) = mpsc::channel(UPDATE_QUEUE);
        let (node, zone) = (node.id.clone(), zone_of(node));
        self.service.send(Message::OpenStream { id, node, zone, incremental, updates: sender }).await;
        let (request, memory) = (first.into_request(), request_memory.complete());
        self.service.send(Message::Request { id, request, memory }).await;
        let (responses, stream) = mpsc::channel(1);
        let (service, name) = (self.service.clone(), self.name.clone());
        let task = StreamTask {
            id,
            service,
            name,
            requests,
            updates,
            responses,
            encode,
            request_memory,
            _slot: slot,
        };
        tokio::spawn(task.run());
        Ok(ReceiverStream::new(stream))
    }
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for DiscoveryService {
    type StreamAggregatedResourcesStream = ReceiverStream<Result<DiscoveryResponse, Status>>;

    async fn stream_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        self.open(request, false, state_of_the_world_response).await.map(Response::new)
    }

    type DeltaAggregatedResourcesStream = ReceiverStream<Result<DeltaDiscoveryResponse, Status>>;

    async fn delta_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        self.open(request, true, delta_response).await.map(Response::new)
    }
}

/// Serves proxies until the service is stopped.
pub(super) async fn serve(
    listener: TcpListener,
    service: ServiceHandle,
    certificates: Option<Arc<Certificates>>,
    mut stopped: watch::Receiver<bool>,
) {
    let verifies_clients = certificates.as_ref().is_some_and(|certificates| certificates.verifies_clients());
    let connection_limit = ConnectionLimit::new(CONNECTIONS_PER_STREAM * service.max_proxies);
    let discovery = DiscoveryService {
        service,
        next_id: AtomicU64::new(1),
        open_streams: Arc::default(),
        name: format!("puffinladder {}", env!("CARGO_PKG_VERSION")),
        verifies_clients,
    };
    let grpc = AggregatedDiscoveryServiceServer::new(discovery).max_decoding_message_size(MAX_REQUEST_BYTES);
    let limits = RequestLimits {
        timeout: REQUEST_TIMEOUT,
        decoded_bytes_per_byte: DECODED_BYTES_PER_BYTE,
        memory: MemoryBudget::new(REQUEST_MEMORY_BYTES),
    };
    let mut server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .initial_connection_window_size(RECEIVE_WINDOW_BYTES)
        .initial_stream_window_size(RECEIVE_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .http2_max_header_list_size(MAX_HEADER_LIST_BYTES)
        .layer(MapRequestLayer::new(move |request| limits.apply(request)));
    let router = server.add_service(grpc);
    let accept_stopped = stopped.clone();
    let shutdown = async move {
        let _ = stopped.changed().await;
    };
    let served = match certificates {
        Some(certificates) => {
            let (ready, connections) = mpsc::channel(READY_QUEUE);
            tokio::spawn(certificates::accept(listener, certificates, ready, accept_stopped));
            let connections =
                ReceiverStream::new(connections).filter_map(|accepted| connection_limit.admit(accepted));
            router.serve_with_incoming_shutdown(connections, shutdown).await
        }
        None => {
            let connections = TcpListenerStream::new(listener).map(without_delay);
            let connections = connections.filter_map(|accepted| connection_limit.admit(accepted));
            router.serve_with_incoming_shutdown(connections, shutdown).await
        }
    };
    if let Err(error) = served {
        tracing::error!("xds: server failed: {error}");
    }
}

/// Disables Nagle's algorithm, so that small responses are sent without delay.
fn without_delay(
    connection: std::io::Result<tokio::net::TcpStream>,
) -> std::io::Result<tokio::net::TcpStream> {
    if let Ok(stream) = &connection {
        let _ = stream.set_nodelay(true);
    }
    connection
}
