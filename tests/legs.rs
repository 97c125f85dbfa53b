//! Two legs of IAX2 with a path between them that loses, repeats and reorders, in driven time: every frame is acted on
//! once and in order, and none waits to be acknowledged for ever.

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

fn place(side: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 4_000 + side as u16))
}

/// When a datagram arrives, in which order it was sent, at which side, its bytes.
type Way = (Time, u64, usize, Vec<u8>);

/// Both sides, the ways between them, and what each was told.
struct Model {
    legs: [Legs<&'static str>; 2],
    paths: [Path; 2],
    ways: BinaryHeap<Reverse<Way>>,
    sent: u64,
    now: Time,
    told: [Vec<Kind>; 2],
    lost: [bool; 2],
    numbers: [u16; 2],
}

impl Model {
    fn new(path: PathConfig, seed: u64) -> Model {
        Model {
            legs: [Legs::default(), Legs::default()],
            paths: [Path::new(path, seed), Path::new(path, !seed)],
            ways: BinaryHeap::new(),
            sent: 0,
            now: Time(1_000_000),
            told: [Vec::new(), Vec::new()],
            lost: [false; 2],
            numbers: [0; 2],
        }
    }

    fn put(&mut self, from: usize, out: Vec<Outgoing>) {
        for (_, bytes) in out {
            for after in self.paths[from].fate() {
                self.sent += 1;
                self.ways.push(Reverse((self.now.plus(after), self.sent, 1 - from, bytes.clone())));
            }
        }
    }

    fn say(&mut self, side: usize, kind: Kind) {
        let mut out = Vec::new();
        self.legs[side].send(self.numbers[side], kind, Elements::default(), self.now, &mut out);
        self.put(side, out);
    }

    /// Everything that happens until then.
    fn run(&mut self, span: Span) {
        let until = self.now.plus(span);
        loop {
            let way = self.ways.peek().map(|Reverse((at, ..))| *at);
            let due = |side: usize| self.legs[side].next_deadline(self.numbers[side]);
            let next = [way, due(CALLER), due(CALLED)].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= until) else { break };
            self.now = self.now.max(next);
            if way == Some(next) {
                let Some(Reverse((_, _, side, bytes))) = self.ways.pop() else { break };
                self.arrives(side, &bytes);
                continue;
            }
            for side in [CALLER, CALLED] {
                let mut out = Vec::new();
                if let Some(LegEvent::Lost(_)) =
                    self.legs[side].run_timers(self.numbers[side], self.now, &mut out)
                {
                    self.lost[side] = true;
                }
                self.put(side, out);
            }
            // What is overdue and has nothing to do is looked at again a little later, as the program's sweep does.
            self.now = self.now.plus(Span(100));
        }
        self.now = until;
    }

    fn arrives(&mut self, side: usize, bytes: &[u8]) {
        let Ok(Datagram::Full(frame)) = parse(bytes) else { panic!("{bytes:?} cannot be read") };
        let mut out = Vec::new();
        let told = self.legs[side].receive(place(1 - side), &frame, self.now, &mut out);
        self.put(side, out);
        match told {
            Some(LegEvent::New(new)) => {
                assert_eq!(self.numbers[side], 0, "a second leg for the same call");
                let mut out = Vec::new();
                let no = self.legs[side].open_incoming(place(1 - side), &new, "called", self.now, &mut out);
                self.numbers[side] = no.expect("a number");
                self.put(side, out);
                self.say(side, Kind::Iax(Iax::Accept));
                self.say(side, Kind::Control(Control::Ringing));
                self.say(side, Kind::Control(Control::Answer));
                self.legs[side].mark_established(self.numbers[side]);
            }
            Some(LegEvent::Frame(_, frame)) => self.told[side].push(frame.kind),
            Some(LegEvent::Lost(_)) => self.lost[side] = true,
            None => {}
        }
    }
}

/// Sets a call up and waits until it stands on both sides.
fn stands(path: PathConfig, seed: u64) -> Model {
    let mut model = Model::new(path, seed);
    model.numbers[CALLER] =
        model.legs[CALLER].open_outgoing(place(CALLED), "caller", model.now).expect("a number");
    model.say(CALLER, Kind::Iax(Iax::New));
    model.run(Span::from_millis(30_000));
    let answer = [Kind::Iax(Iax::Accept), Kind::Control(Control::Ringing), Kind::Control(Control::Answer)];
    assert_eq!(model.told[CALLER], answer, "seed {seed}");
    assert_eq!(model.lost, [false; 2], "seed {seed}: a side that speaks was taken for silent");
    model
}

