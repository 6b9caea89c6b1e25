use super::*;

#[test]
fn it_rises_though_the_wall_clock_stepped_back_and_a_torn_file_is_told() {
    let folder = std::env::temp_dir().join(format!("puffinladder-life-{}", std::process::id()));
    let first = next(&folder, 1000.0).unwrap();
    assert_eq!(next(&folder, 5.0).unwrap(), first + 1);
    assert!(next(&folder, 2000.0).unwrap() >= 2_000_000_000);
    fs::write(folder.join("life"), "2x").unwrap();
    assert!(next(&folder, 2000.0).unwrap_err().to_string().contains("life: not a number"));
    fs::remove_dir_all(folder).unwrap();
}
