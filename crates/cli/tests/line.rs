//! Commands run as processes: trace commands, usage errors, and old command names.

use parquet::file::reader::{FileReader, SerializedFileReader};
use std::io::{Read, Write};
use std::path::Path;
use std::process::{Command, Output, Stdio};

fn run(folder: &Path, line: &str) -> Output {
    let words = line.split(' ').filter(|word| !word.is_empty());
    Command::new(env!("CARGO_BIN_EXE_puffinladder")).args(words).current_dir(folder).output().unwrap()
}

/// Runs a command that must succeed, and returns its standard output.
fn succeeds(folder: &Path, line: &str) -> String {
    let out = run(folder, line);
    assert!(out.status.success(), "{line}: {}", String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stdout).unwrap()
}

/// Runs a command that must exit with this status, and returns its standard error.
fn fails(folder: &Path, line: &str, status: i32) -> String {
    let out = run(folder, line);
    assert_eq!(out.status.code(), Some(status), "{line}: {}", String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stderr).unwrap()
}

/// Returns a folder with a synthetic trace `a.trace`.
fn trace_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    succeeds(folder.path(), "trace synth --span 2m --rate 30 --seed 3 --rush 0.5 -o a.trace");
    folder
}

#[test]
fn trace_commands_agree_on_one_trace() {
    let folder = trace_folder();
    let at = folder.path();
    let info: serde_json::Value = serde_json::from_str(&succeeds(at, "trace info a.trace --json")).unwrap();
    let total = info["txns"].as_u64().unwrap();
    assert!(total > 3000 && info["sealed"] == true && info["version"] == "2.0", "{info}");
    let count = |line: &str| succeeds(at, line).lines().count() as u64;
    assert_eq!(count("trace cat a.trace"), total);
    assert_eq!(count("trace cat a.trace --json"), total);
    let declined: u64 = succeeds(at, "trace grep declined a.trace --count").trim().parse().unwrap();
    assert!(declined > 10);
    assert_eq!(count("trace grep declined a.trace"), declined);
    succeeds(at, "trace cut --from 1m a.trace -o late.trace");
    succeeds(at, "trace cut --to 1m a.trace -o early.trace");
    assert_eq!(count("trace cat late.trace") + count("trace cat early.trace"), total);
    succeeds(at, "trace merge late.trace early.trace a.trace -o again.trace");
    assert_eq!(succeeds(at, "trace cat again.trace"), succeeds(at, "trace cat a.trace"));
    std::fs::write(at.join("key"), "ab".repeat(32)).unwrap();
    succeeds(at, "trace anonymise --key-file key a.trace -o anonymised.trace");
    assert!(!succeeds(at, "trace cat anonymised.trace").contains(" k0"));
    let sums: serde_json::Value =
        serde_json::from_str(&succeeds(at, "trace summarise a.trace --by reason --svg a.svg --json"))
            .unwrap();
    assert_eq!(
        (sums["total"]["asked"].as_u64(), sums["total"]["declined"].as_u64()),
        (Some(total), Some(declined))
    );
    assert!(std::fs::read_to_string(at.join("a.svg")).unwrap().contains("value asked for"));
    assert!(succeeds(at, "trace diff early.trace late.trace --by product").contains("bid-submit"));
    succeeds(at, "trace export --csv --where declined a.trace -o a.csv");
    assert_eq!(std::fs::read_to_string(at.join("a.csv")).unwrap().lines().count() as u64, declined + 1);
    succeeds(at, "trace export --parquet a.trace -o a.parquet");
    let parquet = SerializedFileReader::new(std::fs::File::open(at.join("a.parquet")).unwrap()).unwrap();
    assert_eq!(parquet.metadata().file_metadata().num_rows() as u64, total);
    let first = parquet.get_row_iter(None).unwrap().next().unwrap().unwrap().to_string();
    assert!(first.contains("product: \"") && first.contains("answer: \"declined\""), "{first}");
}

#[test]
fn repairs_truncated_trace_and_reads_format_1() {
    let folder = trace_folder();
    let at = folder.path();
    let bytes = std::fs::read(at.join("a.trace")).unwrap();
    std::fs::write(at.join("truncated.trace"), &bytes[..bytes.len() - 100]).unwrap();
    assert!(succeeds(at, "trace info truncated.trace").contains("not sealed"));
    succeeds(at, "trace repair truncated.trace -o whole.trace");
    assert!(succeeds(at, "trace info whole.trace").contains(", sealed"));
    succeeds(at, "trace synth --span 10s --format 1 -o old.trace");
    assert!(succeeds(at, "trace info old.trace").contains("version 1.0"));
    fails(at, "trace info key", 1);
    std::fs::write(at.join("key"), "no trace").unwrap();
    assert!(fails(at, "trace info key", 1).contains("key: not a trace"));
}

