//! TLS on the xDS listener: client authentication and certificate reload.

mod common;

use common::{can_route, report, wait_until, Servers};
use puffinladder_control::serve::{RunningService, TlsConfig};
use puffinladder_proxy::{Certificate, ClientTlsConfig, Identity, Proxy};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::Path;
use std::time::Duration;

/// Certificate authority of a test.
struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Authority {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Authority { pem, issuer: Issuer::new(params, key) }
    }
    /// Issues a certificate for a name; returns it with its key.
    fn issue(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        (params.signed_by(&key, &self.issuer).unwrap().pem(), key.serialize_pem())
    }
    /// Starts a proxy that trusts this authority and presents a certificate, if any.
    fn proxy(&self, running: &RunningService, node: &str, shown: Option<(String, String)>) -> Proxy {
        let mut tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(&self.pem))
            .domain_name("control.test");
        if let Some((certificate, key)) = shown {
            tls = tls.identity(Identity::from_pem(certificate, key));
        }
        Proxy::start_with_tls(vec![running.xds], node, "a", true, Some(tls))
    }
}

fn write(folder: &Path, authority: &Authority) {
    let (certificate, key) = authority.issue("control.test");
    std::fs::write(folder.join("cert.pem"), certificate).unwrap();
    std::fs::write(folder.join("key.pem"), key).unwrap();
}

/// Starts a service with the certificates of a folder, and a server that reports to it.
async fn start_tls_service(folder: &Path) -> (RunningService, Servers) {
    let tls = TlsConfig {
        certificate: folder.join("cert.pem"),
        key: folder.join("key.pem"),
        client_authorities: Some(folder.join("clients.pem")),
    };
    let running = common::start_service(None, Some(tls)).await;
    let servers = Servers::start(vec![running.reports], vec![report(1)]);
    (running, servers)
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_only_proxies_whose_certificate_names_their_node() {
    let (folder, authority, other_authority) =
        (tempfile::tempdir().unwrap(), Authority::new(), Authority::new());
    write(folder.path(), &authority);
    std::fs::write(folder.path().join("clients.pem"), &authority.pem).unwrap();
    let (running, _servers) = start_tls_service(folder.path()).await;
    let accepted = authority.proxy(&running, "p1.test", Some(authority.issue("p1.test")));
    let wrong_name = authority.proxy(&running, "p1.test", Some(authority.issue("p2.test")));
    let untrusted = authority.proxy(&running, "p3.test", Some(other_authority.issue("p3.test")));
    let without_certificate = authority.proxy(&running, "p4.test", None);
    wait_until("the accepted proxy to route", || can_route(&accepted)).await;
    // The other proxies had as much time, and another second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(![&wrong_name, &untrusted, &without_certificate].into_iter().any(can_route));
    wait_until("the accepted proxy to go on", || can_route(&accepted)).await;
    assert_eq!(running.handle.query(|service, _| service.proxy_count()).await, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn reload_keeps_streams_and_rejects_invalid_certificates() {
    let (folder, old, new) = (tempfile::tempdir().unwrap(), Authority::new(), Authority::new());
    write(folder.path(), &old);
    std::fs::write(folder.path().join("clients.pem"), &old.pem).unwrap();
    let (running, _servers) = start_tls_service(folder.path()).await;
    let first = old.proxy(&running, "p1.test", Some(old.issue("p1.test")));
    wait_until("the first proxy to route", || can_route(&first)).await;
    std::fs::write(folder.path().join("key.pem"), "half a k").unwrap();
    let error = running.reload_certificates().unwrap_err().to_string();
    assert!(error.contains("key.pem"), "{error}");
    let second = old.proxy(&running, "p2.test", Some(old.issue("p2.test")));
    wait_until("a proxy with a certificate of the old authority", || can_route(&second)).await;
    write(folder.path(), &new);
    std::fs::write(folder.path().join("clients.pem"), &new.pem).unwrap();
    running.reload_certificates().unwrap();
    let third = new.proxy(&running, "p3.test", Some(new.issue("p3.test")));
    wait_until("a proxy with a certificate of the new authority", || can_route(&third)).await;
    // The first proxy's stream is still open.
    wait_until("the first two proxies to route", || can_route(&first) && can_route(&second)).await;
    let late = old.proxy(&running, "p4.test", Some(old.issue("p4.test")));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!can_route(&late));
}
