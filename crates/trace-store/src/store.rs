//! The archive's disk. A block, what is taken of its file and the epoch it came under are written in one transaction, so that no crash leaves one
//! of them without the others.

use crate::core::{Core, Write};
use crate::words::{Source, Taken};
use puffinladder_leases::fence::FenceRecord;
use puffinladder_leases::Task;
use redb::{Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;

const FACTS: TableDefinition<&str, u32> = TableDefinition::new("facts");
const FENCE: TableDefinition<(&str, u32), &[u8]> = TableDefinition::new("fence");
const FILES: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("files");
const BLOCKS: TableDefinition<(&str, &str, u64), &[u8]> = TableDefinition::new("blocks");
const SCHEMA: u32 = 1;
const CACHE: usize = 16 << 20;
type Any = Box<dyn std::error::Error>;

#[derive(Debug, Error)]
pub enum Fault {
    #[error("{0}: another process has it open")]
    Taken(PathBuf),
    #[error("{path}: written as version {found}, this program reads version {SCHEMA}")]
    Schema { path: PathBuf, found: u32 },
    #[error("{path}: {what}")]
    Store { path: PathBuf, what: String },
}

/// A file as it is kept.
#[derive(Default, Serialize, Deserialize)]
struct Kept {
    taken: Taken,
    bytes: u64,
    /// Counts the files that were done.
    order: u64,
}

/// Bugs that the proving ground plants, and must find out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Epochs are kept in memory only.
    ForgetsEpochs,
    /// What was judged is written first, and the block after it.
    TwoSteps,
}

impl std::str::FromStr for Planted {
    type Err = String;
    fn from_str(text: &str) -> Result<Planted, String> {
        match text {
            "forgets-epochs" => Ok(Planted::ForgetsEpochs),
            "two-steps" => Ok(Planted::TwoSteps),
            _ => Err("should be forgets-epochs or two-steps".into()),
        }
    }
}

impl std::fmt::Display for Planted {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.write_str(match self {
            Planted::ForgetsEpochs => "forgets-epochs",
            Planted::TwoSteps => "two-steps",
        })
    }
}

pub struct Store {
    db: Database,
    path: PathBuf,
    orders: u64,
    planted: Option<Planted>,
}

