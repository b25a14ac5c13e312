//! Counter of the messages between processes, and the encoding of metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// `MessageKind` is a kind of request with its answer. Both are counted at the
/// sender of the request; backend servers export no metrics, so announcements
/// are counted at the entry host that receives them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MessageKind {
    Task,
    Chunk,
    Cancel,
    Announce,
    Status,
    Claim,
}

impl MessageKind {
    const fn request_label(self) -> &'static str {
        match self {
            Self::Task => "task_request",
            Self::Chunk => "chunk_request",
            Self::Cancel => "cancel_request",
            Self::Announce => "announce_request",
            Self::Status => "status_request",
            Self::Claim => "claim_request",
        }
    }

    const fn answer_label(self) -> &'static str {
        match self {
            Self::Task => "task_answer",
            Self::Chunk => "chunk_answer",
            Self::Cancel => "cancel_answer",
            Self::Announce => "announce_answer",
            Self::Status => "status_answer",
            Self::Claim => "claim_answer",
        }
    }
}

/// `KindLabel` is the label of the message counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabel {
    kind: &'static str,
}

/// `MessageCounter` counts requests and answers by kind. Clones share the
/// counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct MessageCounter {
    messages: Family<KindLabel, Counter>,
}

impl MessageCounter {
    /// Registers the counter.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "hornbeam_messages",
            "Requests and answers between processes, by kind",
            self.messages.clone(),
        );
    }

    /// Counts a request that was sent.
    pub(crate) fn count_request(&self, kind: MessageKind) {
        self.count(kind.request_label());
    }

    /// Counts an answer that arrived.
    pub(crate) fn count_answer(&self, kind: MessageKind) {
        self.count(kind.answer_label());
    }

    fn count(&self, kind: &'static str) {
        self.messages.get_or_create(&KindLabel { kind }).inc();
    }
}

/// Encodes a registry in the text format of OpenMetrics.
pub(crate) fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, registry) {
        Ok(()) => text,
        Err(cause) => format!("# encoding failed: {cause}\n"),
    }
}