#[test]
fn errors_name_their_cause_and_leave_no_partial_output() {
    let folder = trace_folder();
    let at = folder.path();
    assert!(fails(at, "trace grep wait>soon a.trace", 2).contains("column 6"));
    assert!(fails(at, "trace cut --from soon a.trace -o b.trace", 2).contains("--from"));
    assert!(fails(at, "trace cut a.trace -o a.trace", 2).contains("a.trace"));
    assert!(fails(at, "trace merge a.trace --offset 2=1s -o b.trace", 2).contains("--offset 2=1s"));
    assert!(fails(at, "trace anonymise --key-file a.trace a.trace -o b.trace", 1).contains("a.trace"));
    assert!(fails(at, "trace info nowhere.trace", 1).contains("nowhere.trace"));
    std::fs::write(at.join("s.scm"), "(trace (folder \"x\") (sample 0))").unwrap();
    assert!(fails(at, "check s.scm", 2).contains("s.scm:1:29: trace.sample"));
    std::fs::write(at.join("s.scm"), "(trace (folder \"x\"))").unwrap();
    assert!(succeeds(at, "check s.scm").contains("(block-rows 4096)"));
    let left: Vec<_> = std::fs::read_dir(at).unwrap().map(|e| e.unwrap().file_name()).collect();
    assert!(!left.iter().any(|name| name.to_string_lossy().contains("b.trace")), "{left:?}");
}

#[test]
fn reads_stdin_and_exits_cleanly_on_closed_stdout() {
    let folder = trace_folder();
    let start = |line: &str, stdin: Stdio| {
        let words = line.split(' ');
        let mut command = Command::new(env!("CARGO_BIN_EXE_puffinladder"));
        command
            .args(words)
            .current_dir(folder.path())
            .stdin(stdin)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command.spawn().unwrap()
    };
    let mut reader = start("trace summarise -", Stdio::piped());
    let bytes = std::fs::read(folder.path().join("a.trace")).unwrap();
    reader.stdin.take().unwrap().write_all(&bytes).unwrap();
    let out = reader.wait_with_output().unwrap();
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("asked"));
    let mut writer = start("trace cat a.trace --json", Stdio::null());
    let mut some = [0; 10];
    writer.stdout.take().unwrap().read_exact(&mut some).unwrap();
    let out = writer.wait_with_output().unwrap();
    assert!(out.status.success() && out.stderr.is_empty(), "{}", String::from_utf8_lossy(&out.stderr));
}

#[test]
fn renamed_commands_accept_old_names() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("none.scm"), "(log)").unwrap();
    for (new, old, rest, section) in [
        ("lease-store", "keeper", "--settings none.scm", "keeper"),
        ("lease-store", "keeper", "--settings none.scm --found", "keeper"),
        ("worker", "steward", "--settings none.scm", "steward"),
        ("trace-store", "archive", "--settings none.scm", "archive"),
        ("trace-store", "archive", "export --settings none.scm out.trace", "archive"),
    ] {
        let stderr = |command: &str| fails(folder.path(), &format!("{command} {rest}"), 2);
        assert_eq!(stderr(new), format!("puffinladder: none.scm: has no ({section} ...)\n"));
        assert_eq!(stderr(old), stderr(new));
    }
    for rest in ["list", "show gather", "move gather/3 s1", "pause gather", "resume gather"] {
        let stderr = |command: &str| fails(folder.path(), &format!("{command} {rest}"), 2);
        assert!(stderr("leases").contains("--at should name keepers"));
        assert_eq!(stderr("duties"), stderr("leases"));
    }
}

#[test]
fn service_errors_name_file_line_and_key() {
    let folder = tempfile::tempdir().unwrap();
    let at = folder.path();
    let write = |name: &str, text: &str| std::fs::write(at.join(name), text).unwrap();
    write("none.scm", "(log)");
    for (command, section) in [("keeper", "keeper"), ("steward", "steward"), ("archive", "archive")] {
        let stderr = fails(at, &format!("{command} --settings none.scm"), 2);
        assert!(stderr.contains(&format!("none.scm: has no ({section} ...)")), "{stderr}");
    }
    write("wrong.scm", "(keeper (number 1)\n (listen \"here\") (folder \"k\") (peers \"1=127.0.0.1:1\"))");
    let stderr = fails(at, "keeper --settings wrong.scm", 2);
    assert!(stderr.contains("wrong.scm:2:2: keeper.listen: should be an address"), "{stderr}");
    write("k.scm", "(keeper (number 1) (listen \"127.0.0.1:0\") (folder \"k\") (peers \"1=127.0.0.1:1\"))");
    let stderr = fails(at, "keeper --settings k.scm", 1);
    assert!(
        stderr.contains("replica file not found; start with --found for a new cluster, or with --join"),
        "{stderr}"
    );
    write("2.scm", "(keeper (number 2) (listen \"127.0.0.1:0\") (folder \"k\") (peers \"1=127.0.0.1:1\"))");
    assert!(fails(at, "keeper --settings 2.scm --found", 2).contains("should name keeper 2 itself"));
    assert!(fails(at, "duties list", 2).contains("--at should name keepers"));
    // No process listens on port 1.
    assert!(fails(at, "keeper status --at 127.0.0.1:1", 1).contains("no majority"));
    assert!(fails(at, "duties move gather s1 --at 127.0.0.1:1", 2).contains("such as gather/3"));
    write("a.scm", "(archive (listen \"127.0.0.1:0\") (folder \"a\"))");
    assert!(fails(at, "archive export --settings a.scm out.trace", 1).contains("a: there is no archive"));
    write("p.scm", "(schedule\n (fault (at 1s) (do melt) (who \"s9\")))");
    let stderr = fails(at, "prove p.scm", 2);
    assert!(
        stderr.contains("p.scm:2:21: schedule.fault.do") && stderr.contains("schedule.fault.who: \"s9\""),
        "{stderr}"
    );
}
