//! Certificates of the service and of proxies. They are read anew on request, without touching streams that are open; a
//! set that can't be read changes nothing.

use super::Tls;
use std::io;
use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig};
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;

/// How long a handshake may take, and how many may be under way.
const HANDSHAKE: Duration = Duration::from_secs(5);
const HANDSHAKES: usize = 256;

/// The certificates in force.
pub struct Certificates {
    told: Tls,
    config: RwLock<Arc<ServerConfig>>,
}

fn wrong(path: &Path) -> impl Fn(&dyn std::fmt::Display) -> io::Error + '_ {
    move |e| io::Error::other(format!("{}: {e}", path.display()))
}

fn certificates(path: &Path) -> io::Result<Vec<CertificateDer<'static>>> {
    let read = CertificateDer::pem_file_iter(path).map_err(|e| wrong(path)(&e))?;
    let all: Vec<_> = read.collect::<Result<_, _>>().map_err(|e| wrong(path)(&e))?;
    if all.is_empty() {
        Err(wrong(path)(&"no certificate in it"))
    } else {
        Ok(all)
    }
}

fn load(told: &Tls) -> io::Result<ServerConfig> {
    let key = PrivateKeyDer::from_pem_file(&told.key).map_err(|e| wrong(&told.key)(&e))?;
    let chain = certificates(&told.certificate)?;
    let builder =
        ServerConfig::builder_with_provider(Arc::new(tokio_rustls::rustls::crypto::ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(io::Error::other)?;
    let builder = match &told.clients {
        None => builder.with_no_client_auth(),
        Some(path) => {
            let mut roots = RootCertStore::empty();
            for root in certificates(path)? {
                roots.add(root).map_err(|e| wrong(path)(&e))?;
            }
            let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
            let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider)
                .build()
                .map_err(|e| wrong(path)(&e))?;
            builder.with_client_cert_verifier(verifier)
        }
    };
    let mut config = builder.with_single_cert(chain, key).map_err(|e| wrong(&told.certificate)(&e))?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    Ok(config)
}

impl Certificates {
    pub fn new(told: Tls) -> io::Result<Certificates> {
        let config = RwLock::new(Arc::new(load(&told)?));
        Ok(Certificates { told, config })
    }

    /// Reads the files anew: connections from now on get what they hold. Where one can't be read the old ones stand.
    pub fn reload(&self) -> io::Result<()> {
        let new = Arc::new(load(&self.told)?);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = new;
        Ok(())
    }

    fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.read().unwrap_or_else(PoisonError::into_inner).clone())
    }

    /// Whether proxies must show a certificate that names them.
    pub fn mutual(&self) -> bool {
        self.told.clients.is_some()
    }
}

/// Whether a certificate is for this node: its id is one of the DNS names in it.
pub fn names(certificate: &CertificateDer, node: &str) -> bool {
    let (Ok(parsed), Ok(name)) = (webpki::EndEntityCert::try_from(certificate), ServerName::try_from(node))
    else {
        return false;
    };
    parsed.verify_is_valid_for_subject_name(&name).is_ok()
}

/// Accepts and shakes hands, many at once: who is slow at it holds up nobody.
pub async fn accept(
    listener: TcpListener,
    certificates: Arc<Certificates>,
    ready: mpsc::Sender<io::Result<TlsStream<TcpStream>>>,
    mut stopped: watch::Receiver<bool>,
) {
    let room = Arc::new(Semaphore::new(HANDSHAKES));
    loop {
        let Ok(seat) = room.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!("xds: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let (acceptor, ready) = (certificates.acceptor(), ready.clone());
        tokio::spawn(async move {
            let _seat = seat;
            let _ = stream.set_nodelay(true);
            match tokio::time::timeout(HANDSHAKE, acceptor.accept(stream)).await {
                Ok(Ok(stream)) => drop(ready.send(Ok(stream)).await),
                Ok(Err(e)) => tracing::warn!("xds: {from}: {e}"),
                Err(_) => tracing::warn!("xds: {from}: a handshake took too long"),
            }
        });
    }
}
