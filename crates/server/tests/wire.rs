//! Byte-for-byte test of the messages that a server sends: RESP to gateways, JSON lines to the agent, HTTP to store and
//! registry. The peers are plain sockets, so that no codec of the stand-ins can hide a change.

use puffinladder_toy::gateway::{encode_command, unix_time_ms};
use puffinladder_toy::harness::{spawn_server, EXAMPLE_CONFIG};
use puffinladder_toy::WAIT_TIMEOUT;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Returns the next line on the agent's link that is not a sample poll. Polls are checked and skipped.
fn next_command(link: &mut BufReader<TcpStream>) -> String {
    loop {
        let mut line = String::new();
        link.read_line(&mut line).unwrap();
        let Some(tag) = line.strip_prefix("{\"op\":\"sample\",\"tag\":\"") else { return line };
        let tag = tag.strip_suffix("\"}\n").unwrap_or_else(|| panic!("{line}"));
        assert!(tag.parse::<u64>().is_ok(), "{line}");
    }
}

/// Reads one HTTP request with its body.
fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    loop {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        text.push(char::from(byte[0]));
        if let Some(head) = text.strip_suffix("\r\n\r\n") {
            let size = head.rsplit("Content-Length: ").next().unwrap().parse().unwrap();
            let mut body = vec![0; size];
            stream.read_exact(&mut body).unwrap();
            return text + std::str::from_utf8(&body).unwrap();
        }
    }
}

fn assert_response(gateway: &mut TcpStream, expected: &str) {
    let mut got = vec![0; expected.len()];
    gateway.read_exact(&mut got).unwrap();
    assert_eq!(String::from_utf8_lossy(&got), expected);
}

