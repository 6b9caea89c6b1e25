//! Round trips through versions, merges, cuts, queries and anonymisation.

mod common;

use common::*;
use puffinladder_trace::codec::{round_to_bits, ESTIMATE_BITS, SPAN_BITS};
use puffinladder_trace::expr::parse;
use puffinladder_trace::file::Writer;
use puffinladder_trace::row::{Names, Product, Row, Step};
use puffinladder_trace::summary::GroupBy;
use puffinladder_trace::synth::SynthConfig;
use puffinladder_trace::tools::{self, Selection};
use puffinladder_trace::Trace;
use std::io::Cursor;
use std::ops::ControlFlow;

fn merged(inputs: Vec<(&[u8], i64)>) -> (Open, puffinladder_trace::merge::MergeReport) {
    let traces = inputs.into_iter().map(|(bytes, offset)| (open(bytes), offset)).collect();
    let mut writer = Writer::new(Vec::new(), &meta("merged")).unwrap();
    let report = tools::merge(traces, &mut writer, &mut |_, _| {}).unwrap();
    (open(&writer.seal().unwrap()), report)
}

fn rows_of(trace: &mut Open, names: &mut Names) -> Vec<Row> {
    let mut rows = Vec::new();
    for entry in blocks(trace) {
        trace.rows(&entry, names, &mut rows).unwrap();
    }
    rows
}

/// Fixed rows that cover every field. The golden files depend on them.
fn fixed_records(names: &mut Names) -> (Vec<Row>, Vec<puffinladder_trace::Note>) {
    use puffinladder::{Outcome, Reason};
    use puffinladder_trace::row::{Note, Topic, LAST, REPEAT};
    let order = names.intern_product(&Product {
        name: "order".into(),
        value: 3.0,
        sla: 0.4,
        expiry: 2.0,
        by_work: false,
    });
    let quote = names.intern_product(&Product {
        name: "quote".into(),
        value: 1.0,
        sla: 4.0,
        expiry: 8.0,
        by_work: true,
    });
    let (node, acme, cafe) = (names.intern("n1"), names.intern("acme"), names.intern("café"));
    let settled =
        names.intern_path(&[Step::RUN, Step::ended(Outcome::Completed), Step::SETTLED].map(|s| s.0));
    let declined = names.intern_path(&[Step::declined(Reason::WaitedTooLong).0]);
    let called =
        [Step::RUN, Step::AT_CALL, Step::CALL, Step::returned(Outcome::TimedOut), Step::CALL_SKIPPED];
    let called: Vec<u8> =
        called.iter().chain(&[Step::voided(Reason::DeadlineReached), Step::GONE]).map(|s| s.0).collect();
    let called = names.intern_path(&called);
    let first = Row {
        read: 1_767_225_600_000_000,
        unread: 202,
        node,
        product: order,
        customer: acme,
        caller: 4,
        rank: 40,
        hint: 48,
        memory: 24_832,
        flags: 0,
        name: 0x9b1f_03aa,
        key: 0x5c0f_6e1a_2b3d,
        keep_off: 0,
        path: settled,
        spans: [100, 200, 3].into_iter().collect(),
    };
    let second = Row {
        read: first.read + 1_500,
        flags: REPEAT | LAST,
        customer: cafe,
        keep_off: 250,
        path: declined,
        spans: [240].into_iter().collect(),
        ..first.clone()
    };
    let third = Row {
        read: first.read + 2_000_000,
        product: quote,
        key: 0,
        path: called,
        spans: [1, 2, 3, 4, 5, 6, 7].into_iter().collect(),
        ..first.clone()
    };
    let note = |after: i64, topic, value| Note { at: first.read + after, node, topic, value };
    let notes = vec![note(0, Topic::LIMIT, 4.0), note(9, Topic::DROPPED, 17.0)];
    (vec![first.clone(), second, third], notes)
}

