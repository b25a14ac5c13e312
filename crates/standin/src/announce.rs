//! Announcements to entry hosts.

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

/// Time that an entry host has for the answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that an entry host has for the answer to a withdrawal.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before an announcement is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Shortest interval of renewals, whatever the entry host asks for.
const MIN_RENEW: Duration = Duration::from_millis(10);

/// `Announcer` keeps a stand-in announced.
pub(crate) struct Announcer {
    pub(crate) backend: Arc<Backend>,
    pub(crate) client: HttpClient,
    pub(crate) entry_hosts: Vec<SocketAddr>,
}

/// `Lease` is a lease that one entry host has accepted.
struct Lease {
    until: Instant,
    renew_at: Instant,
}

impl Announcer {
    /// Announces until the future is dropped. `owner` gets the address of the
    /// entry host that the stand-in turns to.
    pub(crate) async fn run(self, owner: tokio::sync::watch::Sender<Option<SocketAddr>>) {
        if self.entry_hosts.is_empty() {
            return;
        }
        if self.backend.announcement.shared {
            self.announce_to_all().await;
        } else {
            self.lease_to_one(owner).await;
        }
    }

    /// Announces to every entry host on its own.
    async fn announce_to_all(self) {
        let announcer = Arc::new(self);
        let mut loops = JoinSet::new();
        for host in announcer.entry_hosts.clone() {
            let announcer = announcer.clone();
            loops.spawn(async move {
                loop {
                    match announcer.announce(host, ANNOUNCE_TIMEOUT).await {
                        Ok((_, Some(lease))) => sleep_until(lease.renew_at).await,
                        _ => sleep(RETRY_PAUSE).await,
                    }
                }
            });
        }
        while loops.join_next().await.is_some() {}
    }

    /// Keeps a lease with one entry host, and turns to another with a higher
    /// grant when this one does not answer within the lease, redirects or does
    /// not accept.
    async fn lease_to_one(self, owner: tokio::sync::watch::Sender<Option<SocketAddr>>) {
        let mut next = self.backend.chance.below(self.entry_hosts.len());
        let mut host = self.entry_hosts[next];
        loop {
            owner.send_replace(Some(host));
            let redirect = self.keep_lease(host).await;
            self.backend.grant.fetch_add(1, Ordering::SeqCst);
            host = redirect.unwrap_or_else(|| {
                next = (next + 1) % self.entry_hosts.len();
                self.entry_hosts[next]
            });
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Renews the lease with one entry host for as long as it lasts. Returns
    /// the address to turn to if the entry host named one.
    async fn keep_lease(&self, host: SocketAddr) -> Option<SocketAddr> {
        let mut lease_until: Option<Instant> = None;
        loop {
            let left = lease_until.map(|until| until.saturating_duration_since(Instant::now()));
            let within = left.map_or(ANNOUNCE_TIMEOUT, |left| left.min(ANNOUNCE_TIMEOUT));
            match self.announce(host, within).await {
                Ok((_, Some(lease))) => {
                    lease_until = Some(lease.until);
                    sleep_until(lease.renew_at).await;
                }
                Ok((answer, None)) => {
                    let redirect = answer.redirect?;
                    return redirect.parse().ok();
                }
                Err(_) => {
                    // The lease may still be renewed until it ends.
                    if lease_until.is_none_or(|until| Instant::now() >= until) {
                        return None;
                    }
                    self.client.drop_connections(host);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Announces once. The lease counts from before the announcement is sent,
    /// so it never lasts longer here than the entry host believes.
    async fn announce(
        &self,
        host: SocketAddr,
        within: Duration,
    ) -> Result<(AnnounceAnswer, Option<Lease>)> {
        let sent_at = Instant::now();
        sleep(self.backend.latency).await;
        let announcement = Announcement {
            grant: self.backend.grant.load(Ordering::SeqCst),
            ..self.backend.announcement.clone()
        };
        let path = "/v1/backend/announce";
        let reply = self.client.post(host, path, &announcement, within).await?;
        sleep(self.backend.latency).await;
        let answer: AnnounceAnswer = reply.body;
        let lease = answer.accepted.then(|| Lease {
            until: sent_at + Duration::from_millis(answer.lease_ms),
            renew_at: sent_at + Duration::from_millis(answer.renew_ms).max(MIN_RENEW),
        });
        Ok((answer, lease))
    }
}

/// Withdraws from entry hosts. One that does not answer lets the lease end.
pub(crate) async fn withdraw(backend: &Backend, client: &HttpClient, hosts: &[SocketAddr]) {
    let withdrawal = Withdrawal {
        server_id: backend.announcement.server_id.clone(),
        incarnation: backend.announcement.incarnation,
    };
    let mut calls = JoinSet::new();
    for host in hosts.iter().copied() {
        let client = client.clone();
        let withdrawal = withdrawal.clone();
        calls.spawn(async move {
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
    while calls.join_next().await.is_some() {}
}
