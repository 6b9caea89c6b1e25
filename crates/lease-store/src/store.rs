//! A keeper's disk: one file of an embedded store with checksums, in which all saves that wait become durable together.
//! A keeper that can't read its file must not vote: it joins anew under another number instead.

use crate::log::{Disk, Kept, Save};
use redb::{Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Version of what is written in the two tables.
const SCHEMA: u32 = 1;
/// What can go wrong in the store, for [`Fault`] to tell with its path.
type Any = Box<dyn std::error::Error>;
/// Bytes of the store that are held in memory.
const CACHE: usize = 8 << 20;

#[derive(Debug, Error)]
pub enum Fault {
    #[error("{path}: another process has it open")]
    Taken { path: PathBuf },
    #[error(
        "{path}: it holds a keeper already; start without founding, or remove it and join as a new keeper"
    )]
    Founded { path: PathBuf },
    #[error("{path}: there is no keeper's disk here; found it, or join the others as a new keeper")]
    Missing { path: PathBuf },
    #[error("{path}: written as version {found}, this program reads version {SCHEMA}")]
    Schema { path: PathBuf, found: u32 },
    #[error("{path}: {what}; this keeper must not vote with it, join the others as a new keeper")]
    Torn { path: PathBuf, what: String },
    #[error("{path}: {what}")]
    Store { path: PathBuf, what: String },
}

pub struct Store {
    db: Database,
    path: PathBuf,
    id: u64,
}

impl Store {
    /// A first disk of keeper `id` among these. There must be none yet.
    pub fn found(path: &Path, id: u64, voters: &[u64]) -> Result<(Store, Disk), Fault> {
        Store::create(path, id, Disk::found(voters))
    }

    /// A first disk of a keeper that joins others, under a number that was never used.
    pub fn join(path: &Path, id: u64) -> Result<(Store, Disk), Fault> {
        Store::create(path, id, Disk::join())
    }

    fn create(path: &Path, id: u64, disk: Disk) -> Result<(Store, Disk), Fault> {
        if path.exists() {
            return Err(Fault::Founded { path: path.into() });
        }
        // Written whole under another name first, so that a crash leaves none or a whole one.
        let mut half = path.to_path_buf().into_os_string();
        half.push(".new");
        let half = PathBuf::from(half);
        let _ = std::fs::remove_file(&half);
        let store = Store { db: open(&half, true)?, path: path.into(), id };
        store.write(|tx| {
            let mut facts = tx.open_table(FACTS)?;
            put(&mut facts, "schema", &SCHEMA)?;
            put(&mut facts, "keeper", &id)?;
            put(&mut facts, "vote", &disk.vote)?;
            put(&mut facts, "shot", &disk.shot)?;
            tx.open_table(ENTRIES)?;
            Ok(())
        })?;
        drop(store);
        let stored = |e: std::io::Error| Fault::Store { path: path.into(), what: e.to_string() };
        std::fs::rename(&half, path).map_err(stored)?;
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(stored)?;
        Store::open(path)
    }

