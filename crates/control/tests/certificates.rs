//! Stories of certificates: who is let in, and how they are changed under way.

mod common;

use common::{report, routes, until, Servers};
use puffinladder_control::serve::{RunningService, TlsConfig};
use puffinladder_proxy::{Certificate, ClientTlsConfig, Identity, Proxy};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::Path;
use std::time::Duration;

/// An authority, made for the test.
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
    /// Certificate and key for a name.
    fn issue(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        (params.signed_by(&key, &self.issuer).unwrap().pem(), key.serialize_pem())
    }
    /// A proxy that trusts this authority and shows a certificate of another, or of this one.
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

/// A service by the certificates of a folder, and a server that reports to it.
async fn service(folder: &Path) -> (RunningService, Servers) {
    let tls = TlsConfig {
        certificate: folder.join("cert.pem"),
        key: folder.join("key.pem"),
        client_authorities: Some(folder.join("clients.pem")),
    };
    let running = common::service(None, Some(tls)).await;
    let servers = Servers::start(vec![running.reports], vec![report(1)]);
    (running, servers)
}

#[tokio::test(flavor = "multi_thread")]
async fn only_a_proxy_whose_certificate_names_it_is_let_in() {
    let (folder, ours, strangers) = (tempfile::tempdir().unwrap(), Authority::new(), Authority::new());
    write(folder.path(), &ours);
    std::fs::write(folder.path().join("clients.pem"), &ours.pem).unwrap();
    let (running, _servers) = service(folder.path()).await;
    let good = ours.proxy(&running, "p1.test", Some(ours.issue("p1.test")));
    let liar = ours.proxy(&running, "p1.test", Some(ours.issue("p2.test")));
    let stranger = ours.proxy(&running, "p3.test", Some(strangers.issue("p3.test")));
    let bare = ours.proxy(&running, "p4.test", None);
    until("the good one to route", || routes(&good)).await;
    // The others had as long, and a second more.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(![&liar, &stranger, &bare].into_iter().any(routes));
    until("the good one to go on", || routes(&good)).await;
    assert_eq!(running.handle.query(|core, _| core.proxy_count()).await, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn certificates_are_read_anew_streams_stay_and_a_bad_set_changes_nothing() {
    let (folder, old, new) = (tempfile::tempdir().unwrap(), Authority::new(), Authority::new());
    write(folder.path(), &old);
    std::fs::write(folder.path().join("clients.pem"), &old.pem).unwrap();
    let (running, _servers) = service(folder.path()).await;
    let first = old.proxy(&running, "p1.test", Some(old.issue("p1.test")));
    until("the first", || routes(&first)).await;
    std::fs::write(folder.path().join("key.pem"), "half a k").unwrap();
    let wrong = running.reload_certificates().unwrap_err().to_string();
    assert!(wrong.contains("key.pem"), "{wrong}");
    let second = old.proxy(&running, "p2.test", Some(old.issue("p2.test")));
    until("one by the old certificates", || routes(&second)).await;
    write(folder.path(), &new);
    std::fs::write(folder.path().join("clients.pem"), &new.pem).unwrap();
    running.reload_certificates().unwrap();
    let third = new.proxy(&running, "p3.test", Some(new.issue("p3.test")));
    until("one by the new certificates", || routes(&third)).await;
    // The stream of the first has not broken.
    until("the first two to go on", || routes(&first) && routes(&second)).await;
    let late = old.proxy(&running, "p4.test", Some(old.issue("p4.test")));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!routes(&late));
}