#[test]
fn wire_messages_match_protocol_byte_for_byte() {
    let (agent, store, registry) = (listener(), listener(), listener());
    let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG).unwrap();
    config["listen"] = json!("127.0.0.1:0");
    config["agent"] = json!(agent.local_addr().unwrap());
    config["store"] = json!(store.local_addr().unwrap());
    config["roster"] = json!(registry.local_addr().unwrap());
    config["settings"]["FamilyInfo"]["Signal"] = json!("silent");
    config["settings"]["Lanes"][0]["Promise"] = json!(1e300);
    config["settings"]["Lanes"][0]["GiveUp"] = json!(1e300);
    let log = Arc::default();
    let (mut child, _) = spawn_server(SERVER, &config.to_string(), &log, &Arc::default());
    let server = log.wait_for("log line with the server's address", |log: &mut Vec<String>| {
        log.iter().find_map(|line| line.split_once("listens on ")?.1.parse::<std::net::SocketAddr>().ok())
    });

    let stamp = unix_time_ms();

    // The agent's link: the subscription, then the mark that ends the replay of old notices.
    let link = agent.accept().unwrap().0;
    link.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut agent_input = link.try_clone().unwrap();
    let mut link = BufReader::new(link);
    assert_eq!(next_command(&mut link), "{\"op\":\"subscribe\",\"seq\":0}\n");
    agent_input.write_all(b"{\"op\":\"greeting\",\"end\":\"up\"}\n").unwrap();
    let mut mark = String::new();
    link.read_line(&mut mark).unwrap();
    assert_eq!(mark, "{\"op\":\"sample\",\"tag\":\"mark\"}\n");
    agent_input.write_all(b"{\"op\":\"sampled\",\"tag\":\"mark\",\"values\":[]}\n").unwrap();

    // The report to the registry.
    let mut report = registry.accept().unwrap().0;
    let expected =
        "PUT /roster/toy-1 HTTP/1.1\r\nHost: roster\r\nContent-Length: 13\r\n\r\n{\"duty\":\"on\"}";
    assert_eq!(read_request(&mut report), expected);
    report.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();

    // A health check, an invalid request, a run with a store call that is answered.
    let mut gateway = TcpStream::connect(server).unwrap();
    gateway.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    gateway.write_all(&encode_command(&[b"CHECK", b"1", b""])).unwrap();
    assert_response(&mut gateway, "*3\r\n$1\r\n1\r\n$7\r\nserving\r\n$0\r\n\r\n");
    gateway.write_all(&encode_command(&[b"CALL", b"2", b"nothing", b"", b""])).unwrap();
    assert_response(&mut gateway, "*4\r\n$1\r\n2\r\n$3\r\n500\r\n$0\r\n\r\n$0\r\n\r\n");
    let fields = format!("i=00000000000000aa,s={stamp},t=acme,m=1");
    gateway.write_all(&encode_command(&[b"CALL", b"3", b"quote", fields.as_bytes(), b"body"])).unwrap();
    let expected =
        "{\"op\":\"launch\",\"id\":\"00000000000000aa\",\"class\":\"quote\",\"body\":\"Ym9keQ==\"}\n";
    assert_eq!(next_command(&mut link), expected);
    agent_input
        .write_all(b"{\"op\":\"request\",\"seq\":1,\"id\":\"00000000000000aa\",\"body\":\"YXNr\"}\n")
        .unwrap();
    let mut call = store.accept().unwrap().0;
    let text = read_request(&mut call);
    let (before, after) = text.split_once("X-Wait-Ms: ").unwrap();
    assert_eq!(before, "POST /query HTTP/1.1\r\nHost: store\r\nX-For-Request: 00000000000000aa\r\n");
    let (wait, rest) = after.split_once("\r\n").unwrap();
    assert!(!wait.is_empty() && wait.bytes().all(|b| b.is_ascii_digit()), "{wait}");
    assert_eq!(rest, "Content-Length: 3\r\n\r\nask");
    call.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply").unwrap();
    assert_eq!(
        next_command(&mut link),
        "{\"op\":\"deliver\",\"id\":\"00000000000000aa\",\"body\":\"cmVwbHk=\"}\n"
    );

    // The next store call fails and is skipped; then the run ends.
    agent_input
        .write_all(b"{\"op\":\"request\",\"seq\":2,\"id\":\"00000000000000aa\",\"body\":\"\"}\n")
        .unwrap();
    let mut call = store.accept().unwrap().0;
    read_request(&mut call);
    call.write_all(b"HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(next_command(&mut link), "{\"op\":\"forgo\",\"id\":\"00000000000000aa\",\"seq\":2}\n");
    let end = b"{\"op\":\"outcome\",\"seq\":3,\"id\":\"00000000000000aa\",\"end\":\"fine\",\"ms\":1,\"body\":\"ZW5k\"}\n";
    agent_input.write_all(end).unwrap();
    assert_response(&mut gateway, "*4\r\n$1\r\n3\r\n$3\r\n200\r\n$0\r\n\r\n$3\r\nend\r\n");

    // A cancelled run is stopped.
    let fields = format!("i=00000000000000bb,s={stamp},t=acme,m=1");
    gateway.write_all(&encode_command(&[b"CALL", b"4", b"quote", fields.as_bytes(), b""])).unwrap();
    let expected = "{\"op\":\"launch\",\"id\":\"00000000000000bb\",\"class\":\"quote\",\"body\":\"\"}\n";
    assert_eq!(next_command(&mut link), expected);
    gateway.write_all(&encode_command(&[b"CANCEL", b"4"])).unwrap();
    assert_eq!(next_command(&mut link), "{\"op\":\"freeze\",\"id\":\"00000000000000bb\"}\n");

    // SIGTERM: goaway, then the end of the connection and of the process.
    let killed = std::process::Command::new("kill").arg(child.id().to_string()).status().unwrap();
    assert!(killed.success());
    assert_response(&mut gateway, "*2\r\n$1\r\n0\r\n$6\r\ngoaway\r\n");
    assert_eq!(gateway.read(&mut [0]).unwrap(), 0);
    assert!(child.wait().unwrap().success());
}
