//! Settings of the processes that own work for the fleet and of those that say who owns it. A server reads none of them.

use crate::settings::{address, needed, quoted};
use crate::sexpr::Block;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// A duty that instances may own: its name, how many parts, and the zone whose instances come first.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Duty {
    pub name: String,
    pub parts: usize,
    pub zone: Option<String>,
}

/// A keeper of the grants.
#[derive(Clone, Debug, PartialEq)]
pub struct Keeper {
    pub number: u64,
    pub listen: SocketAddr,
    pub folder: String,
    /// All of the first keepers, this one among them.
    pub peers: BTreeMap<u64, SocketAddr>,
    pub duties: Vec<Duty>,
    /// Times in s; drift is a share.
    pub term: f64,
    pub drift: f64,
    pub stall: f64,
    pub barred: f64,
    pub flaps: usize,
    pub flap_span: f64,
    pub flap_rest: f64,
    pub panic: f64,
    pub calm: f64,
    pub moves: usize,
    pub tick: f64,
    pub most_connections: usize,
}

/// An instance that does what the keepers grant to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Steward {
    pub name: String,
    pub zone: String,
    /// For the number of its lives, which must not be lost.
    pub folder: String,
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// Duties that it holds and does nothing for: who owns them is asked of the keepers.
    pub holds: Vec<String>,
    pub gather: Option<Gather>,
    /// Where servers report to it; needed for the two duties that follow.
    pub listen: Option<SocketAddr>,
    pub quota: Option<Quota>,
    pub turns: Option<Turns>,
}

/// The duty to part customers' quotas.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    /// As the keepers declare it.
    pub parts: usize,
    /// Servers that the equal share is reckoned for.
    pub servers: usize,
    /// s that a part of a quota holds.
    pub span: f64,
    /// Each customer's quota over the whole fleet, txns a second.
    pub customers: BTreeMap<String, f64>,
}

/// The duty to give turns to leave.
#[derive(Clone, Debug, PartialEq)]
pub struct Turns {
    pub most: usize,
    pub zone_share: f64,
    /// s
    pub span: f64,
    pub silent: f64,
}

/// The duty to gather sealed traces.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Holds a folder of traces for each server.
    pub traces: String,
    pub archive: SocketAddr,
    /// As the keepers declare it.
    pub parts: usize,
    /// s between looks for files that were sealed meanwhile, and that a step may take.
    pub every: f64,
    pub step: f64,
}

/// Where gathered traces land.
#[derive(Clone, Debug, PartialEq)]
pub struct Archive {
    pub listen: SocketAddr,
    pub folder: String,
    pub most_bytes: u64,
    pub most_connections: usize,
}

/// `"1=127.0.0.1:18201"` and its like, behind one key.
fn numbered(block: &Block, key: &'static str) -> BTreeMap<u64, SocketAddr> {
    let texts = block.texts(key);
    let mut found = BTreeMap::new();
    for text in &texts {
        let pair = text.split_once('=').and_then(|(n, at)| Some((n.parse().ok()?, at.parse().ok()?)));
        match pair {
            Some((number, at)) if number > 0 && !found.contains_key(&number) => drop(found.insert(number, at)),
            _ => block.fault(key, format!("{text:?}: should be a number and an address such as \"1=127.0.0.1:18201\", each number once")),
        }
    }
    if texts.is_empty() {
        block.fault(key, "should name keepers, such as \"1=127.0.0.1:18201\"");
    }
    found
}

fn wanted(block: &Block, key: &'static str) -> String {
    let text = block.text(key);
    if text.as_deref().is_none_or(str::is_empty) {
        block.fault(key, "should be given");
    }
    text.unwrap_or_default()
}

pub(crate) fn keeper(block: &Block) -> Keeper {
    let duty = |block: &Block| {
        let duty = Duty {
            name: wanted(block, "name"),
            parts: block.count("parts", 1, 1..=100_000),
            zone: block.text("zone"),
        };
        block.finish();
        duty
    };
    let told = Keeper {
        number: block.count("number", 0, 1..=1_000_000) as u64,
        listen: needed(block, "listen"),
        folder: wanted(block, "folder"),
        peers: numbered(block, "peers"),
        duties: block.blocks("duty").iter().map(duty).collect(),
        term: block.span("term", 2.0, 0.2..=600.0),
        drift: block.number("drift", 0.02, 0.0..=0.5),
        stall: block.span("stall", 10.0, 0.4..=86_400.0),
        barred: block.span("barred", 60.0, 0.0..=86_400.0),
        flaps: block.count("flaps", 3, 1..=1000),
        flap_span: block.span("flap-span", 60.0, 0.0..=86_400.0),
        flap_rest: block.span("flap-rest", 30.0, 0.0..=86_400.0),
        panic: block.span("panic", 5.0, 0.0..=3600.0),
        calm: block.span("calm", 2.0, 0.0..=3600.0),
        moves: block.count("moves", 64, 1..=10_000),
        tick: block.span("tick", 0.03, 0.005..=1.0),
        most_connections: block.count("most-connections", 2000, 8..=100_000),
    };
    if !block.has("number") {
        block.fault(
            "number",
            "should be given: it stands for this keeper's disk, and is never used again once that is lost",
        );
    }
    if told.stall < 2.0 * told.term {
        block.fault("stall", "should be two terms at the least");
    }
    let mut names: Vec<&str> = told.duties.iter().map(|duty| duty.name.as_str()).collect();
    names.sort_unstable();
    if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        block.fault("duty", format!("{:?} stands here twice", twice[0]));
    }
    block.finish();
    told
}

