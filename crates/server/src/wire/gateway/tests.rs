use super::connection::Connection;
use super::tags::UsedTags;
use crate::lifecycle::Server;
use may::net::TcpStream;
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

#[test]
fn closes_only_connections_over_fair_share_when_total_is_exceeded() {
    let (server, _listener, stream) = server();
    let context = server.connections.context();
    let [heavy, other] = [(); 2].map(|()| Connection::new(context, &stream));
    for connection in [&heavy, &other] {
        (1..=3).for_each(|tag| connection.open(tag, &Arc::default()));
    }
    let fair_share = vec![0; server.limits.fair_unsent_bytes];
    heavy.answer(1, "200", &[], &fair_share);
    context.total_unsent.fetch_add(server.limits.max_total_unsent_bytes, Ordering::Relaxed);
    heavy.answer(2, "200", &[], b"more");
    other.answer(1, "200", &[], b"little");
    assert!(heavy.state().closed && !other.state().closed);
    assert!(other.unsent().ends_with(b"little\r\n"));
    // The limit per connection applies even if the total is low.
    context.total_unsent.store(0, Ordering::Relaxed);
    other.answer(2, "200", &[], &vec![0; server.limits.max_unsent_bytes]);
    assert!(other.state().closed);
}

#[test]
fn recurring_connection_has_longer_idle_timeout() {
    let (server, _listener, stream) = server();
    let context = server.connections.context();
    let connection = Connection::new(context, &stream);
    let idle_timeout_after = |messages, span| {
        let mut state = connection.state();
        (state.messages, state.last_used) = (messages, state.accepted_at + span);
        state.idle_timeout(0.1, context)
    };
    assert_eq!(idle_timeout_after(1, 10.0), 0.1);
    assert!((idle_timeout_after(5, 10.0) - 8.0).abs() < 1e-6);
    assert_eq!(idle_timeout_after(5, 1000.0), 30.0, "bounded by the idle timeout of the settings");
    connection.state().is_health_check = true;
    assert_eq!(idle_timeout_after(1, 0.0), server.limits.health_check_idle_timeout);
}

#[test]
fn accepts_tags_in_any_order_once_each() {
    let mut tags = UsedTags::default();
    for tag in [3, 1, 2, 9, 4] {
        assert!(tags.insert(tag, 8) && !tags.insert(tag, 8), "{tag}");
    }
    assert_eq!((tags.highest_contiguous, tags.out_of_order.len()), (4, 1));
    for tag in (100..10_000).rev().step_by(2) {
        assert!(tags.insert(tag, 8), "{tag}");
    }
    assert!(tags.insert(5, 8) && !tags.insert(1, 8) && tags.out_of_order.len() <= 8);
}
