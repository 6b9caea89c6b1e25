//! `capacity measure` at tiny sizes: checks the counts of each role's points, never their times.

use puffinladder_capacity::point::{Point, Points};
use puffinladder_gauging::series::{all, Run, Series};
use puffinladder_gauging::{Gauge, Sizes, Stamp};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_puffinladder");

/// Measures roles and returns their points, sorted by size.
fn measure_points(roles: &[&str]) -> Vec<Point> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("points.json");
    let out = run_measure(&file, roles, folder.path());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let mut points = Points::parse("points.json", &std::fs::read_to_string(&file).unwrap()).unwrap().points;
    points.sort_by(|a, b| a.sizes[&a.varied].total_cmp(&b.sizes[&b.varied]));
    assert!(points.iter().all(|point| roles.contains(&point.role.as_str())), "{points:?}");
    points
}

fn run_measure(file: &Path, more: &[&str], folder: &Path) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(["capacity", "measure", "--small", "--points"]).arg(file).args(more);
    if !more.contains(&"--span") {
        command.args(["--span", "1s"]);
    }
    command.current_dir(folder).env("TMPDIR", folder).output().unwrap()
}

/// Returns the pairs of varied size and measure of all points of one role.
fn values(points: &[Point], role: &str, measure: &str) -> Vec<(f64, f64)> {
    let has_role = |point: &&Point| point.role == role;
    let pairs: Vec<_> = points
        .iter()
        .filter(has_role)
        .map(|point| (point.sizes[&point.varied], point.measures[measure]))
        .collect();
    assert!(pairs.len() >= 3, "{role} {measure}: {pairs:?}");
    pairs
}

/// Asserts that the values grow from each size to the next.
fn assert_grows(values: &[(f64, f64)], name: &str) {
    assert!(values.is_sorted_by(|a, b| a.1 < b.1), "{name}: {values:?}");
}

/// Asserts that the values grow linearly with the size: slopes differ from their mean by at most `tolerance`.
fn assert_linear(values: &[(f64, f64)], tolerance: f64, name: &str) {
    let slopes: Vec<f64> =
        values.windows(2).map(|pair| (pair[1].1 - pair[0].1) / (pair[1].0 - pair[0].0)).collect();
    let mean = slopes.iter().sum::<f64>() / slopes.len() as f64;
    assert!(
        mean > 0.0 && slopes.iter().all(|slope| (slope / mean - 1.0).abs() <= tolerance),
        "{name}: {values:?}"
    );
}

fn assert_measures(points: &[Point], names: &[&str]) {
    for point in points {
        let found: Vec<&str> = point.measures.keys().map(String::as_str).collect();
        assert_eq!(found, names, "{point:?}");
    }
}

#[test]
fn module_points_have_exactly_its_measures() {
    let points = measure_points(&["module"]);
    values(&points, "module", "round_p99");
    assert_measures(&points, &["cpu", "round_p99"]);
    assert!(points.iter().all(|point| point.measures.values().all(|value| *value > 0.0)), "{points:?}");
    assert!(points
        .iter()
        .all(|point| point.cores > 0 && point.beside == "nothing stated" && point.seed == 1));
}

#[test]
fn server_reports_grow_with_customers() {
    let points = measure_points(&["server"]);
    let bytes: Vec<(f64, f64)> = values(&points, "server", "sent")
        .iter()
        .zip(values(&points, "server", "messages_sent"))
        .map(|(bytes, messages)| (bytes.0, bytes.1 / messages.1))
        .collect();
    assert_grows(&bytes, "bytes of a report");
    // A latency shows that requests were settled; a control service sends nothing back, so `received` is not measured.
    for point in &points {
        assert!(point.measures["latency_p99"] >= point.measures["latency_p50"], "{point:?}");
        assert!(
            point.measures["connections"] >= 17.0 && !point.measures.contains_key("received"),
            "{point:?}"
        );
    }
}