pub(crate) fn steward(block: &Block) -> Steward {
    let gather = block.block("gather").map(|gather| {
        let told = Gather {
            traces: wanted(&gather, "traces"),
            archive: needed(&gather, "archive"),
            parts: gather.count("parts", 1, 1..=100_000),
            every: gather.span("every", 1.0, 0.01..=3600.0),
            step: gather.span("step", 0.5, 0.01..=60.0),
        };
        gather.finish();
        told
    });
    let quota = block.block("quota").map(|quota| {
        let mut customers = BTreeMap::new();
        for one in quota.blocks("customer") {
            let (name, rate) = (wanted(&one, "name"), one.number("rate", 0.0, 0.001..=1e9));
            if !one.has("rate") {
                one.fault("rate", "should be given");
            }
            if customers.insert(name.clone(), rate).is_some() {
                one.fault("name", format!("{name:?} stands here twice"));
            }
            one.finish();
        }
        let told = Quota {
            parts: quota.count("parts", 1, 1..=10_000),
            servers: quota.count("servers", 1, 1..=10_000),
            span: quota.span("span", 2.0, 0.1..=600.0),
            customers,
        };
        if !quota.has("servers") {
            quota.fault("servers", "should be given");
        }
        quota.finish();
        told
    });
    let turns = block.block("turns").map(|turns| {
        let told = Turns {
            most: turns.count("most", 10, 1..=10_000),
            zone_share: turns.number("zone-share", 0.1, 0.0..=1.0),
            span: turns.span("span", 30.0, 0.1..=3600.0),
            silent: turns.span("silent", 5.0, 0.1..=600.0),
        };
        turns.finish();
        told
    });
    if (quota.is_some() || turns.is_some()) && !block.has("listen") {
        block.fault("listen", "should be given: servers report there");
    }
    let told = Steward {
        name: wanted(block, "name"),
        zone: block.text("zone").unwrap_or_else(|| "default".into()),
        folder: wanted(block, "folder"),
        holds: block.texts("holds"),
        keepers: numbered(block, "keepers"),
        gather,
        listen: address(block, "listen"),
        quota,
        turns,
    };
    block.finish();
    told
}

pub(crate) fn archive(block: &Block) -> Archive {
    let told = Archive {
        listen: needed(block, "listen"),
        folder: wanted(block, "folder"),
        most_bytes: block.bytes("most-bytes", 10 << 30, 1 << 20..=1 << 50),
        most_connections: block.count("most-connections", 500, 4..=100_000),
    };
    block.finish();
    told
}

fn pairs(all: &BTreeMap<u64, SocketAddr>) -> String {
    let texts: Vec<String> = all.iter().map(|(number, at)| format!("\"{number}={at}\"")).collect();
    texts.join(" ")
}

impl Keeper {
    pub(crate) fn show(&self, out: &mut String) {
        let _ = writeln!(
            out,
            "(keeper\n  (number {}) (listen \"{}\") (folder {})",
            self.number,
            self.listen,
            quoted(&self.folder)
        );
        let _ = writeln!(out, "  (peers {})", pairs(&self.peers));
        for duty in &self.duties {
            let zone = duty.zone.as_ref().map_or(String::new(), |zone| format!(" (zone {})", quoted(zone)));
            let _ = writeln!(out, "  (duty (name {}) (parts {}){zone})", quoted(&duty.name), duty.parts);
        }
        let _ = writeln!(
            out,
            "  (term {}s) (drift {}) (stall {}s) (barred {}s)",
            self.term, self.drift, self.stall, self.barred
        );
        let (flaps, span, rest) = (self.flaps, self.flap_span, self.flap_rest);
        let _ = writeln!(out, "  (flaps {flaps}) (flap-span {span}s) (flap-rest {rest}s)");
        let _ = writeln!(out, "  (panic {}s) (calm {}s) (moves {})", self.panic, self.calm, self.moves);
        let _ = writeln!(out, "  (tick {}s) (most-connections {}))", self.tick, self.most_connections);
    }
}

