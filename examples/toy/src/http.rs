//! Store and roster. The body of a call says what becomes of it: `busy`, `error`, `late`, `void`, `junk`,
//! `short` (the reply stops half way), `break` (the connection ends) or `hang` (nothing comes); any other is answered
//! with `stored` and the body, if it holds `more` with what is not its own before and behind it.

use crate::Monitor;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Every call that was read: its path or the txn it names, and its body.
type Requests = Arc<Monitor<Vec<(String, String)>>>;

#[derive(Clone)]
pub struct HttpStandIn {
    pub address: SocketAddr,
    pub requests: Requests,
    /// Connections that ended.
    pub closed_connections: Arc<Monitor<usize>>,
}

impl HttpStandIn {
    /// The store.
    pub fn start_store(address: &str) -> HttpStandIn {
        HttpStandIn::start(address, |body| {
            let (status, more, body) = match body {
                "busy" => ("503 Busy", "X-Not-Run: 1\r\n", ""),
                "error" => ("500 Error", "", ""),
                "late" => ("504 Late", "", ""),
                "void" => ("409 Void", "X-Not-Run: 1\r\n", ""),
                "junk" => return "no reply at all\r\n\r\n".into(),
                "short" => return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into(),
                "break" | "hang" => return String::new(),
                body => ("200 OK", "", body),
            };
            let body = if status == "200 OK" { format!("stored {body}") } else { body.into() };
            let reply = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len());
            match body.contains("more") {
                true => format!("HTTP/1.1 102 Processing\r\n\r\n{reply}{reply}\0noise"),
                false => reply,
            }
        })
    }

    /// The roster.
    pub fn start_registry(address: &str) -> HttpStandIn {
        HttpStandIn::serve_registry(TcpListener::bind(address).expect("an address"))
    }

    /// The roster, which begins to speak where it was only connected to so far.
    pub fn serve_registry(listener: TcpListener) -> HttpStandIn {
        HttpStandIn::serve(listener, |_| "HTTP/1.1 204 No Content\r\n\r\n".into())
    }

    fn start(address: &str, reply: fn(&str) -> String) -> HttpStandIn {
        HttpStandIn::serve(TcpListener::bind(address).expect("an address"), reply)
    }

    fn serve(listener: TcpListener, reply: fn(&str) -> String) -> HttpStandIn {
        let address = listener.local_addr().expect("an address");
        let stand_in = HttpStandIn { address, requests: Arc::default(), closed_connections: Arc::default() };
        let (requests, closed_connections) = (stand_in.requests.clone(), stand_in.closed_connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("no delay");
                let (requests, closed_connections) = (requests.clone(), closed_connections.clone());
                thread::spawn(move || {
                    serve(stream, &requests, reply);
                    closed_connections.update(|closed_connections| *closed_connections += 1);
                });
            }
        });
        stand_in
    }

    /// Waits for a call whose name and body hold these texts.
    pub fn wait_for_request(&self, name: &str, body: &str) {
        self.requests.wait_for(&format!("{name} {body}"), |requests| {
            requests.iter().any(|request| request.0.contains(name) && request.1.contains(body)).then_some(())
        });
    }
}

fn serve(stream: TcpStream, requests: &Requests, reply: fn(&str) -> String) {
    let mut input = BufReader::new(stream);
    loop {
        let (mut name, mut len) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or_default() == 0 {
                return;
            }
            let line = line.trim_end();
            match line.split_once(": ") {
                Some(("Content-Length", value)) => len = value.parse().expect("a length"),
                Some(("X-For-Request", value)) => name = value.to_owned(),
                Some(_) => {}
                None if line.is_empty() => break,
                None => name = line.to_owned(),
            }
        }
        let mut body = vec![0; len];
        if input.read_exact(&mut body).is_err() {
            return;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let reply = reply(&body);
        let breaks = body == "break";
        requests.update(|requests| requests.push((name, body)));
        if breaks || input.get_mut().write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
