//! Files in memory that lose unsynced data in a crash.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use hornbeam_control::Files;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Effect of an injected failure on the failing operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailurePoint {
    /// The operation fails without an effect.
    Before,
    /// The operation takes effect, or writes part of the bytes, and then fails.
    After,
}

/// A handle to files that outlive a crash of the process that uses them.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles(Rc<RefCell<Disk>>);

#[derive(Debug, Default)]
struct Disk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    operations: u64,
    failure: Option<(u64, FailurePoint)>,
}

#[derive(Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Created(name, content) => {
                names.insert(name.clone(), *content);
            }
            Self::Renamed(from, to) => {
                let content = names.remove(from).expect("renamed files exist");
                names.insert(to.clone(), content);
            }
        }
    }
}

impl MemoryFiles {
    /// Gets the number of mutating operations so far.
    pub fn operations(&self) -> u64 {
        self.0.borrow().operations
    }

    /// Makes the operation with this number and all later ones fail.
    pub fn fail_at(&self, operation: u64, failure: FailurePoint) {
        self.0.borrow_mut().failure = Some((operation, failure));
    }

    /// Loses a random part of the unsynced data and ends the injected failure.
    pub fn crash(&self, rng: &mut ChaCha8Rng) {
        let disk = &mut *self.0.borrow_mut();
        let kept = rng.random_range(0..=disk.unsynced_names.len());
        for change in disk.unsynced_names.drain(..).take(kept) {
            change.apply(&mut disk.synced_names);
        }
        disk.names = disk.synced_names.clone();
        for content in &mut disk.contents {
            content.crash(rng);
        }
        disk.failure = None;
    }

    /// Inverts one bit of a file.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        let disk = &mut *self.0.borrow_mut();
        let content = &mut disk.contents[disk.names[name]];
        content.bytes[bit / 8] ^= 1 << (bit % 8);
        content.synced = content.bytes.clone();
    }

    /// Gets the length of a file in bytes, 0 if it is missing.
    pub fn length(&self, name: &str) -> usize {
        let disk = self.0.borrow();
        let content = disk.names.get(name);
        content.map_or(0, |content| disk.contents[*content].bytes.len())
    }
}

impl Content {
    /// Keeps the synced bytes and a prefix of the bytes appended since, whose
    /// last byte may be damaged.
    fn crash(&mut self, rng: &mut ChaCha8Rng) {
        if self.bytes.starts_with(&self.synced) {
            let kept = rng.random_range(self.synced.len()..=self.bytes.len());
            self.bytes.truncate(kept);
            if kept > self.synced.len() && rng.random_bool(0.5) {
                self.bytes[kept - 1] ^= rng.random_range(1..=255u8);
            }
        } else if rng.random_bool(0.5) {
            self.bytes = self.synced.clone();
        }
        self.synced = self.bytes.clone();
    }
}

impl Disk {
    /// Counts an operation; if it must fail, gets whether it still takes effect.
    fn count_operation(&mut self) -> Option<bool> {
        self.operations += 1;
        let (at, failure) = self.failure?;
        match self.operations.cmp(&at) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(failure == FailurePoint::After),
            std::cmp::Ordering::Greater => Some(false),
        }
    }

    /// Executes an operation with regard to the injected failure.
    fn mutate(&mut self, effect: impl FnOnce(&mut Self, bool)) -> io::Result<()> {
        match self.count_operation() {
            None => {
                effect(self, true);
                Ok(())
            }
            Some(takes_effect) => {
                if takes_effect {
                    effect(self, false);
                }
                Err(io::Error::other("injected failure"))
            }
        }
    }

    fn content(&mut self, name: &str) -> &mut Content {
        let content = self.names[name];
        &mut self.contents[content]
    }

    fn record_name_change(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }
}

impl Files for MemoryFiles {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let disk = self.0.borrow();
        let content = disk.names.get(name);
        Ok(content.map(|content| disk.contents[*content].bytes.clone()))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().mutate(|disk, _| {
            disk.contents.push(Content::default());
            let content = disk.contents.len() - 1;
            disk.record_name_change(NameChange::Created(name.into(), content));
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.borrow_mut().mutate(|disk, complete| {
            let written = if complete {
                bytes.len()
            } else {
                bytes.len() / 2
            };
            disk.content(name)
                .bytes
                .extend_from_slice(&bytes[..written]);
        })
    }

    fn truncate(&mut self, name: &str, length_bytes: u64) -> io::Result<()> {
        self.0
            .borrow_mut()
            .mutate(|disk, _| disk.content(name).bytes.truncate(length_bytes as usize))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().mutate(|disk, _| {
            let content = disk.content(name);
            content.synced = content.bytes.clone();
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.borrow_mut().mutate(|disk, _| {
            disk.record_name_change(NameChange::Renamed(from.into(), to.into()));
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.borrow_mut().mutate(|disk, _| {
            disk.unsynced_names.clear();
            disk.synced_names = disk.names.clone();
        })
    }
}