#[test]
fn keeper_has_a_connection_for_each_instance() {
    let points = measure_points(&["keeper"]);
    let connections = values(&points, "keeper", "connections");
    // One for each instance, and one each way to each of the two other keepers.
    assert!(connections.iter().all(|(instances, open)| *open == instances + 4.0), "{connections:?}");
    assert_linear(&values(&points, "keeper", "descriptors"), 0.0, "descriptors");
    assert_grows(&values(&points, "keeper", "messages_received"), "lines");
    assert!(points.iter().all(|point| point.measures["syncs"] > 0.0), "{points:?}");
}

#[test]
fn quota_steward_reports_grow_with_customers() {
    let points = measure_points(&["steward-quota"]);
    let bytes: Vec<(f64, f64)> = values(&points, "steward-quota", "received")
        .iter()
        .zip(values(&points, "steward-quota", "messages_received"))
        .map(|(bytes, messages)| (bytes.0, bytes.1 / messages.1))
        .collect();
    assert_linear(&bytes, 0.25, "bytes of a report");
    assert!(points.iter().all(|point| point.measures["messages_sent"] > 0.0), "{points:?}");
}

#[test]
fn drain_steward_has_a_connection_for_each_server() {
    let points = measure_points(&["steward-turns"]);
    assert_linear(&values(&points, "steward-turns", "connections"), 0.0, "connections");
    let reports: Vec<(f64, f64)> = values(&points, "steward-turns", "messages_received")
        .iter()
        .zip(values(&points, "steward-turns", "received"))
        .map(|(messages, bytes)| (messages.0, bytes.1 / messages.1))
        .collect();
    // No server drains, so the length of a report does not depend on the number of servers.
    assert!(reports.iter().all(|(_, bytes)| (bytes / reports[0].1 - 1.0).abs() < 0.05), "{reports:?}");
}

#[test]
fn archive_receives_the_blocks_that_the_steward_sends() {
    let points = measure_points(&["steward-gather", "archive"]);
    let sent = values(&points, "steward-gather", "sent");
    let messages = values(&points, "steward-gather", "messages_sent");
    let block: Vec<(f64, f64)> = sent.iter().zip(&messages).map(|(b, m)| (b.0, b.1 / m.1)).collect();
    assert_grows(&block, "bytes of a block");
    assert_eq!(sent, values(&points, "archive", "received"));
    // Only the archive writes to disk.
    assert!(values(&points, "archive", "disk").iter().all(|(_, bytes)| *bytes > 0.0));
}

#[test]
fn control_service_traffic_is_linear_in_servers() {
    let points = measure_points(&["control", "proxy"]);
    let connections = values(&points, "control", "connections");
    assert_linear(&connections, 0.0, "connections");
    // One for each server and each of two callers.
    assert!(connections.iter().all(|(servers, open)| *open == servers + 2.0), "{connections:?}");
    assert_linear(&values(&points, "control", "descriptors"), 0.0, "descriptors");
    assert_linear(&values(&points, "control", "received"), 0.5, "bytes of all servers");
    assert_grows(&values(&points, "control", "messages_received"), "reports");
    // The service sends the sum of what its two callers receive.
    for (service, caller) in
        values(&points, "control", "sent").iter().zip(values(&points, "proxy", "received"))
    {
        assert!((service.1 - 2.0 * caller.1).abs() < 1.0, "{service:?} {caller:?}");
    }
}

#[test]
fn failed_start_is_reported_and_keeps_the_points() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("points.json");
    let small = all(true).into_iter().find(|series| series.run == Run::Turns).unwrap();
    let before = earlier_points(&small);
    std::fs::write(&file, before.print()).unwrap();
    // No process can create files in /proc.
    let mut command = Command::new(PROGRAM);
    command.args(["capacity", "measure", "--small", "--points"]).arg(&file).arg("steward-turns");
    let out = command.current_dir(folder.path()).env("TMPDIR", "/proc").output().unwrap();
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("not measured: steward-turns/servers"), "{stderr}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), before.print());
}

/// Returns a point of a series, as from an earlier run.
fn earlier_points(series: &Series) -> Points {
    let point = Point {
        role: series.run.roles()[0].into(),
        sizes: series.sizes[0].clone(),
        measures: [("cpu".to_string(), 0.5)].into(),
        varied: series.varied.into(),
        seed: 9,
        date: "before".into(),
        version: "0".into(),
        cores: 1,
        beside: "nothing".into(),
        span: 1.0,
    };
    Points { points: vec![point] }
}

