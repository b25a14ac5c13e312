//! Connections by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hornbeam_core::{Error, Result};
use tokio::sync::Semaphore;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};

use crate::client::ClientOptions;
use crate::send_mark::MarkedBody;

/// Unused addresses are forgotten when the table has grown by this many.
const PURGE_EVERY: usize = 256;

/// `Pool` is the library's client for one address; it holds the connections.
pub(crate) type Pool = Client<MarkedBody, Body>;

/// `Slot` is what a request to one address needs.
#[derive(Clone)]
pub(crate) struct Slot {
    /// One permit per concurrent request, so per busy connection.
    pub(crate) permits: Arc<Semaphore>,
    /// Pool of connections.
    pub(crate) pool: Pool,
}

/// `Connections` holds one pool per address. The library pools by address too,
/// but it cannot drop the connections to one address.
pub(crate) struct Connections {
    options: ClientOptions,
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    by_address: HashMap<SocketAddr, Entry>,
    purge_at: usize,
}

struct Entry {
    permits: Arc<Semaphore>,
    pool: Option<Pool>,
}

impl Connections {
    /// Creates an empty table.
    pub(crate) fn new(options: ClientOptions) -> Self {
        let table = Table {
            by_address: HashMap::new(),
            purge_at: PURGE_EVERY,
        };
        Self {
            options,
            table: Mutex::new(table),
        }
    }

    /// Gets the permits and the pool of an address.
    ///
    /// # Errors
    /// `Io` if the library cannot be set up.
    pub(crate) fn slot(&self, address: SocketAddr) -> Result<Slot> {
        let mut table = self.lock();
        table.purge();
        let max = self.options.max_connections_per_address;
        let entry = table
            .by_address
            .entry(address)
            .or_insert_with(|| Entry::new(max));
        let pool = match &entry.pool {
            Some(pool) => pool.clone(),
            None => entry.pool.insert(self.build_pool()?).clone(),
        };
        Ok(Slot {
            permits: entry.permits.clone(),
            pool,
        })
    }

    /// Forgets the pool of an address. Its idle connections close at once and
    /// its busy ones when their exchange ends. The permits stay, so the limit
    /// also covers connections of the old pool.
    pub(crate) fn drop_pool(&self, address: SocketAddr) {
        if let Some(entry) = self.lock().by_address.get_mut(&address) {
            entry.pool = None;
        }
    }

    fn build_pool(&self) -> Result<Pool> {
        let mut builder = ClientBuilder::new();
        // The library looks for expired connections once per timeout, so half
        // of it bounds the idle time by the whole.
        builder.set_pool_idle_timeout(self.options.idle_timeout / 2);
        builder.set_max_idle_per_host(self.options.max_connections_per_address);
        builder
            .build::<MarkedBody, MarkedBody, Body>()
            .map_err(Error::io)
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        // The table is valid after every statement, so a panic elsewhere does
        // not invalidate it.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Forgets addresses without requests when the table has grown, so that
    /// backend servers on ever new addresses do not fill the memory.
    fn purge(&mut self) {
        if self.by_address.len() < self.purge_at {
            return;
        }
        self.by_address
            .retain(|_, entry| Arc::strong_count(&entry.permits) > 1);
        self.purge_at = self.by_address.len() + PURGE_EVERY;
    }
}

impl Entry {
    fn new(max_connections: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(max_connections)),
            pool: None,
        }
    }
}
