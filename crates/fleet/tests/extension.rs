//! Extension of the batches between entry hosts.

mod common;

use common::Harness;
use googletest::prelude::*;
use hornbeam_core::event::Event;
use hornbeam_fleet::{
    BatchExtension, ExtensionEntry, FleetInput, MAX_EXTENSION_BYTES, PeerMessage, PeerStatus,
    TAG_INTERFERENCE, TAG_PACE, TAG_QUEUED_WORK, decode_entry, encode_entry,
};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest};

const PEER: u8 = 2;

fn extension(entries: &[(u16, usize)]) -> BatchExtension {
    let mut extension = BatchExtension::default();
    for (tag, bytes) in entries {
        extension.push(*tag, vec![1; *bytes]);
    }
    extension
}

fn tags(extension: &BatchExtension) -> Vec<u16> {
    extension.entries.iter().map(|entry| entry.tag).collect()
}

/// Delivers a batch with a status and an extension from a process of the peer.
fn receive(harness: &mut Harness, sequence: u64, restarts: u64, extension: Option<BatchExtension>) {
    let status = PeerMessage::Status(PeerStatus::default());
    let mut batch = harness.batch(PEER, sequence, vec![status]);
    batch.time.incarnation += restarts;
    harness.step(FleetInput::Batch(batch, extension));
}

fn stored(harness: &Harness) -> Option<&BatchExtension> {
    harness.fleet.peer_extension(&format!("entry-{PEER}"))
}

fn ignored_lines(harness: &mut Harness) -> usize {
    let events = harness.logged_events();
    let ignored = events
        .iter()
        .filter(|(event, _)| *event == Event::ExtensionIgnored);
    ignored.count()
}

/// Guards against a retransmitted batch that brings back former values, and
/// against values that outlive the status that they came with.
#[gtest]
fn newest_extension_replaces_the_former_one() {
    let mut harness = Harness::new(1);
    let (older, newer) = (extension(&[(TAG_PACE, 1)]), extension(&[(TAG_PACE, 2)]));
    receive(&mut harness, 1, 0, Some(older.clone()));
    expect_that!(stored(&harness), some(eq(&older)));
    receive(&mut harness, 2, 0, Some(newer.clone()));
    receive(&mut harness, 1, 0, Some(older.clone()));
    expect_that!(stored(&harness), some(eq(&newer)));
    // A batch without a status says nothing about the sender's state.
    harness.receive_batch(PEER, 3, Vec::new());
    expect_that!(stored(&harness), some(eq(&newer)));
    harness.step(FleetInput::Batch(
        harness.batch(PEER, 4, Vec::new()),
        Some(older),
    ));
    expect_that!(stored(&harness), some(eq(&newer)));
    receive(&mut harness, 5, 0, None);
    expect_that!(stored(&harness), none());
}

/// Guards against decisions by the values of a host that is gone.
#[gtest]
fn extension_is_dropped_when_the_peer_is_lost_or_restarts() {
    let mut harness = Harness::new(1);
    let (first, late) = (extension(&[(TAG_PACE, 1)]), extension(&[(TAG_PACE, 2)]));
    receive(&mut harness, 1, 0, Some(first.clone()));
    harness.advance(1800);
    expect_that!(stored(&harness), some(eq(&first)));
    harness.advance(100);
    expect_that!(stored(&harness), none());

    receive(&mut harness, 2, 0, Some(first.clone()));
    expect_that!(stored(&harness), some(eq(&first)));
    let mut restarted = harness.batch(PEER, 1, Vec::new());
    restarted.time.incarnation += 1;
    harness.step(FleetInput::Batch(restarted, None));
    expect_that!(stored(&harness), none());
    receive(&mut harness, 3, 0, Some(late));
    expect_that!(stored(&harness), none());
    receive(&mut harness, 2, 1, Some(first.clone()));
    expect_that!(stored(&harness), some(eq(&first)));
}