    /// The disk as it was left, however its process ended.
    pub fn open(path: &Path) -> Result<(Store, Disk), Fault> {
        if !path.exists() {
            return Err(Fault::Missing { path: path.into() });
        }
        let db = open(path, false)?;
        let torn = |e: Any| Fault::Torn { path: path.into(), what: e.to_string() };
        let found = schema(&db).map_err(torn)?;
        if found != SCHEMA {
            return Err(Fault::Schema { path: path.into(), found });
        }
        let (id, disk) = read(&db).map_err(torn)?;
        Ok((Store { db, path: path.into(), id }, disk))
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    /// Brings these saves to disk, in their order and with one sync. When it returns they are durable; when it fails none of
    /// them may be taken for that.
    pub fn keep(&self, saves: &[Save]) -> Result<(), Fault> {
        if saves.iter().all(Save::is_empty) {
            return Ok(());
        }
        self.write(|tx| {
            let (mut entries, mut facts) = (tx.open_table(ENTRIES)?, tx.open_table(FACTS)?);
            for save in saves {
                if let Some(shot) = &save.shot {
                    put(&mut facts, "shot", shot)?;
                    entries.retain_in(..=shot.index, |_, _| false)?;
                }
                if let Some(first) = save.entries.first() {
                    entries.retain_in(first.index.., |_, _| false)?;
                }
                for entry in &save.entries {
                    let bytes = postcard::to_allocvec(entry)?;
                    entries.insert(entry.index, bytes.as_slice())?;
                }
                if let Some(vote) = &save.vote {
                    put(&mut facts, "vote", vote)?;
                }
            }
            Ok(())
        })
    }

    fn write(&self, change: impl FnOnce(&redb::WriteTransaction) -> Result<(), Any>) -> Result<(), Fault> {
        let written = || -> Result<(), Any> {
            let tx = self.db.begin_write()?;
            change(&tx)?;
            Ok(tx.commit()?)
        };
        written().map_err(|e| Fault::Store { path: self.path.clone(), what: e.to_string() })
    }
}

/// The version that a file was written as; the rest is read only if it is ours.
fn schema(db: &Database) -> Result<u32, Any> {
    fact(&db.begin_read()?.open_table(FACTS)?, "schema")
}

fn read(db: &Database) -> Result<(u64, Disk), Any> {
    let tx = db.begin_read()?;
    let facts = tx.open_table(FACTS)?;
    let (id, vote, shot) = (fact(&facts, "keeper")?, fact(&facts, "vote")?, fact(&facts, "shot")?);
    let mut entries: Vec<Kept> = Vec::new();
    for row in tx.open_table(ENTRIES)?.iter()? {
        let (index, value) = row?;
        entries
            .push(postcard::from_bytes(value.value()).map_err(|e| format!("entry {}: {e}", index.value()))?);
    }
    let disk = Disk { vote, shot, entries };
    disk.check()?;
    Ok((id, disk))
}

fn fact<T: DeserializeOwned>(
    facts: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<T, Any> {
    let value = facts.get(name)?.ok_or_else(|| format!("{name} is missing"))?;
    Ok(postcard::from_bytes(value.value()).map_err(|e| format!("{name}: {e}"))?)
}

fn open(path: &Path, new: bool) -> Result<Database, Fault> {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
    let opened = if new { builder.create(path) } else { builder.open(path) };
    opened.map_err(|e| match e {
        DatabaseError::DatabaseAlreadyOpen => Fault::Taken { path: path.into() },
        e => Fault::Torn { path: path.into(), what: e.to_string() },
    })
}

fn put<T: Serialize>(
    facts: &mut redb::Table<&'static str, &'static [u8]>,
    name: &str,
    value: &T,
) -> Result<(), Any> {
    let bytes = postcard::to_allocvec(value)?;
    facts.insert(name, bytes.as_slice())?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::log::{Shot, Vote};

    fn kept(index: u64, term: u64) -> Kept {
        Kept { index, term, kind: 0, data: vec![7; 300], context: Vec::new() }
    }

    fn saves() -> Vec<Save> {
        let vote = |term, commit| Some(Vote { term, vote: 2, commit });
        let shot = Shot { index: 3, term: 2, voters: vec![1, 2, 3], learners: vec![], table: vec![1; 500] };
        vec![
            Save {
                number: 1,
                vote: vote(2, 1),
                entries: vec![kept(2, 2), kept(3, 2), kept(4, 2)],
                shot: None,
            },
            Save { number: 2, vote: vote(3, 3), entries: vec![kept(4, 3), kept(5, 3)], shot: None },
            Save { number: 0, vote: None, entries: vec![], shot: Some(shot) },
            Save { number: 3, vote: vote(3, 5), entries: vec![kept(6, 3)], shot: None },
        ]
    }

    #[test]
    fn what_was_kept_is_there_after_a_restart_and_as_a_disk_in_memory_would_have_it() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("keeper");
        let (mut store, mut disk) = Store::found(&path, 2, &[1, 2, 3]).unwrap();
        for save in saves() {
            store.keep(std::slice::from_ref(&save)).unwrap();
            disk.keep(&save);
            drop(store);
            let (again, read) = Store::open(&path).unwrap();
            assert_eq!((again.id(), &read), (2, &disk));
            store = again;
        }
        // The same in one sync.
        let other = folder.path().join("other");
        let (store, _) = Store::found(&other, 2, &[1, 2, 3]).unwrap();
        store.keep(&saves()).unwrap();
        drop(store);
        assert_eq!(Store::open(&other).unwrap().1, disk);
    }

    #[test]
    fn a_disk_belongs_to_one_process_and_is_founded_once() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("keeper");
        let missing = Store::open(&path).err().unwrap().to_string();
        assert!(missing.contains("no keeper's disk") && missing.contains("keeper"), "{missing}");
        let held = Store::found(&path, 1, &[1, 2, 3]).unwrap();
        assert!(matches!(Store::open(&path), Err(Fault::Taken { .. })));
        assert!(matches!(Store::found(&path, 1, &[1, 2, 3]), Err(Fault::Founded { .. })));
        drop(held);
        Store::open(&path).unwrap();
    }

    #[test]
    fn a_file_that_was_cut_or_written_over_is_refused_or_read_as_it_was_and_never_panics() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("keeper");
        let (store, mut disk) = Store::found(&path, 2, &[1, 2, 3]).unwrap();
        store.keep(&saves()).unwrap();
        saves().iter().for_each(|save| disk.keep(save));
        drop(store);
        let whole = std::fs::read(&path).unwrap();
        let torn = folder.path().join("torn");
        let mut refused = 0;
        let mut look = |bytes: &[u8]| {
            std::fs::write(&torn, bytes).unwrap();
            match Store::open(&torn) {
                Ok((_, read)) => assert_eq!(read, disk),
                Err(fault) => {
                    refused += 1;
                    assert!(fault.to_string().contains("torn"), "{fault}");
                }
            }
        };
        for part in 0..32 {
            look(&whole[..whole.len() * part / 32]);
        }
        for place in (0..whole.len()).step_by(whole.len() / 200) {
            let mut bytes = whole.clone();
            bytes[place] ^= 0x55;
            look(&bytes);
        }
        assert!(refused > 32, "{refused}");
    }
}
