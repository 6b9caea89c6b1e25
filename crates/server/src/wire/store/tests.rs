use super::*;
use std::io::Read;
use std::net::TcpListener;

#[test]
fn a_call_given_up_before_its_connection_stands_is_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let example = puffinladder_toy::town::EXAMPLE
        .replace("127.0.0.1:7700", &listener.local_addr().unwrap().to_string());
    let warrant = puffinladder_settings::parse_server_config(example.as_bytes(), None, None).unwrap();
    let limits = crate::limits::Limits::new(&warrant, 0);
    let house = House::new(warrant, limits, Default::default());
    let slip = Arc::new(Slip::default());
    // The call waits for this lock before it looks for a place, and is given up meanwhile.
    let places = lock(&house.store.places);
    let call = Call::begin(&house, *b"00000000000000aa", b"a call".to_vec(), 20.0, &slip);
    call.give_up();
    drop(places);
    let mut sent = Vec::new();
    listener.accept().unwrap().0.read_to_end(&mut sent).unwrap();
    assert_eq!(String::from_utf8_lossy(&sent), "");
}
