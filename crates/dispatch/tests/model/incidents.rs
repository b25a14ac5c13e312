//! Submissions, claims, statuses and incidents of the simulation.

use super::*;

impl Simulation {
    /// Creates a process of a host, with its configuration.
    pub(super) fn entry(&self, host: usize, epoch: u32, hosts: usize) -> Entry {
        let mut configuration = configuration();
        configuration.entry_hosts = u32::try_from(hosts).unwrap();
        configuration.services[0].task_grace_ms = 2_000;
        configuration.institutions[0].max_tasks_per_exchange = self.max_tasks_per_exchange;
        let options = DispatchOptions {
            host_id: format!("e{host}"),
            failure_domain: "almaty-a".into(),
            placement: self.placement,
            ..DispatchOptions::default()
        };
        let mut host = Host::new(options, configuration);
        host.now_ms = self.now_ms;
        Entry {
            host,
            epoch,
            partitioned_until_ms: 0,
            wakeups: BTreeSet::new(),
            small_quota_used: 0,
            jobs: BTreeMap::new(),
        }
    }

    pub(super) fn submit(&mut self, planned: &PlannedJob) {
        let host = planned.host % self.entries.len();
        self.submitted += 1;
        let job = format!("j{}", self.submitted);
        let mut request = request(&format!("r-{job}"), planned.tasks);
        if let Some(once) = planned.once {
            request.request_id = format!("once-{once}");
            request.repeatable = false;
            request.valid_until_unix_ms = Some(self.now_ms + 10_000);
        }
        if planned.small_quota {
            request.team = "orders".into();
        }
        request.timeout_ms = planned.timeout_ms;
        for task in &mut request.tasks {
            task.run_ms = planned.run_ms;
            task.cpu_milli = planned.cpu_milli;
        }
        self.history.push(HistoryEvent::Submitted {
            job: job.clone(),
            request: request.request_id.clone(),
            tasks: u32::try_from(planned.tasks).unwrap(),
            repeatable: request.repeatable,
        });
        let small_quota = planned.small_quota;
        self.entries[host].jobs.insert(job.clone(), small_quota);
        let to = self.current(host);
        if let Some(cancel_after_ms) = planned.cancel_after_ms {
            let input = DispatchInput::CallerCancelled(job.clone());
            self.schedule_input(cancel_after_ms + 1, to, input);
        }
        let input = DispatchInput::Submitted(job, Arc::new(request));
        self.step(to, input, &Reply::Discard);
    }

    pub(super) fn record_claim(&mut self, from: HostRef, job: JobId, request: ClaimKey) {
        let lost = self.draw_fault();
        let recorded = !lost || self.chance(500);
        let mut outcome = ClaimOutcome::Unavailable;
        if recorded {
            let holder = self.claims.entry(request).or_insert_with(|| job.clone());
            outcome = match *holder == job {
                true => ClaimOutcome::Recorded,
                false => ClaimOutcome::AlreadyClaimed,
            };
        }
        if outcome == ClaimOutcome::Recorded {
            self.history
                .push(HistoryEvent::Claimed { job: job.clone() });
        }
        let outcome = if lost {
            ClaimOutcome::Unavailable
        } else {
            outcome
        };
        let delay = self.rng.random_range(3..12);
        self.schedule_input(delay, from, DispatchInput::ClaimEnded(job, outcome));
    }

    pub(super) fn incident(&mut self, incident: Incident) {
        let servers = self.backends.len();
        let hosts = self.entries.len();
        match incident {
            Incident::Restart(server) => self.restart(server % servers),
            Incident::Withdraw(server) => self.withdraw(server % servers),
            Incident::PauseAnnouncements(server) => {
                self.announcements_paused_until_ms[server % servers] =
                    self.now_ms + ANNOUNCEMENT_PAUSE_MS
            }
            Incident::Partition(host) => {
                self.entries[host % hosts].partitioned_until_ms = self.now_ms + PARTITION_MS;
            }
            Incident::Crash(host) => self.crash(host % hosts),
            Incident::Drain(host) => {
                let to = self.current(host % hosts);
                self.step(to, DispatchInput::DrainStarted, &Reply::Discard);
            }
        }
    }

    pub(super) fn crash(&mut self, host: usize) {
        let lost = self.current(host);
        let entry = self.entry(host, lost.epoch + 1, self.entries.len());
        let before = std::mem::replace(&mut self.entries[host], entry);
        for job in before.jobs.into_keys() {
            self.history.push(HistoryEvent::CallerLost { job });
        }
        self.open.retain(|exchange, _| exchange.from != lost);
        self.server_load.retain(|(owner, _, _), _| *owner != lost);
        let chunks: Vec<_> = self.chunks.keys().copied().collect();
        for key in chunks.into_iter().filter(|(from, _)| *from == lost) {
            self.chunks.remove(&key);
        }
    }

    pub(super) fn broadcast_statuses(&mut self) {
        self.schedule(STATUS_INTERVAL_MS, Event::BroadcastStatuses);
        for from in 0..self.entries.len() {
            self.send_status(from);
        }
    }

    pub(super) fn send_status(&mut self, from: usize) {
        let now = Duration::from_millis(self.now_ms);
        let mut status = self.entries[from].host.dispatcher.peer_status(now);
        status.http_address = format!("e{from}");
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            if self.connected(from, to) {
                let input = DispatchInput::PeerStatusReceived(status.clone());
                let (delay, to) = (self.latency(), self.current(to));
                self.schedule_input(delay, to, input);
            }
        }
    }
}
