//! Simulates a power loss at every operation of a scripted workload, where the disk keeps, loses or tears writes that
//! were not synced. Afterwards the store must contain every acknowledged batch completely, and nothing else.

use std::collections::BTreeMap;

use lockpoint_store::sim::SimDisk;
use lockpoint_store::{Batch, Durability, Store, StoreError};

type Items = BTreeMap<Vec<u8>, Vec<u8>>;

/// Batches as a controller writes them: calls begin and end; most batches are synced, some are not.
fn workload() -> Vec<(Batch, Durability)> {
    let call = |n: usize| format!("call/{n:04}").into_bytes();
    let batch = |no: usize| {
        let mut batch = Batch::default();
        for n in 0..3 {
            batch.put(&call(no * 3 + n), format!("s{}:{}", n, "x".repeat(40 * (no % 4))).as_bytes());
        }
        if no > 1 {
            batch.remove(&call((no - 2) * 3));
        }
        batch.put(b"usual", no.to_string().as_bytes());
        (batch, if no % 4 == 3 { Durability::Deferred } else { Durability::Synced })
    };
    (0..10).map(batch).collect()
}

/// A disk with an empty store, as created by `Store::open`.
fn disk_with_empty_store() -> SimDisk {
    let disk = SimDisk::default();
    drop(Store::with_backend(disk.clone()).expect("a new store"));
    SimDisk::from_image(disk.image())
}

/// The store's contents after each number of batches.
fn expected_states() -> Vec<Items> {
    let mut store = Store::with_backend(disk_with_empty_store()).expect("an empty store");
    let contents = |store: &Store| store.scan(b"").expect("read").into_iter().collect::<Items>();
    let mut states = vec![contents(&store)];
    for (batch, durability) in workload() {
        store.commit(&batch, durability).expect("committed");
        states.push(contents(&store));
    }
    states
}

/// Runs the workload until the disk fails. Returns how many batches were acknowledged as synced, and how many were
/// begun.
fn run(disk: &SimDisk, with_compaction: bool) -> (usize, usize) {
    let Ok(mut store) = Store::with_backend(disk.clone()) else { return (0, 0) };
    let (mut synced, mut begun) = (0, 0);
    for (no, (batch, durability)) in workload().iter().enumerate() {
        begun = no + 1;
        match store.commit(batch, *durability) {
            Ok(sequence) => assert_eq!(sequence, no as u64 + 1),
            Err(_) => {
                assert!(
                    matches!(store.commit(batch, *durability), Err(StoreError::Failed)),
                    "a failed commit is not retried"
                );
                return (synced, begun);
            }
        }
        if *durability == Durability::Synced {
            synced = no + 1;
        }
        if with_compaction && no == 5 && store.compact().is_err() {
            return (synced, begun);
        }
    }
    (synced, begun)
}

/// Asserts that the store on `disk` has the contents after some number of batches between `synced` and `begun`, and
/// that it accepts new commits.
fn assert_recovers(disk: SimDisk, states: &[Items], synced: usize, begun: usize, what: &str) {
    let mut store = Store::with_backend(disk).unwrap_or_else(|error| panic!("{what}: {error}"));
    let found: Items =
        store.scan(b"").unwrap_or_else(|error| panic!("{what}: {error}")).into_iter().collect();
    let sequence = usize::try_from(store.sequence()).expect("small");
    assert!((synced..=begun).contains(&sequence), "{what}: batch {sequence}, synced {synced}, begun {begun}");
    assert_eq!(found, states[sequence], "{what}: differs from the state after batch {sequence}");
    let mut more = Batch::default();
    more.put(b"after", b"it goes on");
    assert_eq!(
        store.commit(&more, Durability::Synced).expect("a commit after recovery"),
        sequence as u64 + 1,
        "{what}"
    );
}

