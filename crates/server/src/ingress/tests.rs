use super::listener::{run_session, Socket};
use super::session::Session;
use crate::lifecycle::Server;
use crate::runtime::lock::lock;
use crate::wire::gateway::connection::Connection;
use may::net::TcpStream;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Creates a server with the example configuration, and a client stream connected to a new listener.
fn server() -> (Server, std::net::TcpListener, TcpStream) {
    let example = puffinladder_toy::harness::EXAMPLE_CONFIG.as_bytes();
    let config = puffinladder_settings::parse_server_config(example, None, None).unwrap();
    let limits = crate::limits::Limits::new(&config, 0);
    let server = Server::new(config, limits, Default::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (server, listener, stream)
}

/// Creates a server with a session as the listener would, its stream, and the gateway's stream.
fn served_connection() -> (Server, Session, TcpStream, std::net::TcpStream) {
    let (server, listener, stream) = server();
    let gateway = listener.accept().unwrap().0;
    gateway.set_read_timeout(Some(puffinladder_toy::WAIT_TIMEOUT)).unwrap();
    let connection = Arc::new(Connection::new(server.connections.context(), &stream));
    server.connections.insert(1, connection.clone());
    let session = Session { context: server.sessions.clone(), connection, serial: 1 };
    (server, session, stream, gateway)
}

fn request() -> Vec<u8> {
    let fields = b"i=00000000000000aa,s=1764576000123,t=acme,m=1";
    puffinladder_toy::gateway::encode_command(&[b"CALL", b"7", b"quote", fields, b"body"])
}

#[test]
fn serves_request_received_after_close_was_requested() {
    let (server, session, stream, mut gateway) = served_connection();
    let connection = session.connection.clone();
    // The close is requested before the session reads the request. Closing after the read would lose the request, or run
    // it twice when the gateway resends it.
    assert!(server.connections.evict_idle_connection());
    gateway.write_all(&request()).unwrap();
    let serving = may::go!(move || session.serve(&stream));
    while connection.state().open_requests.is_empty() && server.connections.count() > 0 {
        std::thread::yield_now();
    }
    connection.answer(7, "200", b"", b"result");
    let expected = b"*4\r\n$1\r\n7\r\n$3\r\n200\r\n$0\r\n\r\n$6\r\nresult\r\n";
    let mut got = vec![0; expected.len()];
    gateway.read_exact(&mut got).unwrap();
    assert_eq!(got, expected);
    drop(gateway);
    serving.join().unwrap();
}

#[test]
fn discards_messages_after_close_without_reset() {
    let (server, session, stream, mut gateway) = served_connection();
    assert!(server.connections.evict_idle_connection());
    let serving = may::go!(move || session.serve(&stream));
    let mut bytes = [0; 16];
    assert_eq!(gateway.read(&mut bytes).unwrap(), 0, "FIN is sent first");
    for _ in 0..3 {
        gateway.write_all(&request()).unwrap();
    }
    gateway.shutdown(Shutdown::Write).unwrap();
    serving.join().unwrap();
    assert_eq!(gateway.read(&mut bytes).unwrap(), 0, "connection was reset");
    assert_eq!((server.requests.slots.in_use(), server.connections.count()), (0, 0));
}

#[test]
fn frees_descriptor_of_oldest_closing_then_idlest_connection() {
    let (server, session, ..) = served_connection();
    let (_, other, ..) = served_connection();
    let (connections, max) = (&server.connections, server.limits.max_gateway_descriptors);
    lock(&connections.closing).extend([session.connection.clone(), other.connection.clone()]);
    connections.descriptors.store(max - 1, Ordering::Relaxed);
    assert!(
        connections.may_accept() && connections.is_closing(&session.connection),
        "no connection ends while a descriptor is free"
    );
    connections.descriptors.store(max, Ordering::Relaxed);
    assert!(!connections.may_accept());
    assert!(!connections.is_closing(&session.connection) && connections.is_closing(&other.connection));
    assert!(!connections.may_accept() && !connections.is_closing(&other.connection));
    // With no closing connection left, the idle one is asked to close. A busy one is not, and the new one is rejected.
    assert!(!connections.may_accept() && std::mem::take(&mut session.connection.state().close_requested));
    session.connection.open(1, &Arc::default());
    assert!(connections.may_accept() && !session.connection.state().close_requested);
}

#[test]
fn descriptor_is_counted_until_socket_closes() {
    let (server, session, stream, gateway) = served_connection();
    let connections = server.connections.clone();
    let socket = Socket::new(&connections, stream);
    assert_eq!(connections.descriptors.load(Ordering::Relaxed), 1);
    drop(gateway);
    may::go!(move || run_session(&session, socket)).join().unwrap();
    assert_eq!(connections.descriptors.load(Ordering::Relaxed), 0);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = Socket::new(&connections, stream);
    let result = may::go!(move || {
        let _socket = socket;
        panic!("session failed");
    });
    assert!(result.join().is_err());
    assert_eq!(connections.descriptors.load(Ordering::Relaxed), 0);
}
