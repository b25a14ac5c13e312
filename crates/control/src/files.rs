//! File operations on a data folder.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Name of the file that locks an open folder.
pub(crate) const LOCK_FILE: &str = "lock";

/// `Files` are the operations on the files of one flat folder. Tests implement
/// the trait to inject failures and crashes.
///
/// Content is durable after [`Files::sync`]; creations, renames and removals
/// are durable after [`Files::sync_folder`].
pub trait Files: Debug {
    /// Lists the names in the folder.
    ///
    /// # Errors
    /// Those of the operating system.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a whole file, `None` if it is missing.
    ///
    /// # Errors
    /// Those of the operating system.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Creates an empty file, replacing any content.
    ///
    /// # Errors
    /// Those of the operating system.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file.
    ///
    /// # Errors
    /// Those of the operating system; some bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    /// Those of the operating system.
    fn truncate(&mut self, name: &str, length_bytes: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// Those of the operating system; the content on disk is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing the target.
    ///
    /// # Errors
    /// Those of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Makes creations and renames durable.
    ///
    /// # Errors
    /// Those of the operating system.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// `FolderFiles` are the files of a folder on disk, which is locked against other
/// processes.
#[derive(Debug)]
pub struct FolderFiles {
    folder: PathBuf,
    handles: BTreeMap<String, File>,
    // Holds the lock for as long as the folder is open.
    _lock: File,
}

impl FolderFiles {
    /// Opens and locks a folder, creating it if missing.
    ///
    /// # Errors
    /// Those of the operating system; `WouldBlock` if another process has the
    /// folder open.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let path = folder.join(LOCK_FILE);
        let lock = OpenOptions::new().create(true).append(true).open(path)?;
        lock.try_lock().map_err(io::Error::from)?;
        Ok(Self {
            folder: folder.to_path_buf(),
            handles: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn handle(&mut self, name: &str) -> io::Result<&mut File> {
        let path = self.path(name);
        match self.handles.entry(name.to_owned()) {
            std::collections::btree_map::Entry::Occupied(open) => Ok(open.into_mut()),
            std::collections::btree_map::Entry::Vacant(closed) => {
                let file = OpenOptions::new().append(true).open(path)?;
                Ok(closed.insert(file))
            }
        }
    }
}

impl Files for FolderFiles {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.folder)?.map(|found| {
            let name = found?.file_name();
            Ok(name.to_string_lossy().into_owned())
        });
        names.collect()
    }

    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(cause) => Err(cause),
        }
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.handles.remove(name);
        File::create(self.path(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.handle(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length_bytes: u64) -> io::Result<()> {
        self.handle(name)?.set_len(length_bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.handle(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.handles.remove(from);
        self.handles.remove(to);
        fs::rename(self.path(from), self.path(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
