//! Requests to workers and batches to peers, each in its own task.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::Error;
use hornbeam_fleet::{
    BatchExtension, FleetInput, LossReport, PeerBatch, PollRequest, StartRequest, StopRequest,
};
use hornbeam_platform::WorkerClient;
use hornbeam_transport::Link;
use tokio::task::JoinSet;

use super::batch_link::BatchLink;
use crate::fleet_links::link_options;
use crate::wire::{Request, RequestAnswer};

/// Timeout of a batch. A round trip takes a few milliseconds; a batch that is
/// not acknowledged is retransmitted.
const BATCH_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of times that a report of losses is sent if it gets no answer.
const LOSS_REPORT_TRIES: u32 = 3;

/// Number of times that the runtime is made to look for readable connections after a
/// pause. Each time it takes at most 1,024 of them, and there are up to 4,096 of
/// callers and some hundred others.
const READ_ROUNDS: usize = 8;

/// Maximum number of cached links to peers; more than there are entry hosts.
const MAX_LINKS: usize = 256;

/// `OutboundRequests` sends requests and collects their results.
#[derive(Debug)]
pub(crate) struct OutboundRequests {
    worker_client: WorkerClient,
    links: HashMap<SocketAddr, BatchLink>,
    tasks: JoinSet<FleetInput>,
}

impl OutboundRequests {
    pub(crate) fn new(worker_client: WorkerClient) -> Self {
        Self {
            worker_client,
            links: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Gets the result of the next request that ends; waits indefinitely if none is
    /// in flight.
    pub(crate) async fn next_completed(&mut self) -> FleetInput {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(input)) => return input,
                // Requests neither panic nor are aborted while the event loop runs.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }

    pub(crate) fn start(&mut self, request: StartRequest) {
        let worker_client = self.worker_client.clone();
        self.tasks.spawn(async move {
            let answer = worker_client.start(&request).await;
            FleetInput::StartRequestEnded(request.target.worker_key, request.run, answer)
        });
    }

    pub(crate) fn stop(&mut self, request: StopRequest) {
        let worker_client = self.worker_client.clone();
        self.tasks.spawn(async move {
            let answer = worker_client.stop(&request).await;
            FleetInput::StopRequestEnded(request.target.worker_key, request.run, answer)
        });
    }

    pub(crate) fn poll(&mut self, request: PollRequest) {
        let worker_client = self.worker_client.clone();
        self.tasks.spawn(async move {
            let answer = worker_client.poll(&request).await;
            FleetInput::PollEnded(request.target.worker_key, answer)
        });
    }

    pub(crate) fn probe(&mut self, request: PollRequest) {
        let worker_client = self.worker_client.clone();
        self.tasks.spawn(async move {
            let answer = worker_client.poll(&request).await;
            FleetInput::ProbeEnded(request.target.worker_key, answer)
        });
    }

    /// Sends a batch to the peer at an address, with its extension if the peer
    /// accepts one.
    pub(crate) fn send_batch(
        &mut self,
        to: (String, SocketAddr),
        batch: PeerBatch,
        extension: Option<BatchExtension>,
    ) {
        let (host, address) = to;
        let link = self.link(address);
        self.tasks.spawn(async move {
            let acknowledged = link.send(batch, extension, BATCH_TIMEOUT).await;
            FleetInput::BatchEnded(host, acknowledged)
        });
    }

    /// Reports losses to the host at an address. Reports can be repeated without
    /// harm, so one without an answer is sent again.
    pub(crate) fn report_losses(&mut self, to: (String, SocketAddr), report: LossReport) {
        let (host, address) = to;
        let link = self.link(address).link().clone();
        let job = report.losses.first().map_or(0, |loss| loss.run.job);
        self.tasks.spawn(async move {
            let request = Request::Losses(Box::new(report));
            let mut accepted = false;
            for _ in 0..LOSS_REPORT_TRIES {
                let answer = link.call(&request, BATCH_TIMEOUT).await;
                accepted = matches!(answer, Ok(RequestAnswer::Done));
                if accepted || matches!(answer, Err(Error::Refused(_))) {
                    break;
                }
            }
            FleetInput::LossReportEnded(host, job, accepted)
        });
    }

    /// Waits until every connection has been read that is readable now. A task that
    /// yields goes on after the runtime has looked for readable connections, and
    /// after the tasks that this woke.
    pub(crate) fn read_inputs(&mut self, pause: u64) {
        self.tasks.spawn(async move {
            for _ in 0..READ_ROUNDS {
                tokio::task::yield_now().await;
            }
            FleetInput::InputsRead(pause)
        });
    }

    fn link(&mut self, address: SocketAddr) -> BatchLink {
        if self.links.len() >= MAX_LINKS && !self.links.contains_key(&address) {
            self.links.clear();
        }
        let link = self.links.entry(address);
        let link = link.or_insert_with(|| BatchLink::new(Link::new(address, link_options())));
        link.clone()
    }

    /// Closes the idle connections to a worker.
    pub(crate) fn drop_connections(&self, worker: SocketAddr) {
        self.worker_client.drop_connections(worker);
    }

    /// Aborts and joins the requests in flight.
    pub(crate) async fn shutdown(&mut self) {
        self.tasks.shutdown().await;
    }
}
