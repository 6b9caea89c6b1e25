//! The trace store's database. A block, the progress of its file and the fence record are written in one transaction, so that a
//! crash can't separate them. Stored names differ from those in the code for compatibility.

use crate::index::{IndexUpdate, IndexedFile, StoredBlock, TraceIndex};
use crate::injected_bug::InjectedBug;
use crate::protocol::{FileId, FileProgress};
use puffinladder_leases::fence::FenceRecord;
use puffinladder_leases::Task;
use redb::{
    Builder, Database, DatabaseError, Range, ReadableDatabase, ReadableTable, Table, TableDefinition,
    WriteTransaction,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// File name of the database in the store's directory.
pub const DATABASE_FILE: &str = "archive.redb";
/// Version of the stored format, stored under [`SCHEMA_KEY`].
const SCHEMA_VERSION: u32 = 1;
const SCHEMA_KEY: &str = "schema";
/// Size of the database cache, in bytes. It is small because blocks are only read by exports.
const CACHE_BYTES: usize = 16 << 20;
/// Pause between the transactions of [`InjectedBug::TwoSteps`], long enough for a kill between them.
const TWO_STEPS_PAUSE: Duration = Duration::from_millis(20);

/// A task's name and part.
type TaskKey = (&'static str, u32);
/// A file's server and name.
type FileKey = (&'static str, &'static str);
/// A file's server and name, and the index of a block.
type BlockKey = (&'static str, &'static str, u64);

const METADATA: TableDefinition<&str, u32> = TableDefinition::new("facts");
const FENCE: TableDefinition<TaskKey, &[u8]> = TableDefinition::new("fence");
const FILES: TableDefinition<FileKey, &[u8]> = TableDefinition::new("files");
const BLOCKS: TableDefinition<BlockKey, &[u8]> = TableDefinition::new("blocks");

/// An error of opening, reading or writing the database.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the database open.
    #[error("{0}: another process has it open")]
    AlreadyOpen(PathBuf),
    /// The database has another version of the stored format.
    #[error("{path}: written as version {found}, this program reads version {SCHEMA_VERSION}")]
    UnsupportedSchema {
        /// Path of the database.
        path: PathBuf,
        /// Version of the database.
        found: u32,
    },
    /// The database or its disk failed.
    #[error("{path}: {source}")]
    Storage {
        /// Path of the database.
        path: PathBuf,
        /// The failed operation and its cause.
        source: Box<StorageFailure>,
    },
}

/// A failed operation of the database.
#[derive(Debug, Error)]
#[error(transparent)]
pub enum StorageFailure {
    /// The store's directory could not be created.
    Directory(std::io::Error),
    /// The database could not be opened.
    Open(DatabaseError),
    /// A transaction could not be started.
    Transaction(#[from] redb::TransactionError),
    /// A table could not be opened.
    Table(#[from] redb::TableError),
    /// Rows could not be read or written.
    Rows(#[from] redb::StorageError),
    /// A transaction could not be committed.
    Commit(#[from] redb::CommitError),
    /// A value could not be encoded or decoded.
    Encoding(#[from] postcard::Error),
}

/// An update of the index with its block.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingWrite {
    /// The update.
    pub update: IndexUpdate,
    /// The packed block; empty for an announcement and for an unreadable block.
    pub block: Vec<u8>,
}

/// Stored state of a file. The encoding is positional: fields must not be added, removed or reordered.
#[derive(Default, Serialize, Deserialize)]
struct StoredFile {
    progress: FileProgress,
    /// Bytes of its stored blocks.
    bytes: u64,
    /// Position of the file in the order of completion, from 1; 0 while it is incomplete.
    completion: u64,
}

/// The rows of a [`PendingWrite`] that a transaction writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteScope {
    All,
    /// Fence and progress, in the first transaction of [`InjectedBug::TwoSteps`].
    Decisions,
    /// Blocks, in the second transaction of [`InjectedBug::TwoSteps`].
    Blocks,
}

/// An open trace store.
pub struct Store {
    database: Database,
    path: PathBuf,
    /// Number of files completed so far.
    completions: u64,
    injected_bug: Option<InjectedBug>,
}

impl Store {
    /// Opens the store in a directory, which is created if it is missing, and reads its index. Blocks may occupy `max_bytes`.
    pub fn open(directory: &Path, max_bytes: u64) -> Result<(Store, TraceIndex), StoreError> {
        let path = directory.join(DATABASE_FILE);
        std::fs::create_dir_all(directory).map_err(|e| storage_error(&path, StorageFailure::Directory(e)))?;
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        let database = builder.create(&path).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::AlreadyOpen(path.clone()),
            e => storage_error(&path, StorageFailure::Open(e)),
        })?;
        let mut store = Store { database, path, completions: 0, injected_bug: None };
        match store.ensure_schema().map_err(|e| store.error(e))? {
            SCHEMA_VERSION => {}
            found => return Err(StoreError::UnsupportedSchema { path: store.path, found }),
        }
        let index = store.read_index(max_bytes).map_err(|e| store.error(e))?;
        Ok((store, index))
    }

    /// Injects a bug, for tests of the checkers that must detect it.
    pub fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.injected_bug = bug;
    }

    fn error(&self, failure: StorageFailure) -> StoreError {
        storage_error(&self.path, failure)
    }

    /// Creates missing tables, and returns the version of the stored format.
    fn ensure_schema(&self) -> Result<u32, StorageFailure> {
        let transaction = self.database.begin_write()?;
        let found = {
            let mut metadata = transaction.open_table(METADATA)?;
            let found = metadata.get(SCHEMA_KEY)?.map(|value| value.value());
            if found.is_none() {
                metadata.insert(SCHEMA_KEY, SCHEMA_VERSION)?;
            }
            Tables::open(&transaction)?;
            found.unwrap_or(SCHEMA_VERSION)
        };
        transaction.commit()?;
        Ok(found)
    }

    fn read_index(&mut self, max_bytes: u64) -> Result<TraceIndex, StorageFailure> {
        let transaction = self.database.begin_read()?;
        let mut fence = Vec::new();
        for row in transaction.open_table(FENCE)?.iter()? {
            let (key, value) = row?;
            let (name, part) = key.value();
            fence.push((Task::new(name, part), decode::<FenceRecord>(value.value())?));
        }
        let mut files: Vec<(u64, IndexedFile)> = Vec::new();
        for row in transaction.open_table(FILES)?.iter()? {
            let (key, value) = row?;
            let StoredFile { progress, bytes, completion } = decode(value.value())?;
            files.push((completion, IndexedFile { id: file_id(key.value()), progress, bytes }));
            self.completions = self.completions.max(completion);
        }
        files.sort_by_key(|(completion, _)| *completion);
        Ok(TraceIndex::new(max_bytes, fence, files.into_iter().map(|(_, file)| file)))
    }

    /// Commits the writes in one transaction with one sync. After an error none of them may be acknowledged.
    pub fn commit(&mut self, writes: &[PendingWrite]) -> Result<(), StoreError> {
        let written = match self.injected_bug {
            Some(InjectedBug::TwoSteps) => self.write_in_two_steps(writes),
            _ => self.write(writes, WriteScope::All),
        };
        written.map_err(|e| self.error(e))
    }

    fn write_in_two_steps(&mut self, writes: &[PendingWrite]) -> Result<(), StorageFailure> {
        self.write(writes, WriteScope::Decisions)?;
        std::thread::sleep(TWO_STEPS_PAUSE);
        self.write(writes, WriteScope::Blocks)
    }

    fn write(&mut self, writes: &[PendingWrite], scope: WriteScope) -> Result<(), StorageFailure> {
        let transaction = self.database.begin_write()?;
        {
            let mut tables = Tables::open(&transaction)?;
            let writes_fence =
                scope != WriteScope::Blocks && self.injected_bug != Some(InjectedBug::ForgetsEpochs);
            for PendingWrite { update, block } in writes {
                if writes_fence {
                    tables.put_fence(&update.task, update.fence)?;
                }
                if let Some(file) = &update.dropped {
                    tables.drop_file(file)?;
                }
                for file in &update.evicted {
                    tables.evict_file(file)?;
                }
                let Some(stored) = &update.block else { continue };
                if scope != WriteScope::Decisions && !block.is_empty() {
                    tables.put_block(stored, block)?;
                }
                if scope != WriteScope::Blocks {
                    self.completions += u64::from(stored.progress.complete);
                    tables.put_progress(stored, block.len() as u64, self.completions)?;
                }
            }
        }
        Ok(transaction.commit()?)
    }

    /// Returns all files that have blocks, ordered by name.
    pub fn files(&self) -> Result<Vec<FileId>, StoreError> {
        self.read_files().map_err(|e| self.error(e))
    }

    fn read_files(&self) -> Result<Vec<FileId>, StorageFailure> {
        let transaction = self.database.begin_read()?;
        let mut files = Vec::new();
        for row in transaction.open_table(FILES)?.iter()? {
            let (key, value) = row?;
            if decode::<StoredFile>(value.value())?.bytes > 0 {
                files.push(file_id(key.value()));
            }
        }
        Ok(files)
    }

    /// Calls `visit` with each block of a file, until a read or `visit` fails.
    pub fn for_each_block<E: From<StoreError>>(
        &self,
        file: &FileId,
        mut visit: impl FnMut(Vec<u8>) -> Result<(), E>,
    ) -> Result<(), E> {
        for row in self.read_blocks(file).map_err(|e| self.error(e))? {
            let (_, block) = row.map_err(|e| self.error(e.into()))?;
            visit(block.value().to_vec())?;
        }
        Ok(())
    }

    fn read_blocks(&self, file: &FileId) -> Result<Range<'static, BlockKey, &'static [u8]>, StorageFailure> {
        let (server, name) = file_key(file);
        let transaction = self.database.begin_read()?;
        let blocks = transaction.open_table(BLOCKS)?;
        Ok(blocks.range((server, name, 0)..=(server, name, u64::MAX))?)
    }
}

/// The tables that a transaction writes.
struct Tables<'transaction> {
    fence: Table<'transaction, TaskKey, &'static [u8]>,
    files: Table<'transaction, FileKey, &'static [u8]>,
    blocks: Table<'transaction, BlockKey, &'static [u8]>,
}

