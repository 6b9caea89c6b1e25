//! `capacity measure` at tiny sizes: the points of each role have to agree in shape, never in time.

use puffinladder_capacity::point::{Point, Points};
use puffinladder_gauging::series::{all, Run, Series};
use puffinladder_gauging::{Gauge, Sizes, Stamp};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_puffinladder");

/// The points of a role that it writes, in the order of their size.
fn measured(roles: &[&str]) -> Vec<Point> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("points.json");
    let out = measure(&file, roles, folder.path());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let mut points = Points::parse("points.json", &std::fs::read_to_string(&file).unwrap()).unwrap().points;
    points.sort_by(|a, b| a.sizes[&a.varied].total_cmp(&b.sizes[&b.varied]));
    assert!(points.iter().all(|point| roles.contains(&point.role.as_str())), "{points:?}");
    points
}

fn measure(file: &Path, more: &[&str], folder: &Path) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(["capacity", "measure", "--small", "--points"]).arg(file).args(more);
    if !more.contains(&"--span") {
        command.args(["--span", "1s"]);
    }
    command.current_dir(folder).env("TMPDIR", folder).output().unwrap()
}

/// A measure of all points of one role, with the size that varied.
fn along(points: &[Point], role: &str, measure: &str) -> Vec<(f64, f64)> {
    let of = |point: &&Point| point.role == role;
    let all: Vec<_> =
        points.iter().filter(of).map(|point| (point.sizes[&point.varied], point.measures[measure])).collect();
    assert!(all.len() >= 3, "{role} {measure}: {all:?}");
    all
}

/// That it grows from each size to the next.
fn grows(all: &[(f64, f64)], what: &str) {
    assert!(all.is_sorted_by(|a, b| a.1 < b.1), "{what}: {all:?}");
}

/// That from one size to the next it grows by the same for each one more, within a share.
fn linear(all: &[(f64, f64)], share: f64, what: &str) {
    let slopes: Vec<f64> =
        all.windows(2).map(|pair| (pair[1].1 - pair[0].1) / (pair[1].0 - pair[0].0)).collect();
    let mean = slopes.iter().sum::<f64>() / slopes.len() as f64;
    assert!(mean > 0.0 && slopes.iter().all(|slope| (slope / mean - 1.0).abs() <= share), "{what}: {all:?}");
}

fn known(points: &[Point], names: &[&str]) {
    for point in points {
        let taken: Vec<&str> = point.measures.keys().map(String::as_str).collect();
        assert_eq!(taken, names, "{point:?}");
    }
}

#[test]
fn the_modules_points_have_what_is_measured_of_it_and_nothing_else() {
    let points = measured(&["module"]);
    along(&points, "module", "round_p99");
    known(&points, &["cpu", "round_p99"]);
    assert!(points.iter().all(|point| point.measures.values().all(|value| *value > 0.0)), "{points:?}");
    assert!(points
        .iter()
        .all(|point| point.cores > 0 && point.beside == "nothing stated" && point.seed == 1));
}

#[test]
fn a_servers_reports_grow_with_the_customers_that_it_saw() {
    let points = measured(&["server"]);
    let bytes: Vec<(f64, f64)> = along(&points, "server", "sent")
        .iter()
        .zip(along(&points, "server", "messages_sent"))
        .map(|(bytes, messages)| (bytes.0, bytes.1 / messages.1))
        .collect();
    grows(&bytes, "bytes of a report");
    // Requests are settled, or their latency would be missing; nothing comes back from a control service, and nobody counted it.
    for point in &points {
        assert!(point.measures["latency_p99"] >= point.measures["latency_p50"], "{point:?}");
        assert!(
            point.measures["connections"] >= 17.0 && !point.measures.contains_key("received"),
            "{point:?}"
        );
    }
}

