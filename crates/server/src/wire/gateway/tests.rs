use super::*;

#[test]
fn where_all_together_leave_too_much_unread_only_those_close_that_leave_much() {
    let example = puffinladder_toy::town::EXAMPLE.as_bytes();
    let house =
        House::new(puffinladder_charter::read_warrant(example, None, None).unwrap(), Default::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let [hog, other] = [(); 2].map(|()| Outlet::new(&house, &stream));
    for outlet in [&hog, &other] {
        (1..=3).for_each(|tag| outlet.open(tag, &Arc::default()));
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
    let example = puffinladder_toy::town::EXAMPLE.as_bytes();
    let house =
        House::new(puffinladder_charter::read_warrant(example, None, None).unwrap(), Default::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let outlet = Outlet::new(&house, &stream);
    let patience = |messages, span| {
        let mut counter = outlet.lock();
        (counter.messages, counter.used) = (messages, counter.since + span);
        counter.patience(0.1, &house)
    };
    assert_eq!(patience(1, 10.0), 0.1);
    assert!((patience(5, 10.0) - 8.0).abs() < 1e-6);
    assert_eq!(patience(5, 1000.0), 30.0, "and never for longer than the settings say");
    outlet.lock().checks = true;
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