#[test]
fn version_1_is_stable_and_version_2_stays_readable() {
    let mut names = Names::default();
    let (rows, notes) = fixed_records(&mut names);
    let golden = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let wanted: Vec<String> = rows.iter().map(|row| describe(&names, row)).collect();
    let first = version_1_file(&names, &rows, &notes);
    if std::env::var_os("GOLDEN_MAKE").is_some() {
        std::fs::write(golden.join("v1.trace"), &first).unwrap();
        std::fs::write(golden.join("v2.trace"), file(&names, &rows, &notes, 16, true)).unwrap();
    }
    assert_eq!(first, std::fs::read(golden.join("v1.trace")).unwrap());
    for name in ["v1.trace", "v2.trace"] {
        let mut trace = open(&std::fs::read(golden.join(name)).unwrap());
        assert!(trace.sealed && trace.damage.is_empty());
        assert_eq!(readable(&mut trace).0, wanted, "{name}");
        let read = tools::notes(&mut trace, &mut names, &Selection::default(), &mut Vec::new()).unwrap();
        assert_eq!(read, notes, "{name}");
    }
}

#[test]
fn rows_round_trip_with_values_rounded_once() {
    let mut names = Names::default();
    let (rows, notes) = records(&small(), &mut names);
    let bytes = file(&names, &rows, &notes, 100, true);
    let wanted: Vec<String> = rows
        .iter()
        .map(|row| {
            let mut rounded = row.clone();
            rounded.unread = round_to_bits(row.unread, ESTIMATE_BITS);
            rounded.hint = round_to_bits(row.hint, ESTIMATE_BITS);
            rounded.memory = round_to_bits(row.memory, ESTIMATE_BITS);
            rounded.keep_off = round_to_bits(row.keep_off, SPAN_BITS);
            rounded.spans.iter_mut().for_each(|span| *span = round_to_bits(*span, SPAN_BITS));
            describe(&names, &rounded)
        })
        .collect();
    assert_eq!(readable(&mut open(&bytes)).0, wanted);
    // A second round trip must not change the values again.
    let (mut again, report) = merged(vec![(&bytes, 0)]);
    assert_eq!((readable(&mut again).0, report.rows), (wanted, rows.len() as u64));
}

#[test]
fn merges_versions_in_time_order_without_duplicates() {
    let mut names = Names::default();
    let config = |seed, node: &str| SynthConfig { seed, node: node.into(), ..small() };
    let (first_rows, _) = records(&config(1, "n1"), &mut names);
    let (second_rows, notes) = records(&config(2, "n2"), &mut names);
    let (first, second) =
        (version_1_file(&names, &first_rows, &notes), file(&names, &second_rows, &notes, 50, true));
    let (mut merged_trace, report) = merged(vec![(&second, 0), (&first, 0), (&second, 0)]);
    assert_eq!(
        (report.rows, report.duplicates, report.out_of_order),
        ((first_rows.len() + second_rows.len()) as u64, second_rows.len() as u64, 0)
    );
    let mut read_names = Names::default();
    let rows = rows_of(&mut merged_trace, &mut read_names);
    assert!(rows.is_sorted_by_key(|row| row.read));
    let nodes = |node: &str| rows.iter().filter(|row| read_names.text(row.node) == node).count();
    assert_eq!((nodes("n1"), nodes("n2")), (first_rows.len(), second_rows.len()));
    let merged_notes =
        tools::notes(&mut merged_trace, &mut read_names, &Selection::default(), &mut Vec::new()).unwrap();
    assert_eq!(merged_notes.len(), notes.len());
    // With a clock offset the inputs do not overlap.
    let (mut apart, report) = merged(vec![(&first, 3_600_000_000), (&second, 0)]);
    assert_eq!(report.duplicates, 0);
    let rows = rows_of(&mut apart, &mut Names::default());
    assert!(rows.is_sorted_by_key(|row| row.read));
    assert_eq!(rows[second_rows.len()].read, first_rows[0].read + 3_600_000_000);
}

#[test]
fn backward_clock_step_keeps_rows_and_order() {
    let mut names = Names::default();
    let (mut rows, _) = records(&small(), &mut names);
    let half = rows.len() / 2;
    rows[half..].iter_mut().for_each(|row| row.read -= 5_000_000);
    let bytes = file(&names, &rows, &[], 30, true);
    let (mut merged_trace, report) = merged(vec![(&bytes, 0)]);
    assert_eq!((report.rows, report.out_of_order), (rows.len() as u64, 0));
    assert!(rows_of(&mut merged_trace, &mut Names::default()).is_sorted_by_key(|row| row.read));
}

#[test]
fn merge_skips_and_reports_damaged_block() {
    let mut names = Names::default();
    let (rows, _) = records(&small(), &mut names);
    let mut bytes = file(&names, &rows, &[], 50, true);
    let second = blocks(&open(&bytes))[1];
    bytes[(second.offset + second.len) as usize - 1] ^= 1;
    let (_, report) = merged(vec![(&bytes, 0)]);
    assert_eq!(report.rows, rows.len() as u64 - 50);
    assert_eq!(
        (report.damage.len(), report.damage[0].1.offset, report.damage[0].1.rows),
        (1, second.offset, Some(50))
    );
}