#[test]
fn a_keeper_hears_more_lines_with_more_instances_and_holds_a_connection_for_each() {
    let points = measured(&["keeper"]);
    let connections = along(&points, "keeper", "connections");
    // One for each instance, and one each way to each of two other keepers: it is the keeper that was looked at, and nobody else.
    assert!(connections.iter().all(|(instances, open)| *open == instances + 4.0), "{connections:?}");
    linear(&along(&points, "keeper", "descriptors"), 0.0, "descriptors");
    grows(&along(&points, "keeper", "messages_received"), "lines");
    assert!(points.iter().all(|point| point.measures["syncs"] > 0.0), "{points:?}");
}

#[test]
fn a_steward_of_quotas_gets_reports_that_name_each_customer() {
    let points = measured(&["steward-quota"]);
    let bytes: Vec<(f64, f64)> = along(&points, "steward-quota", "received")
        .iter()
        .zip(along(&points, "steward-quota", "messages_received"))
        .map(|(bytes, messages)| (bytes.0, bytes.1 / messages.1))
        .collect();
    linear(&bytes, 0.25, "bytes of a report");
    assert!(points.iter().all(|point| point.measures["messages_sent"] > 0.0), "{points:?}");
}

#[test]
fn a_steward_of_turns_holds_a_connection_for_each_server() {
    let points = measured(&["steward-turns"]);
    linear(&along(&points, "steward-turns", "connections"), 0.0, "connections");
    let reports: Vec<(f64, f64)> = along(&points, "steward-turns", "messages_received")
        .iter()
        .zip(along(&points, "steward-turns", "received"))
        .map(|(messages, bytes)| (messages.0, bytes.1 / messages.1))
        .collect();
    // Nobody leaves: a report is as long whoever else reports.
    assert!(reports.iter().all(|(_, bytes)| (bytes / reports[0].1 - 1.0).abs() < 0.05), "{reports:?}");
}

#[test]
fn what_a_steward_gathers_comes_to_the_archive_and_grows_with_the_requests() {
    let points = measured(&["steward-gather", "archive"]);
    let sent = along(&points, "steward-gather", "sent");
    let messages = along(&points, "steward-gather", "messages_sent");
    let block: Vec<(f64, f64)> = sent.iter().zip(&messages).map(|(b, m)| (b.0, b.1 / m.1)).collect();
    grows(&block, "bytes of a block");
    assert_eq!(sent, along(&points, "archive", "received"));
    // The archive lies on a disk; the steward only reads.
    assert!(along(&points, "archive", "disk").iter().all(|(_, bytes)| *bytes > 0.0));
}

#[test]
fn a_control_service_gets_as_much_of_each_server_and_holds_a_connection_for_each() {
    let points = measured(&["control", "proxy"]);
    let connections = along(&points, "control", "connections");
    linear(&connections, 0.0, "connections");
    // One for each server and each of two callers, a descriptor for each.
    assert!(connections.iter().all(|(servers, open)| *open == servers + 2.0), "{connections:?}");
    linear(&along(&points, "control", "descriptors"), 0.0, "descriptors");
    linear(&along(&points, "control", "received"), 0.5, "bytes of all servers");
    grows(&along(&points, "control", "messages_received"), "reports");
    // A caller's own figures are a part of the service's.
    for (of_all, of_one) in along(&points, "control", "sent").iter().zip(along(&points, "proxy", "received"))
    {
        assert!((of_all.1 - 2.0 * of_one.1).abs() < 1.0, "{of_all:?} {of_one:?}");
    }
}

#[test]
fn a_role_that_does_not_start_is_an_error_with_its_log_and_leaves_the_points_as_they_were() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("points.json");
    let small = all(true).into_iter().find(|series| series.run == Run::Turns).unwrap();
    let before = planted(&small);
    std::fs::write(&file, before.print()).unwrap();
    // No process has a place to put its files at.
    let mut command = Command::new(PROGRAM);
    command.args(["capacity", "measure", "--small", "--points"]).arg(&file).arg("steward-turns");
    let out = command.current_dir(folder.path()).env("TMPDIR", "/proc").output().unwrap();
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{told}");
    assert!(told.contains("not measured: steward-turns/servers"), "{told}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), before.print());
}

