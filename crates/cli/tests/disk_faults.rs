//! Services of the fleet whose disk fails for a while.

use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::ReplicaStatus;
use puffinladder_leases::Task;
use puffinladder_toy::shim::{Shim, SystemFaults};
use puffinladder_toy::WAIT_TIMEOUT;
use puffinladder_trace_store::protocol::{BlockId, FileId, PutOutcome, Request, Response};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

const PROGRAM: &str = env!("CARGO_BIN_EXE_puffinladder");
const ENOSPC: u32 = 28;
const EIO: u32 = 5;
const EPOCH: u64 = 1;
const FILE_NAME: &str = "n1-1.trace";

/// A service on an ephemeral port, with the library for faults.
struct Service {
    process: Child,
    address: SocketAddr,
}

impl Service {
    /// Starts the service. `log_text` precedes its address in the log.
    fn start(shim: &Shim, arguments: &[&str], log_text: &str) -> Service {
        let mut process = spawn(shim, arguments);
        let log = BufReader::new(process.stderr.take().expect("standard error is piped"));
        let mut lines = log.lines().map_while(Result::ok).inspect(|line| println!("service: {line}"));
        let address = lines
            .find_map(|line| line.split_once(log_text)?.1.split(',').next()?.parse().ok())
            .expect("the service logs its address");
        std::thread::spawn(move || lines.for_each(drop));
        Service { process, address }
    }