fn lose_power_at_every_operation(with_compaction: bool) {
    let states = expected_states();
    let complete = disk_with_empty_store();
    assert_eq!(run(&complete, with_compaction), (10, 10), "the workload ends with a synced batch");
    let mut images = 0;
    for at in 0..complete.operations() {
        let disk = disk_with_empty_store();
        disk.fail_from(at);
        let (synced, begun) = run(&disk, with_compaction);
        // Of the changes that were not synced the disk keeps: none, all, every other, all but one, a single one, or all
        // with one of them torn.
        let unsynced = disk.unsynced_changes();
        let mut check = |what: String, kept_bytes: &mut dyn FnMut(usize) -> Option<usize>| {
            assert_recovers(disk.power_loss(kept_bytes), &states, synced, begun, &what);
            images += 1;
        };
        check(format!("operation {at}: none kept"), &mut |_| None);
        check(format!("operation {at}: all kept"), &mut |_| Some(usize::MAX));
        check(format!("operation {at}: every other kept"), &mut |no| (no % 2 == 0).then_some(usize::MAX));
        for one in 0..unsynced {
            check(format!("operation {at}: all but {one} kept"), &mut |no| (no != one).then_some(usize::MAX));
            check(format!("operation {at}: only {one} kept"), &mut |no| (no == one).then_some(usize::MAX));
            check(format!("operation {at}: {one} torn"), &mut |no| {
                Some(if no == one { 512 } else { usize::MAX })
            });
        }
    }
    println!("{} operations, {images} images", complete.operations());
    assert!(images > 500, "{images}");
}

#[test]
fn the_store_recovers_from_a_power_loss_at_every_operation() {
    lose_power_at_every_operation(false);
}

#[test]
fn the_store_recovers_from_a_power_loss_at_every_operation_including_a_compaction() {
    lose_power_at_every_operation(true);
}

#[test]
fn the_store_recovers_from_a_torn_last_write() {
    let states = expected_states();
    let complete = disk_with_empty_store();
    run(&complete, false);
    let mut images = 0;
    for at in (0..complete.operations()).step_by(7) {
        let disk = disk_with_empty_store();
        disk.fail_from(at);
        let (synced, begun) = run(&disk, false);
        let last = disk.unsynced_changes().saturating_sub(1);
        // Headers are cut at every byte, pages of 4,096 bytes at every 64th.
        let step = if disk.last_write_len() > 512 { 64 } else { 1 };
        for bytes in (0..disk.last_write_len()).step_by(step) {
            let torn = disk.power_loss(|no| Some(if no == last { bytes } else { usize::MAX }));
            assert_recovers(
                torn,
                &states,
                synced,
                begun,
                &format!("operation {at}: {bytes} bytes of the last write"),
            );
            images += 1;
        }
    }
    println!("{images} images");
    assert!(images > 500, "{images}");
}

#[test]
fn a_store_can_be_open_only_once_at_a_time() {
    let path = std::env::temp_dir().join(format!("lockpoint-store-owners-{}", std::process::id()));
    // The remains of a creation interrupted by a power loss must not prevent a new one.
    let temporary = std::env::temp_dir().join(format!("lockpoint-store-owners-{}.new", std::process::id()));
    std::fs::write(&temporary, [0; 9_000]).expect("written");
    let first = Store::open(&path).expect("created");
    assert!(!temporary.exists());
    assert!(matches!(Store::open(&path), Err(StoreError::InUse { .. })));
    drop(first);
    assert!(Store::open(&path).is_ok());
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn opening_a_file_that_is_no_store_fails_with_its_name_and_leaves_it_unchanged() {
    let path = std::env::temp_dir().join(format!("lockpoint-store-other-{}", std::process::id()));
    std::fs::write(&path, "a letter to the operators, longer than a header ".repeat(40)).expect("written");
    let before = std::fs::read(&path).expect("read");
    let error_text = Store::open(&path).err().map(|error| error.to_string()).unwrap_or_default();
    assert!(error_text.contains("lockpoint-store-other"), "{error_text}");
    assert_eq!(std::fs::read(&path).expect("read"), before);
    std::fs::remove_file(&path).expect("removed");
}
