//! A site under load: daemons, stand-in backend servers, callers and the recorded
//! history.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hornbeam_core::Result;
use hornbeam_core::api::backend::Announcement;
use hornbeam_core::api::caller::{SubmitAnswer, SubmitRequest};
use hornbeam_core::api::operator::{ChangeOutcome, ChangeRequest, ControlStatus, EntryStatus};
use hornbeam_http::{HttpClient, Reply};
use hornbeam_standin::{StandinOptions, StandinServer, StartRecord};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::history::{Event, Violation};
use super::recorder::Recorder;
use super::relay::Relay;
use super::requests::{announcement, change, job, standin_options, submit_change};
use super::{Layout, Processes, WAIT_TIMEOUT, wait_until};

/// Maximum number of times that a caller sends one request.
const MAX_ATTEMPTS: usize = 6;
/// Interval at which the versions of all entry hosts are read.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `Server` is one backend server of a run.
pub struct Server {
    /// Id of the server.
    pub id: String,
    /// Relay between the entry hosts and the server.
    pub relay: Relay,
    /// The stand-in; `None` after a crash or a withdrawal.
    pub standin: Option<StandinServer>,
    start_offset: Duration,
}

/// `Site` is a running site.
pub struct Site {
    /// The daemons.
    pub system: Processes,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// History of the run.
    pub recorder: Recorder,
    version_watchers: Vec<JoinHandle<()>>,
}

impl Site {
    /// Starts the daemons and `servers` backend servers for each entry host, and
    /// puts the configuration in force.
    pub async fn start(layout: &Layout, servers: usize, slots: u32) -> Self {
        let system = Processes::start_with_layout(layout);
        let mut site = Self {
            system,
            servers: Vec::new(),
            recorder: Recorder::new(),
            version_watchers: Vec::new(),
        };
        site.apply_initial_config().await;
        site.watch_versions();
        for index in 0..site.system.entries.len() {
            for number in 0..servers {
                let id = format!("s-{index}-{number}");
                site.start_server(&id, index, slots, 1).await;
            }
        }
        site.wait_for_servers(site.servers.len()).await;
        site.wait_for_peers().await;
        site
    }

    async fn apply_initial_config(&self) {
        for control in &self.system.controls {
            self.system.wait_ready(control.http).await;
        }
        let outcome = self.submit_change(0, &change("first", 0, "")).await;
        assert_eq!(outcome, ChangeOutcome::Accepted { version: 1 });
        for entry in &self.system.entries {
            self.system.wait_ready(entry.http).await;
        }
    }

    /// Sends a change to a control host until it is decided. The change id makes
    /// it safe to send the change again.
    pub async fn submit_change(&self, control: usize, request: &ChangeRequest) -> ChangeOutcome {
        let address = self.system.controls[control].http;
        let client = &self.system.client;
        submit_change(client, &[address], &self.recorder, request).await
    }

