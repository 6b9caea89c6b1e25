use super::*;
use std::io::Write;

/// The example's house, and a connection to a listener of its own.
fn house() -> (Arc<House>, std::net::TcpListener, TcpStream) {
    let example = puffinladder_toy::town::EXAMPLE.as_bytes();
    let warrant = puffinladder_settings::parse_server_config(example, None, None).unwrap();
    let limits = crate::limits::Limits::new(&warrant, 0);
    let house = House::new(warrant, limits, Default::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (house, listener, stream)
}

#[test]
fn where_all_together_leave_too_much_unread_only_those_close_that_leave_much() {
    let (house, _listener, stream) = house();
    let [hog, other] = [(); 2].map(|()| Connection::new(&house, &stream));
    for connection in [&hog, &other] {
        (1..=3).for_each(|tag| connection.open(tag, &Arc::default()));
    }
    let much = vec![0; house.limits.unsent_fair];
    hog.answer(&house, 1, "200", &[], &much);
    house.gateways.unsent.fetch_add(house.limits.unsent_all, Ordering::Relaxed);
    hog.answer(&house, 2, "200", &[], b"more");
    other.answer(&house, 1, "200", &[], b"little");
    assert!(hog.lock().closed && !other.lock().closed);
    assert!(other.unsent().ends_with(b"little\r\n"));
    // Even the fairest share ends at what one connection may leave.
    house.gateways.unsent.store(0, Ordering::Relaxed);
    other.answer(&house, 2, "200", &[], &vec![0; house.limits.unsent]);
    assert!(other.lock().closed);
}

#[test]
fn who_came_again_and_again_may_lie_unused_for_longer_than_who_came_once() {
    let (house, _listener, stream) = house();
    let connection = Connection::new(&house, &stream);
    let patience = |messages, span| {
        let mut state = connection.lock();
        (state.messages, state.used) = (messages, state.since + span);
        state.patience(0.1, &house)
    };
    assert_eq!(patience(1, 10.0), 0.1);
    assert!((patience(5, 10.0) - 8.0).abs() < 1e-6);
    assert_eq!(patience(5, 1000.0), 30.0, "and never for longer than the settings say");
    connection.lock().checks = true;
    assert_eq!(patience(1, 0.0), house.limits.checks_idle);
}

#[test]
fn tags_come_in_any_order_but_each_only_once() {
    let mut tags = Tags::default();
    for tag in [3, 1, 2, 9, 4] {
        assert!(tags.take(tag, 8) && !tags.take(tag, 8), "{tag}");
    }
    assert_eq!((tags.all_to, tags.above.len()), (4, 1));
    for tag in (100..10_000).rev().step_by(2) {
        assert!(tags.take(tag, 8), "{tag}");
    }
    assert!(tags.take(5, 8) && !tags.take(1, 8) && tags.above.len() <= 8);
}

/// A connection with a seat, as the listener would have made it, and the gateway's end of it.
fn seated() -> (Arc<House>, Seat, TcpStream, std::net::TcpStream) {
    let (house, listener, stream) = house();
    let gateway = listener.accept().unwrap().0;
    gateway.set_read_timeout(Some(puffinladder_toy::PATIENCE)).unwrap();
    let connection = Arc::new(Connection::new(&house, &stream));
    house.gateways.lock().insert(1, connection.clone());
    let seat = Seat { house: house.clone(), connection, serial: 1 };
    (house, seat, stream, gateway)
}

fn request() -> Vec<u8> {
    let fields = b"i=00000000000000aa,s=1764576000123,t=acme,m=1";
    puffinladder_toy::gateway::message(&[b"CALL", b"7", b"quote", fields, b"body"])
}

#[test]
fn a_request_that_crosses_the_wish_to_close_its_connection_is_taken_and_answered() {
    let (house, seat, stream, mut gateway) = seated();
    let connection = seat.connection.clone();
    // The wish, then the request, then the first look: a request that is read and then closed on would be lost, and
    // one that must not run twice would run here and where its gateway sends it once more.
    assert!(house.gateways.make_room());
    gateway.write_all(&request()).unwrap();
    let serving = may::go!(move || serve(&seat, &stream));
    while connection.lock().open.is_empty() && house.gateways.count() > 0 {
        std::thread::yield_now();
    }
    connection.answer(&house, 7, "200", b"", b"result");
    let wanted = b"*4\r\n$1\r\n7\r\n$3\r\n200\r\n$0\r\n\r\n$6\r\nresult\r\n";
    let mut got = vec![0; wanted.len()];
    gateway.read_exact(&mut got).unwrap();
    assert_eq!(got, wanted);
    drop(gateway);
    serving.join().unwrap();
}

#[test]
fn what_comes_behind_the_end_of_a_connection_is_never_taken_and_resets_nothing() {
    let (house, seat, stream, mut gateway) = seated();
    assert!(house.gateways.make_room());
    let serving = may::go!(move || serve(&seat, &stream));
    let mut bytes = [0; 16];
    assert_eq!(gateway.read(&mut bytes).unwrap(), 0, "its end is said first");
    for _ in 0..3 {
        gateway.write_all(&request()).unwrap();
    }
    gateway.shutdown(Shutdown::Write).unwrap();
    serving.join().unwrap();
    assert_eq!(gateway.read(&mut bytes).unwrap(), 0, "no reset");
    assert_eq!((house.living.count(), house.gateways.count()), (0, 0));
}

#[test]
fn with_all_descriptors_held_the_connection_that_parts_longest_makes_way_and_then_an_idle_one() {
    let (house, seat, ..) = seated();
    let (_, other, ..) = seated();
    let (gateways, most) = (&house.gateways, house.limits.connections);
    lock(&gateways.parting).extend([seat.connection.clone(), other.connection.clone()]);
    gateways.held.store(most - 1, Ordering::Relaxed);
    assert!(gateways.free(most) && gateways.parting(&seat.connection), "nobody ends while there is room");
    gateways.held.store(most, Ordering::Relaxed);
    assert!(!gateways.free(most));
    assert!(!gateways.parting(&seat.connection) && gateways.parting(&other.connection));
    assert!(!gateways.free(most) && !gateways.parting(&other.connection));
    // Nobody parts any more: the idle one is to. One at work is not, and the new one is turned away.
    assert!(!gateways.free(most) && std::mem::take(&mut seat.connection.lock().parting));
    seat.connection.open(1, &Arc::default());
    assert!(gateways.free(most) && !seat.connection.lock().parting);
}

#[test]
fn a_socket_counts_until_it_is_closed_whatever_ends_it() {
    let (house, seat, stream, gateway) = seated();
    let socket = Socket::new(&house, stream);
    assert_eq!(house.gateways.held.load(Ordering::Relaxed), 1);
    drop(gateway);
    may::go!(move || attend(&seat, socket)).join().unwrap();
    assert_eq!(house.gateways.held.load(Ordering::Relaxed), 0);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = Socket::new(&house, stream);
    let died = may::go!(move || {
        let _socket = socket;
        panic!("as a connection might");
    });
    assert!(died.join().is_err());
    assert_eq!(house.gateways.held.load(Ordering::Relaxed), 0);
}
