//! Tests of the data folder: failures and crashes at every write and sync.

mod common;

use common::memory_files::{FailurePoint, MemoryFiles};
use common::{change_command, fixed_cases};
use hornbeam_control::{
    Command, DiskStorage, Entry, HardState, PersistRequest, RecoveredState, SnapshotData,
    StoredIdentity,
};
use hornbeam_core::Error;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const REPLICA_ID: u64 = 7;

fn entry(index: u64, term: u64) -> Entry {
    let command = change_command(index, &format!("{index} in term {term}"), "op");
    Entry {
        index,
        term,
        command,
    }
}

/// Model of the content of the folder.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    snapshot: Option<SnapshotData>,
    entries: Vec<Entry>,
}

impl Model {
    fn of(recovered: RecoveredState) -> Self {
        Self {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot,
            entries: recovered.entries,
        }
    }

    fn last_index(&self) -> u64 {
        let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.entries.last().map_or(base, |last| last.index)
    }

    /// Gets every state that a crash during a request may leave, in order. A
    /// request writes the hard state, then the snapshot, then the entries.
    fn stages(&self, request: &PersistRequest) -> Vec<Self> {
        let mut stages = vec![self.clone()];
        let mut model = self.clone();
        if let Some(hard_state) = request.hard_state {
            model.hard_state = hard_state;
            stages.push(model.clone());
        }
        if let Some(snapshot) = &request.snapshot {
            let key = (snapshot.index, snapshot.term);
            let holds_last = model.entries.iter().any(|e| (e.index, e.term) == key);
            model
                .entries
                .retain(|e| holds_last && e.index > snapshot.index);
            model.snapshot = Some(snapshot.clone());
            stages.push(model.clone());
        }
        if let Some(first) = request.entries.first() {
            model.entries.retain(|e| e.index < first.index);
            model.entries.extend(request.entries.iter().cloned());
            stages.push(model);
        }
        stages
    }
}

/// A step of a replica that persists something.
#[derive(Clone, Debug)]
enum Step {
    Vote,
    /// Replaces up to the first number of entries and appends the second.
    Append(u64, u64),
    Compact(u64),
    /// Installs a snapshot of another term; its index is the last one minus 1 or
    /// later.
    Install(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => Just(Step::Vote),
        6 => (0..4u64, 1..5u64).prop_map(|(replaced, added)| Step::Append(replaced, added)),
        1 => (0..4u64).prop_map(Step::Compact),
        1 => (1..6u64).prop_map(Step::Install),
    ];
    prop::collection::vec(step, 1..12)
}

/// Creates the persist request of a step from the state of the model.
fn request(model: &Model, id: u64, step: &Step) -> PersistRequest {
    let term = id;
    let mut request = PersistRequest {
        id,
        ..PersistRequest::default()
    };
    request.hard_state = Some(HardState {
        term,
        voted_for: Some(REPLICA_ID),
    });
    let snapshot = |index, term| SnapshotData {
        index,
        term,
        voters: vec![REPLICA_ID],
        state: vec![1; 40],
    };
    match step {
        Step::Vote => {}
        Step::Append(replaced, added) => {
            let replaced = (*replaced).min(model.entries.len() as u64);
            let first = model.last_index() + 1 - replaced;
            request.entries = (first..first + added)
                .map(|index| entry(index, term))
                .collect();
        }
        Step::Compact(kept) => {
            let position = model.entries.len().saturating_sub(1 + *kept as usize);
            let last = model.entries.get(position);
            request.snapshot = last.map(|last| snapshot(last.index, last.term));
        }
        Step::Install(ahead) => {
            let base = model.snapshot.as_ref().map_or(0, |held| held.index);
            let index = (model.last_index() + ahead).saturating_sub(2).max(base + 1);
            request.snapshot = Some(snapshot(index, 0));
        }
    }
    request
}

/// Executes steps until an injected failure, crashes, and checks recovery. False
/// if the failure was never reached.
fn survives_failure(steps: &[Step], operation: u64, failure: FailurePoint, seed: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let files = MemoryFiles::default();
    files.fail_at(operation, failure);
    let mut allowed = vec![Model::default()];
    if let Ok((mut storage, recovered)) =
        DiskStorage::open_with(files.clone(), REPLICA_ID, &[REPLICA_ID])
    {
        assert!(recovered.fresh);
        for (id, step) in (1..).zip(steps) {
            let model = allowed.pop().expect("one state before each step");
            let request = request(&model, id, step);
            let stages = model.stages(&request);
            if storage.persist(&request).is_err() {
                assert!(
                    storage.persist(&request).is_err(),
                    "the storage was used again after a failure"
                );
                allowed = stages;
                break;
            }
            allowed.extend(stages.last().cloned());
        }
    }
    let is_reached = files.operations() >= operation;
    files.crash(&mut rng);
    check_recovery(&files, &allowed, &mut rng);
    is_reached
}

/// Checks recovery, also after crashes during recovery, and a later append.
fn check_recovery(files: &MemoryFiles, allowed: &[Model], rng: &mut ChaCha8Rng) {
    for point in 1..4 {
        files.fail_at(files.operations() + point, FailurePoint::After);
        let _ = DiskStorage::open_with(files.clone(), REPLICA_ID, &[REPLICA_ID]);
        files.crash(rng);
    }
    let (mut storage, recovered) = DiskStorage::open_with(files.clone(), REPLICA_ID, &[REPLICA_ID])
        .expect("a crash is no damage");
    let model = Model::of(recovered);
    assert!(
        allowed.contains(&model),
        "{model:#?}\nis none of\n{allowed:#?}"
    );
    let request = request(&model, 1_000, &Step::Append(2, 2));
    storage.persist(&request).expect("no failure is injected");
    let expected = model.stages(&request).pop().expect("the request appends");
    drop(storage);
    let (_, recovered) = DiskStorage::open_with(files.clone(), REPLICA_ID, &[REPLICA_ID])
        .expect("nothing is damaged");
    assert_eq!(Model::of(recovered), expected);
}

