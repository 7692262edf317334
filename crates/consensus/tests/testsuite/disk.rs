//! In-memory folder that loses unsynced data on a crash and fails at a chosen operation.

use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use dogwoodrill_consensus::store::file::Folder;

/// Effect of a crash on unsynced data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unsynced {
    /// Unsynced content and names are lost.
    Lost,
    /// Unsynced content and names are kept.
    Kept,
    /// Unsynced names are kept, unsynced content is lost.
    NamesKept,
    /// Unsynced names and half of the unsynced content are kept.
    Half,
}

/// Failure of the chosen operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The operation returns an error and has no effect.
    Error,
    /// A write writes half of its bytes and returns an error.
    Short,
}

#[derive(Clone, Debug, Default)]
struct Content {
    current: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct Disk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    operations: usize,
    failing: Option<(usize, Failure)>,
    /// Capacity of the disk in bytes; `None` if unlimited.
    capacity: Option<usize>,
    reserved: BTreeMap<String, usize>,
}

#[derive(Clone, Debug, Default)]
pub struct MemoryFolder(Rc<RefCell<Disk>>);

impl MemoryFolder {
    pub fn fail_at(&self, operation: usize, failure: Failure) {
        self.0.borrow_mut().failing = Some((operation, failure));
    }

    pub fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.0.borrow_mut().capacity = capacity;
    }

    pub fn used(&self) -> usize {
        self.0.borrow().used()
    }

    pub fn crash(&self, unsynced: Unsynced) {
        let mut disk = self.0.borrow_mut();
        disk.failing = None;
        if unsynced == Unsynced::Lost {
            disk.names = disk.synced_names.clone();
        }
        for content in &mut disk.contents {
            let (current, synced) = (content.current.len(), content.synced.len());
            match unsynced {
                Unsynced::Lost | Unsynced::NamesKept => content.current.clone_from(&content.synced),
                Unsynced::Half => content
                    .current
                    .truncate(current.min(synced.midpoint(current))),
                Unsynced::Kept => {}
            }
        }
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        self.read(name).unwrap()
    }

    pub fn set_bytes(&self, name: &str, bytes: &[u8]) {
        let mut disk = self.0.borrow_mut();
        let content = disk.content(name);
        content.current = bytes.to_vec();
        content.synced = bytes.to_vec();
    }

    /// Returns an independent copy of the folder, with everything synced.
    pub fn copy(&self) -> Self {
        let copy = Self::default();
        for name in self.list().unwrap() {
            copy.set_bytes(&name, &self.bytes(&name));
        }
        copy
    }

    fn operation(&self) -> io::Result<RefMut<'_, Disk>> {
        let mut disk = self.0.borrow_mut();
        disk.operations += 1;
        let (now, failing) = (disk.operations, disk.failing);
        match failing {
            Some((at, Failure::Error)) if now == at => Err(io::Error::other("injected failure")),
            _ => Ok(disk),
        }
    }
}

impl Disk {
    fn used(&self) -> usize {
        let files = self.names.values();
        let written: usize = files.map(|c| self.contents[*c].current.len()).sum();
        written + self.reserved.values().sum::<usize>()
    }

    fn content(&mut self, name: &str) -> &mut Content {
        let fresh = self.contents.len();
        let at = *self.names.entry(name.to_owned()).or_insert(fresh);
        if at == fresh {
            self.contents.push(Content::default());
        }
        &mut self.contents[at]
    }

    fn check_capacity(&self, more: usize) -> io::Result<()> {
        let full = self
            .capacity
            .is_some_and(|capacity| self.used() + more > capacity);
        if full {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }
}

impl Folder for MemoryFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.0.borrow();
        let at = disk.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(disk.contents[*at].current.clone())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.operation()?;
        disk.check_capacity(bytes.len())?;
        let short = disk.failing == Some((disk.operations, Failure::Short));
        let written = if short { bytes.len() / 2 } else { bytes.len() };
        let current = &mut disk.content(name).current;
        current.resize(usize::try_from(offset).unwrap(), 0);
        current.extend_from_slice(&bytes[..written]);
        if short {
            Err(io::ErrorKind::WriteZero.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.operation()?;
        let content = disk.content(name);
        content.synced.clone_from(&content.current);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.operation()?;
        disk.content(name)
            .current
            .truncate(usize::try_from(length).unwrap());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.operation()?;
        let content = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.operation()?;
        disk.names.remove(name);
        disk.reserved.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.operation()?;
        disk.synced_names = disk.names.clone();
        Ok(())
    }

    fn reserve(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let bytes = usize::try_from(bytes).unwrap();
        if !disk.reserved.contains_key(name) {
            disk.check_capacity(bytes)?;
            disk.reserved.insert(name.to_owned(), bytes);
        }
        Ok(())
    }
}