/// Guards against an extension that exceeds its share of a batch, and against a
/// part with a high tag that displaces one with a low tag.
#[gtest]
fn highest_tags_are_dropped_first() {
    let sizes = [
        (TAG_INTERFERENCE, 700),
        (TAG_PACE, 700),
        (TAG_QUEUED_WORK, 700),
    ];
    expect_that!(tags(&extension(&sizes)), elements_are![eq(&1), eq(&2)]);
    let sizes = [(TAG_PACE, 1900), (TAG_QUEUED_WORK, 500)];
    expect_that!(tags(&extension(&sizes)), elements_are![eq(&1)]);
    let sizes = [(TAG_QUEUED_WORK, 8), (TAG_PACE, MAX_EXTENSION_BYTES)];
    expect_that!(tags(&extension(&sizes)), elements_are![eq(&2)]);
    let replaced = extension(&[(TAG_PACE, 2000), (TAG_PACE, 3)]);
    expect_that!(replaced.get(TAG_PACE), some(eq(&[1, 1, 1][..])));
    expect_that!(replaced.get(TAG_QUEUED_WORK), none());
    let full = extension(&[(TAG_PACE, 1000), (TAG_QUEUED_WORK, 1030)]);
    expect_that!(full.entries, len(eq(2)));
    let encoded = bincode::serde::encode_to_vec(&full, bincode::config::standard());
    expect_that!(encoded.unwrap().len(), le(MAX_EXTENSION_BYTES));
}

/// Guards against a peer of another build, or a faulty one, that fills the
/// memory or the log of this host, or stops it.
#[gtest]
fn unknown_and_undecodable_entries_are_ignored() {
    let mut harness = Harness::new(1);
    let entry = |tag, bytes| ExtensionEntry { tag, bytes };
    let received = BatchExtension {
        entries: vec![
            entry(900, vec![0; 1 << 20]),
            entry(TAG_INTERFERENCE, vec![0; 1 << 20]),
            entry(TAG_PACE, vec![255; 9]),
            entry(TAG_QUEUED_WORK, encode_entry(&(7u32, 9u64)).unwrap()),
        ],
    };
    receive(&mut harness, 1, 0, Some(received.clone()));
    expect_that!(
        tags(stored(&harness).unwrap()),
        elements_are![eq(&1), eq(&2)]
    );
    expect_that!(ignored_lines(&mut harness), eq(1));

    let peer = format!("entry-{PEER}");
    let pace = harness
        .fleet
        .decode_peer_entry::<(u32, u64)>(&peer, TAG_PACE);
    expect_that!(pace, none());
    let work = harness
        .fleet
        .decode_peer_entry::<(u32, u64)>(&peer, TAG_QUEUED_WORK);
    expect_that!(work, some(eq((7u32, 9u64))));
    expect_that!(tags(stored(&harness).unwrap()), elements_are![eq(&2)]);
    for sequence in 2..100 {
        harness.advance_at_once(600);
        receive(&mut harness, sequence, 0, Some(received.clone()));
    }
    expect_that!(ignored_lines(&mut harness), eq(0));
    harness.advance_at_once(1_200);
    receive(&mut harness, 100, 0, Some(received));
    expect_that!(ignored_lines(&mut harness), eq(1));
}

proptest! {
    /// Guards against a panic, or a large allocation, at bytes from another host.
    #[test]
    fn decoding_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..3000)) {
        let words: hornbeam_core::Result<Vec<u64>> = decode_entry(&bytes);
        if bytes.len() > MAX_EXTENSION_BYTES {
            prop_assert!(words.is_err());
        }
        let _: hornbeam_core::Result<Vec<(String, Option<u32>)>> = decode_entry(&bytes);
        let _: hornbeam_core::Result<BatchExtension> = decode_entry(&bytes);
    }

    /// Guards against a value that changes on its way, and against one with
    /// further bytes that is taken for a shorter one.
    #[test]
    fn values_survive_encoding(values in prop::collection::vec(any::<(u16, i64)>(), 0..150)) {
        let mut bytes = encode_entry(&values).expect("150 values fit");
        prop_assert_eq!(&decode_entry::<Vec<(u16, i64)>>(&bytes).expect("the encoded value"), &values);
        bytes.push(0);
        prop_assert!(decode_entry::<Vec<(u16, i64)>>(&bytes).is_err());
    }
}
