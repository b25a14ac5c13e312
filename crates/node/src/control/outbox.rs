//! Messages to one other replica.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hornbeam_control::Message;
use hornbeam_core::ids::ReplicaId;
use hornbeam_transport::Link;
use tokio::sync::Notify;

use crate::lifecycle::Lifecycle;
use crate::wire::{Request, RequestAnswer};

/// Messages that wait for a replica. Older ones are dropped, because consensus
/// tolerates loss and a later message supersedes an earlier one.
const CAPACITY: usize = 64;
/// Time within which a message must be taken: the shortest election timeout,
/// after which it has lost its purpose.
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

/// Sends the messages of an outbox in order until the process has nothing left
/// to do. A message that fails is dropped.
pub(crate) async fn send_all(
    outbox: Arc<Outbox>,
    own_id: ReplicaId,
    link: Link,
    life: Arc<Lifecycle>,
) {
    let sending = async {
        loop {
            let message = Box::new(outbox.next().await);
            let request = Request::Replica(own_id, message);
            let _: hornbeam_core::Result<RequestAnswer> = link.call(&request, SEND_TIMEOUT).await;
        }
    };
    tokio::select! {
        () = sending => {}
        () = life.stopped() => {}
    }
}
