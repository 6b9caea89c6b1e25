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

/// The example's server, and a connection to a listener of its own.
fn server() -> (Server, std::net::TcpListener, TcpStream) {
    let example = puffinladder_toy::harness::EXAMPLE_CONFIG.as_bytes();
    let config = puffinladder_settings::parse_server_config(example, None, None).unwrap();
    let limits = crate::limits::Limits::new(&config, 0);
    let server = Server::new(config, limits, Default::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (server, listener, stream)
}

/// A connection that is served, as the listener would have made it, and the gateway's end of it.
fn served() -> (Server, Session, TcpStream, std::net::TcpStream) {
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
fn a_request_that_crosses_the_wish_to_close_its_connection_is_taken_and_answered() {
    let (server, session, stream, mut gateway) = served();
    let connection = session.connection.clone();
    // The wish, then the request, then the first look: a request that is read and then closed on would be lost, and
    // one that must not run twice would run here and where its gateway sends it once more.
    assert!(server.connections.close_idlest());
    gateway.write_all(&request()).unwrap();
    let serving = may::go!(move || session.serve(&stream));
    while connection.state().open_requests.is_empty() && server.connections.count() > 0 {
        std::thread::yield_now();
    }
    connection.answer(7, "200", b"", b"result");
    let wanted = b"*4\r\n$1\r\n7\r\n$3\r\n200\r\n$0\r\n\r\n$6\r\nresult\r\n";
    let mut got = vec![0; wanted.len()];
    gateway.read_exact(&mut got).unwrap();
    assert_eq!(got, wanted);
    drop(gateway);
    serving.join().unwrap();
}

#[test]
fn what_comes_behind_the_end_of_a_connection_is_never_taken_and_resets_nothing() {
    let (server, session, stream, mut gateway) = served();
    assert!(server.connections.close_idlest());
    let serving = may::go!(move || session.serve(&stream));
    let mut bytes = [0; 16];
    assert_eq!(gateway.read(&mut bytes).unwrap(), 0, "its end is said first");
    for _ in 0..3 {
        gateway.write_all(&request()).unwrap();
    }
    gateway.shutdown(Shutdown::Write).unwrap();
    serving.join().unwrap();
    assert_eq!(gateway.read(&mut bytes).unwrap(), 0, "no reset");
    assert_eq!((server.requests.slots.in_use(), server.connections.count()), (0, 0));
}

#[test]
fn with_all_descriptors_held_the_connection_that_closes_longest_makes_way_and_then_an_idle_one() {
    let (server, session, ..) = served();
    let (_, other, ..) = served();
    let (connections, most) = (&server.connections, server.limits.max_gateway_descriptors);
    lock(&connections.closing).extend([session.connection.clone(), other.connection.clone()]);
    connections.descriptors.store(most - 1, Ordering::Relaxed);
    assert!(
        connections.reserve_descriptor() && connections.is_closing(&session.connection),
        "nobody ends while there is room"
    );
    connections.descriptors.store(most, Ordering::Relaxed);
    assert!(!connections.reserve_descriptor());
    assert!(!connections.is_closing(&session.connection) && connections.is_closing(&other.connection));
    assert!(!connections.reserve_descriptor() && !connections.is_closing(&other.connection));
    // Nobody is closing any more: the idle one is to. One at work is not, and the new one is rejected.
    assert!(
        !connections.reserve_descriptor() && std::mem::take(&mut session.connection.state().close_requested)
    );
    session.connection.open(1, &Arc::default());
    assert!(connections.reserve_descriptor() && !session.connection.state().close_requested);
}

#[test]
fn a_socket_counts_until_it_is_closed_whatever_ends_it() {
    let (server, session, stream, gateway) = served();
    let connections = server.connections.clone();
    let socket = Socket::new(&connections, stream);
    assert_eq!(connections.descriptors.load(Ordering::Relaxed), 1);
    drop(gateway);
    may::go!(move || run_session(&session, socket)).join().unwrap();
    assert_eq!(connections.descriptors.load(Ordering::Relaxed), 0);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = Socket::new(&connections, stream);
    let died = may::go!(move || {
        let _socket = socket;
        panic!("as a connection might");
    });
    assert!(died.join().is_err());
    assert_eq!(connections.descriptors.load(Ordering::Relaxed), 0);
}
