//! File operations of the store, as a trait so that tests can simulate disk failures.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Number of zero bytes written at once when space is reserved.
const CHUNK_BYTES: usize = 8 << 10;

/// Folder of files. A change is durable only once the sync call that covers it has returned.
pub trait Folder {
    /// Returns the names of the files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads the whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Writes all of `bytes` at `offset` and truncates the file after them. Creates the file if it does not
    /// exist.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Syncs the content of a file.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file and replaces any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file, if it exists.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs the directory entries, which makes created, renamed and removed files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Makes a file occupy `bytes` bytes of disk space.
    fn reserve(&mut self, name: &str, bytes: u64) -> io::Result<()>;
}

impl<F: Folder + ?Sized> Folder for Box<F> {
    fn list(&self) -> io::Result<Vec<String>> {
        (**self).list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        (**self).read(name)
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        (**self).write_at(name, offset, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        (**self).sync(name)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        (**self).truncate(name, length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        (**self).remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        (**self).sync_folder()
    }

    fn reserve(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        (**self).reserve(name, bytes)
    }
}

/// Folder in the file system.
#[derive(Debug)]
pub struct OsFolder {
    path: PathBuf,
    open: HashMap<String, File>,
}

impl OsFolder {
    /// Opens a folder, and creates it if it does not exist.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
            open: HashMap::new(),
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open.contains_key(name) {
            let path = self.path.join(name);
            let mut options = OpenOptions::new();
            options.read(true).write(true).create(true).truncate(false);
            self.open.insert(name.to_owned(), options.open(path)?);
        }
        Ok(&self.open[name])
    }
}

impl Folder for OsFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        let end = offset + bytes.len() as u64;
        file.write_all_at(bytes, offset)?;
        if file.metadata()?.len() > end {
            file.set_len(end)?;
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.open.remove(to);
        if let Some(file) = self.open.remove(from) {
            self.open.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        match fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn reserve(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        let path = self.path.join(name);
        if fs::metadata(&path).is_ok_and(|m| m.len() == bytes) {
            return Ok(());
        }
        let result = write_zeros(&path, bytes);
        if result.is_err() {
            self.remove(name)?;
        }
        result
    }
}

/// Writes a file of `bytes` zeros. A sparse file would not occupy disk space.
fn write_zeros(path: &Path, bytes: u64) -> io::Result<()> {
    let mut file = File::create(path)?;
    let mut remaining = bytes;
    while remaining > 0 {
        let length = usize::try_from(remaining)
            .unwrap_or(CHUNK_BYTES)
            .min(CHUNK_BYTES);
        file.write_all(&[0; CHUNK_BYTES][..length])?;
        remaining -= length as u64;
    }
    file.sync_all()
}