fn gauge(program: PathBuf) -> Gauge {
    Gauge { program, seed: 1, span: 0.5, stamp: Stamp { cores: 1, ..Stamp::default() } }
}

/// Returns the command lines of running processes that name this folder, which is unique to one test.
fn command_lines_naming(folder: &str) -> Vec<String> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    // A process may exit during the scan.
    let lines = ids.filter_map(|id| std::fs::read_to_string(format!("/proc/{id}/cmdline")).ok());
    lines.filter(|line| line.contains(folder)).collect()
}

#[test]
fn exited_role_is_reported_with_its_log_and_leaves_no_process() {
    let folder = tempfile::tempdir().unwrap();
    let (text, script) = (folder.path().join("text"), folder.path().join("program"));
    let ids = folder.path().join("ids").display().to_string();
    // Each process records its id. Keepers start; stewards exit with a message in their log.
    let lines = format!(
        "#!/bin/sh\necho $$ >> {ids}\n[ \"$1\" = steward ] && {{ echo 'no room for a steward here' >&2; exit 7; }}\nexec {PROGRAM} \"$@\"\n"
    );
    std::fs::write(&text, lines).unwrap();
    // Written by another process: a file open for writing, possibly inherited by a child of another test, can't be executed.
    let installed = Command::new("install").args(["-m", "755"]).arg(&text).arg(&script).status().unwrap();
    assert!(installed.success());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let series = all(true).into_iter().find(|series| series.run == Run::Turns).unwrap();
    let error = runtime.block_on(gauge(script).take(&series, &series.sizes[0])).unwrap_err();
    assert!(
        error.contains("steward: ended: exit status: 7") && error.contains("no room for a steward here"),
        "{error}"
    );
    assert!(error.contains("steward-turns/servers at 2 servers"), "{error}");
    let started = std::fs::read_to_string(&ids).unwrap();
    assert_eq!(started.lines().count(), 4, "three keepers and a steward: {started}");
    // All processes were killed and reaped.
    let left: Vec<&str> = started.lines().filter(|id| Path::new("/proc").join(id).exists()).collect();
    assert_eq!(left, Vec::<&str>::new());
}

#[test]
fn sigterm_ends_the_measurement_and_its_processes() {
    let folder = tempfile::tempdir().unwrap();
    let folder_name = folder.path().display().to_string();
    let mut command = Command::new(PROGRAM);
    command
        .args(["capacity", "measure", "steward-turns", "--span", "60s", "--points"])
        .arg(folder.path().join("p.json"));
    let mut child =
        command.env("TMPDIR", folder.path()).stderr(std::process::Stdio::piped()).spawn().unwrap();
    // Three keepers, a steward and the command.
    while command_lines_naming(&folder_name).len() < 5 {
        assert!(child.try_wait().unwrap().is_none(), "the command exited early");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let killed = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(killed.success());
    let out = child.wait_with_output().unwrap();
    assert_eq!(out.status.code(), Some(1), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(command_lines_naming(&folder_name), Vec::<String>::new());
}

#[test]
fn missing_size_is_an_error() {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let gauge = gauge(PROGRAM.into());
    for series in all(true) {
        let error = runtime.block_on(gauge.take(&series, &Sizes::new())).unwrap_err();
        assert!(error.contains("the series says nothing of"), "{error}");
    }
}

#[test]
fn invalid_arguments_measure_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("points.json");
    for (more, wanted) in [
        (&["tower"][..], "tower: should be one of"),
        (&["server", "--series", "parts"], "no such series"),
        (&["--span", "0s"], "should be a span"),
    ] {
        let out = run_measure(&file, more, folder.path());
        let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(out.status.code() == Some(2) && stderr.contains(wanted), "{stderr}");
    }
    assert!(!file.exists());
    std::fs::write(&file, "{\"points\": [7]}").unwrap();
    let out = run_measure(&file, &["module"], folder.path());
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(out.status.code() == Some(2) && stderr.contains("points[0]"), "{stderr}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "{\"points\": [7]}");
}
