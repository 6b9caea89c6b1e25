//! The number of a steward's life: it rises with every start, whatever the wall clock says by then.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The next number, durable before it is used: above all earlier ones and, where they are lost, above what the clock gave them.
pub fn next(folder: &Path, unix: f64) -> Result<u64, String> {
    let path = folder.join("life");
    let failed = |e: io::Error| format!("{}: {e}", path.display());
    fs::create_dir_all(folder).map_err(failed)?;
    let last = match fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().map_err(|_| {
            format!("{}: not a number; remove it if this steward has not run for ten minutes", path.display())
        })?,
        Err(e) if e.kind() == io::ErrorKind::NotFound => 0u64,
        Err(e) => return Err(failed(e)),
    };
    let life = last.saturating_add(1).max((unix * 1e6) as u64);
    let half = folder.join("life.new");
    let write = || -> io::Result<()> {
        let mut file = File::create(&half)?;
        writeln!(file, "{life}")?;
        file.sync_all()?;
        fs::rename(&half, &path)?;
        File::open(folder)?.sync_all()
    };
    write().map_err(failed)?;
    Ok(life)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_rises_though_the_wall_clock_stepped_back_and_a_torn_file_is_told() {
        let folder = std::env::temp_dir().join(format!("puffinladder-life-{}", std::process::id()));
        let first = next(&folder, 1000.0).unwrap();
        assert_eq!(next(&folder, 5.0).unwrap(), first + 1);
        assert!(next(&folder, 2000.0).unwrap() >= 2_000_000_000);
        fs::write(folder.join("life"), "2x").unwrap();
        assert!(next(&folder, 2000.0).unwrap_err().contains("life: not a number"));
        fs::remove_dir_all(folder).unwrap();
    }
}