#[test]
fn cut_returns_only_its_time_range_and_skips_other_blocks() {
    let mut names = Names::default();
    let (rows, notes) = records(&SynthConfig { span: 120.0, ..small() }, &mut names);
    for bytes in [file(&names, &rows, &notes, 40, true), version_1_file(&names, &rows, &notes)] {
        let from = rows[0].read + 41_000_000;
        let selection = Selection { from, to: from + 10_000_000, ..Selection::default() };
        let mut writer = Writer::new(Vec::new(), &meta("n1")).unwrap();
        let report = tools::cut(&mut open(&bytes), &selection, &mut writer, &mut |_, _| {}).unwrap();
        let cut = rows_of(&mut open(&writer.seal().unwrap()), &mut Names::default());
        let wanted: Vec<i64> = rows
            .iter()
            .map(|row| row.read)
            .filter(|at| (selection.from..selection.to).contains(at))
            .collect();
        assert_eq!(cut.iter().map(|row| row.read).collect::<Vec<_>>(), wanted);
        assert!(
            report.rows == wanted.len() as u64
                && (report.skipped_blocks > report.read_blocks || blocks(&open(&bytes)).len() == 1)
        );
    }
}

#[test]
fn heads_and_rows_select_the_same_requests() {
    let mut names = Names::default();
    let (rows, _) = records(&SynthConfig { span: 200.0, overload_share: 0.3, ..small() }, &mut names);
    let bytes = file(&names, &rows, &[], 37, true);
    let mut skipped = 0;
    for text in [
        "declined",
        "not declined and not settled",
        "reason = \"no time\" or late",
        "reason != waited",
        "step ~ \"returned*\" and not skipped",
        "step !~ \"ended*\"",
        "product = report and wait > 100ms",
        "product != bid-status and customer ~ \"k01?\"",
        "not (customer = k001 or customer = k002)",
        "run > 500ms",
        "not run > 2ms",
        "at >= 60s and at < 61s",
        "not at > 30s",
        "at != 0",
        "replayed or gone or voided",
        "repeat and referenced and not last",
        "memory > 20KB and rank < 0.5 and caller = 3",
        "unread > 10ms or answer > 1s or hint > 100ms or keep-off > 400ms or value >= 3",
    ] {
        let expr = parse(text).unwrap();
        let (mut trace, mut names) = (open(&bytes), Names::default());
        let trace_start = trace.time_range().unwrap().0;
        let rows = rows_of(&mut trace, &mut names);
        let wanted = rows.iter().filter(|row| expr.matches(row, &names, trace_start)).count() as u64;
        let selection = Selection { expr, ..Selection::default() };
        let each = |_: &Row, _: &Names| ControlFlow::Continue(());
        let report = tools::scan(&mut trace, &mut names, &selection, &mut |_, _| {}, each).unwrap();
        assert_eq!(report.rows, wanted, "{text}");
        let mut writer = Writer::new(Vec::new(), &meta("n1")).unwrap();
        let cut = tools::cut(&mut trace, &selection, &mut writer, &mut |_, _| {}).unwrap();
        assert_eq!(cut.rows, wanted, "{text}");
        let (summary, _) =
            tools::summarise(&mut trace, &mut names, &selection, None, 1, false, &mut |_, _| {}).unwrap();
        assert_eq!(summary.total.requests, wanted, "{text}");
        skipped += report.skipped_blocks;
    }
    assert!(skipped > 100, "heads skipped only {skipped} blocks");
    let selection =
        Selection { expr: parse("customer = nobody or run > 1h").unwrap(), ..Selection::default() };
    let each = |_: &Row, _: &Names| ControlFlow::Continue(());
    let report =
        tools::scan(&mut open(&bytes), &mut Names::default(), &selection, &mut |_, _| {}, each).unwrap();
    assert_eq!((report.read_blocks, report.skipped_blocks), (0, blocks(&open(&bytes)).len()));
}

