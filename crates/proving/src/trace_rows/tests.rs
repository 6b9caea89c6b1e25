use super::*;

#[test]
fn counts_missing_and_duplicate_rows() {
    let folder = tempfile::tempdir().unwrap();
    let (mut all, mut one) = (RowCounts::default(), RowCounts::default());
    write_trace_file(folder.path(), "n1", 1, 2, &mut one).unwrap();
    write_trace_file(folder.path(), "n1", 1, 2, &mut all).unwrap();
    write_trace_file(folder.path(), "n1", 2, 2, &mut all).unwrap();
    let file = RowCounts::read(&folder.path().join("n1-0000000001.trace")).unwrap();
    assert_eq!((one.missing_and_extra(&file), file.len() > 16), ((0, 0), true));
    assert!(all.missing_and_extra(&file).0 > 0 && all.missing_and_extra(&file).1 == 0);
    let mut twice = file.clone();
    twice.0.values_mut().for_each(|count| *count = 2);
    assert_eq!(one.missing_and_extra(&twice), (0, file.len()));
}
