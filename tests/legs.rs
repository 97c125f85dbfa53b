//! Two IAX2 legs in simulated time, with a path between them that loses, duplicates and reorders datagrams: every
//! frame is delivered once and in order, and every frame is acknowledged in the end.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use lockpoint::iax2::frame::{parse, Control, Datagram, Elements, Iax, Kind};
use lockpoint::iax2::legs::{LegEvent, Legs, Outgoing};
use lockpoint::interface::{Span, Time};
use lockpoint_lab::path::{Path, PathConfig};
use proptest::prelude::*;

const CALLER: usize = 0;
const CALLED: usize = 1;

fn address_of(side: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 4_000 + side as u16))
}

/// A datagram in transit: time of arrival, order of sending, receiving side, bytes.
type InTransit = (Time, u64, usize, Vec<u8>);

/// Both sides, the paths between them, and the frames delivered to each.
struct Model {
    legs: [Legs<&'static str>; 2],
    paths: [Path; 2],
    in_transit: BinaryHeap<Reverse<InTransit>>,
    sent: u64,
    now: Time,
    delivered: [Vec<Kind>; 2],
    lost: [bool; 2],
    numbers: [u16; 2],
}

impl Model {
    fn new(path: PathConfig, seed: u64) -> Model {
        Model {
            legs: [Legs::default(), Legs::default()],
            paths: [Path::new(path, seed), Path::new(path, !seed)],
            in_transit: BinaryHeap::new(),
            sent: 0,
            now: Time(1_000_000),
            delivered: [Vec::new(), Vec::new()],
            lost: [false; 2],
            numbers: [0; 2],
        }
    }

    fn transmit(&mut self, from: usize, out: Vec<Outgoing>) {
        for (_, bytes) in out {
            for after in self.paths[from].delivery_delays() {
                self.sent += 1;
                self.in_transit.push(Reverse((self.now.plus(after), self.sent, 1 - from, bytes.clone())));
            }
        }
    }

    fn send(&mut self, side: usize, kind: Kind) {
        let mut out = Vec::new();
        self.legs[side].send(self.numbers[side], kind, Elements::default(), self.now, &mut out);
        self.transmit(side, out);
    }

    /// Runs both sides for `span`.
    fn run(&mut self, span: Span) {
        let until = self.now.plus(span);
        loop {
            let arrival = self.in_transit.peek().map(|Reverse((at, ..))| *at);
            let due = |side: usize| self.legs[side].next_deadline(self.numbers[side]);
            let next = [arrival, due(CALLER), due(CALLED)].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= until) else { break };
            self.now = self.now.max(next);
            if arrival == Some(next) {
                let Some(Reverse((_, _, side, bytes))) = self.in_transit.pop() else { break };
                self.receive(side, &bytes);
                continue;
            }
            for side in [CALLER, CALLED] {
                let mut out = Vec::new();
                if let Some(LegEvent::Lost(_)) =
                    self.legs[side].run_timers(self.numbers[side], self.now, &mut out)
                {
                    self.lost[side] = true;
                }
                self.transmit(side, out);
            }
            // A leg that is overdue and has nothing to do is checked again a little later, as the event loop does.
            self.now = self.now.plus(Span(100));
        }
        self.now = until;
    }

    fn receive(&mut self, side: usize, bytes: &[u8]) {
        let Ok(Datagram::Full(frame)) = parse(bytes) else { panic!("{bytes:?} is not a full frame") };
        let mut out = Vec::new();
        let event = self.legs[side].receive(address_of(1 - side), &frame, self.now, &mut out);
        self.transmit(side, out);
        match event {
            Some(LegEvent::New(new)) => {
                assert_eq!(self.numbers[side], 0, "a second leg for the same call");
                let mut out = Vec::new();
                let no =
                    self.legs[side].open_incoming(address_of(1 - side), &new, "called", self.now, &mut out);
                self.numbers[side] = no.expect("a number");
                self.transmit(side, out);
                self.send(side, Kind::Iax(Iax::Accept));
                self.send(side, Kind::Control(Control::Ringing));
                self.send(side, Kind::Control(Control::Answer));
                self.legs[side].mark_established(self.numbers[side]);
            }
            Some(LegEvent::Frame(_, frame)) => self.delivered[side].push(frame.kind),
            Some(LegEvent::Lost(_)) => self.lost[side] = true,
            None => {}
        }
    }
}