    /// Starts a backend server behind a relay. It announces itself to the entry
    /// hosts in the failure domain of the given entry host.
    pub async fn start_server(&mut self, id: &str, entry: usize, slots: u32, incarnation: u64) {
        let domain = &self.system.entries[entry].failure_domain;
        let hosts = self.system.entries.iter();
        let hosts = hosts.filter(|host| host.failure_domain == *domain);
        let relay = Relay::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)));
        let announced = Announcement {
            address: relay.address().to_string(),
            incarnation,
            slots,
            ..announcement(id, domain)
        };
        let options = StandinOptions {
            entry_hosts: hosts.map(|host| host.http).collect(),
            seed: self.servers.len() as u64,
            ..standin_options(announced)
        };
        let start_offset = self.recorder.start_time.elapsed();
        let standin = StandinServer::start(options).await.expect("a server");
        relay.set_target(standin.address());
        self.servers.push(Server {
            id: id.into(),
            relay,
            standin: Some(standin),
            start_offset,
        });
    }

    /// Stops a backend server abruptly, as a crash would.
    pub fn crash_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if let Some(standin) = server.standin.take() {
            record_server_starts(&self.recorder, server, standin.starts());
            // The old relay would still accept connections for the stopped server.
            server.relay = Relay::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)));
            standin.abort();
        }
    }

    /// Withdraws a backend server and stops it.
    pub async fn withdraw_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        let standin = server.standin.take().expect("a running server");
        let event = Event::Withdrawn {
            server: server.id.clone(),
            at: self.recorder.start_time.elapsed(),
        };
        self.recorder.record(event);
        let starts = standin.leave().await;
        record_server_starts(&self.recorder, &self.servers[index], starts);
    }

    /// Gets the number of task starts on all running servers.
    pub fn running_starts(&self) -> usize {
        let running = self
            .servers
            .iter()
            .filter_map(|server| server.standin.as_ref());
        running.map(|standin| standin.starts().len()).sum()
    }

    /// Waits until the running entry hosts hold leases of `count` servers.
    pub async fn wait_for_servers(&self, count: usize) {
        wait_until("a lease of every server", async || {
            let mut leased = 0;
            for entry in &self.system.entries {
                let client = &self.system.client;
                let status = client.get(entry.http, "/v1/status", WAIT_TIMEOUT).await;
                let status: Result<Reply<EntryStatus>> = status;
                leased += status.map_or(0, |status| status.body.servers as usize);
            }
            leased == count
        })
        .await;
    }

    /// Waits until all entry hosts list each other as peers.
    pub async fn wait_for_peers(&self) {
        let others = self.system.entries.len() - 1;
        for index in 0..=others {
            wait_until("peers", async || {
                self.status(index).await.peers.len() == others
            })
            .await;
        }
    }

    /// Gets the status of an entry host.
    pub async fn status(&self, entry: usize) -> EntryStatus {
        self.entry_status(entry).await.expect("a status")
    }

    /// Gets the status of an entry host if it answers.
    pub async fn entry_status(&self, entry: usize) -> Option<EntryStatus> {
        let address = self.system.entries[entry].http;
        let status = self.system.client.get(address, "/v1/status", WAIT_TIMEOUT);
        let status: Result<Reply<EntryStatus>> = status.await;
        status.ok().map(|reply| reply.body)
    }

    /// Gets the status of a control host if it answers.
    pub async fn control_status(&self, index: usize) -> Option<ControlStatus> {
        let address = self.system.controls[index].http;
        let status = self.system.client.get(address, "/v1/status", WAIT_TIMEOUT);
        let status: Result<Reply<ControlStatus>> = status.await;
        status.ok().map(|reply| reply.body)
    }

    /// Waits for a leader and returns its index among the control hosts.
    pub async fn leader(&self) -> usize {
        let mut leader = None;
        wait_until("a leader", async || {
            for index in 0..self.system.controls.len() {
                let role = self.control_status(index).await.map(|status| status.role);
                leader = leader.or((role.as_deref() == Some("leader")).then_some(index));
            }
            leader.is_some()
        })
        .await;
        leader.expect("a leader")
    }

    /// Submits one job and returns its answer.
    pub async fn submit(&self, entry: usize, request: &SubmitRequest) -> Reply<SubmitAnswer> {
        let address = self.system.entries[entry].http;
        let reply = self.recorder.submit(&self.system.client, address, request);
        reply.await.expect("an answer")
    }

    /// Starts callers that send jobs one after another for `duration`. A caller
    /// whose answer is lost sends the request again with the same id to another
    /// entry host.
    pub fn start_callers(
        &self,
        count: u64,
        seed: u64,
        duration: Duration,
    ) -> Vec<JoinHandle<usize>> {
        let entries: Vec<_> = self.system.entries.iter().map(|entry| entry.http).collect();
        let start = |caller: u64| {
            let (recorder, client) = (self.recorder.clone(), self.system.client.clone());
            let entries = entries.clone();
            let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
            let deadline = Instant::now() + duration;
            tokio::spawn(async move {
                let mut answered = 0;
                for number in 0.. {
                    if Instant::now() >= deadline {
                        break;
                    }
                    let id = format!("r-{seed}-{caller}-{number}");
                    let request = SubmitRequest {
                        repeatable: rng.random_bool(0.5),
                        ..job(&id, rng.random_range(1..=12), rng.random_range(10..=150))
                    };
                    answered +=
                        submit_until_answered(&recorder, &client, &entries, &request, &mut rng)
                            .await;
                }
                answered
            })
        };
        (0..count).map(start).collect()
    }

    /// Records the starts of all servers and returns the violations of the run.
    pub async fn finish(mut self) -> Vec<Violation> {
        self.version_watchers
            .drain(..)
            .for_each(|task| task.abort());
        for server in &mut self.servers {
            server.relay.set_mode(super::relay::RelayMode::Forward);
            if let Some(standin) = server.standin.take() {
                record_server_starts(&self.recorder, server, standin.leave().await);
            }
        }
        self.recorder.violations()
    }

    fn watch_versions(&mut self) {
        for entry in &self.system.entries {
            let (recorder, client) = (self.recorder.clone(), self.system.client.clone());
            let address = entry.http;
            self.version_watchers.push(tokio::spawn(async move {
                loop {
                    let status = client.get(address, "/v1/status", WAIT_TIMEOUT).await;
                    let status: Result<Reply<EntryStatus>> = status;
                    if let Ok(status) = status {
                        recorder.record(Event::Version {
                            host: status.body.host_id,
                            version: status.body.config_version,
                        });
                    }
                    tokio::time::sleep(VERSION_POLL_INTERVAL).await;
                }
            }));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.version_watchers.iter().for_each(JoinHandle::abort);
    }
}

/// Sends a request until it is answered, at most [`MAX_ATTEMPTS`] times. Returns
/// 1 if it was answered, else 0.
async fn submit_until_answered(
    recorder: &Recorder,
    client: &HttpClient,
    entries: &[SocketAddr],
    request: &SubmitRequest,
    rng: &mut ChaCha8Rng,
) -> usize {
    let first = rng.random_range(0..entries.len());
    for attempt in 0..MAX_ATTEMPTS {
        let entry = entries[(first + attempt) % entries.len()];
        if recorder.submit(client, entry, request).await.is_ok() {
            return 1;
        }
    }
    0
}

fn record_server_starts(recorder: &Recorder, server: &Server, starts: Vec<StartRecord>) {
    recorder.record_starts(&server.id, server.start_offset, starts);
}
