//! Aggregated discovery over gRPC, of both protocols: protobuf in and out, one task a stream.

use super::tls::{self, Certificates};
use super::{Desk, Word, WAITING};
use crate::resources::{kind_of, type_url};
use crate::stream::{Push, Request};
use envoy_types::pb::envoy::config::core::v3::{ControlPlane, Node};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::protobuf::{Any, Duration as Span};
use envoy_types::pb::google::rpc::Status as Fault;
use prost::{Message, Name};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_stream::StreamExt;
use tonic::transport::Server;
use tonic::{Response, Status, Streaming};

/// Bytes of a request: some thousand names.
const MOST_REQUEST: usize = 1 << 20;
/// A connection that is silent is asked whether it lives, and ended if it does not say so.
const ALIVE: Duration = Duration::from_secs(5);
/// A stream whose first request does not come in time, or does not say who it is.
const FIRST: Duration = Duration::from_secs(5);

struct Front {
    desk: Desk,
    ids: AtomicU64,
    open: Arc<AtomicUsize>,
    /// How this service names itself.
    name: String,
    /// A proxy's certificate must name its node.
    mutual: bool,
}

/// Counts a stream for as long as it lives.
struct Seat(Arc<AtomicUsize>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What both protocols' requests say.
trait Said: Send + 'static {
    fn node(&self) -> Option<&Node>;
    fn request(self) -> Request;
}

/// What both say of the response that they answer.
fn answer(type_url: &str, nonce: String, fault: Option<Fault>) -> Request {
    let fault = fault.map(|status| status.message);
    Request { kind: kind_of(type_url), nonce, fault, ..Request::default() }
}

impl Said for DiscoveryRequest {
    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }
    fn request(self) -> Request {
        let names = self.resource_names;
        Request { names, ..answer(&self.type_url, self.response_nonce, self.error_detail) }
    }
}

impl Said for DeltaDiscoveryRequest {
    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }
    fn request(self) -> Request {
        Request {
            names: self.resource_names_subscribe,
            gone: self.resource_names_unsubscribe,
            held: self.initial_resource_versions.into_iter().collect(),
            ..answer(&self.type_url, self.response_nonce, self.error_detail)
        }
    }
}

fn lease(push: &Push) -> Option<Span> {
    push.lease.map(|s| Span { seconds: s.trunc() as i64, nanos: (s.fract() * 1e9) as i32 })
}

fn plane(name: &str) -> Option<ControlPlane> {
    Some(ControlPlane { identifier: name.into() })
}

/// The pieces as wrapped resources; a heartbeat has no body.
fn wrapped(push: &Push) -> Vec<Resource> {
    let ttl = lease(push);
    let one = |piece: &crate::stream::Piece| Resource {
        name: piece.resource.name.clone(),
        version: format!("{:x}", piece.resource.version),
        resource: (!piece.heartbeat)
            .then(|| Any { type_url: type_url(push.kind), value: piece.resource.body.clone() }),
        ttl,
        ..Default::default()
    };
    push.pieces.iter().map(one).collect()
}

fn version(push: &Push) -> String {
    format!("{}.{}", push.serial.epoch, push.serial.number)
}

fn whole(push: &Push, name: &str) -> DiscoveryResponse {
    let plain = |resource: Resource| match resource {
        // Wrapped only where there is a lease to tell.
        Resource { ttl: None, resource: Some(any), .. } => any,
        wrapped => Any { type_url: Resource::type_url(), value: wrapped.encode_to_vec() },
    };
    DiscoveryResponse {
        version_info: version(push),
        resources: wrapped(push).into_iter().map(plain).collect(),
        type_url: type_url(push.kind),
        nonce: push.nonce.clone(),
        control_plane: plane(name),
        ..Default::default()
    }
}

fn differing(push: &Push, name: &str) -> DeltaDiscoveryResponse {
    DeltaDiscoveryResponse {
        system_version_info: version(push),
        resources: wrapped(push),
        type_url: type_url(push.kind),
        removed_resources: push.removed.clone(),
        nonce: push.nonce.clone(),
        control_plane: plane(name),
        ..Default::default()
    }
}

