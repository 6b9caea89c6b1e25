use super::*;

#[test]
fn increases_despite_clock_steps_and_rejects_damaged_file() {
    let directory = std::env::temp_dir().join(format!("puffinladder-life-{}", std::process::id()));
    let first = next(&directory, 1000.0).unwrap();
    assert_eq!(next(&directory, 5.0).unwrap(), first + 1);
    assert!(next(&directory, 2000.0).unwrap() >= 2_000_000_000);
    fs::write(directory.join("life"), "2x").unwrap();
    assert!(next(&directory, 2000.0).unwrap_err().to_string().contains("life: not a number"));
    fs::remove_dir_all(directory).unwrap();
}
