use super::reply::InFlightGuard;
use super::*;
use crate::dispatcher::SubmitOutcome;
use crate::lifecycle::Server;
use crate::limits::Limits;
use crate::state::mailbox::Event;
use crate::state::request_log::RequestLog;
use may::net::TcpStream;
use puffinladder::Request;
use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};

#[test]
fn panic_in_request_answers_it_and_releases_its_key() {
    let config = puffinladder_settings::parse_server_config(
        puffinladder_toy::harness::EXAMPLE_CONFIG.as_bytes(),
        None,
        None,
    );
    let config = config.unwrap();
    let limits = Limits::new(&config, 0);
    let server = Server::new(config, limits, RequestLog::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let connection = Connection::new(server.connections.context(), &stream);
    let (mailbox, retry_mailbox, key) =
        (Arc::new(Mailbox::default()), Arc::new(Mailbox::default()), [b'a'; 32]);
    connection.open(7, &mailbox);
    let request = Request { class: 1, ..Request::default() };
    let received = ReceivedRequest {
        attempt: [b'1'; 16],
        key: Some(key),
        digest: 5,
        timestamp: 0.0,
        request,
        body: Vec::new(),
    };
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
