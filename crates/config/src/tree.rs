//! The tree of a file's values with their origins, and the merge of two trees.

use indexmap::IndexMap;

use crate::report::Origin;

/// `Node` is a value that has passed the checks of its own setting.
#[derive(Clone, Debug)]
pub(crate) enum Node {
    /// An integer within its bounds.
    Integer(u64),
    /// A valid id.
    Id(String),
    /// Valid ids without duplicates.
    IdList(Vec<String>),
    /// Entries by key.
    Table(IndexMap<String, Entry>),
    /// A value with a finding; further findings about it would be noise.
    Invalid,
}

/// `Entry` is a value and its origin.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Position at which the value is set; for a merged table, its position in
    /// the overlay.
    pub(crate) origin: Origin,
    /// Path from the root of the file.
    pub(crate) path: String,
    /// Value.
    pub(crate) node: Node,
}

impl Entry {
    /// Gets an entry of a table.
    pub(crate) fn get(&self, key: &str) -> Option<&Self> {
        match &self.node {
            Node::Table(entries) => entries.get(key),
            _ => None,
        }
    }

    /// Gets the entries of a table, or none if the value is not a table.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&String, &Self)> {
        let entries = match &self.node {
            Node::Table(entries) => Some(entries),
            _ => None,
        };
        entries.into_iter().flatten()
    }
}

/// Merges tables recursively; any other value of the overlay replaces that of
/// the base.
pub(crate) fn merge(base: Entry, overlay: Entry) -> Entry {
    let node = match (base.node, overlay.node) {
        (Node::Table(base), Node::Table(overlay)) => Node::Table(merge_tables(base, overlay)),
        (_, node) => node,
    };
    Entry {
        origin: overlay.origin,
        path: overlay.path,
        node,
    }
}

fn merge_tables(
    mut merged: IndexMap<String, Entry>,
    overlay: IndexMap<String, Entry>,
) -> IndexMap<String, Entry> {
    for (key, entry) in overlay {
        let entry = match merged.get(&key) {
            Some(base) => merge(base.clone(), entry),
            None => entry,
        };
        merged.insert(key, entry);
    }
    merged
}
