//! File of a replica: an embedded key-value store with checksums, which makes all queued writes durable together.
//!
//! A replica that can't read its file must not vote. It joins again under a new number instead.

use crate::durable::{CorruptState, DurableState, PendingWrite, StoredEntry};
use redb::{Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const METADATA: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Keys of the metadata table. They are part of the file format.
const SCHEMA_KEY: &str = "schema";
const REPLICA_NUMBER_KEY: &str = "keeper";
const HARD_STATE_KEY: &str = "vote";
const SNAPSHOT_KEY: &str = "shot";
/// Version of the file format.
const SCHEMA_VERSION: u32 = 1;
/// Size of the database cache, far above the size of the log between two snapshots.
const CACHE_BYTES: usize = 8 << 20;

/// Reason why the file can't be opened or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the file open.
    #[error("{path}: the file is open in another process")]
    InUse {
        /// The file.
        path: PathBuf,
    },
    /// The file to create already exists.
    #[error(
        "{path}: a replica file already exists; start without --found or --join, or remove the file and join under a new number"
    )]
    AlreadyExists {
        /// The file.
        path: PathBuf,
    },
    /// The file does not exist.
    #[error("{path}: replica file not found; start with --found for a new cluster, or with --join and a new number")]
    Missing {
        /// The file.
        path: PathBuf,
    },
    /// The file has another format version.
    #[error("{path}: format version {found}, expected {SCHEMA_VERSION}")]
    UnsupportedSchema {
        /// The file.
        path: PathBuf,
        /// Version of the file.
        found: u32,
    },
    /// The file is damaged or incomplete.
    #[error(
        "{path}: can't open the replica file: {source}; the replica must not vote, join under a new number"
    )]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause of the failure.
        source: StoreContentError,
    },
    /// A write failed.
    #[error("{path}: can't write the replica file: {source}")]
    Write {
        /// The file.
        path: PathBuf,
        /// Cause of the failure.
        source: StoreContentError,
    },
}

/// Failure while reading or writing the contents of the file.
#[derive(Debug, Error)]
pub enum StoreContentError {
    /// The embedded database failed.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// The file system failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A value can't be encoded.
    #[error("can't encode: {0}")]
    Encode(postcard::Error),
    /// A metadata value is missing.
    #[error("metadata value {0} is missing")]
    MissingValue(&'static str),
    /// A metadata value can't be decoded.
    #[error("can't decode metadata value {key}: {source}")]
    Value {
        /// Key of the value.
        key: &'static str,
        /// Why it can't be read.
        source: postcard::Error,
    },
    /// A log entry can't be decoded.
    #[error("can't decode log entry {index}: {source}")]
    Entry {
        /// Index of the entry.
        index: u64,
        /// Why it can't be read.
        source: postcard::Error,
    },
    /// All values can be decoded, but are inconsistent.
    #[error("{0}")]
    Corrupt(#[from] CorruptState),
}

/// Converts the error types of the embedded database to [`StoreContentError::Database`].
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

/// Open file of a replica.
pub struct Store {
    database: Database,
    path: PathBuf,
    id: u64,
}

impl Store {
    /// Creates and opens the file of replica `id` in a new cluster of these voters.
    ///
    /// # Errors
    /// Returns an error if the file exists already or can't be written.
    pub fn bootstrap(path: &Path, id: u64, voters: &[u64]) -> Result<(Store, DurableState), StoreError> {
        Store::create(path, id, DurableState::bootstrap(voters))
    }

    /// Creates and opens the file of a replica that joins a running cluster under a number never used before.
    ///
    /// # Errors
    /// Returns an error if the file exists already or can't be written.
    pub fn join(path: &Path, id: u64) -> Result<(Store, DurableState), StoreError> {
        Store::create(path, id, DurableState::join())
    }

    fn create(path: &Path, id: u64, durable: DurableState) -> Result<(Store, DurableState), StoreError> {
        if path.exists() {
            return Err(StoreError::AlreadyExists { path: path.into() });
        }
        // Written under a temporary name first, so that a crash leaves either no file or a complete one.
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

    /// Opens the file, also after a crash of its process.
    ///
    /// # Errors
    /// Returns an error if the file does not exist, is open in another process, or can't be read completely.
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

    /// Returns the number of the replica that the file belongs to.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Makes these writes durable in the given order, with one sync.
    ///
    /// # Errors
    /// Returns an error if the file can't be written. None of the writes counts as durable then.
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

    /// Runs a change as one transaction and syncs it.
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

/// Syncs the parent directory of a path, to make a rename durable.
fn sync_parent_directory(path: &Path) -> std::io::Result<()> {
    let directory =
        path.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    std::fs::File::open(directory).and_then(|directory| directory.sync_all())
}

/// Reads the format version, which is checked before the other contents are read.
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