fn ends(mut model: Model, seed: u64) {
    model.say(CALLED, Kind::Iax(Iax::Hangup));
    let (called, now) = (model.numbers[CALLED], model.now);
    model.legs[CALLED].end(called, now);
    model.run(Span::from_millis(6_000));
    assert_eq!(model.lost, [false; 2], "seed {seed}: a side that speaks was taken for silent");
    assert_eq!(model.told[CALLER].last(), Some(&Kind::Iax(Iax::Hangup)), "seed {seed}");
    assert_eq!(model.told[CALLER].len(), 4, "seed {seed}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against a side that is taken for silent because what it says never counts.
    #[test]
    fn any_loss_repeat_and_reorder_gives_one_answer_and_one_end(
        seed in any::<u64>(), loss in 0.0..0.08, repeat in 0.0..0.3, reorder in 0.0..0.3, held_ms in 0.0..400.0,
    ) {
        let path = PathConfig { loss, repeat, reorder, held_ms, delay_ms: 0.5, jitter_ms: 1.5 };
        ends(stands(path, seed), seed);
    }
}

/// Guards against a call of hours that ends by itself where its sequence numbers begin anew: PINGs alone wrap them
/// sixteen times in three hours.
#[test]
fn a_call_of_hours_outlives_its_sequence_numbers() {
    for seed in 0..4 {
        let path = PathConfig {
            loss: 0.02,
            repeat: 0.05,
            reorder: 0.05,
            held_ms: 300.0,
            delay_ms: 0.5,
            jitter_ms: 1.0,
        };
        let mut model = stands(path, seed);
        model.run(Span::from_millis(3 * 3_600_000));
        ends(model, seed);
    }
}

/// Guards against frames of one time, which no acknowledgement tells apart, once 49.7 days of milliseconds are over.
#[test]
fn a_call_of_weeks_outlives_its_times() {
    let mut model = stands(PathConfig { delay_ms: 0.5, ..PathConfig::default() }, 1);
    model.now = model.now.plus(Span(u64::from(u32::MAX) * 1000 - 40_000_000));
    model.run(Span::from_millis(60_000));
    let (mut out, no, now) = (Vec::new(), model.numbers[CALLED], model.now);
    for _ in 0..3 {
        model.legs[CALLED].send(no, Kind::Control(Control::Progress), Elements::default(), now, &mut out);
    }
    let times: Vec<u32> = out
        .iter()
        .map(|(_, bytes)| match parse(bytes) {
            Ok(Datagram::Full(frame)) => frame.timestamp,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(times[0] < 60_000 && times[1] == times[0] + 1 && times[2] == times[1] + 1, "{times:?}");
    model.told[CALLER].clear();
    model.put(CALLED, out);
    model.run(Span::from_millis(10_000));
    assert_eq!(model.told[CALLER].len(), 3);
    assert_eq!(model.lost, [false; 2]);
}

/// Guards against a release that waits a quarter of a second for a copy, at a peer who answers within a millisecond.
#[test]
fn a_frame_to_a_peer_that_is_near_is_sent_again_soon_and_four_times_at_all() {
    let mut model = stands(PathConfig { delay_ms: 0.5, ..PathConfig::default() }, 1);
    let (no, sent) = (model.numbers[CALLED], model.now);
    // From here on nothing arrives.
    model.paths[CALLED] = Path::new(PathConfig { loss: 1.0, ..PathConfig::default() }, 1);
    model.say(CALLED, Kind::Iax(Iax::Hangup));
    let mut copies = Vec::new();
    while let Some(at) = model.legs[CALLED].next_deadline(no).filter(|_| !model.lost[CALLED]) {
        let mut out = Vec::new();
        model.lost[CALLED] = model.legs[CALLED].run_timers(no, at, &mut out).is_some();
        copies.extend(out.iter().map(|_| at.since(sent).0 / 1_000));
    }
    assert_eq!(copies[..2], [100, 371]);
    assert_eq!(copies.len(), 4, "{copies:?}");
}
