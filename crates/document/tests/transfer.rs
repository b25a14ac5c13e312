//! Transfer of documents between a history and downloads.

use std::sync::Arc;

use googletest::prelude::*;
use hornbeam_document::{Document, DocumentHistory, Download, HistoryOptions, Part};
use proptest::prelude::*;

/// Largest number of parts that any document of these tests may take.
const MAX_PARTS: usize = 100;

/// Number of queues that a large change of the platform adds.
const ADDED_QUEUES: u64 = 1_560;

/// Queues of a document that takes more than three parts.
const SLOW_QUEUES: u64 = 5_000;

fn queue_text(number: u64) -> String {
    // Spreads the digits, so that names differ as much as random ones.
    let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!(
        "{{\"queue\":\"r-{name:x}\",\"host\":\"h{number}.example\",\"path\":\"/p{name:x}/\",\"timeout_ms\":1500,\"objective_ms\":60,\"priority\":1,\"service\":\"subscribe\",\"attempts\":4,\"stretch\":1.6,\"kind\":\"not repeatable\"}}"
    )
}

fn document(version: u64, queues: impl IntoIterator<Item = u64>) -> Document {
    let queues: Vec<String> = queues.into_iter().map(queue_text).collect();
    let text = format!(
        "{{\"version\":{version},\"queues\":[{}]}}",
        queues.join(",")
    );
    Document::new(version, text.into())
}

fn history(documents: &[Document]) -> DocumentHistory {
    let mut history = DocumentHistory::default();
    for document in documents {
        history.add(document.clone());
    }
    history
}

fn next_part(history: &mut DocumentHistory, download: &Download) -> Option<Part> {
    history
        .part(&download.request())
        .expect("it can be encoded")
}

/// Downloads the newest document, and gets the number of bytes that it took.
fn download_all(history: &mut DocumentHistory, download: &mut Download) -> usize {
    let mut bytes = 0;
    for _ in 0..MAX_PARTS {
        let Some(part) = next_part(history, download) else {
            return bytes;
        };
        bytes += part.bytes.len();
        download.add(part).expect("the part fits");
    }
    panic!("the download does not end");
}

fn downloaded(document: &Document) -> Download {
    let mut download = Download::default();
    download.replace(document.clone());
    download
}

/// Guards against the transfer of all queues for the change of one.
#[gtest]
fn a_changed_queue_costs_a_few_hundred_bytes() {
    let old = document(7, 0..1_600);
    let new = document(
        8,
        (0..1_600).map(|queue| if queue == 800 { 9_000 } else { queue }),
    );
    let mut download = downloaded(&old);
    let bytes = download_all(&mut history(&[old, new.clone()]), &mut download);
    expect_that!(download.current(), some(eq(&new)));
    expect_that!(bytes, lt(600));
}

/// Guards against a large change that takes a slow link for a second: it has
/// 400 KB of text, which takes 1.6 s at 2 Mbit/s.
#[gtest]
fn a_large_change_is_compressed() {
    let old = document(7, 0..40);
    let new = document(8, 0..40 + ADDED_QUEUES);
    let mut download = downloaded(&old);
    let bytes = download_all(&mut history(&[old, new.clone()]), &mut download);
    expect_that!(download.current(), some(eq(&new)));
    expect_that!(bytes * 4, lt(new.text.len()));
}

/// Guards against a host without a usable base that gets no document.
#[gtest]
fn a_host_without_a_known_base_gets_the_whole_document() {
    let new = document(8, 0..300);
    for mut download in [Download::default(), downloaded(&document(5, 0..3))] {
        download_all(&mut history(std::slice::from_ref(&new)), &mut download);
        expect_that!(download.current(), some(eq(&new)));
    }
}

/// Guards against a slow download that starts again at the first byte when the
/// connection or the host that serves it is lost, or when a newer document is
/// published meanwhile, and so never ends.
#[gtest]
fn an_interrupted_download_continues_at_another_host() {
    let old = document(7, 0..40);
    let new = document(8, 0..SLOW_QUEUES);
    let newer = document(9, 1..SLOW_QUEUES);
    let mut first = history(&[old.clone(), new.clone()]);
    let mut second = history(&[old.clone(), new.clone(), newer.clone()]);
    let mut download = downloaded(&old);
    let mut offset = 0;
    for turn in 0..3 {
        let from = if turn % 2 == 0 {
            &mut first
        } else {
            &mut second
        };
        let part = next_part(from, &download).expect("there is a newer document");
        expect_that!(part.offset_bytes, ge(offset));
        expect_that!(part.target, eq(new.id));
        offset = part.offset_bytes + 1;
        download.add(part).expect("the part fits");
    }
    expect_that!(offset, gt(1));
    download_all(&mut second, &mut download);
    expect_that!(download.current(), some(eq(&newer)));
}

