//! The send queue to one other replica.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hornbeam_control::Message;
use hornbeam_core::ids::ReplicaId;
use tokio::sync::Notify;

use super::replicas::ReplicaTable;
use crate::lifecycle::Lifecycle;
use crate::wire::{Request, RequestAnswer};

/// Capacity of the queue. The oldest messages are dropped, because consensus
/// tolerates loss and a later message supersedes an earlier one.
const CAPACITY: usize = 64;
/// Timeout of a message: the shortest election timeout, after which the message
/// is obsolete.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// `Outbox` is a bounded queue that drops the oldest message when full.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: Mutex<VecDeque<Message>>,
    added: Notify,
}

impl Outbox {
    /// Adds a message.
    pub(crate) fn push(&self, message: Message) {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        if messages.len() >= CAPACITY {
            messages.pop_front();
        }
        messages.push_back(message);
        drop(messages);
        self.added.notify_one();
    }

    async fn next(&self) -> Message {
        loop {
            if let Some(message) = self.pop() {
                return message;
            }
            self.added.notified().await;
        }
    }

    fn pop(&self) -> Option<Message> {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        messages.pop_front()
    }
}

/// `OutboxSender` sends the messages of one outbox.
#[derive(Debug)]
pub(crate) struct OutboxSender {
    /// Messages to send.
    pub(crate) outbox: Arc<Outbox>,
    /// Replica that sends the messages.
    pub(crate) from: ReplicaId,
    /// Link address of that replica.
    pub(crate) address: SocketAddr,
    /// Replica that receives the messages.
    pub(crate) to: ReplicaId,
    /// Links by replica.
    pub(crate) replicas: Arc<ReplicaTable>,
    /// The life cycle of the process, which ends the task.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl OutboxSender {
    /// Sends messages in order until the process is drained or has failed. A
    /// message that fails is dropped.
    pub(crate) async fn run(self) {
        tokio::select! {
            () = self.send_all() => {}
            () = self.lifecycle.stopped() => {}
        }
    }

    async fn send_all(&self) {
        loop {
            let message = Box::new(self.outbox.next().await);
            let Some(link) = self.replicas.link(self.to) else {
                continue;
            };
            let request = Request::Replica {
                from: self.from,
                to: self.to,
                address: self.address,
                message,
            };
            let _: hornbeam_core::Result<RequestAnswer> = link.call(&request, SEND_TIMEOUT).await;
        }
    }
}
