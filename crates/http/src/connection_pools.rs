//! Connection pools by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hornbeam_core::{Error, Result};
use tokio::sync::Semaphore;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};

use crate::client::ClientOptions;
use crate::send_tracker::TrackedBody;

/// Number of added entries after which unused addresses are evicted.
const EVICTION_GROWTH_ENTRIES: usize = 256;

/// `Pool` is the `volo-http` client for one address; it owns the connections.
pub(crate) type Pool = Client<TrackedBody, Body>;

/// `PoolHandle` gives a request access to the pool of one address.
#[derive(Clone)]
pub(crate) struct PoolHandle {
    /// One permit per concurrent request, which equals one per busy connection.
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) pool: Pool,
}

/// `ConnectionPools` holds one pool per address. `volo-http` pools by address
/// too, but cannot drop the connections to a single address.
pub(crate) struct ConnectionPools {
    options: ClientOptions,
    table: Mutex<PoolTable>,
}

#[derive(Default)]
struct PoolTable {
    by_address: HashMap<SocketAddr, AddressEntry>,
    eviction_threshold: usize,
}

struct AddressEntry {
    permits: Arc<Semaphore>,
    pool: Option<Pool>,
}

impl ConnectionPools {
    /// Creates an empty table.
    pub(crate) fn new(options: ClientOptions) -> Self {
        let table = PoolTable {
            by_address: HashMap::new(),
            eviction_threshold: EVICTION_GROWTH_ENTRIES,
        };
        Self {
            options,
            table: Mutex::new(table),
        }
    }

    /// Gets the handle for an address and creates its pool if needed.
    ///
    /// # Errors
    /// `Io` if the `volo-http` client cannot be created.
    pub(crate) fn pool_handle(&self, address: SocketAddr) -> Result<PoolHandle> {
        let mut table = self.lock();
        table.evict_unused();
        let max = self.options.max_connections_per_address;
        let entry = table
            .by_address
            .entry(address)
            .or_insert_with(|| AddressEntry::new(max));
        let pool = match &entry.pool {
            Some(pool) => pool.clone(),
            None => entry.pool.insert(self.build_pool()?).clone(),
        };
        Ok(PoolHandle {
            permits: entry.permits.clone(),
            pool,
        })
    }

    /// Drops the pool of an address. Its idle connections close at once, its
    /// busy ones when their exchange ends. The permits are kept, so that the
    /// limit also covers connections of the dropped pool.
    pub(crate) fn drop_pool(&self, address: SocketAddr) {
        if let Some(entry) = self.lock().by_address.get_mut(&address) {
            entry.pool = None;
        }
    }

    fn build_pool(&self) -> Result<Pool> {
        let mut builder = ClientBuilder::new();
        // `volo-http` checks for expired connections once per timeout, so half
        // the value limits the idle time to `idle_timeout`.
        builder.set_pool_idle_timeout(self.options.idle_timeout / 2);
        builder.set_max_idle_per_host(self.options.max_connections_per_address);
        builder
            .build::<TrackedBody, TrackedBody, Body>()
            .map_err(Error::io)
    }

    fn lock(&self) -> MutexGuard<'_, PoolTable> {
        // Every statement leaves the table consistent, so it remains usable
        // after a panic of another lock holder.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolTable {
    /// Evicts addresses without requests once the table has grown, so that
    /// backend servers that keep changing addresses do not exhaust memory.
    fn evict_unused(&mut self) {
        if self.by_address.len() < self.eviction_threshold {
            return;
        }
        self.by_address
            .retain(|_, entry| Arc::strong_count(&entry.permits) > 1);
        self.eviction_threshold = self.by_address.len() + EVICTION_GROWTH_ENTRIES;
    }
}

impl AddressEntry {
    fn new(max_connections: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(max_connections)),
            pool: None,
        }
    }
}
