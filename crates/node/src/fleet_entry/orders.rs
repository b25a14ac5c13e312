//! Orders to workers and batches to peers, each in a task of its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_fleet::{FleetInput, PeerBatch, PollRequest, StartRequest, StopRequest};
use hornbeam_platform::WorkerClient;
use hornbeam_transport::{Link, LinkOptions};
use tokio::task::JoinSet;

use crate::wire::{Request, RequestAnswer};

/// Time within which a peer must take a batch. A round trip takes a few
/// milliseconds; a batch that is not taken is sent again.
const BATCH_WITHIN: Duration = Duration::from_millis(250);

/// Time to establish a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Links to peers that are kept; more than there are entry hosts.
const MAX_LINKS: usize = 256;

/// `Orders` carries out orders and collects their ends.
#[derive(Debug)]
pub(crate) struct Orders {
    calls: WorkerClient,
    links: HashMap<SocketAddr, Link>,
    tasks: JoinSet<FleetInput>,
}

impl Orders {
    pub(crate) fn new(calls: WorkerClient) -> Self {
        Self {
            calls,
            links: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Gets the end of the next order that ends; waits for ever if none is
    /// under way.
    pub(crate) async fn next_end(&mut self) -> FleetInput {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(input)) => return input,
                // Orders neither panic nor are aborted while the loop runs.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }

    pub(crate) fn start(&mut self, order: StartRequest) {
        let calls = self.calls.clone();
        self.tasks.spawn(async move {
            let answer = calls.start(&order).await;
            FleetInput::StartRequestEnded(order.target.worker_key, order.run, answer)
        });
    }

    pub(crate) fn stop(&mut self, order: StopRequest) {
        let calls = self.calls.clone();
        self.tasks.spawn(async move {
            let answer = calls.stop(&order).await;
            FleetInput::StopRequestEnded(order.target.worker_key, order.run, answer)
        });
    }

    pub(crate) fn look(&mut self, order: PollRequest) {
        let calls = self.calls.clone();
        self.tasks.spawn(async move {
            let answer = calls.look(&order).await;
            FleetInput::PollEnded(order.target.worker_key, answer)
        });
    }

    pub(crate) fn check(&mut self, order: PollRequest) {
        let calls = self.calls.clone();
        self.tasks.spawn(async move {
            let answer = calls.look(&order).await;
            FleetInput::ProbeEnded(order.target.worker_key, answer)
        });
    }

    /// Sends a batch to the peer at an address.
    pub(crate) fn send_batch(&mut self, to: (String, SocketAddr), batch: PeerBatch) {
        let (host, address) = to;
        if self.links.len() >= MAX_LINKS && !self.links.contains_key(&address) {
            self.links.clear();
        }
        let link = self.links.entry(address).or_insert_with(|| {
            let options = LinkOptions {
                connect_timeout: CONNECT_TIMEOUT,
                ..LinkOptions::default()
            };
            Link::new(address, options)
        });
        let link = link.clone();
        self.tasks.spawn(async move {
            let request = Request::Batch(Box::new(batch));
            let answer = link.call(&request, BATCH_WITHIN).await;
            let taken = matches!(answer, Ok(RequestAnswer::Done));
            FleetInput::BatchEnded(host, taken)
        });
    }

    /// Closes the idle connections to a worker.
    pub(crate) fn forget(&self, worker: SocketAddr) {
        self.calls.drop_connections(worker);
    }

    /// Ends and joins what is under way.
    pub(crate) async fn stop_all(&mut self) {
        self.tasks.shutdown().await;
    }
}