#[test]
fn heads_and_rows_give_the_same_totals() {
    let mut names = Names::default();
    let (rows, _) = records(&SynthConfig { span: 120.0, ..small() }, &mut names);
    let bytes = file(&names, &rows, &[], 50, true);
    for by in [
        GroupBy::Product,
        GroupBy::Customer,
        GroupBy::Caller,
        GroupBy::Reason,
        GroupBy::Node,
        GroupBy::Interval,
    ] {
        let sum = |percentiles| {
            let (mut trace, mut names, selection) = (open(&bytes), Names::default(), Selection::default());
            tools::summarise(
                &mut trace,
                &mut names,
                &selection,
                Some(by),
                10_000_000,
                percentiles,
                &mut |_, _| {},
            )
            .unwrap()
        };
        let ((full, _), (quick, report)) = (sum(true), sum(false));
        assert_eq!(
            (&full.total, &full.groups, full.span),
            (&quick.total, &quick.groups, quick.span),
            "{by:?}"
        );
        assert_eq!(full.total.requests, rows.len() as u64);
        assert!(report.skipped_blocks > 0 || by == GroupBy::Caller, "{by:?}: no head was used");
    }
}

#[test]
fn anonymised_file_is_consistent_and_holds_no_original_names() {
    let mut names = Names::default();
    let (mut rows, _) = records(&small(), &mut names);
    // Large caller numbers, recognisable in the encoded bytes.
    rows.iter_mut()
        .for_each(|row| row.caller = row.caller.wrapping_mul(0x1000_0001).wrapping_add(0x5ea1_0000));
    let bytes = file(&names, &rows, &[], 100, true);
    let anonymise = |key: u8, floor| {
        let mut writer = Writer::new(Vec::new(), &meta("n1")).unwrap();
        tools::anonymise(&mut open(&bytes), &[key; 32], floor, false, &mut writer, &mut |_, _| {}).unwrap();
        let anonymised = writer.seal().unwrap();
        let mut read_names = Names::default();
        let rows = rows_of(&mut open(&anonymised), &mut read_names);
        let customers: Vec<String> =
            rows.iter().map(|row| read_names.text(row.customer).to_owned()).collect();
        (anonymised, rows, read_names, customers)
    };
    let (anonymised, new, read_names, customers) = anonymise(1, 0);
    assert_eq!(new.len(), rows.len());
    let old: std::collections::HashSet<&str> = rows.iter().map(|row| names.text(row.customer)).collect();
    assert!(old.iter().all(|name| !read_names.words().iter().any(|word| word.contains(name))));
    // Neither the decoded rows nor the encoded bytes hold the originals.
    for (before, after) in rows.iter().zip(&new) {
        assert!(before.caller != after.caller && before.name != after.name);
        assert!(before.key == 0 || before.key != after.key);
        assert!(!anonymised.windows(6).any(|w| before.key != 0 && w == &before.key.to_le_bytes()[..6]));
    }
    assert!(old.iter().all(|name| !anonymised.windows(name.len()).any(|w| w == name.as_bytes())));
    // Retries still share a key.
    let same = |rows: &[Row]| -> Vec<usize> {
        rows.iter().map(|row| rows.iter().position(|other| other.key == row.key).unwrap()).collect()
    };
    assert_eq!(same(&rows), same(&new));
    assert_eq!(customers, anonymise(1, 0).3);
    let other = anonymise(2, 0).3;
    assert!(customers.iter().zip(&other).all(|(a, b)| a != b));
    let floored = anonymise(1, 40).3;
    let count = |name: &str| customers.iter().filter(|c| *c == name).count();
    for (plain, under) in customers.iter().zip(&floored) {
        assert_eq!(if count(plain) < 40 { "rare" } else { plain }, under);
    }
    assert!(floored.iter().any(|name| name == "rare") && floored.iter().any(|name| name != "rare"));
}

#[test]
fn skips_unknown_frames_of_later_minor_version() {
    let mut names = Names::default();
    let (rows, notes) = fixed_records(&mut names);
    let mut payloads = version_1_file(&names, &rows, &notes);
    // A frame of an unknown kind.
    let payload = [9u8, 1, 2, 3];
    payloads.push(puffinladder_trace::v1::FRAME_MARK);
    payloads.extend((payload.len() as u16).to_le_bytes());
    payloads.extend(crc32c::crc32c(&payload).to_le_bytes());
    payloads.extend(payload);
    let mut trace: Trace<Cursor<Vec<u8>>> = open(&payloads);
    assert!(trace.damage.is_empty());
    assert_eq!(readable(&mut trace).0.len(), 3);
}
