//! The send queues to all other replicas, each with its own sender task.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_control::Message;
use hornbeam_core::ids::ReplicaId;
use tokio::task::JoinSet;

use super::outbox::{Outbox, OutboxSender};
use super::replicas::ReplicaTable;
use crate::lifecycle::Lifecycle;

/// `Outboxes` owns the outboxes and their sender tasks.
#[derive(Debug)]
pub(crate) struct Outboxes {
    from: ReplicaId,
    address: SocketAddr,
    replicas: Arc<ReplicaTable>,
    outboxes: HashMap<ReplicaId, Arc<Outbox>>,
    senders: JoinSet<()>,
}

impl Outboxes {
    /// Creates the outboxes of the replica at a link address.
    pub(crate) fn new(from: ReplicaId, address: SocketAddr, replicas: Arc<ReplicaTable>) -> Self {
        Self {
            from,
            address,
            replicas,
            outboxes: HashMap::new(),
            senders: JoinSet::new(),
        }
    }

    /// Adds a message; starts a sender task for a replica that has none.
    pub(crate) fn push(&mut self, to: ReplicaId, message: Message, lifecycle: &Arc<Lifecycle>) {
        if self.replicas.link(to).is_none() {
            return;
        }
        let outbox = self.outboxes.entry(to).or_insert_with(|| {
            let outbox = Arc::new(Outbox::default());
            let sender = OutboxSender {
                outbox: Arc::clone(&outbox),
                from: self.from,
                address: self.address,
                to,
                replicas: Arc::clone(&self.replicas),
                lifecycle: Arc::clone(lifecycle),
            };
            self.senders.spawn(sender.run());
            outbox
        });
        outbox.push(message);
    }

    /// Aborts and joins the sender tasks.
    pub(crate) async fn stop(&mut self) {
        self.senders.shutdown().await;
    }
}
