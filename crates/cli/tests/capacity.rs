//! `capacity plan` and `capacity check` on the repository's page and on changed copies.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run(folder: &Path, line: &str) -> Output {
    let words = line.split(' ').filter(|word| !word.is_empty());
    Command::new(env!("CARGO_BIN_EXE_puffinladder"))
        .arg("capacity")
        .args(words)
        .current_dir(folder)
        .output()
        .unwrap()
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

/// Copies the checkout's page, plan and points to a folder that a test may change.
fn copy() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    for file in ["docs/CAPACITY.md", "docs/capacity/points.json", "deploy/capacity.scm"] {
        let to = folder.path().join(file);
        std::fs::create_dir_all(to.parent().unwrap()).unwrap();
        std::fs::copy(root().join(file), to).unwrap();
    }
    folder
}

/// Returns a series of one role along `servers`, linear in both measures.
fn points(slope: f64) -> String {
    let point = |n: f64| {
        format!(
            r#"{{"role": "steward-turns", "sizes": {{"servers": {n}}}, "measures": {{"cpu": {}, "memory": {}}},
                "varied": "servers", "seed": 1, "date": "2026-01-02", "version": "0.1.0", "cores": 8,
                "beside": "nothing", "span": 100.0}}"#,
            slope * n,
            1e7 + 1000.0 * n
        )
    };
    let all: Vec<String> = [25.0, 50.0, 100.0, 200.0].map(point).into();
    format!("{{\"points\": [{}]}}", all.join(", "))
}

/// On failure, refresh the page with `puffinladder capacity plan --write docs/CAPACITY.md`.
#[test]
fn page_matches_plan_and_points() {
    let out = run(&root(), "check");
    assert!(out.status.success(), "{}", stderr(&out));
}

#[test]
fn check_finds_each_changed_figure() {
    let folder = copy();
    let page = folder.path().join("docs/CAPACITY.md");
    let original = std::fs::read_to_string(&page).unwrap();
    assert!(run(folder.path(), "check").status.success());
    let mut inside = false;
    let mut figures = Vec::new();
    for (at, line) in original.lines().enumerate() {
        if line.starts_with("<!-- ") {
            inside = line.starts_with("<!-- capacity");
            continue;
        }
        // The last digit of a line in a block, if it has one.
        if let Some(digit) = line.rfind(|c: char| c.is_ascii_digit()).filter(|_| inside) {
            figures.push((at, line, digit));
        }
    }
    assert!(figures.len() > 20, "only {} lines with figures", figures.len());
    // A dozen over the whole page, since each check is a process.
    for &(at, line, digit) in figures.iter().step_by(figures.len() / 12) {
        let other = if &line[digit..=digit] == "7" { "8" } else { "7" };
        let changed = format!("{}{other}{}", &line[..digit], &line[digit + 1..]);
        let lines: Vec<&str> =
            original.lines().enumerate().map(|(k, l)| if k == at { &changed } else { l }).collect();
        std::fs::write(&page, lines.join("\n") + "\n").unwrap();
        let out = run(folder.path(), "check");
        assert_eq!(out.status.code(), Some(1), "line {}: {line}", at + 1);
        assert!(stderr(&out).contains(&format!("docs/CAPACITY.md:{}: block ", at + 1)), "{}", stderr(&out));
    }
}

#[test]
fn new_points_fail_the_check_until_the_page_is_written() {
    let folder = copy();
    let at = folder.path();
    std::fs::write(at.join("docs/capacity/points.json"), points(0.001)).unwrap();
    assert_eq!(run(at, "check").status.code(), Some(1));
    let out = run(at, "plan --write docs/CAPACITY.md");
    assert!(out.status.success() && out.stdout.is_empty(), "{}", stderr(&out));
    assert!(run(at, "check").status.success());
    let page = std::fs::read_to_string(at.join("docs/CAPACITY.md")).unwrap();
    let line =
        page.lines().find(|line| line.starts_with("| steward-turns |") && line.contains("| cpu |")).unwrap();
    assert!(line.contains("| 0.73 cores |") && line.contains("a + b·servers"), "{line}");
    let prose = std::fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap();
    let heading = "## How to refresh them";
    assert_eq!(
        page.split(heading).nth(1).unwrap(),
        prose.split(heading).nth(1).unwrap(),
        "the prose must not change"
    );
    // A different slope and a different plan give different tables.
    let stdout = |line: &str| String::from_utf8(run(at, line).stdout).unwrap();
    let first = stdout("plan");
    std::fs::write(at.join("other.json"), points(0.002)).unwrap();
    assert_ne!(first, stdout("plan --points other.json"));
    let plan = std::fs::read_to_string(at.join("deploy/capacity.scm")).unwrap();
    std::fs::write(at.join("other.scm"), plan.replace("(servers 730)", "(servers 500)")).unwrap();
    assert_ne!(first, stdout("plan other.scm"));
    assert_eq!(first, stdout("plan deploy/capacity.scm"));
}

#[test]
fn file_errors_name_their_place_and_leave_the_page() {
    let folder = copy();
    let at = folder.path();
    let page = std::fs::read_to_string(at.join("docs/CAPACITY.md")).unwrap();
    let plan = std::fs::read_to_string(at.join("deploy/capacity.scm")).unwrap();
    std::fs::write(at.join("p.scm"), plan.replace("(routes 2300)", "(routes lots)")).unwrap();
    std::fs::write(at.join("p.json"), points(0.001).replacen("\"cpu\"", "\"cqu\"", 1)).unwrap();
    std::fs::write(at.join("p.md"), page.replacen("<!-- /capacity -->", "", 1)).unwrap();
    for (line, status, wanted) in [
        ("plan p.scm --write docs/CAPACITY.md", 2, "p.scm:9:11: fleet.routes: should be a whole number"),
        (
            "plan --points p.json --write docs/CAPACITY.md",
            1,
            "p.json: points[0].measures: \"cqu\" should be one of",
        ),
        ("plan --write p.md", 1, "p.md:"),
        ("check p.md", 1, "p.md:"),
        ("check none.md", 1, "none.md: "),
        ("plan none.scm", 1, "none.scm: "),
        ("plan --points deploy/capacity.scm", 1, "deploy/capacity.scm: is not JSON"),
    ] {
        let out = run(at, line);
        assert_eq!(out.status.code(), Some(status), "{line}: {}", stderr(&out));
        assert!(stderr(&out).contains(wanted), "{line}: {}", stderr(&out));
    }
    assert_eq!(std::fs::read_to_string(at.join("docs/CAPACITY.md")).unwrap(), page);
}