    fn wait_for_exit(&mut self) -> ExitStatus {
        self.process.wait().expect("the process can be waited for")
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn spawn(shim: &Shim, arguments: &[&str]) -> Child {
    let program: Vec<&str> = [PROGRAM].iter().chain(arguments).copied().collect();
    let command_line = shim.command_line(&program);
    Command::new(&command_line[0])
        .args(&command_line[1..])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program can be started")
}

fn compile_shim() -> Shim {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../server/tests/shim/system_faults.c");
    Shim::compile(&source, Path::new(env!("CARGO_TARGET_TMPDIR")))
}

fn fail_disk(shim: &Shim, disk_error: u32) {
    shim.set(SystemFaults { disk_error, ..SystemFaults::default() });
}

fn write_settings(folder: &Path, text: &str) -> String {
    let settings = folder.join("settings.scm");
    std::fs::write(&settings, text).expect("the settings can be written");
    settings.to_str().expect("the path is UTF-8").to_owned()
}

struct TraceStore(Service);

impl TraceStore {
    fn start(shim: &Shim, settings: &str) -> TraceStore {
        let arguments = ["trace-store", "--settings", settings];
        TraceStore(Service::start(shim, &arguments, "trace store listens on "))
    }

    /// Sends a request on a new connection. Returns `None` if the store closes it without a response.
    fn request(&self, request: &Request) -> Option<Response> {
        let mut stream = TcpStream::connect(self.0.address).expect("the trace store accepts connections");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout can be set");
        let mut line = serde_json::to_vec(request).expect("a request can be encoded");
        line.push(b'\n');
        stream.write_all(&line).expect("the request can be sent");
        let mut response = String::new();
        let size = BufReader::new(stream).read_line(&mut response).expect("the store responds or closes");
        (size > 0).then(|| serde_json::from_str(&response).expect("a response is JSON"))
    }

    /// Announces the worker's epoch. Returns the number of the last effect and of the file's blocks.
    fn announce(&self) -> (u64, u64) {
        match self.request(&Request::Announce { task: task(), epoch: EPOCH, parts: 1 }) {
            Some(Response::Announced { number, progress, .. }) => {
                (number, progress.iter().map(|(_, progress)| progress.blocks).sum())
            }
            other => panic!("unexpected response {other:?}"),
        }
    }

    fn put(&self, position: u64) -> Option<Response> {
        let file = FileId { server: "n1".into(), name: FILE_NAME.into() };
        let id = BlockId { file, position, last: false };
        let number = position + 1;
        self.request(&Request::Put { task: task(), epoch: EPOCH, number, id, block: String::new() })
    }
}

fn task() -> Task {
    Task::new("gather", 0)
}

/// Guards against a trace store that confirms a block which its failing disk has not stored, or loses one that it has
/// confirmed.
#[test]
fn trace_store_keeps_what_it_confirmed_across_disk_errors() {
    let shim = compile_shim();
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let text =
        format!("(archive (listen \"127.0.0.1:0\") (folder \"{}\"))", folder.path().join("store").display());
    let settings = write_settings(folder.path(), &text);
    let mut confirmed = 0;
    for disk_error in [ENOSPC, EIO] {
        let mut store = TraceStore::start(&shim, &settings);
        let (number, blocks) = store.announce();
        assert_eq!(number, blocks, "progress and fence were stored together");
        assert!(blocks >= confirmed, "{blocks} blocks, {confirmed} confirmed");
        assert_eq!(store.put(blocks), Some(Response::Put(PutOutcome::Fence(Verdict::New))));
        confirmed = blocks + 1;
        fail_disk(&shim, disk_error);
        assert_eq!(store.put(confirmed), None, "error {disk_error}: the block is not confirmed");
        assert!(!store.0.wait_for_exit().success(), "error {disk_error}: the process reports its failure");
        shim.set(SystemFaults::default());
    }
    let (_, blocks) = TraceStore::start(&shim, &settings).announce();
    assert!(blocks >= confirmed, "{blocks} blocks, {confirmed} confirmed");
}

fn start_replica(shim: &Shim, arguments: &[&str]) -> Service {
    Service::start(shim, arguments, "lease-store replica 1 listens on ")
}

/// Adds a replica that is not reachable. Returns whether the leader confirmed it.
fn add_replica(leader: SocketAddr, number: u64) -> bool {
    let (number, leader) = (number.to_string(), leader.to_string());
    let arguments = ["lease-store", "add", &number, "127.0.0.1:1", "--at", &leader];
    Command::new(PROGRAM).args(arguments).status().expect("the program can be started").success()
}

fn replica_status(address: SocketAddr) -> ReplicaStatus {
    let address = address.to_string();
    let arguments = ["lease-store", "status", "--json", "--at", &address];
    let output = Command::new(PROGRAM).args(arguments).output().expect("the program can be started");
    serde_json::from_slice(&output.stdout).expect("the status is JSON")
}

/// Waits until the replica leads, and so has applied all entries of its log. A replica that has just started may not have
/// stored which of its last entries are committed, and applies these only then.
fn status_as_leader(address: SocketAddr) -> ReplicaStatus {
    let started_at = Instant::now();
    loop {
        let status = replica_status(address);
        println!(
            "applied {}, {} entries behind the snapshot, leads: {}, learners {:?}",
            status.applied, status.log_entries, status.is_leader, status.learners
        );
        if status.is_leader {
            return status;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the replica does not lead");
    }
}

/// Guards against a replica that confirms a change which its failing disk has not stored, loses one that it has
/// confirmed, or leaves half a file when it can't create it.
#[test]
fn replica_keeps_what_it_confirmed_across_disk_errors() {
    let shim = compile_shim();
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let text = format!(
        "(keeper (number 1) (listen \"127.0.0.1:0\") (folder \"{}\") (peers \"1=127.0.0.1:1\") (duty (name \"gather\")))",
        folder.path().join("replica").display()
    );
    let settings = write_settings(folder.path(), &text);
    let open = ["lease-store", "--settings", &settings];
    let bootstrap = ["lease-store", "--settings", &settings, "--found"];
    fail_disk(&shim, ENOSPC);
    let failed = spawn(&shim, &bootstrap).wait_with_output().expect("the process can be waited for");
    assert!(!failed.status.success(), "a replica starts without its file");
    shim.set(SystemFaults::default());
    let mut replica = start_replica(&shim, &bootstrap);
    for (number, disk_error) in [(2, ENOSPC), (4, EIO)] {
        assert!(add_replica(replica.address, number), "replica {number} is added");
        fail_disk(&shim, disk_error);
        assert!(!add_replica(replica.address, number + 1), "error {disk_error}: the change is not confirmed");
        assert!(!replica.wait_for_exit().success(), "error {disk_error}: the process reports its failure");
        shim.set(SystemFaults::default());
        replica = start_replica(&shim, &open);
        let learners = status_as_leader(replica.address).learners;
        assert!(learners.contains(&number), "replica {number} is kept, among {learners:?}");
    }
}
