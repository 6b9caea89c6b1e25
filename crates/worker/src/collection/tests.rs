use super::*;

fn file(server: &str, name: &str) -> FileId {
    FileId { server: server.into(), name: name.into() }
}

fn finished(server: &str, names: &[&str]) -> Vec<TraceFile> {
    names.iter().map(|name| TraceFile { id: file(server, name), finished: true }).collect()
}

const COMPLETE: FileProgress = FileProgress { blocks: 3, complete: true };

#[test]
fn alternates_servers_and_collects_oldest_files_first() {
    let mut plan = CollectionPlan::default();
    let files = [finished("n1", &["b", "a", "c"]), finished("n2", &["x"])].concat();
    plan.set_files(files.clone());
    let mut order = Vec::new();
    while let Some((next, position)) = plan.next_block(0.0) {
        assert_eq!(position, 0);
        order.push(format!("{}{}", next.server, next.name));
        plan.record_progress(&next, COMPLETE);
    }
    assert_eq!(order, ["n1a", "n2x", "n1b", "n1c"]);
    plan.set_files(files);
    assert!(!plan.has_work(0.0), "all files are stored");
}

#[test]
fn resumes_after_blocks_already_stored() {
    let mut plan = CollectionPlan::default();
    plan.reset([(file("n1", "a"), FileProgress { blocks: 2, complete: false }), (file("n1", "b"), COMPLETE)]);
    plan.set_files(finished("n1", &["a", "b"]));
    assert_eq!(plan.next_block(0.0), Some((file("n1", "a"), 2)));
    plan.record_progress(&file("n1", "a"), COMPLETE);
    assert_eq!(plan.next_block(0.0), None);
}

#[test]
fn backs_off_unreadable_files_without_delaying_others() {
    let mut plan = CollectionPlan::default();
    plan.set_files(finished("n1", &["a", "b"]));
    assert!(plan.back_off(0.0, &file("n1", "a")) && !plan.back_off(1.0, &file("n1", "a")));
    assert_eq!(plan.next_block(2.9), Some((file("n1", "b"), 0)));
    plan.record_progress(&file("n1", "b"), COMPLETE);
    assert_eq!((plan.next_block(2.9), plan.has_work(2.9)), (None, false));
    assert_eq!(plan.next_block(3.0), Some((file("n1", "a"), 0)));
    for number in 0..MAX_UNREADABLE + 5 {
        plan.back_off(0.0, &file("n2", &number.to_string()));
    }
    assert_eq!(plan.unreadable.len(), MAX_UNREADABLE);
}

#[test]
fn collects_newest_file_only_once_sealed() {
    let listed = |name: &str, sealed| ListedFile { name: name.into(), sealed };
    let files = vec![listed("n1-2", false), listed("n1-1", false), listed("n1-3", false)];
    let finished_now =
        |files: Vec<ListedFile>| mark_finished("n1", files).iter().filter(|file| file.finished).count();
    assert_eq!(finished_now(files.clone()), 2, "older files are finished even if they are not sealed");
    let sealed = files.iter().map(|file| listed(&file.name, true)).collect();
    assert_eq!(finished_now(sealed), 3);
}

#[test]
fn spreads_servers_evenly_over_parts() {
    let mut counts = [0; 8];
    for index in 0..800 {
        counts[part_for_server(&format!("n{index}"), 8) as usize] += 1;
    }
    assert!(counts.iter().all(|count| (60..140).contains(count)), "{counts:?}");
    assert_eq!(part_for_server("n1", 0), 0);
}