impl Store {
    /// Opens the archive in a folder, and begins one where there is none.
    pub fn open(folder: &Path, most: u64) -> Result<(Store, Core), Fault> {
        let path = folder.join("archive.redb");
        let failed = |what: String| Fault::Store { path: path.clone(), what };
        std::fs::create_dir_all(folder).map_err(|e| failed(e.to_string()))?;
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE);
        let db = builder.create(&path).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => Fault::Taken(path.clone()),
            e => failed(e.to_string()),
        })?;
        let mut store = Store { db, path: path.clone(), orders: 0, planted: None };
        match store.schema().map_err(|e| failed(e.to_string()))? {
            SCHEMA => {}
            found => return Err(Fault::Schema { path, found }),
        }
        let core = store.read(most).map_err(|e| failed(e.to_string()))?;
        Ok((store, core))
    }

    pub fn plant(&mut self, planted: Option<Planted>) {
        self.planted = planted;
    }

    fn schema(&self) -> Result<u32, Any> {
        let tx = self.db.begin_write()?;
        let found = {
            let mut facts = tx.open_table(FACTS)?;
            let found = facts.get("schema")?.map(|value| value.value());
            if found.is_none() {
                facts.insert("schema", SCHEMA)?;
            }
            tx.open_table(FENCE)?;
            tx.open_table(FILES)?;
            tx.open_table(BLOCKS)?;
            found.unwrap_or(SCHEMA)
        };
        tx.commit()?;
        Ok(found)
    }

    fn read(&mut self, most: u64) -> Result<Core, Any> {
        let tx = self.db.begin_read()?;
        let mut seen = Vec::new();
        for row in tx.open_table(FENCE)?.iter()? {
            let (key, value) = row?;
            let (name, part) = key.value();
            seen.push((Task::new(name, part), decode::<FenceRecord>(value.value())?));
        }
        let mut files: Vec<(u64, Source, Taken, u64)> = Vec::new();
        for row in tx.open_table(FILES)?.iter()? {
            let (key, value) = row?;
            let (server, file) = key.value();
            let kept: Kept = decode(value.value())?;
            let source = Source { server: server.into(), file: file.into() };
            files.push((kept.order, source, kept.taken, kept.bytes));
            self.orders = self.orders.max(kept.order);
        }
        files.sort_by_key(|(order, ..)| *order);
        let files = files.into_iter().map(|(_, source, taken, bytes)| (source, taken, bytes));
        Ok(Core::new(most, seen, files))
    }

    /// Brings these to disk together, with one sync. When it fails none of them may be taken for written.
    pub fn keep(&mut self, writes: &[(Write, Vec<u8>)]) -> Result<(), Fault> {
        let written = match self.planted {
            Some(Planted::TwoSteps) => self.write(writes, true, false).and_then(|()| {
                std::thread::sleep(std::time::Duration::from_millis(20));
                self.write(writes, false, true)
            }),
            _ => self.write(writes, true, true),
        };
        written.map_err(|e| Fault::Store { path: self.path.clone(), what: e.to_string() })
    }

    /// What was judged, the blocks, or both.
    fn write(&mut self, writes: &[(Write, Vec<u8>)], judged: bool, with_blocks: bool) -> Result<(), Any> {
        let tx = self.db.begin_write()?;
        {
            let mut fence = tx.open_table(FENCE)?;
            let mut files = tx.open_table(FILES)?;
            let mut blocks = tx.open_table(BLOCKS)?;
            for (write, block) in writes {
                let seen = postcard::to_allocvec(&write.seen)?;
                if judged && self.planted != Some(Planted::ForgetsEpochs) {
                    fence.insert((write.duty.name.as_str(), write.duty.part), seen.as_slice())?;
                }
                if let Some(Source { server, file }) = &write.unknown {
                    let (server, file) = (server.as_str(), file.as_str());
                    blocks.retain_in((server, file, 0)..=(server, file, u64::MAX), |_, _| false)?;
                    files.remove((server, file))?;
                }
                for Source { server, file } in &write.forget {
                    let (server, file) = (server.as_str(), file.as_str());
                    blocks.retain_in((server, file, 0)..=(server, file, u64::MAX), |_, _| false)?;
                    let kept = files.get((server, file))?.map(|v| decode::<Kept>(v.value())).transpose()?;
                    let kept = postcard::to_allocvec(&Kept { bytes: 0, ..kept.unwrap_or_default() })?;
                    files.insert((server, file), kept.as_slice())?;
                }
                let Some((Source { server, file }, place, taken)) = &write.piece else { continue };
                let key = (server.as_str(), file.as_str());
                if with_blocks && !block.is_empty() {
                    blocks.insert((key.0, key.1, *place), block.as_slice())?;
                }
                if !judged {
                    continue;
                }
                let before = files.get(key)?.map(|value| decode::<Kept>(value.value())).transpose()?;
                let bytes = before.map_or(0, |kept| kept.bytes) + block.len() as u64;
                self.orders += u64::from(taken.done);
                let order = if taken.done { self.orders } else { 0 };
                let kept = postcard::to_allocvec(&Kept { taken: *taken, bytes, order })?;
                files.insert(key, kept.as_slice())?;
            }
        }
        Ok(tx.commit()?)
    }

    /// All files that have blocks, in the order of their names.
    pub fn files(&self) -> Result<Vec<Source>, Fault> {
        let read = || -> Result<Vec<Source>, Any> {
            let tx = self.db.begin_read()?;
            let mut all = Vec::new();
            for row in tx.open_table(FILES)?.iter()? {
                let (key, value) = row?;
                let (server, file) = key.value();
                if decode::<Kept>(value.value())?.bytes > 0 {
                    all.push(Source { server: server.into(), file: file.into() });
                }
            }
            Ok(all)
        };
        read().map_err(|e| Fault::Store { path: self.path.clone(), what: e.to_string() })
    }

    /// Hands out the blocks of a file, one after the other.
    pub fn blocks(
        &self,
        source: &Source,
        mut each: impl FnMut(Vec<u8>) -> Result<(), String>,
    ) -> Result<(), Fault> {
        let (server, file) = (source.server.as_str(), source.file.as_str());
        let mut read = || -> Result<(), Any> {
            let tx = self.db.begin_read()?;
            let table = tx.open_table(BLOCKS)?;
            for row in table.range((server, file, 0)..=(server, file, u64::MAX))? {
                each(row?.1.value().to_vec())?;
            }
            Ok(())
        };
        read().map_err(|e| Fault::Store { path: self.path.clone(), what: e.to_string() })
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Any> {
    Ok(postcard::from_bytes(bytes)?)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::Piece;

    fn piece(file: &str, place: u64, last: bool) -> Piece {
        Piece { source: Source { server: "n1".into(), file: file.into() }, place, last }
    }

    #[test]
    fn what_was_kept_is_judged_by_after_a_restart() {
        let folder = tempfile::tempdir().unwrap();
        let duty = Task::new("gather", 3);
        let (mut store, mut core) = Store::open(folder.path(), 100).unwrap();
        assert!(matches!(Store::open(folder.path(), 100), Err(Fault::Taken(_))));
        let writes = [core.announce(&duty, 7).1.unwrap()];
        core.note(&writes[0], 0);
        store.keep(&[(writes[0].clone(), Vec::new())]).unwrap();
        for (number, (place, last)) in [(0, false), (1, true)].into_iter().enumerate() {
            let (_, write) = core.put(&duty, 7, number as u64 + 1, &piece("a", place, last), 40);
            let write = write.unwrap();
            core.note(&write, 40);
            store.keep(&[(write, vec![place as u8; 40])]).unwrap();
        }
        drop(store);
        let (mut store, mut core) = Store::open(folder.path(), 100).unwrap();
        assert_eq!((core.seen(&duty), core.bytes()), (FenceRecord { epoch: 7, number: 2 }, 80));
        assert!(core.put(&duty, 6, 1, &piece("b", 0, true), 1).1.is_none());
        // The next one needs room: the oldest whole file goes, also from the disk.
        let write = core.put(&duty, 7, 3, &piece("b", 0, true), 40).1.unwrap();
        core.note(&write, 40);
        store.keep(&[(write, vec![9; 40])]).unwrap();
        let mut seen = Vec::new();
        for source in store.files().unwrap() {
            store
                .blocks(&source, |block| {
                    seen.push((source.file.clone(), block[0]));
                    Ok(())
                })
                .unwrap();
        }
        assert_eq!(seen, [("b".to_string(), 9)]);
        drop(store);
        let (_, core) = Store::open(folder.path(), 100).unwrap();
        assert!(core.files().any(|(source, taken)| source.file == "a" && taken.done) && core.bytes() == 40);
    }
}
