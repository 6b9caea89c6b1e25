//! The replica's file: an embedded key-value store with checksums, in which all writes that wait become durable together. A replica that can't
//! read its file must not vote: it joins again under another number instead.

use crate::durable::{CorruptState, DurableState, PendingWrite, StoredEntry};
use redb::{Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const METADATA: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Keys in the table of metadata. They are part of the format.
const SCHEMA_KEY: &str = "schema";
const REPLICA_NUMBER_KEY: &str = "keeper";
const HARD_STATE_KEY: &str = "vote";
const SNAPSHOT_KEY: &str = "shot";
/// Version of what is written in the two tables.
const SCHEMA_VERSION: u32 = 1;
/// Bytes of the file that are cached in memory: far more than the log between two snapshots.
const CACHE_BYTES: usize = 8 << 20;

/// Why the file can't be opened or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("{path}: another process has it open")]
    InUse {
        /// The file.
        path: PathBuf,
    },
    /// A file is to be created where there is one.
    #[error(
        "{path}: it holds a replica already; start without --found, or remove it and join as a new replica"
    )]
    AlreadyExists {
        /// The file.
        path: PathBuf,
    },
    /// There is no file to open.
    #[error("{path}: there is no keeper's disk here; found it, or join the others as a new replica")]
    Missing {
        /// The file.
        path: PathBuf,
    },
    /// Another version of this program wrote the file.
    #[error("{path}: written as version {found}, this program reads version {SCHEMA_VERSION}")]
    UnsupportedSchema {
        /// The file.
        path: PathBuf,
        /// The version in the file.
        found: u32,
    },
    /// The file is not as a replica left it.
    #[error("{path}: {source}; this replica must not vote with it, join the others as a new replica")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: StoreContentError,
    },
    /// A write failed.
    #[error("{path}: {source}")]
    Write {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: StoreContentError,
    },
}

