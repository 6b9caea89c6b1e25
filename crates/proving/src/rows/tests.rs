use super::*;

#[test]
fn rows_that_are_missing_or_stand_twice_are_counted() {
    let folder = tempfile::tempdir().unwrap();
    let (mut all, mut one) = (Rows::default(), Rows::default());
    write(folder.path(), "n1", 1, 2, &mut one).unwrap();
    write(folder.path(), "n1", 1, 2, &mut all).unwrap();
    write(folder.path(), "n1", 2, 2, &mut all).unwrap();
    let file = Rows::read(&folder.path().join("n1-0000000001.trace")).unwrap();
    assert_eq!((one.against(&file), file.len() > 16), ((0, 0), true));
    assert!(all.against(&file).0 > 0 && all.against(&file).1 == 0);
    let mut twice = file.clone();
    twice.0.values_mut().for_each(|count| *count = 2);
    assert_eq!(one.against(&twice), (0, file.len()));
}