proptest! {
    #![proptest_config(fixed_cases(40))]

    /// Guards against the loss of persisted data by a crash at any write, sync or
    /// rename, replaced entries that reappear, and use of the storage after a
    /// failure.
    #[test]
    fn crash_at_every_point_keeps_what_is_persisted(steps in steps(), seed: u64) {
        for failure in [FailurePoint::Before, FailurePoint::After] {
            let mut operation = 1;
            while survives_failure(&steps, operation, failure, seed) {
                operation += 1;
            }
        }
    }

    /// Guards against damage before the last record that is treated as a torn
    /// write, which would silently drop persisted entries.
    #[test]
    fn flipped_bit_is_reported(flipped: prop::sample::Index, batches in 2..6u64) {
        let files = MemoryFiles::default();
        let (mut storage, _) =
            DiskStorage::open_with(files.clone(), REPLICA_ID, &[REPLICA_ID]).expect("the folder is new");
        let mut end_of_last_but_one = 0;
        for id in 1..=batches {
            end_of_last_but_one = files.length("log");
            let entries = vec![entry(2 * id - 1, 1), entry(2 * id, 1)];
            let request = PersistRequest { id, entries, ..PersistRequest::default() };
            storage.persist(&request).expect("no failure is injected");
        }
        files.flip_bit("log", flipped.index(8 * end_of_last_but_one));
        let opened = DiskStorage::open_with(files, REPLICA_ID, &[REPLICA_ID]);
        prop_assert!(matches!(opened, Err(Error::Corrupt(_))), "{opened:?}");
    }

    /// Guards against use of a damaged hard state, snapshot or identity.
    #[test]
    fn flipped_bit_in_a_replaced_file_is_reported(
        flipped: prop::sample::Index,
        name in prop::sample::select(vec!["hard_state", "snapshot", "identity"]),
    ) {
        let files = MemoryFiles::default();
        let (mut storage, _) =
            DiskStorage::open_with(files.clone(), REPLICA_ID, &[REPLICA_ID]).expect("the folder is new");
        let request = request(&Model::default(), 1, &Step::Install(5));
        storage.persist(&request).expect("no failure is injected");
        files.flip_bit(name, flipped.index(8 * files.length(name)));
        let opened = DiskStorage::open_with(files, REPLICA_ID, &[REPLICA_ID]);
        prop_assert!(matches!(opened, Err(Error::Corrupt(_))), "{opened:?}");
    }
}

/// Guards against use of the folder of another replica or program, and against
/// two processes that use one folder.
#[test]
fn foreign_or_open_folder_is_refused() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let path = folder.path().join("data");
    assert_eq!(DiskStorage::identity(&path), Ok(None));
    let (mut storage, recovered) =
        DiskStorage::open(&path, REPLICA_ID, &[REPLICA_ID]).expect("the folder is new");
    assert!(recovered.fresh);
    let entries = vec![entry(1, 1)];
    let request = PersistRequest {
        id: 1,
        entries,
        ..PersistRequest::default()
    };
    storage.persist(&request).expect("the disk works");
    assert!(matches!(
        DiskStorage::open(&path, REPLICA_ID, &[REPLICA_ID]),
        Err(Error::Io(_))
    ));
    drop(storage);

    assert_eq!(
        DiskStorage::identity(&path),
        Ok(Some(StoredIdentity {
            replica_id: REPLICA_ID,
            knows_voters: true
        }))
    );
    assert!(matches!(
        DiskStorage::open(&path, REPLICA_ID + 1, &[REPLICA_ID]),
        Err(Error::Refused(_))
    ));
    let (storage, recovered) =
        DiskStorage::open(&path, REPLICA_ID, &[REPLICA_ID]).expect("it is the own folder");
    assert_eq!(recovered.entries, vec![entry(1, 1)]);
    assert!(storage.size_bytes() > 0);

    std::fs::write(folder.path().join("photo.jpg"), "").expect("the disk works");
    assert!(matches!(
        DiskStorage::open(folder.path(), REPLICA_ID, &[REPLICA_ID]),
        Err(Error::Refused(_))
    ));
}

/// Guards against a replica that cannot start after a torn write of the last
/// record.
#[test]
fn torn_tail_is_truncated_and_reported() {
    let files = MemoryFiles::default();
    let (mut storage, _) = DiskStorage::open_with(files.clone(), REPLICA_ID, &[REPLICA_ID])
        .expect("the folder is new");
    for index in 1..=2 {
        let entries = vec![Entry {
            index,
            term: 1,
            command: Command::Noop,
        }];
        let request = PersistRequest {
            id: index,
            entries,
            ..PersistRequest::default()
        };
        storage.persist(&request).expect("no failure is injected");
    }
    let last_bit = 8 * files.length("log") - 1;
    files.flip_bit("log", last_bit);
    let (_, recovered) =
        DiskStorage::open_with(files, REPLICA_ID, &[REPLICA_ID]).expect("a torn tail is no damage");
    assert_eq!(recovered.entries.len(), 1);
    assert!(recovered.truncated_bytes > 0);
}