/// Guards against a document that is put together from parts of two documents
/// or of two encodings, or is taken although bytes of it are damaged.
#[gtest]
fn a_damaged_or_foreign_part_is_not_used() {
    let old = document(7, 0..40);
    let new = document(8, 0..40 + ADDED_QUEUES);
    let mut with_base = history(&[old.clone(), new.clone()]);
    let mut without_base = history(std::slice::from_ref(&new));
    let mut download = downloaded(&old);
    let first = next_part(&mut with_base, &download).expect("a part");
    download.add(first).expect("the part fits");
    let other = next_part(&mut without_base, &download).expect("a part");
    expect_that!(other.offset_bytes, eq(0));
    let mut damaged = downloaded(&old);
    let mut refused = false;
    for _ in 0..MAX_PARTS {
        let Some(mut part) = next_part(&mut with_base, &damaged) else {
            break;
        };
        if !refused {
            part.bytes[0] ^= 1;
        }
        refused |= damaged.add(part).is_err();
    }
    expect_that!(refused, eq(true));
    expect_that!(damaged.current(), some(eq(&new)));
}

/// Guards against a host that goes back to a document that it has replaced.
#[gtest]
fn an_older_document_is_neither_sent_nor_accepted() {
    let (old, new) = (document(7, 0..3), document(8, 0..4));
    let mut download = Download::default();
    let late = next_part(&mut history(std::slice::from_ref(&old)), &download).expect("a part");
    download.replace(new.clone());
    expect_that!(
        next_part(&mut history(std::slice::from_ref(&old)), &download),
        none()
    );
    expect_that!(download.add(late).is_err(), eq(true));
    expect_that!(download.current(), some(eq(&new)));
    let mut both = history(&[new.clone(), old]);
    expect_that!(both.newest(), some(eq(&new)));
    expect_that!(next_part(&mut both, &download), none());
}

/// Guards against memory that grows with every published document.
#[gtest]
fn the_history_is_bounded_and_keeps_the_newest() {
    let options = HistoryOptions {
        max_documents: 4,
        max_bytes: 10_000,
    };
    let mut history = DocumentHistory::new(options);
    for version in 1..=50 {
        history.add(document(version, 0..version));
    }
    let newest = document(50, 0..50);
    expect_that!(history.newest(), some(eq(&newest)));
    // The newest document alone exceeds the size, so its predecessor is gone.
    let download = downloaded(&document(49, 0..49));
    let part = next_part(&mut history, &download).expect("a part");
    expect_that!(part.is_difference, eq(false));
}

proptest! {
    /// Guards against texts that are not restored byte for byte.
    #[test]
    fn any_text_is_restored(base in "[a-c{}\u{e4}]{0,200}", target in "[a-c{}\u{e4}]{0,200}") {
        let old = Document::new(1, Arc::from(base));
        let new = Document::new(2, Arc::from(target));
        let mut download = downloaded(&old);
        download_all(&mut history(&[old, new.clone()]), &mut download);
        prop_assert_eq!(download.current(), Some(&new));
    }

    /// Guards against a malformed part that takes the process down.
    #[test]
    fn any_bytes_are_refused_or_ignored(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        is_difference in any::<bool>(),
    ) {
        let old = document(1, 0..3);
        let target = document(2, 0..4).id;
        let mut download = downloaded(&old);
        let encoding_bytes = u32::try_from(bytes.len()).expect("a small length");
        let encoding_checksum = Document::new(0, Arc::from("")).id.checksum;
        let part = Part { target, is_difference, encoding_checksum, encoding_bytes, offset_bytes: 0, bytes };
        prop_assert!(download.add(part).is_err());
        prop_assert_eq!(download.current(), Some(&old));
    }
}
