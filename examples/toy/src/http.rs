//! HTTP stand-ins for the store and the registry. The body of a request to the store scripts its reply:
//!
//! | body | reply |
//! | --- | --- |
//! | `busy` | 503, not run |
//! | `error` | 500 |
//! | `late` | 504 |
//! | `void` | 409, not run |
//! | `junk` | bytes that are not HTTP |
//! | `short` | a reply that is cut off in its body |
//! | `break` | none; the connection is closed |
//! | `hang` | none |
//! | anything else | 200, `stored` and the body |
//!
//! Where the body contains `more`, the reply is preceded by an interim reply and followed by bytes that do not belong to it.

use crate::Monitor;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The attempt id of `X-For-Request`, or the request line where that header is missing.
    pub subject: String,
    pub body: String,
}

type ReceivedRequests = Arc<Monitor<Vec<ReceivedRequest>>>;

/// A listening HTTP server with scripted replies.
#[derive(Clone)]
pub struct HttpStandIn {
    pub address: SocketAddr,
    /// All requests received, in order of arrival.
    pub requests: ReceivedRequests,
    /// Number of connections that ended.
    pub closed_connections: Arc<Monitor<usize>>,
}

impl HttpStandIn {
    /// Starts a store at `address`.
    pub fn start_store(address: &str) -> HttpStandIn {
        HttpStandIn::start(address, store_reply)
    }

    /// Starts a registry at `address`.
    pub fn start_registry(address: &str) -> HttpStandIn {
        HttpStandIn::serve_registry(bind(address))
    }

    /// Starts a registry on a listener whose backlog may already hold connections.
    pub fn serve_registry(listener: TcpListener) -> HttpStandIn {
        HttpStandIn::serve(listener, |_| "HTTP/1.1 204 No Content\r\n\r\n".into())
    }

    fn start(address: &str, reply: fn(&str) -> String) -> HttpStandIn {
        HttpStandIn::serve(bind(address), reply)
    }

    fn serve(listener: TcpListener, reply: fn(&str) -> String) -> HttpStandIn {
        let address = listener.local_addr().expect("a bound listener has an address");
        let stand_in = HttpStandIn { address, requests: Arc::default(), closed_connections: Arc::default() };
        let (requests, closed_connections) = (stand_in.requests.clone(), stand_in.closed_connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("TCP_NODELAY can be set");
                let (requests, closed_connections) = (requests.clone(), closed_connections.clone());
                thread::spawn(move || {
                    serve_connection(stream, &requests, reply);
                    closed_connections.update(|count| *count += 1);
                });
            }
        });
        stand_in
    }

    /// Waits for a request whose subject and body contain these texts.
    pub fn wait_for_request(&self, subject: &str, body: &str) {
        let matches =
            |request: &ReceivedRequest| request.subject.contains(subject) && request.body.contains(body);
        self.requests.wait_for(&format!("request {subject:?} with body {body:?}"), |requests| {
            requests.iter().any(matches).then_some(())
        });
    }
}

fn bind(address: &str) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|e| panic!("stand-in cannot listen on {address}: {e}"))
}

fn store_reply(body: &str) -> String {
    let (status, headers, reply_body) = match body {
        "busy" => ("503 Busy", "X-Not-Run: 1\r\n", String::new()),
        "error" => ("500 Error", "", String::new()),
        "late" => ("504 Late", "", String::new()),
        "void" => ("409 Void", "X-Not-Run: 1\r\n", String::new()),
        "junk" => return "no reply at all\r\n\r\n".into(),
        "short" => return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into(),
        "break" | "hang" => return String::new(),
        body => ("200 OK", "", format!("stored {body}")),
    };
    let length = reply_body.len();
    let reply = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{reply_body}");
    match body.contains("more") {
        true => format!("HTTP/1.1 102 Processing\r\n\r\n{reply}{reply}\0noise"),
        false => reply,
    }
}

/// Reads requests and replies to them until the peer closes, a read or write fails, or a request has the body `break`.
fn serve_connection(stream: TcpStream, requests: &ReceivedRequests, reply: fn(&str) -> String) {
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let reply = reply(&request.body);
        let closes = request.body == "break";
        requests.update(|requests| requests.push(request));
        if closes || input.get_mut().write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns the next request, or `None` if the connection ends before it is complete.
pub(crate) fn read_request(input: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let (mut subject, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or_default() == 0 {
            return None;
        }
        let line = line.trim_end();
        match line.split_once(": ") {
            Some(("Content-Length", value)) => length = value.parse().expect("Content-Length is a number"),
            Some(("X-For-Request", value)) => subject = value.to_owned(),
            Some(_) => {}
            None if line.is_empty() => break,
            None => subject = line.to_owned(),
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { subject, body: String::from_utf8_lossy(&body).into_owned() })
}
