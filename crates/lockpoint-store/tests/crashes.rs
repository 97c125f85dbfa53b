//! The power goes at every operation of a scripted workload, and the disk keeps, loses or tears what was not synced:
//! every acknowledged batch is there afterwards, whole, and nothing that nobody wrote.

use std::collections::BTreeMap;

use lockpoint_store::sim::SimDisk;
use lockpoint_store::{Batch, Durability, Store, StoreError};

type Items = BTreeMap<Vec<u8>, Vec<u8>>;

/// Batches as a controller writes them: calls begin and end; most are synced, some are not.
fn script() -> Vec<(Batch, Durability)> {
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

/// A disk with an empty store, as `Store::open` moves one to its place.
fn made() -> SimDisk {
    let disk = SimDisk::default();
    drop(Store::with_backend(disk.clone()).expect("a new store"));
    SimDisk::from_image(disk.image())
}

/// What the store holds after each number of batches.
fn states() -> Vec<Items> {
    let mut store = Store::with_backend(made()).expect("an empty store");
    let all = |store: &Store| store.scan(b"").expect("read").into_iter().collect::<Items>();
    let mut states = vec![all(&store)];
    for (batch, durability) in script() {
        store.commit(&batch, durability).expect("kept");
        states.push(all(&store));
    }
    states
}

/// Runs the script until the disk fails; how many batches were known to be on the disk, and how many were begun.
fn run(disk: &SimDisk, compacts: bool) -> (usize, usize) {
    let Ok(mut store) = Store::with_backend(disk.clone()) else { return (0, 0) };
    let (mut synced, mut begun) = (0, 0);
    for (no, (batch, durability)) in script().iter().enumerate() {
        begun = no + 1;
        match store.commit(batch, *durability) {
            Ok(sequence) => assert_eq!(sequence, no as u64 + 1),
            Err(_) => {
                assert!(
                    matches!(store.commit(batch, *durability), Err(StoreError::Failed)),
                    "not tried again"
                );
                return (synced, begun);
            }
        }
        if *durability == Durability::Synced {
            synced = no + 1;
        }
        if compacts && no == 5 && store.compact().is_err() {
            return (synced, begun);
        }
    }
    (synced, begun)
}

/// What is there after the power came back must be the state after so many batches, at least the synced ones.
fn holds(disk: SimDisk, states: &[Items], synced: usize, begun: usize, what: &str) {
    let mut store = Store::with_backend(disk).unwrap_or_else(|error| panic!("{what}: {error}"));
    let found: Items =
        store.scan(b"").unwrap_or_else(|error| panic!("{what}: {error}")).into_iter().collect();
    let sequence = usize::try_from(store.sequence()).expect("small");
    assert!((synced..=begun).contains(&sequence), "{what}: batch {sequence}, synced {synced}, begun {begun}");
    assert_eq!(found, states[sequence], "{what}: not the state after batch {sequence}");
    let mut more = Batch::default();
    more.put(b"after", b"it goes on");
    assert_eq!(store.commit(&more, Durability::Synced).expect("it goes on"), sequence as u64 + 1, "{what}");
}

fn every_operation(compacts: bool) {
    let states = states();
    let whole = made();
    assert_eq!(run(&whole, compacts), (10, 10), "the script ends with a synced batch");
    let mut images = 0;
    for at in 0..whole.operations() {
        let disk = made();
        disk.fail_at(at);
        let (synced, begun) = run(&disk, compacts);
        // Nothing of the rest is kept; all of it; every other change; all but one; each in turn torn.
        let unsynced = disk.unsynced_changes();
        let mut lose = |what: String, keeps: &mut dyn FnMut(usize) -> Option<usize>| {
            holds(disk.power_loss(keeps), &states, synced, begun, &what);
            images += 1;
        };
        lose(format!("operation {at}: nothing"), &mut |_| None);
        lose(format!("operation {at}: all"), &mut |_| Some(usize::MAX));
        lose(format!("operation {at}: every other"), &mut |no| (no % 2 == 0).then_some(usize::MAX));
        for one in 0..unsynced {
            lose(format!("operation {at}: all but {one}"), &mut |no| (no != one).then_some(usize::MAX));
            lose(format!("operation {at}: {one} alone"), &mut |no| (no == one).then_some(usize::MAX));
            lose(format!("operation {at}: {one} torn"), &mut |no| {
                Some(if no == one { 512 } else { usize::MAX })
            });
        }
    }
    println!("{} operations, {images} images", whole.operations());
    assert!(images > 500, "{images}");
}

#[test]
fn the_power_goes_at_every_operation() {
    every_operation(false);
}

#[test]
fn the_power_goes_at_every_operation_and_in_the_midst_of_a_compaction() {
    every_operation(true);
}

/// The last write, cut at every byte.
#[test]
fn the_last_write_is_torn_at_every_byte() {
    let states = states();
    let whole = made();
    run(&whole, false);
    let mut images = 0;
    for at in (0..whole.operations()).step_by(7) {
        let disk = made();
        disk.fail_at(at);
        let (synced, begun) = run(&disk, false);
        let last = disk.unsynced_changes().saturating_sub(1);
        // A page is 4,096 bytes; headers are shorter. Every byte of those, every 64th of a page.
        let step = if disk.last_write_len() > 512 { 64 } else { 1 };
        for bytes in (0..disk.last_write_len()).step_by(step) {
            let torn = disk.power_loss(|no| Some(if no == last { bytes } else { usize::MAX }));
            holds(torn, &states, synced, begun, &format!("operation {at}: {bytes} bytes of the last write"));
            images += 1;
        }
    }
    println!("{images} images");
    assert!(images > 500, "{images}");
}

#[test]
fn two_owners_are_refused_and_the_second_one_may_come_when_the_first_has_gone() {
    let path = std::env::temp_dir().join(format!("lockpoint-store-owners-{}", std::process::id()));
    // What a power loss left of an earlier beginning is no hindrance.
    let beside = std::env::temp_dir().join(format!("lockpoint-store-owners-{}.new", std::process::id()));
    std::fs::write(&beside, [0; 9_000]).expect("written");
    let first = Store::open(&path).expect("made");
    assert!(!beside.exists());
    assert!(matches!(Store::open(&path), Err(StoreError::InUse { .. })));
    drop(first);
    assert!(Store::open(&path).is_ok());
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn a_file_that_is_no_store_is_refused_by_name_and_left_as_it_is() {
    let path = std::env::temp_dir().join(format!("lockpoint-store-other-{}", std::process::id()));
    std::fs::write(&path, "a letter to the operators, longer than a header ".repeat(40)).expect("written");
    let before = std::fs::read(&path).expect("read");
    let refused = Store::open(&path).err().map(|error| error.to_string()).unwrap_or_default();
    assert!(refused.contains("lockpoint-store-other"), "{refused}");
    assert_eq!(std::fs::read(&path).expect("read"), before);
    std::fs::remove_file(&path).expect("removed");
}
