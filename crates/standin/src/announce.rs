//! Announcements to entry hosts and renewal of leases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hornbeam_core::Result;
use hornbeam_core::api::backend::{AnnounceAnswer, Announcement, Withdrawal};
use hornbeam_http::HttpClient;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::exchange::Backend;

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a withdrawal.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before an announcement is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum interval of renewals, regardless of the interval that the entry host
/// requests.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(10);

/// `Announcer` announces a stand-in and renews its leases.
pub(crate) struct Announcer {
    pub(crate) backend: Arc<Backend>,
    pub(crate) client: HttpClient,
    pub(crate) entry_hosts: Vec<SocketAddr>,
}

/// `Lease` is a lease that an entry host has accepted.
struct Lease {
    until: Instant,
    renew_at: Instant,
}

impl Announcer {
    /// Announces until the future is dropped. `owner` receives the address of the
    /// entry host that may hold the lease.
    pub(crate) async fn run(self, owner: tokio::sync::watch::Sender<Option<SocketAddr>>) {
        if self.entry_hosts.is_empty() {
            return;
        }
        if self.backend.announcement.shared {
            self.announce_to_all().await;
        } else {
            self.announce_to_one(owner).await;
        }
    }

    /// Announces to every entry host independently.
    async fn announce_to_all(self) {
        let announcer = Arc::new(self);
        let mut loops = JoinSet::new();
        for host in announcer.entry_hosts.clone() {
            let announcer = announcer.clone();
            loops.spawn(async move {
                loop {
                    match announcer.announce(host, ANNOUNCE_TIMEOUT).await {
                        Ok((_, Some(lease))) => sleep_until(lease.renew_at).await,
                        _ => sleep(RETRY_DELAY).await,
                    }
                }
            });
        }
        while loops.join_next().await.is_some() {}
    }

    /// Keeps a lease with one entry host. Switches to another one under a higher
    /// grant if it does not answer within the lease, redirects or declines.
    async fn announce_to_one(self, owner: tokio::sync::watch::Sender<Option<SocketAddr>>) {
        let mut next = self
            .backend
            .fault_injector
            .random_below(self.entry_hosts.len());
        let mut host = self.entry_hosts[next];
        loop {
            owner.send_replace(Some(host));
            let redirect = self.keep_lease(host).await;
            self.backend.grant.fetch_add(1, Ordering::SeqCst);
            host = redirect.unwrap_or_else(|| {
                next = (next + 1) % self.entry_hosts.len();
                self.entry_hosts[next]
            });
            sleep(RETRY_DELAY).await;
        }
    }

    /// Renews the lease with one entry host until it is lost. Returns the redirect
    /// address if the entry host gave one.
    async fn keep_lease(&self, host: SocketAddr) -> Option<SocketAddr> {
        let mut lease_until: Option<Instant> = None;
        loop {
            let remaining =
                lease_until.map(|until| until.saturating_duration_since(Instant::now()));
            let timeout = remaining.map_or(ANNOUNCE_TIMEOUT, |remaining| {
                remaining.min(ANNOUNCE_TIMEOUT)
            });
            match self.announce(host, timeout).await {
                Ok((_, Some(lease))) => {
                    lease_until = Some(lease.until);
                    sleep_until(lease.renew_at).await;
                }
                Ok((answer, None)) => {
                    let redirect = answer.redirect?;
                    return redirect.parse().ok();
                }
                Err(_) => {
                    // Until the lease expires, a retry can still renew it.
                    if lease_until.is_none_or(|until| Instant::now() >= until) {
                        return None;
                    }
                    self.client.drop_connections(host);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Announces once. The lease is counted from before the announcement is sent,
    /// so it never ends later here than at the entry host.
    async fn announce(
        &self,
        host: SocketAddr,
        timeout: Duration,
    ) -> Result<(AnnounceAnswer, Option<Lease>)> {
        let sent_at = Instant::now();
        sleep(self.backend.latency).await;
        let announcement = Announcement {
            grant: self.backend.grant.load(Ordering::SeqCst),
            ..self.backend.announcement.clone()
        };
        let path = "/v1/backend/announce";
        let reply = self.client.post(host, path, &announcement, timeout).await?;
        sleep(self.backend.latency).await;
        let answer: AnnounceAnswer = reply.body;
        let lease = answer.accepted.then(|| Lease {
            until: sent_at + Duration::from_millis(answer.lease_ms),
            renew_at: sent_at + Duration::from_millis(answer.renew_ms).max(MIN_RENEW_INTERVAL),
        });
        Ok((answer, lease))
    }
}

/// Withdraws from entry hosts. At a host that does not answer, the lease expires.
pub(crate) async fn withdraw(backend: &Backend, client: &HttpClient, hosts: &[SocketAddr]) {
    let withdrawal = Withdrawal {
        server_id: backend.announcement.server_id.clone(),
        incarnation: backend.announcement.incarnation,
    };
    let mut requests = JoinSet::new();
    for host in hosts.iter().copied() {
        let client = client.clone();
        let withdrawal = withdrawal.clone();
        requests.spawn(async move {
            client
                .post::<_, serde_json::Value>(
                    host,
                    "/v1/backend/withdraw",
                    &withdrawal,
                    WITHDRAW_TIMEOUT,
                )
                .await
        });
    }
    sleep(backend.latency).await;
    while requests.join_next().await.is_some() {}
}