impl Front {
    /// Runs one stream: its requests to the core, what comes back as `make` writes it.
    async fn stream<Q: Said, A: Message + 'static>(
        &self,
        request: tonic::Request<Streaming<Q>>,
        incremental: bool,
        make: fn(&Push, &str) -> A,
    ) -> Result<ReceiverStream<Result<A, Status>>, Status> {
        let shown = request.peer_certs();
        let mut said = request.into_inner();
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.desk.most_proxies {
            self.open.fetch_sub(1, Ordering::Relaxed);
            return Err(Status::resource_exhausted("as many proxies as there may be"));
        }
        let seat = Seat(self.open.clone());
        let first = tokio::time::timeout(FIRST, said.message()).await;
        let first = first.map_err(|_| Status::deadline_exceeded("no first request"))??;
        let Some(first) = first else { return Err(Status::cancelled("no request")) };
        let node = first.node().filter(|node| !node.id.is_empty() && node.id.len() <= 256);
        let Some(node) = node else {
            return Err(Status::invalid_argument("the first request names no node"));
        };
        if self.mutual {
            let own = shown.as_ref().and_then(|chain| chain.first());
            if !own.is_some_and(|own| tls::names(own, &node.id)) {
                tracing::warn!("a proxy calls itself {:.64}, and its certificate does not", node.id);
                return Err(Status::permission_denied("the certificate is not this node's"));
            }
        }
        let zone = node.locality.as_ref().map_or(String::new(), |at| at.zone.chars().take(128).collect());
        let (id, node) = (self.ids.fetch_add(1, Ordering::Relaxed), node.id.clone());
        let (out, mut pushes) = mpsc::channel::<Push>(WAITING);
        let (answers, stream) = mpsc::channel(1);
        let (desk, name) = (self.desk.clone(), self.name.clone());
        desk.tell(Word::Open { id, node, zone, incremental, out }).await;
        desk.tell(Word::Request { id, request: first.request() }).await;
        tokio::spawn(async move {
            let _seat = seat;
            loop {
                tokio::select! {
                    push = pushes.recv() => {
                        let Some(push) = push else {
                            let _ = answers.try_send(Err(Status::aborted("cut: connect anew")));
                            break;
                        };
                        let answer = make(&push, &name);
                        desk.meters.response(&push, answer.encoded_len());
                        if answers.send(Ok(answer)).await.is_err() {
                            break;
                        }
                    }
                    request = said.message() => match request {
                        Ok(Some(request)) => desk.tell(Word::Request { id, request: request.request() }).await,
                        _ => break,
                    },
                    () = answers.closed() => break,
                }
            }
            desk.tell(Word::Close { id }).await;
        });
        Ok(ReceiverStream::new(stream))
    }
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for Front {
    type StreamAggregatedResourcesStream = ReceiverStream<Result<DiscoveryResponse, Status>>;
    async fn stream_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        self.stream(request, false, whole).await.map(Response::new)
    }
    type DeltaAggregatedResourcesStream = ReceiverStream<Result<DeltaDiscoveryResponse, Status>>;
    async fn delta_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        self.stream(request, true, differing).await.map(Response::new)
    }
}

/// Serves until the service ends.
pub async fn serve(
    listener: TcpListener,
    desk: Desk,
    certificates: Option<Arc<Certificates>>,
    mut stopped: watch::Receiver<bool>,
) {
    let name = format!("puffinladder {}", env!("CARGO_PKG_VERSION"));
    let mutual = certificates.as_ref().is_some_and(|certificates| certificates.mutual());
    let front = Front { desk, ids: AtomicU64::new(1), open: Arc::default(), name, mutual };
    let service = AggregatedDiscoveryServiceServer::new(front).max_decoding_message_size(MOST_REQUEST);
    let mut server =
        Server::builder().http2_keepalive_interval(Some(ALIVE)).http2_keepalive_timeout(Some(ALIVE));
    let router = server.add_service(service);
    let told = stopped.clone();
    let ends = async move {
        let _ = stopped.changed().await;
    };
    let served = match certificates {
        Some(certificates) => {
            let (ready, incoming) = mpsc::channel(16);
            tokio::spawn(tls::accept(listener, certificates, ready, told));
            router.serve_with_incoming_shutdown(ReceiverStream::new(incoming), ends).await
        }
        None => {
            let incoming = TcpListenerStream::new(listener).map(|stream| {
                if let Ok(stream) = &stream {
                    let _ = stream.set_nodelay(true);
                }
                stream
            });
            router.serve_with_incoming_shutdown(incoming, ends).await
        }
    };
    if let Err(e) = served {
        tracing::error!("xds: {e}");
    }
}

#[cfg(test)]
mod tests;
