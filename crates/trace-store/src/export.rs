//! Writes what was gathered as one trace, in the order of time.

use crate::store::Store;
use puffinladder_trace::file::{unpack, Meta, Writer};
use puffinladder_trace::merge::Met;
use puffinladder_trace::tools::merge;
use puffinladder_trace::Trace;
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::Path;

/// Merges all files that the archive holds. `progress` is told how many rows of how many are written.
pub fn export(
    store: &Store,
    into: &Path,
    made: i64,
    progress: &mut dyn FnMut(usize, usize),
) -> Result<Met, String> {
    let name = into.display().to_string();
    let failed = |e: &dyn std::fmt::Display| format!("{name}: {e}");
    let folder = into.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    // Beside the file itself, so that there is room for both or for none.
    let parts = tempfile::tempdir_in(folder).map_err(|e| failed(&e))?;
    let mut traces = Vec::new();
    for (at, source) in store.files().map_err(|e| e.to_string())?.iter().enumerate() {
        let path = parts.path().join(format!("{at}.trace"));
        let file = BufWriter::new(File::create(&path).map_err(|e| failed(&e))?);
        let meta = Meta { node: source.server.clone(), made };
        let mut writer = Writer::new(file, &meta).map_err(|e| failed(&e))?;
        let put = |bytes| {
            let block =
                unpack(bytes).map_err(|bad| format!("{}/{}: {}", source.server, source.file, bad.0))?;
            writer.block(&block).map_err(|e| e.to_string())
        };
        store.blocks(source, put).map_err(|e| e.to_string())?;
        writer.seal().and_then(|mut file| file.flush()).map_err(|e| failed(&e))?;
        let read = BufReader::new(File::open(&path).map_err(|e| failed(&e))?);
        traces.push((Trace::open(read).map_err(|e| failed(&e))?, 0));
    }
    let half = parts.path().join("whole");
    let out = BufWriter::new(File::create(&half).map_err(|e| failed(&e))?);
    let mut writer = Writer::new(out, &Meta { node: "merged".into(), made }).map_err(|e| failed(&e))?;
    let met = merge(traces, &mut writer, progress).map_err(|e| failed(&e))?;
    writer.seal().and_then(|mut file| file.flush()).map_err(|e| failed(&e))?;
    std::fs::rename(&half, into).map_err(|e| failed(&e))?;
    Ok(met)
}
