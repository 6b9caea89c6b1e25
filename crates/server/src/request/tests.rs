use super::reply::InFlightGuard;
use super::*;
use crate::dispatcher::SubmitOutcome;
use crate::lifecycle::Server;
use crate::limits::Limits;
use crate::state::identifiers::{AttemptId, ContentDigest, IdempotencyKey};
use crate::state::mailbox::Event;
use crate::state::request_log::RequestLog;
use may::net::TcpStream;
use puffinladder::Request;
use puffinladder_toy::WAIT_TIMEOUT;
use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Instant;

const DIGEST: ContentDigest = 5;
const ATTEMPT: AttemptId = [b'1'; 16];

fn new_server() -> Server {
    let example = puffinladder_toy::harness::EXAMPLE_CONFIG.as_bytes();
    let config = puffinladder_settings::parse_server_config(example, None, None).unwrap();
    let limits = Limits::new(&config, 0);
    Server::new(config, limits, RequestLog::default())
}

/// Returns a connection with its socket and the listener behind it.
fn connect(server: &Server) -> (TcpListener, TcpStream, Arc<Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let connection = Arc::new(Connection::new(server.connections.context(), &stream));
    (listener, stream, connection)
}

fn keyed_request(key: IdempotencyKey) -> ReceivedRequest {
    ReceivedRequest {
        attempt: ATTEMPT,
        key: Some(key),
        digest: DIGEST,
        may_repeat_attempt: true,
        timestamp: 0.0,
        request: Request { class: 1, ..Request::default() },
        body: Vec::new(),
    }
}

/// Waits until `condition` holds.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "waiting for {what}");
        std::thread::yield_now();
    }
}

/// Guards against a request that is launched after its gateway has taken it back or left.
#[test]
fn request_taken_back_before_its_launch_ends_without_a_run() {
    let server = new_server();
    let (_listener, _stream, connection) = connect(&server);
    let mailbox = Arc::new(Mailbox::default());
    connection.open(7, &mailbox);
    start(&server.requests, keyed_request([b'a'; 32]), mailbox.clone(), connection.clone(), 7);
    wait_until("the request to be in flight", || server.dispatcher.record_run_notice(&ATTEMPT).is_some());
    mailbox.send_all([Event::Run, Event::Cancelled]);
    wait_until("the request to end", || server.requests.slots.in_use() == 0);
    assert!(server.dispatcher.record_run_notice(&ATTEMPT).is_none());
    assert_eq!(connection.unsent(), b"");
}

#[test]
fn panic_in_request_answers_it_and_releases_its_key() {
    let server = new_server();
    let (_listener, _stream, connection) = connect(&server);
    let (mailbox, retry_mailbox, key) =
        (Arc::new(Mailbox::default()), Arc::new(Mailbox::default()), [b'a'; 32]);
    connection.open(7, &mailbox);
    let received = keyed_request(key);
    let SubmitOutcome::Accepted(id) = server.dispatcher.submit(&received, 0.0, &mailbox, 0.0) else {
        panic!("request not accepted")
    };
    server.dispatcher.await_result(&key, 5, &retry_mailbox);
    let panicked = catch_unwind(AssertUnwindSafe(|| {
        let _reply = PendingReply::new(&server.requests, &connection, 7, &received);
        let _guard = InFlightGuard::new(&server.requests, Some(key), id);
        panic!("panic in a request");
    }));
    assert!(panicked.is_err());
    assert_eq!(connection.unsent(), b"*4\r\n$1\r\n7\r\n$3\r\n500\r\n$0\r\n\r\n$0\r\n\r\n");
    assert!(matches!(retry_mailbox.receive(), Event::Result(None)));
}
