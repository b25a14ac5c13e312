//! Messages from hosts to servers and between hosts.

use super::*;

impl Simulation {
    pub(super) fn send_batch(
        &mut self,
        from: HostRef,
        id: ExchangeId,
        server_id: &str,
        batch: TaskBatch,
        timeout: Duration,
    ) {
        let server = server_index(server_id);
        let exchange = ExchangeRef { from, id };
        self.open_exchange(exchange, server, server_id, &batch);
        let unanswered = |cause: &str| ExchangeOutcome::Unanswered(cause.into());
        let limit_ms = u64::try_from(timeout.as_millis()).unwrap();
        self.schedule(
            limit_ms,
            Event::ExchangeEnd(exchange, unanswered("time limit")),
        );
        let fault = match self.draw_fault() {
            true => FAULTS[self.rng.random_range(0..FAULTS.len())],
            false => Fault::None,
        };
        let mut delay = self.latency();
        match fault {
            Fault::NotSent => {
                let outcome = ExchangeOutcome::NotSent("connection refused".into());
                self.schedule(delay, Event::ExchangeEnd(exchange, outcome));
                return;
            }
            Fault::LostBeforeStart => {
                self.schedule(delay, Event::ExchangeEnd(exchange, unanswered("reset")));
                return;
            }
            Fault::ArrivesLate => {
                self.schedule(delay, Event::ExchangeEnd(exchange, unanswered("reset")));
                delay = self.rng.random_range(2..2_000);
            }
            Fault::LateAnswer => {
                let end = Event::ExchangeEnd(exchange, unanswered("reset"));
                self.schedule(delay + 10, end);
            }
            _ => {}
        }
        self.schedule(delay, Event::Batch(server, exchange, batch, fault));
    }

    fn open_exchange(
        &mut self,
        exchange: ExchangeRef,
        server: usize,
        server_id: &str,
        batch: &TaskBatch,
    ) {
        let from = exchange.from;
        let entry = &mut self.entries[from.host];
        let tasks = u32::try_from(batch.tasks.len()).unwrap();
        let small_quota = entry.jobs.get(&batch.job_id).copied();
        self.history.push(HistoryEvent::Sent {
            host: format!("e{}/{}", from.host, from.epoch),
            server: server_id.to_owned(),
            incarnation: batch.incarnation,
        });
        let key = (from, server, batch.incarnation);
        let load = self.server_load.entry(key).or_default();
        *load += tasks;
        self.history.push(HistoryEvent::InUse {
            what: format!("slots of {server_id}"),
            used: *load,
            limit: self.task_limit(server),
        });
        let open = OpenExchange {
            server: (server, batch.incarnation),
            tasks,
            local_team: small_quota.map(|small| (from.host, small)),
        };
        self.open.insert(exchange, open);
        if small_quota == Some(true) {
            self.use_quota(from.host, tasks);
        }
    }

    /// Gets the number of tasks that one host may have at a server.
    fn task_limit(&self, server: usize) -> u32 {
        let announcement = &self.backends[server].announcement;
        match announcement.shared {
            true => announcement.max_connections,
            false => announcement.slots,
        }
    }

    fn use_quota(&mut self, host: usize, tasks: u32) {
        // The other hosts keep at least half of their shares each.
        let hosts = u32::try_from(self.entries.len()).unwrap();
        let share = SMALL_QUOTA.div_ceil(hosts);
        let limit = hosts * share - (hosts - 1) * share.div_ceil(2);
        let entry = &mut self.entries[host];
        entry.small_quota_used += tasks;
        self.history.push(HistoryEvent::InUse {
            what: format!("quota at e{host}"),
            used: entry.small_quota_used,
            limit,
        });
    }

    /// Delivers the first outcome of an exchange, and any late answer after it.
    pub(super) fn exchange_ended(&mut self, exchange: ExchangeRef, outcome: ExchangeOutcome) {
        let answered = matches!(outcome, ExchangeOutcome::Answered(_));
        if !self.ended.insert(exchange) && !answered {
            return;
        }
        self.close(exchange);
        let input = DispatchInput::ExchangeEnded(exchange.id, outcome);
        self.step(exchange.from, input, &Reply::Discard);
    }

    /// Releases what an exchange used, once its host knows that it has ended.
    pub(super) fn close(&mut self, exchange: ExchangeRef) {
        let Some(open) = self.open.remove(&exchange) else {
            return;
        };
        let key = (exchange.from, open.server.0, open.server.1);
        if let Some(load) = self.server_load.get_mut(&key) {
            *load -= open.tasks;
        }
        if let Some((host, true)) = open.local_team {
            self.entries[host].small_quota_used -= open.tasks;
        }
    }

