use super::connection::Connection;
use super::tags::UsedTags;
use crate::lifecycle::Server;
use may::net::TcpStream;
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

#[test]
fn where_all_together_leave_too_much_unread_only_those_close_that_leave_much() {
    let (server, _listener, stream) = server();
    let context = server.connections.context();
    let [hog, other] = [(); 2].map(|()| Connection::new(context, &stream));
    for connection in [&hog, &other] {
        (1..=3).for_each(|tag| connection.open(tag, &Arc::default()));
    }
    let much = vec![0; server.limits.fair_unsent_bytes];
    hog.answer(1, "200", &[], &much);
    context.unsent.fetch_add(server.limits.max_total_unsent_bytes, Ordering::Relaxed);
    hog.answer(2, "200", &[], b"more");
    other.answer(1, "200", &[], b"little");
    assert!(hog.state().closed && !other.state().closed);
    assert!(other.unsent().ends_with(b"little\r\n"));
    // Even the fairest share ends at what one connection may leave.
    context.unsent.store(0, Ordering::Relaxed);
    other.answer(2, "200", &[], &vec![0; server.limits.max_unsent_bytes]);
    assert!(other.state().closed);
}

#[test]
fn who_came_again_and_again_may_lie_unused_for_longer_than_who_came_once() {
    let (server, _listener, stream) = server();
    let context = server.connections.context();
    let connection = Connection::new(context, &stream);
    let patience = |messages, span| {
        let mut state = connection.state();
        (state.messages, state.last_used) = (messages, state.accepted_at + span);
        state.idle_timeout(0.1, context)
    };
    assert_eq!(patience(1, 10.0), 0.1);
    assert!((patience(5, 10.0) - 8.0).abs() < 1e-6);
    assert_eq!(patience(5, 1000.0), 30.0, "and never for longer than the settings say");
    connection.state().asked_for_health = true;
    assert_eq!(patience(1, 0.0), server.limits.health_check_idle_timeout);
}

#[test]
fn tags_come_in_any_order_but_each_only_once() {
    let mut tags = UsedTags::default();
    for tag in [3, 1, 2, 9, 4] {
        assert!(tags.insert(tag, 8) && !tags.insert(tag, 8), "{tag}");
    }
    assert_eq!((tags.all_up_to, tags.above.len()), (4, 1));
    for tag in (100..10_000).rev().step_by(2) {
        assert!(tags.insert(tag, 8), "{tag}");
    }
    assert!(tags.insert(5, 8) && !tags.insert(1, 8) && tags.above.len() <= 8);
}
