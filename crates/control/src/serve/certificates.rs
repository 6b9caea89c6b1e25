//! TLS certificates of the xDS listener. A reload affects new connections only; invalid files leave the current
//! certificates in use.

use super::TlsConfig;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::pki_types::pem::{self, PemObject};
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio_rustls::rustls::server::danger::ClientCertVerifier;
use tokio_rustls::rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use tokio_rustls::rustls::{self, RootCertStore, ServerConfig};
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;

/// Timeout of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent handshakes, which compete with streams for processor time.
const MAX_HANDSHAKES: usize = 256;
/// Delay after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Error while certificates are loaded.
#[derive(Debug, thiserror::Error)]
pub enum CertificateError {
    /// A file is unreadable or lacks the expected PEM section.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: pem::Error,
    },
    /// A file contains no certificate.
    #[error("{}: expected at least one PEM certificate, found none", path.display())]
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// A certificate or its private key is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file with the certificate.
        path: PathBuf,
        /// Cause.
        source: rustls::Error,
    },
    /// The client authorities are invalid.
    #[error("{}: {source}", path.display())]
    Authorities {
        /// The file with their certificates.
        path: PathBuf,
        /// Cause.
        source: VerifierBuilderError,
    },
    /// The TLS library supports no protocol version with its cipher suites.
    #[error("TLS protocol versions: {0}")]
    Protocol(#[source] rustls::Error),
}

impl CertificateError {
    fn invalid(path: &Path) -> impl FnOnce(rustls::Error) -> CertificateError + '_ {
        move |source| CertificateError::Invalid { path: path.into(), source }
    }

    fn read(path: &Path) -> impl FnOnce(pem::Error) -> CertificateError + '_ {
        move |source| CertificateError::Read { path: path.into(), source }
    }
}

/// Certificates in use.
pub(super) struct Certificates {
    files: TlsConfig,
    config: RwLock<Arc<ServerConfig>>,
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, CertificateError> {
    let found = CertificateDer::pem_file_iter(path).map_err(CertificateError::read(path))?;
    let certificates: Vec<_> = found.collect::<Result<_, _>>().map_err(CertificateError::read(path))?;
    if certificates.is_empty() {
        return Err(CertificateError::NoCertificate { path: path.into() });
    }
    Ok(certificates)
}

/// Returns a verifier that requires a client certificate issued by one of the authorities in a file.
fn client_verifier(path: &Path) -> Result<Arc<dyn ClientCertVerifier>, CertificateError> {
    let mut roots = RootCertStore::empty();
    for root in read_certificates(path)? {
        roots.add(root).map_err(CertificateError::invalid(path))?;
    }
    let provider = Arc::new(default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider).build();
    verifier.map_err(|source| CertificateError::Authorities { path: path.into(), source })
}

fn load(files: &TlsConfig) -> Result<ServerConfig, CertificateError> {
    let key = PrivateKeyDer::from_pem_file(&files.key).map_err(CertificateError::read(&files.key))?;
    let chain = read_certificates(&files.certificate)?;
    let builder = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(CertificateError::Protocol)?;
    let builder = match &files.client_authorities {
        None => builder.with_no_client_auth(),
        Some(path) => builder.with_client_cert_verifier(client_verifier(path)?),
    };
    let config = builder.with_single_cert(chain, key);
    let mut config = config.map_err(CertificateError::invalid(&files.certificate))?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    Ok(config)
}

impl Certificates {
    pub(super) fn new(files: TlsConfig) -> Result<Certificates, CertificateError> {
        let config = RwLock::new(Arc::new(load(&files)?));
        Ok(Certificates { files, config })
    }

    /// Reloads the files for new connections. After an error the previous certificates stay in use.
    pub(super) fn reload(&self) -> Result<(), CertificateError> {
        let config = Arc::new(load(&self.files)?);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
        Ok(())
    }

    fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.read().unwrap_or_else(PoisonError::into_inner).clone())
    }

    /// Returns whether proxies must present a certificate that names their node.
    pub(super) fn verifies_clients(&self) -> bool {
        self.files.client_authorities.is_some()
    }
}

/// Returns whether the node's id is one of the DNS names in a certificate.
pub(super) fn names_node(certificate: &CertificateDer, node: &str) -> bool {
    let (Ok(parsed), Ok(name)) = (webpki::EndEntityCert::try_from(certificate), ServerName::try_from(node))
    else {
        return false;
    };
    parsed.verify_is_valid_for_subject_name(&name).is_ok()
}

/// Queue of connections whose TLS handshake has completed.
pub(super) type ReadyConnections = mpsc::Sender<io::Result<TlsStream<TcpStream>>>;

/// Accepts connections and performs TLS handshakes concurrently, so that a slow client does not delay others.
pub(super) async fn accept(
    listener: TcpListener,
    certificates: Arc<Certificates>,
    ready: ReadyConnections,
    mut stopped: watch::Receiver<bool>,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = handshakes.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let handshake = Handshake { stream, peer, acceptor: certificates.acceptor(), permit };
                tokio::spawn(handshake.run(ready.clone()));
            }
            Err(error) => {
                tracing::warn!("xds: accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Connection in its TLS handshake.
struct Handshake {
    stream: TcpStream,
    peer: std::net::SocketAddr,
    acceptor: TlsAcceptor,
    permit: OwnedSemaphorePermit,
}

impl Handshake {
    async fn run(self, ready: ReadyConnections) {
        let Handshake { stream, peer, acceptor, permit: _permit } = self;
        let _ = stream.set_nodelay(true);
        match tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
            Ok(Ok(stream)) => drop(ready.send(Ok(stream)).await),
            Ok(Err(error)) => tracing::warn!("xds: TLS handshake with {peer} failed: {error}"),
            Err(_) => {
                tracing::warn!("xds: TLS handshake with {peer} not completed within {HANDSHAKE_TIMEOUT:?}")
            }
        }
    }
}
