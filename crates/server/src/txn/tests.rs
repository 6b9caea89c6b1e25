use super::*;
use crate::memory::book::Book;
use may::net::TcpStream;
use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};

#[test]
fn a_panic_in_a_txn_still_answers_it_and_sets_its_key_free() {
    let warrant = puffinladder_charter::read_warrant(puffinladder_toy::town::EXAMPLE.as_bytes(), None, None);
    let warrant = warrant.unwrap();
    let limits = crate::limits::Limits::new(&warrant, 0);
    let house = House::new(warrant, limits, Book::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = Connection::new(&house, &TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    let (slip, waits, key) = (Arc::new(Slip::default()), Arc::new(Slip::default()), [b'a'; 32]);
    connection.open(7, &slip);
    let news = Request { class: 1, ..Request::default() };
    let read = Read { name: [b'1'; 16], key: Some(key), print: 5, stamp: 0.0, news, body: Vec::new() };
    let Offer::Taken(id) = house.desk.offer(&read, 0.0, &slip, 0.0) else { panic!("not taken") };
    house.desk.replay(&key, 5, &waits);
    let died = catch_unwind(AssertUnwindSafe(|| {
        let page = house.desk.book.page(&read, &house.warrant.terms);
        let _answer = Answer { house: &house, connection: &connection, tag: 7, owed: true, page };
        let _place = Place { house: &house, key: Some(key), id, left: false };
        panic!("as a txn might");
    }));
    assert!(died.is_err());
    assert_eq!(connection.unsent(), b"*4\r\n$1\r\n7\r\n$3\r\n500\r\n$0\r\n\r\n$0\r\n\r\n");
    assert!(matches!(waits.wait(), Word::Result(None)));
}