    pub(super) fn send_cancel(
        &mut self,
        from: HostRef,
        cancel: CancelId,
        address: &str,
        request: CancelRequest,
        timeout: Duration,
    ) {
        let server_id = address.split(':').next().unwrap();
        let server = server_index(server_id);
        let exchanges = self.cancelled_exchanges(from, server, &request);
        self.cancels.insert((from, cancel), exchanges);
        if self.draw_fault() {
            let limit_ms = u64::try_from(timeout.as_millis()).unwrap();
            let input = DispatchInput::CancelEnded(cancel, None);
            self.schedule_input(limit_ms, from, input);
        } else {
            let delay = self.latency();
            self.schedule(delay, Event::Cancel(server, from, cancel, request));
        }
    }

    fn cancelled_exchanges(
        &self,
        from: HostRef,
        server: usize,
        request: &CancelRequest,
    ) -> Vec<ExchangeRef> {
        let key = (server, request.incarnation);
        let open = self.open.iter();
        let cancelled = open.filter(|(exchange, open)| exchange.from == from && open.server == key);
        cancelled.map(|(exchange, _)| *exchange).collect()
    }

    pub(super) fn send_chunk(
        &mut self,
        from: HostRef,
        peer: &str,
        chunk: Chunk,
        timeout: Duration,
    ) {
        let to = self.index_of(peer);
        let id = chunk.chunk_id;
        let tasks = u32::try_from(chunk.tasks.len()).unwrap();
        let small_quota = self.entries[from.host].jobs[&chunk.job_id];
        self.chunks.insert((from, id), (tasks, small_quota));
        if small_quota {
            self.use_quota(from.host, tasks);
        }
        let limit_ms = u64::try_from(timeout.as_millis()).unwrap();
        self.end_chunk(
            limit_ms,
            from,
            id,
            ChunkOutcome::Unanswered("time limit".into()),
        );
        let delay = self.latency();
        let receiver = self.current(to);
        if !self.connected(from.host, to) || self.draw_fault() {
            match self.rng.random_range(0..4) {
                0 => self.end_chunk(delay, from, id, ChunkOutcome::NotSent("refused".into())),
                1 => self.end_chunk(delay, from, id, ChunkOutcome::Unanswered("reset".into())),
                2 => {
                    let lost = delay + self.rng.random_range(1..100);
                    self.end_chunk(lost, from, id, ChunkOutcome::Unanswered("reset".into()));
                    self.schedule_input(delay, receiver, DispatchInput::ChunkReceived(chunk));
                }
                _ => {
                    self.end_chunk(delay, from, id, ChunkOutcome::Unanswered("reset".into()));
                    let late = self.rng.random_range(1..200);
                    self.schedule_input(late, receiver, DispatchInput::ChunkReceived(chunk));
                }
            }
            return;
        }
        self.schedule_input(delay, receiver, DispatchInput::ChunkReceived(chunk));
    }

    fn end_chunk(&mut self, delay_ms: u64, to: HostRef, chunk: ChunkId, outcome: ChunkOutcome) {
        self.schedule_input(delay_ms, to, DispatchInput::ChunkEnded(chunk, outcome));
    }

    pub(super) fn answer_chunk(
        &mut self,
        from: HostRef,
        peer: &str,
        chunk: ChunkId,
        answer: ChunkAnswer,
    ) {
        let to = self.index_of(peer);
        if self.connected(from.host, to) && !self.draw_fault() {
            let (delay, to) = (self.latency(), self.current(to));
            self.end_chunk(delay, to, chunk, ChunkOutcome::Answered(answer));
        }
    }

    pub(super) fn send_chunk_cancel(
        &mut self,
        from: HostRef,
        peer: &str,
        chunk: ChunkId,
        timeout: Duration,
    ) {
        let to = self.index_of(peer);
        if !self.connected(from.host, to) || self.draw_fault() {
            let limit_ms = u64::try_from(timeout.as_millis()).unwrap();
            let input = DispatchInput::ChunkCancelEnded(chunk, None);
            self.schedule_input(limit_ms, from, input);
            return;
        }
        let input = DispatchInput::ChunkCancelReceived(format!("e{}", from.host), chunk);
        let (delay, receiver) = (self.latency(), self.current(to));
        let reply = Reply::Peer(from, chunk);
        self.schedule(delay, Event::Input(receiver, Box::new(input), reply));
    }

    pub(super) fn answer_chunk_cancel(
        &mut self,
        statuses: Vec<ChunkTaskCancelStatus>,
        reply: &Reply,
    ) {
        if let Reply::Peer(to, chunk) = reply {
            let delay = self.latency();
            let input = DispatchInput::ChunkCancelEnded(*chunk, Some(statuses));
            self.schedule_input(delay, *to, input);
        }
    }
}

fn server_index(server_id: &str) -> usize {
    server_id[1..].parse().unwrap()
}
