//! Helpers: a client that sends batches and cancellations, and a fake entry host.
#![allow(dead_code)] // Justification: each test binary uses only part of this module.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hornbeam_core::Result;
use hornbeam_core::api::backend::{
    AnnounceAnswer, Announcement, BatchTask, CancelAnswer, CancelRequest, CancelStatus, TaskBatch,
    TaskBatchAnswer, TaskStatus,
};
use hornbeam_http::{
    BodyLimits, ClientOptions, HttpClient, HttpServer, HttpServerOptions, json_response, read_json,
};
use hornbeam_standin::{FaultPlan, StandinOptions, StandinServer};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::server::Router;
use volo_http::server::route::post;

pub const TIMEOUT: Duration = Duration::from_secs(3);
pub const LEASE: Duration = Duration::from_millis(300);

pub fn announcement(slots: u32, shared: bool) -> Announcement {
    Announcement {
        server_id: "s1".into(),
        incarnation: 7,
        grant: 1,
        address: String::new(),
        failure_domain: "almaty-a".into(),
        rack: "r1".into(),
        worker_id: "w1".into(),
        service: "subscribe".into(),
        slots,
        max_connections: 64,
        cpu_milli: 16_000,
        memory_mib: 64_000,
        accelerators: 0,
        shared,
    }
}

pub async fn standin(
    slots: u32,
    shared: bool,
    faults: FaultPlan,
    entry_hosts: Vec<SocketAddr>,
) -> StandinServer {
    let options = StandinOptions {
        announcement: announcement(slots, shared),
        listen: "127.0.0.1:0".parse().unwrap(),
        entry_hosts,
        latency: Duration::ZERO,
        faults,
        seed: 1,
    };
    StandinServer::start(options).await.unwrap()
}

/// Sends batches and cancellations to one stand-in, like an entry host.
#[derive(Clone)]
pub struct EntryClient {
    pub client: HttpClient,
    pub address: SocketAddr,
    pub grant: u64,
    pub incarnation: u64,
    pub start_within_ms: u64,
}

impl EntryClient {
    pub fn new(standin: &StandinServer) -> Self {
        Self {
            client: HttpClient::new(ClientOptions::default()).unwrap(),
            address: standin.address(),
            grant: 1,
            incarnation: 7,
            start_within_ms: 2000,
        }
    }

    pub async fn send(&self, job: &str, indexes: &[u32], run_ms: u64) -> Result<TaskBatchAnswer> {
        let task = |index: &u32| BatchTask {
            index: *index,
            payload: format!("{{\"run_ms\":{run_ms}}}"),
            run_ms: 5,
        };
        let batch = TaskBatch {
            host_id: "e1".into(),
            incarnation: self.incarnation,
            grant: self.grant,
            job_id: job.into(),
            start_within_ms: self.start_within_ms,
            tasks: indexes.iter().map(task).collect(),
        };
        let reply = self.client.post(self.address, "/v1/tasks", &batch, TIMEOUT);
        Ok(reply.await?.body)
    }

    pub async fn statuses(&self, job: &str, indexes: &[u32], run_ms: u64) -> Vec<TaskStatus> {
        let answer = self.send(job, indexes, run_ms).await.unwrap();
        answer.ends.iter().map(|end| end.status).collect()
    }

    pub async fn cancel(&self, job: &str, indexes: &[u32]) -> Vec<CancelStatus> {
        let request = CancelRequest {
            incarnation: self.incarnation,
            job_id: job.into(),
            tasks: indexes.to_vec(),
        };
        let path = "/v1/tasks/cancel";
        let reply = self.client.post(self.address, path, &request, TIMEOUT);
        let answer: CancelAnswer = reply.await.unwrap().body;
        answer.fates.iter().map(|fate| fate.fate).collect()
    }
}

/// How a fake entry host answers announcements.
#[derive(Clone, Debug)]
pub enum AnnounceReply {
    Accept,
    /// Accepts with the lease and the renewal interval of a real entry host.
    AcceptAsEntryHost,
    Decline,
    Redirect(SocketAddr),
}

/// A fake entry host that records announcements and withdrawals.
pub struct FakeEntry {
    pub server: HttpServer,
    pub grants: Arc<Mutex<Vec<(Instant, u64)>>>,
    pub withdrawals: Arc<Mutex<Vec<Instant>>>,
    pub reply: Arc<Mutex<AnnounceReply>>,
}

impl FakeEntry {
    pub async fn start(reply: AnnounceReply) -> Self {
        let reply = Arc::new(Mutex::new(reply));
        let grants = Arc::new(Mutex::new(Vec::new()));
        let withdrawals = Arc::new(Mutex::new(Vec::new()));
        let (recorded_grants, configured_reply) = (grants.clone(), reply.clone());
        let announce = move |request: Request| async move {
            let limits = BodyLimits::default();
            let announcement: Announcement = read_json(request, &limits).await.unwrap();
            let now = Instant::now();
            recorded_grants
                .lock()
                .unwrap()
                .push((now, announcement.grant));
            let reply = configured_reply.lock().unwrap().clone();
            json_response(200, &answer(reply))
        };
        let recorded = withdrawals.clone();
        let withdraw = move |_: Request| async move {
            recorded.lock().unwrap().push(Instant::now());
            json_response(200, &true)
        };
        let router = Router::new()
            .route("/v1/backend/announce", post(announce))
            .route("/v1/backend/withdraw", post(withdraw));
        let listen = "127.0.0.1:0".parse().unwrap();
        let options = HttpServerOptions::default();
        Self {
            server: HttpServer::start(listen, router, options).await.unwrap(),
            grants,
            withdrawals,
            reply,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn last_grant(&self) -> Option<u64> {
        self.grants.lock().unwrap().last().map(|(_, grant)| *grant)
    }
}

fn answer(reply: AnnounceReply) -> AnnounceAnswer {
    let (lease, renew_ms) = match reply {
        AnnounceReply::AcceptAsEntryHost => (Duration::from_secs(2), 667),
        _ => (LEASE, 50),
    };
    AnnounceAnswer {
        host_id: "e1".into(),
        accepted: matches!(
            reply,
            AnnounceReply::Accept | AnnounceReply::AcceptAsEntryHost
        ),
        lease_ms: u64::try_from(lease.as_millis()).unwrap(),
        renew_ms,
        redirect: match reply {
            AnnounceReply::Redirect(to) => Some(to.to_string()),
            _ => None,
        },
    }
}

/// Relays connections to an address and counts them.
pub async fn counting_relay(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    tokio::spawn(async move {
        while let Ok((mut inbound, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut server = TcpStream::connect(to).await?;
                copy_bidirectional(&mut inbound, &mut server).await
            });
        }
    });
    (address, count)
}

/// Waits until a condition holds.
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition never held");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