/// A point of a series as an earlier run left it.
fn planted(series: &Series) -> Points {
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

/// Command lines of the processes that name this folder, which only those of one test do.
fn naming(folder: &str) -> Vec<String> {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = all.filter_map(|one| one.file_name().to_str()?.parse::<u32>().ok());
    // One may end while it is looked at.
    let lines = ids.filter_map(|id| std::fs::read_to_string(format!("/proc/{id}/cmdline")).ok());
    lines.filter(|line| line.contains(folder)).collect()
}

#[test]
fn a_role_whose_program_ends_at_once_names_its_last_lines_and_no_child_is_left() {
    let folder = tempfile::tempdir().unwrap();
    let (text, script) = (folder.path().join("text"), folder.path().join("program"));
    let ids = folder.path().join("ids").display().to_string();
    // Each notes its id, which stays the same. Keepers start as they are; whoever is a steward ends with a cause in its log.
    let lines = format!(
        "#!/bin/sh\necho $$ >> {ids}\n[ \"$1\" = steward ] && {{ echo 'no room for a steward here' >&2; exit 7; }}\nexec {PROGRAM} \"$@\"\n"
    );
    std::fs::write(&text, lines).unwrap();
    // Written by another process: a program can't be started while any process has it open for writing, as one that another test forks would.
    let made = Command::new("install").args(["-m", "755"]).arg(&text).arg(&script).status().unwrap();
    assert!(made.success());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let series = all(true).into_iter().find(|series| series.run == Run::Turns).unwrap();
    let fault = runtime.block_on(gauge(script).take(&series, &series.sizes[0])).unwrap_err();
    assert!(
        fault.contains("steward: ended: exit status: 7") && fault.contains("no room for a steward here"),
        "{fault}"
    );
    assert!(fault.contains("steward-turns/servers at 2 servers"), "{fault}");
    let started = std::fs::read_to_string(&ids).unwrap();
    assert_eq!(started.lines().count(), 4, "three keepers and a steward: {started}");
    // Killed and waited for: nothing of them is left, not even what the kernel keeps for whoever waits.
    let left: Vec<&str> = started.lines().filter(|id| Path::new("/proc").join(id).exists()).collect();
    assert_eq!(left, Vec::<&str>::new());
}

#[test]
fn told_to_leave_in_the_middle_it_ends_and_so_do_all_that_it_started() {
    let folder = tempfile::tempdir().unwrap();
    let mark = folder.path().display().to_string();
    let mut command = Command::new(PROGRAM);
    command
        .args(["capacity", "measure", "steward-turns", "--span", "60s", "--points"])
        .arg(folder.path().join("p.json"));
    let mut child =
        command.env("TMPDIR", folder.path()).stderr(std::process::Stdio::piped()).spawn().unwrap();
    // Three keepers, a steward and itself.
    while naming(&mark).len() < 5 {
        assert!(child.try_wait().unwrap().is_none(), "it ended by itself");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let told = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(told.success());
    let out = child.wait_with_output().unwrap();
    assert_eq!(out.status.code(), Some(1), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(naming(&mark), Vec::<String>::new());
}

#[test]
fn a_size_that_the_series_does_not_give_is_an_error_and_no_point() {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let gauge = gauge(PROGRAM.into());
    for series in all(true) {
        let fault = runtime.block_on(gauge.take(&series, &Sizes::new())).unwrap_err();
        assert!(fault.contains("the series says nothing of"), "{fault}");
    }
}

#[test]
fn what_is_asked_wrongly_is_told_and_measures_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("points.json");
    for (more, wanted) in [
        (&["tower"][..], "tower: should be one of"),
        (&["server", "--series", "parts"], "no such series"),
        (&["--span", "0s"], "should be a span"),
    ] {
        let out = measure(&file, more, folder.path());
        let told = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(out.status.code() == Some(2) && told.contains(wanted), "{told}");
    }
    assert!(!file.exists());
    std::fs::write(&file, "{\"points\": [7]}").unwrap();
    let out = measure(&file, &["module"], folder.path());
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(out.status.code() == Some(2) && told.contains("points[0]"), "{told}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "{\"points\": [7]}");
}