impl Steward {
    pub(crate) fn show(&self, out: &mut String) {
        let (name, zone, folder) = (quoted(&self.name), quoted(&self.zone), quoted(&self.folder));
        let keepers = pairs(&self.keepers);
        let _ = write!(out, "(steward (name {name}) (zone {zone}) (folder {folder})\n  (keepers {keepers})");
        if !self.holds.is_empty() {
            let holds: Vec<String> = self.holds.iter().map(|name| quoted(name)).collect();
            let _ = write!(out, "\n  (holds {})", holds.join(" "));
        }
        if let Some(g) = &self.gather {
            let (traces, archive) = (quoted(&g.traces), g.archive);
            let _ = write!(out, "\n  (gather (traces {traces}) (archive \"{archive}\") (parts {})", g.parts);
            let _ = write!(out, " (every {}s) (step {}s))", g.every, g.step);
        }
        if let Some(listen) = self.listen {
            let _ = write!(out, "\n  (listen \"{listen}\")");
        }
        if let Some(q) = &self.quota {
            let _ = write!(out, "\n  (quota (parts {}) (servers {}) (span {}s)", q.parts, q.servers, q.span);
            for (name, rate) in &q.customers {
                let _ = write!(out, "\n    (customer (name {}) (rate {rate}))", quoted(name));
            }
            out.push(')');
        }
        if let Some(t) = &self.turns {
            let (most, share) = (t.most, t.zone_share);
            let _ = write!(
                out,
                "\n  (turns (most {most}) (zone-share {share}) (span {}s) (silent {}s))",
                t.span, t.silent
            );
        }
        out.push_str(")\n");
    }
}

impl Archive {
    pub(crate) fn show(&self, out: &mut String) {
        let (folder, most) = (quoted(&self.folder), self.most_bytes);
        let _ = writeln!(out, "(archive (listen \"{}\") (folder {folder})", self.listen);
        let _ = writeln!(out, "  (most-bytes {most}B) (most-connections {}))", self.most_connections);
    }
}

#[cfg(test)]
mod tests {
    use crate::settings::{read_settings, show_settings};

    #[test]
    fn keepers_stewards_and_archives_read_as_they_are_shown() {
        let text = "(keeper (number 1) (listen \"127.0.0.1:0\") (folder \"k\") (peers \"1=127.0.0.1:1\" \"2=127.0.0.2:1\")
              (duty (name \"gather\") (parts 16) (zone \"a\")) (duty (name \"turns\")) (term 1s))
            (steward (name \"s1\") (folder \"s\") (holds \"x\" \"y\") (keepers \"1=127.0.0.1:1\") (gather (traces \"/t\") (archive \"127.0.0.9:1\") (parts 16))
              (listen \"127.0.0.1:5\") (quota (parts 2) (servers 9) (customer (name \"a\") (rate 50)) (customer (name \"b\") (rate 7.5)))
              (turns (most 3) (zone-share 0.25)))
            (archive (listen \"127.0.0.9:1\") (folder \"a\") (most-bytes 1GB))";
        let settings = read_settings("x", text).unwrap();
        let keeper = settings.keeper.as_ref().unwrap();
        assert!(keeper.duties.len() == 2 && keeper.peers.len() == 2 && keeper.term == 1.0);
        assert_eq!(read_settings("shown", &show_settings(&settings)).unwrap(), settings);
    }

    #[test]
    fn what_is_missing_or_stands_twice_is_named_with_its_key() {
        let wrong =
            "(keeper (listen \"127.0.0.1:0\") (peers \"one\" \"2=127.0.0.2:1\" \"2=127.0.0.3:1\") (stall 1s)
            (duty (name \"a\")) (duty (name \"a\"))) (steward (gather (parts 0)) (quota (customer (name \"a\"))))";
        let said: Vec<String> =
            read_settings("f", wrong).unwrap_err().iter().map(|f| f.key.clone()).collect();
        for key in [
            "keeper.number",
            "keeper.folder",
            "keeper.peers",
            "keeper.stall",
            "keeper.duty",
            "steward.name",
            "steward.folder",
            "steward.keepers",
        ] {
            assert!(said.iter().any(|one| one == key), "{key}: {said:?}");
        }
        for key in [
            "steward.gather.traces",
            "steward.gather.archive",
            "steward.gather.parts",
            "steward.listen",
            "steward.quota.servers",
            "steward.quota.customer.rate",
        ] {
            assert!(said.iter().any(|one| one == key), "{key}: {said:?}");
        }
    }
}