impl Tables<'_> {
    fn open(transaction: &WriteTransaction) -> Result<Tables<'_>, StorageFailure> {
        Ok(Tables {
            fence: transaction.open_table(FENCE)?,
            files: transaction.open_table(FILES)?,
            blocks: transaction.open_table(BLOCKS)?,
        })
    }

    fn put_fence(&mut self, task: &Task, fence: FenceRecord) -> Result<(), StorageFailure> {
        let value = postcard::to_allocvec(&fence)?;
        self.fence.insert((task.name.as_str(), task.part), value.as_slice())?;
        Ok(())
    }

    /// Removes a file's blocks and its progress.
    fn drop_file(&mut self, file: &FileId) -> Result<(), StorageFailure> {
        self.remove_blocks(file)?;
        self.files.remove(file_key(file))?;
        Ok(())
    }

    /// Removes a file's blocks and keeps its progress.
    fn evict_file(&mut self, file: &FileId) -> Result<(), StorageFailure> {
        self.remove_blocks(file)?;
        let stored = self.file(file)?.unwrap_or_default();
        self.put_file(file, &StoredFile { bytes: 0, ..stored })
    }

    fn remove_blocks(&mut self, file: &FileId) -> Result<(), StorageFailure> {
        let (server, name) = file_key(file);
        self.blocks.retain_in((server, name, 0)..=(server, name, u64::MAX), |_, _| false)?;
        Ok(())
    }

    fn put_block(&mut self, stored: &StoredBlock, block: &[u8]) -> Result<(), StorageFailure> {
        let (server, name) = file_key(&stored.file);
        self.blocks.insert((server, name, stored.position), block)?;
        Ok(())
    }

    /// Updates a file's progress and size after a block of `block_bytes` bytes. `completions` is the number of complete files,
    /// including this one if it is complete.
    fn put_progress(
        &mut self,
        stored: &StoredBlock,
        block_bytes: u64,
        completions: u64,
    ) -> Result<(), StorageFailure> {
        let progress = stored.progress;
        let bytes = self.file(&stored.file)?.map_or(0, |file| file.bytes) + block_bytes;
        let completion = if progress.complete { completions } else { 0 };
        self.put_file(&stored.file, &StoredFile { progress, bytes, completion })
    }

    fn file(&self, file: &FileId) -> Result<Option<StoredFile>, StorageFailure> {
        let value = self.files.get(file_key(file))?;
        value.map(|value| decode(value.value())).transpose()
    }

    fn put_file(&mut self, file: &FileId, stored: &StoredFile) -> Result<(), StorageFailure> {
        let value = postcard::to_allocvec(stored)?;
        self.files.insert(file_key(file), value.as_slice())?;
        Ok(())
    }
}

fn storage_error(path: &Path, failure: StorageFailure) -> StoreError {
    StoreError::Storage { path: path.into(), source: Box::new(failure) }
}

fn file_key(file: &FileId) -> (&str, &str) {
    (&file.server, &file.name)
}

fn file_id((server, name): (&str, &str)) -> FileId {
    FileId { server: server.into(), name: name.into() }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StorageFailure> {
    Ok(postcard::from_bytes(bytes)?)
}

#[cfg(test)]
mod tests;