/// Sets up a call and waits until it is established on both sides.
fn establish(path: PathConfig, seed: u64) -> Model {
    let mut model = Model::new(path, seed);
    model.numbers[CALLER] =
        model.legs[CALLER].open_outgoing(address_of(CALLED), "caller", model.now).expect("a number");
    model.send(CALLER, Kind::Iax(Iax::New));
    model.run(Span::from_millis(30_000));
    let answer = [Kind::Iax(Iax::Accept), Kind::Control(Control::Ringing), Kind::Control(Control::Answer)];
    assert_eq!(model.delivered[CALLER], answer, "seed {seed}");
    assert_eq!(model.lost, [false; 2], "seed {seed}: a responsive peer was taken for silent");
    model
}

/// Ends a call from the called side.
fn end_call(mut model: Model, seed: u64) {
    model.send(CALLED, Kind::Iax(Iax::Hangup));
    let (called, now) = (model.numbers[CALLED], model.now);
    model.legs[CALLED].end(called, now);
    model.run(Span::from_millis(6_000));
    assert_eq!(model.lost, [false; 2], "seed {seed}: a responsive peer was taken for silent");
    assert_eq!(model.delivered[CALLER].last(), Some(&Kind::Iax(Iax::Hangup)), "seed {seed}");
    assert_eq!(model.delivered[CALLER].len(), 4, "seed {seed}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against a peer that is taken for silent because its frames are never acknowledged.
    #[test]
    fn a_call_has_one_answer_and_one_end_under_loss_duplication_and_reordering(
        seed in any::<u64>(), loss in 0.0..0.08, repeat in 0.0..0.3, reorder in 0.0..0.3, held_ms in 0.0..400.0,
    ) {
        let path = PathConfig { loss, repeat, reorder, held_ms, delay_ms: 0.5, jitter_ms: 1.5 };
        end_call(establish(path, seed), seed);
    }
}

/// Guards against a long call that ends by itself when its 8-bit sequence numbers wrap: PINGs alone wrap them sixteen
/// times in three hours.
#[test]
fn a_call_of_three_hours_survives_the_wrap_of_sequence_numbers() {
    for seed in 0..4 {
        let path = PathConfig {
            loss: 0.02,
            repeat: 0.05,
            reorder: 0.05,
            held_ms: 300.0,
            delay_ms: 0.5,
            jitter_ms: 1.0,
        };
        let mut model = establish(path, seed);
        model.run(Span::from_millis(3 * 3_600_000));
        end_call(model, seed);
    }
}

/// Guards against frames with equal timestamps, which an acknowledgement does not tell apart, after the millisecond
/// timestamp wraps at 49.7 days.
#[test]
fn a_call_of_seven_weeks_survives_the_wrap_of_timestamps() {
    let mut model = establish(PathConfig { delay_ms: 0.5, ..PathConfig::default() }, 1);
    model.now = model.now.plus(Span(u64::from(u32::MAX) * 1000 - 40_000_000));
    model.run(Span::from_millis(60_000));
    let (mut out, no, now) = (Vec::new(), model.numbers[CALLED], model.now);
    for _ in 0..3 {
        model.legs[CALLED].send(no, Kind::Control(Control::Progress), Elements::default(), now, &mut out);
    }
    let timestamps: Vec<u32> = out
        .iter()
        .map(|(_, bytes)| match parse(bytes) {
            Ok(Datagram::Full(frame)) => frame.timestamp,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(
        timestamps[0] < 60_000 && timestamps[1] == timestamps[0] + 1 && timestamps[2] == timestamps[1] + 1,
        "{timestamps:?}"
    );
    model.delivered[CALLER].clear();
    model.transmit(CALLED, out);
    model.run(Span::from_millis(10_000));
    assert_eq!(model.delivered[CALLER].len(), 3);
    assert_eq!(model.lost, [false; 2]);
}

/// Guards against a release that waits a quarter of a second for a retransmission to a peer that answers within a
/// millisecond.
#[test]
fn a_frame_to_a_near_peer_is_retransmitted_soon_and_four_times_in_all() {
    let mut model = establish(PathConfig { delay_ms: 0.5, ..PathConfig::default() }, 1);
    let (no, sent) = (model.numbers[CALLED], model.now);
    // From here on the path loses every datagram of the called side.
    model.paths[CALLED] = Path::new(PathConfig { loss: 1.0, ..PathConfig::default() }, 1);
    model.send(CALLED, Kind::Iax(Iax::Hangup));
    let mut sent_after_ms = Vec::new();
    while let Some(at) = model.legs[CALLED].next_deadline(no).filter(|_| !model.lost[CALLED]) {
        let mut out = Vec::new();
        model.lost[CALLED] = model.legs[CALLED].run_timers(no, at, &mut out).is_some();
        sent_after_ms.extend(out.iter().map(|_| at.since(sent).0 / 1_000));
    }
    assert_eq!(sent_after_ms[..2], [100, 371]);
    assert_eq!(sent_after_ms.len(), 4, "{sent_after_ms:?}");
}
