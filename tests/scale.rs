//! Small scale runs: simulated controllers in simulated time, and real ones beside them. The checks use counters, not
//! processor time.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use lockpoint::interface::{Span, Time};
use lockpoint_lab::event_log::on_one_thread;
use lockpoint_lab::scale::address::Address;
use lockpoint_lab::scale::bounds::{checks, Check, MAX_BYTES_PER_SECOND, MAX_PROPAGATION_MS};
use lockpoint_lab::scale::control_plane::{ChangeId, ControlPlane, ControlPlaneConfig, MakeControlPlane};
use lockpoint_lab::scale::real::measure_real;
use lockpoint_lab::scale::report::{verdict, PropagationResult, Row};
use lockpoint_lab::scale::run::measure;
use lockpoint_lab::scale::scenario::Fault;
use lockpoint_lab::scale::traffic::MeanMax;
use lockpoint_lab::scale::Options;

const SEED: u64 = 7;

fn options(seconds: f64) -> Options {
    println!("seed {SEED}");
    Options { seconds, seed: SEED, ..Options::default() }
}

/// A row without the values that depend on the machine.
fn without_machine_values(row: Row) -> Row {
    Row { core_share: MeanMax::default(), call_micros: 0.0, memory_kib: None, ..row }
}

fn latest(known: &PropagationResult) -> Option<u64> {
    match known {
        PropagationResult::Measured(delays) => delays.percentile_ms(1.0),
        PropagationResult::NotMeasured | PropagationResult::NoMechanism => None,
    }
}

#[test]
fn the_same_seed_gives_the_same_run_and_the_same_verdict() {
    let run = || without_machine_values(measure(&options(12.0), 60, Fault::Loss, None));
    let (first, second) = (run(), run());
    assert_eq!(first, second);
    let rows = [first];
    let machine_independent = |check: Check| !check.depends_on_machine();
    assert_eq!(verdict(&rows, machine_independent), (4, 1), "{:?}", checks(&rows[0]));
    assert_eq!(
        rows[0].failures(),
        ["change"],
        "there is no mechanism that distributes a configuration change"
    );
}

#[test]
fn traffic_entries_and_detection_stay_bounded_as_the_fleet_doubles() {
    let small = measure(&options(16.0), 30, Fault::OneDies, None);
    let large = measure(&options(16.0), 60, Fault::OneDies, None);
    for row in [&small, &large] {
        let size = row.controllers;
        assert!(row.bytes.max <= MAX_BYTES_PER_SECOND, "{size}: {:?}", row.bytes);
        assert!(row.entries <= usize::from(size), "{size}: {}", row.entries);
        assert!(latest(&row.drain).is_some_and(|ms| ms <= MAX_PROPAGATION_MS), "{size}: {:?}", row.drain);
        assert!(latest(&row.death).is_some_and(|ms| ms <= MAX_PROPAGATION_MS), "{size}: {:?}", row.death);
        assert_eq!(row.false_suspicions, 0, "{size}");
    }
    // A controller's datagrams are bounded by its byte limit, not by the size of the fleet.
    let (before, after) = (small.datagrams_in.mean, large.datagrams_in.mean);
    assert!(after <= before * 1.25, "received datagrams per second rose from {before} to {after}");
}

#[test]
fn a_zone_that_restarts_leaves_its_cold_call_servers_within_their_budget() {
    let row = measure(&options(12.0), 60, Fault::ZoneRestarts, None);
    assert!(row.cold_set_ups > 0, "no cold call server received a set-up");
    assert_eq!(row.cold_failed, 0);
    assert!(row.cold_budget <= 1.0, "{}", row.cold_budget);
}

/// A control plane for links without loss: a source sends each change to every member once. It tests the interface of
/// control planes, not a real one.
struct Broadcast {
    config: ControlPlaneConfig,
    directory: Rc<RefCell<BTreeSet<Address>>>,
    in_force: BTreeSet<ChangeId>,
    proposed: Vec<ChangeId>,
}

/// Addresses of a fleet of this test, sources included.
const MEMBERS: u32 = 36;

impl ControlPlane for Broadcast {
    fn receive(&mut self, _: Time, _: Address, bytes: &[u8]) {
        if let Ok(number) = <[u8; 4]>::try_from(bytes) {
            self.in_force.insert(ChangeId(u32::from_be_bytes(number)));
        }
    }

    fn poll(&mut self, _: Time, out: &mut Vec<(Address, Vec<u8>)>) {
        for change in std::mem::take(&mut self.proposed) {
            let others = (0..MEMBERS).map(Address).filter(|other| *other != self.config.address);
            out.extend(others.map(|other| (other, change.0.to_be_bytes().to_vec())));
        }
    }

    fn next_due(&self) -> Time {
        let due = !self.proposed.is_empty();
        if due {
            Time(0)
        } else {
            Time(u64::MAX)
        }
    }

    fn propose(&mut self, _: Time, change: ChangeId) {
        self.proposed.push(change);
        self.in_force.insert(change);
    }

    fn is_in_force(&self, change: ChangeId) -> bool {
        self.in_force.contains(&change)
    }

    fn knows_member(&self, address: Address) -> bool {
        self.directory.borrow().contains(&address)
    }

    fn members_known(&self) -> usize {
        self.directory.borrow().len()
    }

    fn entries_held(&self) -> usize {
        self.in_force.len()
    }
}

#[test]
fn with_a_control_plane_the_delay_of_a_change_is_measured() {
    let make: MakeControlPlane = Arc::new(|config: &ControlPlaneConfig, _| {
        Box::new(Broadcast {
            config: config.clone(),
            directory: Rc::default(),
            in_force: BTreeSet::new(),
            proposed: Vec::new(),
        })
    });
    let row = measure(&options(10.0), 30, Fault::None, Some(make));
    let slowest = Span::from_millis(30);
    assert!(latest(&row.change).is_some_and(|ms| ms <= slowest.0 / 1_000), "{:?}", row.change);
    assert_eq!(row.central_servers.entries, Some(1));
}

#[test]
fn three_real_controllers_beside_sixty_simulated_ones_take_calls_and_receive_updates() {
    let program = Path::new(env!("CARGO_BIN_EXE_lockpoint"));
    let options = Options { real: 3, beside_real: 60, ..options(12.0) };
    let row = on_one_thread(measure_real(&options, program)).expect("it runs");
    let (placed, established) = row.calls;
    assert!(placed > 0, "no call was placed");
    assert_eq!(established, placed, "calls established, of those placed");
    assert!(row.bytes.max <= MAX_BYTES_PER_SECOND, "{:?}", row.bytes);
    assert_eq!(row.false_suspicions, 0);
    assert!(latest(&row.drain).is_some_and(|ms| ms <= MAX_PROPAGATION_MS), "{:?}", row.drain);
    assert!(latest(&row.death).is_some_and(|ms| ms <= MAX_PROPAGATION_MS), "{:?}", row.death);
}
