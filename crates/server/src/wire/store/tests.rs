use super::*;
use std::io::Read;
use std::net::TcpListener;

#[test]
fn abandoned_call_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let example = puffinladder_toy::harness::EXAMPLE_CONFIG
        .replace("127.0.0.1:7700", &listener.local_addr().unwrap().to_string());
    let config = puffinladder_settings::parse_server_config(example.as_bytes(), None, None).unwrap();
    let limits = Arc::new(crate::limits::Limits::new(&config, 0));
    let addresses = Arc::new(PeerAddresses::new(config.peers));
    let client = Arc::new(StoreClient::new(addresses, limits));
    let mailbox = Arc::new(Mailbox::default());
    // Holding the lock keeps the call from acquiring a slot until it is abandoned.
    let slots = lock(&client.slots);
    let call = client.call(*b"00000000000000aa", b"a call".to_vec(), 20.0, &mailbox);
    call.abandon();
    drop(slots);
    let mut sent = Vec::new();
    listener.accept().unwrap().0.read_to_end(&mut sent).unwrap();
    assert_eq!(String::from_utf8_lossy(&sent), "");
}
