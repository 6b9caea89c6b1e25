//! The trace store's database. A block, the progress of its file and the epoch that it came under are written in one transaction, so that no crash leaves one of
//! them without the others. The names of the database, its tables and its keys are older than the names here.

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

/// The database's name in the store's directory.
pub const DATABASE_FILE: &str = "archive.redb";
/// The version of the stored form, kept under [`SCHEMA_KEY`].
const SCHEMA_VERSION: u32 = 1;
const SCHEMA_KEY: &str = "schema";
/// A small cache, in bytes: blocks are written once and read by an export alone.
const CACHE_BYTES: usize = 16 << 20;
/// Between the two transactions of [`InjectedBug::TwoSteps`]: long enough for a kill to fall between them.
const TWO_STEPS_PAUSE: Duration = Duration::from_millis(20);

/// A task's name and part.
type TaskKey = (&'static str, u32);
/// A file's server and name.
type FileKey = (&'static str, &'static str);
/// A file's server and name, and the position of a block in it.
type BlockKey = (&'static str, &'static str, u64);

const METADATA: TableDefinition<&str, u32> = TableDefinition::new("facts");
const FENCE: TableDefinition<TaskKey, &[u8]> = TableDefinition::new("fence");
const FILES: TableDefinition<FileKey, &[u8]> = TableDefinition::new("files");
const BLOCKS: TableDefinition<BlockKey, &[u8]> = TableDefinition::new("blocks");

/// Why a trace store can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the database open.
    #[error("{0}: another process has it open")]
    AlreadyOpen(PathBuf),
    /// Another version of this program has written the database.
    #[error("{path}: written as version {found}, this program reads version {SCHEMA_VERSION}")]
    UnsupportedSchema {
        /// The database.
        path: PathBuf,
        /// Its version.
        found: u32,
    },
    /// The database or its disk failed.
    #[error("{path}: {source}")]
    Storage {
        /// The database.
        path: PathBuf,
        /// What failed.
        source: Box<StorageFailure>,
    },
}

/// What failed in the database.
#[derive(Debug, Error)]
#[error(transparent)]
pub enum StorageFailure {
    /// The store's directory can't be created.
    Directory(std::io::Error),
    /// The database can't be opened.
    Open(DatabaseError),
    /// No transaction can be begun.
    Transaction(#[from] redb::TransactionError),
    /// A table can't be opened.
    Table(#[from] redb::TableError),
    /// Rows can't be read or written.
    Rows(#[from] redb::StorageError),
    /// A transaction can't be made durable.
    Commit(#[from] redb::CommitError),
    /// A stored value can't be read, or a value can't be written in the stored form.
    Encoding(#[from] postcard::Error),
}

/// An update of the index, with the block that belongs to it: empty for an announcement and for a block without bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingWrite {
    /// The update.
    pub update: IndexUpdate,
    /// The block as it stands in its file.
    pub block: Vec<u8>,
}

/// The stored form of what is known of a file. It is positional: fields are never added, removed or reordered.
#[derive(Default, Serialize, Deserialize)]
struct StoredFile {
    progress: FileProgress,
    /// Of its blocks that are stored now.
    bytes: u64,
    /// How many files were complete with this one, 0 until it is.
    completion: u64,
}

/// Which rows of a [`PendingWrite`] a transaction writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteScope {
    All,
    /// The fence and the files' progress: half of [`InjectedBug::TwoSteps`].
    Decisions,
    /// The blocks: the other half.
    Blocks,
}

/// An open trace store.
pub struct Store {
    database: Database,
    path: PathBuf,
    /// How many files were completed so far.
    completions: u64,
    injected_bug: Option<InjectedBug>,
}

impl Store {
    /// Opens the store in a directory, which is created where there is none, and reads its index. Blocks may take `max_bytes`.
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

    /// Makes it misbehave, for tests of the checkers that must notice.
    pub fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.injected_bug = bug;
    }

    fn error(&self, failure: StorageFailure) -> StoreError {
        storage_error(&self.path, failure)
    }

    /// Creates what is missing of the tables, and returns the version of the stored form.
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

    /// Makes these durable together, with one sync. After a failure none of them may be taken for written.
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

    /// All files that have blocks, in the order of their names.
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

    /// Hands out the blocks of a file, one after the other, until one can't be read or `visit` fails.
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

    /// Removes a file's blocks and all that is known of it.
    fn drop_file(&mut self, file: &FileId) -> Result<(), StorageFailure> {
        self.remove_blocks(file)?;
        self.files.remove(file_key(file))?;
        Ok(())
    }

    /// Removes a file's blocks; its progress stays known.
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

    /// Notes that a file has a block of so many bytes more. `completions` counts the complete files, this one included where it is complete.
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
