//! Backend servers of the simulation.

use super::*;

/// Interval at which a shared server polls for a free slot, in ms.
const QUEUE_POLL_MS: u64 = 20;

impl Simulation {
    pub(super) fn announce(&mut self, server: usize, incarnation: Incarnation) {
        let backend = &mut self.backends[server];
        if backend.announcement.incarnation != incarnation || backend.withdrawn {
            return;
        }
        if backend
            .lease_until_ms
            .is_some_and(|until| until <= self.now_ms)
        {
            self.switch_owner(server, None);
        }
        let backend = &self.backends[server];
        let announcement = backend.announcement.clone();
        let owners = self.owners(server);
        self.schedule(600, Event::Announce(server, incarnation));
        for owner in owners {
            self.send_announcement(server, owner, &announcement);
        }
    }

    /// Gets the hosts that a server announces itself to.
    fn owners(&self, server: usize) -> Vec<HostRef> {
        let backend = &self.backends[server];
        let hosts = 0..self.entries.len();
        hosts
            .filter(|host| backend.announcement.shared || *host == backend.owner)
            .map(|host| self.current(host))
            .collect()
    }

    fn send_announcement(&mut self, server: usize, owner: HostRef, announcement: &Announcement) {
        let muted = self.announcements_paused_until_ms[server] > self.now_ms;
        if muted || self.draw_fault() {
            return;
        }
        let late = self.chance(self.faults_per_mille / 4);
        let delay = self.latency() + if late { 700 } else { 0 };
        let reply = Reply::Server(server, announcement.incarnation, self.now_ms);
        let input = Box::new(DispatchInput::Announced(announcement.clone()));
        self.schedule(delay, Event::Input(owner, input, reply));
    }

    pub(super) fn announce_answered(
        &mut self,
        server: usize,
        incarnation: Incarnation,
        sent_ms: u64,
        answer: &AnnounceAnswer,
    ) {
        let owner = self.index_of(&answer.host_id);
        let backend = &mut self.backends[server];
        let stale = backend.announcement.incarnation != incarnation || backend.owner != owner;
        if stale || backend.announcement.shared {
            return;
        }
        if answer.accepted {
            backend.lease_until_ms = Some(sent_ms + answer.lease_ms);
            return;
        }
        let target = answer.redirect.as_deref().map(|address| {
            let index = &address[1..];
            index.parse().unwrap()
        });
        self.switch_owner(server, target);
        self.schedule(20, Event::Announce(server, incarnation));
    }

    /// Switches a server to another host under a new grant; to the next host if
    /// `host` is `None`.
    fn switch_owner(&mut self, server: usize, host: Option<usize>) {
        let hosts = self.entries.len();
        let backend = &mut self.backends[server];
        backend.owner = host.unwrap_or((backend.owner + 1) % hosts);
        backend.announcement.grant += 1;
        backend.lease_until_ms = None;
    }

    pub(super) fn batch_arrives(
        &mut self,
        server: usize,
        exchange: ExchangeRef,
        batch: TaskBatch,
        fault: Fault,
    ) {
        self.backends[server].receive(exchange, batch, fault);
        let wait_ms = match fault {
            Fault::Stalls => self.rng.random_range(100..2_000),
            _ => 0,
        };
        self.schedule(wait_ms, Event::Start(server, exchange, wait_ms));
    }

    pub(super) fn start(&mut self, server: usize, exchange: ExchangeRef, waited_ms: u64) {
        if self.backends[server].must_wait(exchange) {
            self.schedule(
                QUEUE_POLL_MS,
                Event::Start(server, exchange, waited_ms + QUEUE_POLL_MS),
            );
            return;
        }
        let started = self.backends[server].start(exchange, waited_ms);
        for (job, index) in started {
            let run_ms = self.rng.random_range(1..600);
            self.schedule(run_ms, Event::TaskEnd(server, exchange, index, run_ms));
            let server = self.backends[server].announcement.server_id.clone();
            self.history
                .push(HistoryEvent::Started { job, index, server });
        }
        self.answer_ended(server);
    }

    pub(super) fn answer_ended(&mut self, server: usize) {
        for pending in self.backends[server].take_ended() {
            self.answer_batch(server, pending);
        }
    }

    fn answer_batch(&mut self, server: usize, pending: PendingBatch) {
        let backend = &self.backends[server];
        let mut answer = TaskBatchAnswer {
            server_id: backend.announcement.server_id.clone(),
            incarnation: backend.announcement.incarnation,
            job_id: pending.batch.job_id,
            load: 0,
            ends: pending.ends.into_values().collect(),
        };
        let delay = self.latency();
        let outcome = match pending.fault {
            Fault::NoAnswer => return,
            Fault::LostAfterRun => ExchangeOutcome::Unanswered("connection lost".into()),
            Fault::WrongAnswer => {
                answer.job_id = "another".into();
                let outputs = answer.ends.iter_mut().map(|end| &mut end.output);
                outputs.for_each(|output| *output = "another".into());
                ExchangeOutcome::Answered(answer)
            }
            _ => ExchangeOutcome::Answered(answer),
        };
        self.schedule(delay, Event::ExchangeEnd(pending.exchange, outcome));
    }

    pub(super) fn restart(&mut self, server: usize) {
        let lost = self.backends[server].restart();
        for pending in lost {
            if self.chance(700) {
                let outcome = ExchangeOutcome::Unanswered("connection reset".into());
                self.schedule(2, Event::ExchangeEnd(pending.exchange, outcome));
            }
        }
        let incarnation = self.backends[server].announcement.incarnation;
        let delay = self.rng.random_range(10..1_000);
        self.schedule(delay, Event::Announce(server, incarnation));
    }

    pub(super) fn withdraw(&mut self, server: usize) {
        let backend = &mut self.backends[server];
        backend.withdrawn = true;
        let input = DispatchInput::Withdrawn(Withdrawal {
            server_id: backend.announcement.server_id.clone(),
            incarnation: backend.announcement.incarnation,
        });
        for owner in self.owners(server) {
            let delay = self.latency();
            self.schedule_input(delay, owner, input.clone());
        }
    }
}