/// What can go wrong inside the file.
#[derive(Debug, Error)]
pub enum StoreContentError {
    /// The embedded store failed.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// The file system failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A value can't be written.
    #[error("{0}")]
    Encode(postcard::Error),
    /// A fact is missing.
    #[error("{0} is missing")]
    MissingValue(&'static str),
    /// A fact can't be read.
    #[error("{key}: {source}")]
    Value {
        /// The fact's key.
        key: &'static str,
        /// Why it can't be read.
        source: postcard::Error,
    },
    /// An entry of the log can't be read.
    #[error("entry {index}: {source}")]
    Entry {
        /// The entry's key.
        index: u64,
        /// Why it can't be read.
        source: postcard::Error,
    },
    /// Everything can be read, and does not fit together.
    #[error("{0}")]
    Corrupt(#[from] CorruptState),
}

/// The errors of each step in the embedded store, all of which are a [`StoreContentError::Database`].
macro_rules! database_errors {
    ($($error:ty),*) => {
        $(impl From<$error> for StoreContentError {
            fn from(error: $error) -> StoreContentError {
                StoreContentError::Database(error.into())
            }
        })*
    };
}
database_errors!(
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError,
    redb::DatabaseError
);

/// A replica's open file.
pub struct Store {
    database: Database,
    path: PathBuf,
    id: u64,
}

impl Store {
    /// Creates the file of replica `id` in a new cluster of these voters, and opens it.
    ///
    /// # Errors
    /// There is a file at this path, or it can't be written.
    pub fn bootstrap(path: &Path, id: u64, voters: &[u64]) -> Result<(Store, DurableState), StoreError> {
        Store::create(path, id, DurableState::bootstrap(voters))
    }

    /// Creates the file of a replica that joins a running cluster under a number that was never used, and opens it.
    ///
    /// # Errors
    /// There is a file at this path, or it can't be written.
    pub fn join(path: &Path, id: u64) -> Result<(Store, DurableState), StoreError> {
        Store::create(path, id, DurableState::join())
    }

    fn create(path: &Path, id: u64, durable: DurableState) -> Result<(Store, DurableState), StoreError> {
        if path.exists() {
            return Err(StoreError::AlreadyExists { path: path.into() });
        }
        // Written under another name first, so that a crash leaves no file or a complete one.
        let temporary = temporary_path(path);
        let _ = std::fs::remove_file(&temporary);
        let store = Store { database: open_database(&temporary, true)?, path: path.into(), id };
        store.transact(|transaction| {
            let mut metadata = transaction.open_table(METADATA)?;
            put_value(&mut metadata, SCHEMA_KEY, &SCHEMA_VERSION)?;
            put_value(&mut metadata, REPLICA_NUMBER_KEY, &id)?;
            put_value(&mut metadata, HARD_STATE_KEY, &durable.hard_state)?;
            put_value(&mut metadata, SNAPSHOT_KEY, &durable.snapshot)?;
            transaction.open_table(ENTRIES)?;
            Ok(())
        })?;
        drop(store);
        let failed = |error: std::io::Error| StoreError::Write { path: path.into(), source: error.into() };
        std::fs::rename(&temporary, path).map_err(failed)?;
        sync_parent_directory(path).map_err(failed)?;
        Store::open(path)
    }

    /// Opens the file as its process left it, however that ended.
    ///
    /// # Errors
    /// There is no file, another process has it open, or it can't be read as a whole.
    pub fn open(path: &Path) -> Result<(Store, DurableState), StoreError> {
        if !path.exists() {
            return Err(StoreError::Missing { path: path.into() });
        }
        let database = open_database(path, false)?;
        let unreadable = |source: StoreContentError| StoreError::Unreadable { path: path.into(), source };
        let found = read_schema_version(&database).map_err(unreadable)?;
        if found != SCHEMA_VERSION {
            return Err(StoreError::UnsupportedSchema { path: path.into(), found });
        }
        let (id, durable) = read_state(&database).map_err(unreadable)?;
        Ok((Store { database, path: path.into(), id }, durable))
    }

    /// Number of the replica that the file belongs to.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Makes these writes durable, in their order and with one sync.
    ///
    /// # Errors
    /// The file can't be written; then none of the writes may be taken for durable.
    pub fn write(&self, writes: &[PendingWrite]) -> Result<(), StoreError> {
        if writes.iter().all(PendingWrite::is_empty) {
            return Ok(());
        }
        self.transact(|transaction| {
            let mut entries = transaction.open_table(ENTRIES)?;
            let mut metadata = transaction.open_table(METADATA)?;
            for write in writes {
                apply_write(&mut entries, &mut metadata, write)?;
            }
            Ok(())
        })
    }

    /// Runs a change as one transaction, with a sync at its end.
    fn transact(
        &self,
        change: impl FnOnce(&redb::WriteTransaction) -> Result<(), StoreContentError>,
    ) -> Result<(), StoreError> {
        let committed = || -> Result<(), StoreContentError> {
            let transaction = self.database.begin_write()?;
            change(&transaction)?;
            Ok(transaction.commit()?)
        };
        committed().map_err(|source| StoreError::Write { path: self.path.clone(), source })
    }
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.to_path_buf().into_os_string();
    name.push(".new");
    PathBuf::from(name)
}

/// Makes a rename in the directory of this path durable.
fn sync_parent_directory(path: &Path) -> std::io::Result<()> {
    let directory =
        path.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    std::fs::File::open(directory).and_then(|directory| directory.sync_all())
}

/// The version that a file was written as; the rest is read only if it is ours.
fn read_schema_version(database: &Database) -> Result<u32, StoreContentError> {
    read_value(&database.begin_read()?.open_table(METADATA)?, SCHEMA_KEY)
}

fn read_state(database: &Database) -> Result<(u64, DurableState), StoreContentError> {
    let transaction = database.begin_read()?;
    let metadata = transaction.open_table(METADATA)?;
    let id = read_value(&metadata, REPLICA_NUMBER_KEY)?;
    let hard_state = read_value(&metadata, HARD_STATE_KEY)?;
    let snapshot = read_value(&metadata, SNAPSHOT_KEY)?;
    let mut entries: Vec<StoredEntry> = Vec::new();
    for row in transaction.open_table(ENTRIES)?.iter()? {
        let (index, value) = row?;
        let entry = postcard::from_bytes(value.value())
            .map_err(|source| StoreContentError::Entry { index: index.value(), source })?;
        entries.push(entry);
    }
    let durable = DurableState { hard_state, snapshot, entries };
    durable.check()?;
    Ok((id, durable))
}

fn open_database(path: &Path, create: bool) -> Result<Database, StoreError> {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
    let opened = if create { builder.create(path) } else { builder.open(path) };
    opened.map_err(|error| match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.into() },
        error => StoreError::Unreadable { path: path.into(), source: error.into() },
    })
}

fn read_value<T: DeserializeOwned>(
    metadata: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &'static str,
) -> Result<T, StoreContentError> {
    let value = metadata.get(key)?.ok_or(StoreContentError::MissingValue(key))?;
    postcard::from_bytes(value.value()).map_err(|source| StoreContentError::Value { key, source })
}

fn put_value<T: Serialize>(
    metadata: &mut redb::Table<&'static str, &'static [u8]>,
    key: &'static str,
    value: &T,
) -> Result<(), StoreContentError> {
    let bytes = postcard::to_allocvec(value).map_err(StoreContentError::Encode)?;
    metadata.insert(key, bytes.as_slice())?;
    Ok(())
}

fn apply_write(
    entries: &mut redb::Table<u64, &'static [u8]>,
    metadata: &mut redb::Table<&'static str, &'static [u8]>,
    write: &PendingWrite,
) -> Result<(), StoreContentError> {
    if let Some(snapshot) = &write.snapshot {
        put_value(metadata, SNAPSHOT_KEY, snapshot)?;
        entries.retain_in(..=snapshot.index, |_, _| false)?;
    }
    if let Some(first) = write.entries.first() {
        entries.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &write.entries {
        let bytes = postcard::to_allocvec(entry).map_err(StoreContentError::Encode)?;
        entries.insert(entry.index, bytes.as_slice())?;
    }
    if let Some(hard_state) = &write.hard_state {
        put_value(metadata, HARD_STATE_KEY, hard_state)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
