//! Store and roster. The body of a call says what becomes of it: `busy`, `error`, `late`, `void`, `junk`,
//! `short` (the reply stops half way), `break` (the connection ends) or `hang` (nothing comes); any other is answered
//! with `stored` and the body, if it holds `more` with what is not its own before and behind it.

use crate::Watched;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Every call that was read: its path or the txn it names, and its body.
type Calls = Arc<Watched<Vec<(String, String)>>>;

#[derive(Clone)]
pub struct Place {
    pub address: SocketAddr,
    pub calls: Calls,
    /// Connections that ended.
    pub ended: Arc<Watched<usize>>,
}

impl Place {
    /// The store.
    pub fn store(address: &str) -> Place {
        Place::open(address, |body| {
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
    pub fn roster(address: &str) -> Place {
        Place::roster_at(TcpListener::bind(address).expect("an address"))
    }

    /// The roster, which begins to speak where it was only connected to so far.
    pub fn roster_at(listener: TcpListener) -> Place {
        Place::serve(listener, |_| "HTTP/1.1 204 No Content\r\n\r\n".into())
    }

    fn open(address: &str, reply: fn(&str) -> String) -> Place {
        Place::serve(TcpListener::bind(address).expect("an address"), reply)
    }

    fn serve(listener: TcpListener, reply: fn(&str) -> String) -> Place {
        let address = listener.local_addr().expect("an address");
        let place = Place { address, calls: Arc::default(), ended: Arc::default() };
        let (calls, ended) = (place.calls.clone(), place.ended.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("no delay");
                let (calls, ended) = (calls.clone(), ended.clone());
                thread::spawn(move || {
                    serve(stream, &calls, reply);
                    ended.change(|ended| *ended += 1);
                });
            }
        });
        place
    }

    /// Waits for a call whose name and body hold these texts.
    pub fn hears(&self, name: &str, body: &str) {
        self.calls.wait(&format!("{name} {body}"), |calls| {
            calls.iter().any(|call| call.0.contains(name) && call.1.contains(body)).then_some(())
        });
    }
}

fn serve(stream: TcpStream, calls: &Calls, reply: fn(&str) -> String) {
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
        calls.change(|calls| calls.push((name, body)));
        if breaks || input.get_mut().write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
