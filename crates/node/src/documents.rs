//! The documents that a host sends to other hosts, shared by its tasks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hornbeam_core::Result;
use hornbeam_document::{Document, DocumentHistory, HistoryOptions, Part, PartRequest};

/// `SharedDocuments` is a document history that several tasks use.
#[derive(Clone, Debug)]
pub(crate) struct SharedDocuments {
    history: Arc<Mutex<DocumentHistory>>,
}

impl SharedDocuments {
    pub(crate) fn new(options: HistoryOptions) -> Self {
        let history = Arc::new(Mutex::new(DocumentHistory::new(options)));
        Self { history }
    }

    /// Adds a document if it is newer than all others.
    pub(crate) fn add(&self, document: Document) {
        self.lock().add(document);
    }

    /// Gets a part of the newest document; `None` if there is no newer one.
    ///
    /// # Errors
    /// If the document cannot be encoded.
    pub(crate) fn part(&self, request: &PartRequest) -> Result<Option<Part>> {
        self.lock().part(request)
    }

    fn lock(&self) -> MutexGuard<'_, DocumentHistory> {
        // No holder of the lock can panic between two changes.
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
