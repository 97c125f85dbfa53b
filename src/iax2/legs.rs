//! The legs at one socket: their numbers, which are used again only after a while, and those that have ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::iax2::bounds::{Bounds, IncomingLegCounts};
use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind, MAX_CALL_NUMBER};
use crate::iax2::leg::{FrameOutcome, Leg};
use crate::iax2::round_trip::RoundTrips;
use crate::interface::{Span, Time};

/// An ended call's number rests this long. Guards against frames still under way that would meet a new call.
const REST: Span = Span::from_millis(10_000);
/// A leg that stands and has heard nothing for so long asks whether the other side is there.
const PING_AFTER: Span = Span::from_millis(2_500);
/// Legs at one socket, resting ones with them.
const MOST: usize = 20_000;
/// Call tokens that a leg shows: the first may come too late to be good.
const MOST_TOKENS: u8 = 2;

/// A datagram to be sent.
pub type Outgoing = (SocketAddr, Vec<u8>);

/// What is told of a leg.
#[derive(Debug, Clone, PartialEq)]
pub enum LegEvent<T> {
    /// A frame to be acted on.
    Frame(u16, Frame),
    /// The other side is silent or does not know the call; the leg is gone.
    Lost(T),
    /// A NEW, REGREQ or REGREL of a leg not known here.
    New(Frame),
}

#[derive(Debug)]
struct Entry<T> {
    leg: Leg,
    /// What it is for; `None` once the call is over.
    of: Option<T>,
    /// Whether the silence of the other side is to be noticed.
    pings: bool,
    /// When the number may be used again.
    rests_until: Option<Time>,
    /// The time that the other side's NEW bore.
    new_stamp: Option<u32>,
    /// Call tokens that it has shown.
    tokens: u8,
}

/// The legs at one socket.
#[derive(Debug)]
pub struct Legs<T> {
    entries: BTreeMap<u16, Entry<T>>,
    by_peer: BTreeMap<(SocketAddr, u16), u16>,
    /// Legs that were begun from elsewhere, and how many may be.
    begun: IncomingLegCounts,
    bounds: Bounds,
    round_trips: RoundTrips,
    last: u16,
}

impl<T> Default for Legs<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            begun: IncomingLegCounts::default(),
            bounds: Bounds::default(),
            round_trips: RoundTrips::default(),
            last: 0,
        }
    }
}

impl<T: Clone> Legs<T> {
    /// From now on as many legs may be begun from elsewhere; those that are there stay.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    fn free_number(&mut self) -> Option<u16> {
        if self.entries.len() >= MOST {
            return None;
        }
        // Round and round, so that a number rests for as long as it can.
        for _ in 0..MAX_CALL_NUMBER {
            self.last = if self.last >= MAX_CALL_NUMBER { 1 } else { self.last + 1 };
            if !self.entries.contains_key(&self.last) {
                return Some(self.last);
            }
        }
        None
    }

    /// Begins a leg towards `peer`; `None` if no number is free.
    pub fn open_outgoing(&mut self, peer: SocketAddr, of: T, now: Time) -> Option<u16> {
        let local = self.free_number()?;
        let leg = Leg::new(local, 0, peer, self.round_trips.first_gap(peer.ip()), now);
        let entry = Entry { leg, of: Some(of), pings: false, rests_until: None, new_stamp: None, tokens: 0 };
        self.entries.insert(local, entry);
        Some(local)
    }

    /// Begins a leg that a NEW asks for, and acknowledges it; `None` if its address has too many or no number is free.
    pub fn open_incoming(
        &mut self,
        peer: SocketAddr,
        new: &Frame,
        of: T,
        now: Time,
        out: &mut Vec<Outgoing>,
    ) -> Option<u16> {
        let local = self.free_number()?;
        self.begun.begin(peer.ip(), &self.bounds).ok()?;
        let mut leg = Leg::new(local, new.source, peer, self.round_trips.first_gap(peer.ip()), now);
        let mut bytes = Vec::new();
        leg.receive(new, now, &mut bytes);
        out.extend(bytes.into_iter().map(|b| (peer, b)));
        let new_stamp = Some(new.timestamp);
        self.by_peer.insert((peer, new.source), local);
        self.entries.insert(
            local,
            Entry { leg, of: Some(of), pings: false, rests_until: None, new_stamp, tokens: 0 },
        );
        Some(local)
    }

    /// Sends a frame on a leg.
    pub fn send(&mut self, no: u16, kind: Kind, elements: Elements, now: Time, out: &mut Vec<Outgoing>) {
        let Some(entry) = self.entries.get_mut(&no) else { return };
        let mut bytes = Vec::new();
        entry.leg.send(kind, elements, now, &mut bytes);
        let peer = entry.leg.peer;
        out.extend(bytes.into_iter().map(|b| (peer, b)));
    }

    /// The call of a leg stands: the other side's silence matters from now on.
    pub fn mark_established(&mut self, no: u16) {
        if let Some(entry) = self.entries.get_mut(&no) {
            entry.pings = true;
        }
    }

    /// The call of a leg is over. Its last frames are still sent until acknowledged; its number rests.
    pub fn end(&mut self, no: u16, now: Time) {
        if let Some(entry) = self.entries.get_mut(&no) {
            entry.of = None;
            entry.pings = false;
            entry.rests_until = Some(now.plus(REST));
        }
    }

    /// Sends nothing again of what a leg has sent so far.
    pub fn cancel_retransmissions(&mut self, no: u16) {
        if let Some(entry) = self.entries.get_mut(&no) {
            entry.leg.cancel_retransmissions();
        }
    }

    /// Whether the other side has ever answered on a leg.
    pub fn answered(&self, no: u16) -> bool {
        self.entries.get(&no).is_some_and(|entry| entry.leg.remote != 0)
    }

    /// Whether the other side has spoken on a leg since then.
    pub fn received_since(&self, no: u16, since: Time) -> bool {
        self.entries.get(&no).is_some_and(|entry| entry.leg.remote != 0 && entry.leg.heard >= since)
    }

    /// Where the other side of a leg is.
    pub fn peer(&self, no: u16) -> Option<SocketAddr> {
        Some(self.entries.get(&no)?.leg.peer)
    }

    /// What a leg is for.
    pub fn owner(&self, no: u16) -> Option<&T> {
        self.entries.get(&no)?.of.as_ref()
    }

    /// Legs whose call is not over.
    pub fn live(&self) -> impl Iterator<Item = (u16, &T)> {
        self.entries.iter().filter_map(|(no, entry)| Some((*no, entry.of.as_ref()?)))
    }

    /// Whether all that was sent has been acknowledged or given up.
    pub fn all_acked(&self) -> bool {
        self.entries.values().all(|entry| entry.leg.all_acked())
    }

    /// Takes a full frame.
    pub fn receive(
        &mut self,
        peer: SocketAddr,
        frame: &Frame,
        now: Time,
        out: &mut Vec<Outgoing>,
    ) -> Option<LegEvent<T>> {
        if frame.kind == Kind::Iax(Iax::Poke) {
            // It belongs to no call, whatever number its sender put on it.
            let mut pong = frame.inval();
            (pong.kind, pong.source) = (Kind::Iax(Iax::Pong), 1);
            out.push((peer, pong.bytes()));
            return None;
        }
        if frame.kind == Kind::Iax(Iax::CallToken) {
            self.show_token(peer, frame, now, out);
            return None;
        }
        let begins = matches!(frame.kind, Kind::Iax(Iax::New | Iax::RegReq | Iax::RegRel));
        let is_new = begins && frame.dest == 0;
        let no =
            if frame.dest == 0 { self.by_peer.get(&(peer, frame.source)).copied() } else { Some(frame.dest) };
        let known = no
            .and_then(|no| Some((no, self.entries.get(&no)?)))
            .filter(|(_, e)| e.leg.peer == peer && (e.leg.remote == 0 || e.leg.remote == frame.source));
        let Some((no, entry)) = known else {
            if is_new {
                return Some(LegEvent::New(frame.clone()));
            }
            if frame.kind.takes_sequence_number() {
                out.push((peer, frame.inval().bytes()));
            }
            return None;
        };
        // The other side uses its number again for a call of its own; a mere retransmission bears the old time.
        if is_new && entry.rests_until.is_some() && entry.new_stamp != Some(frame.timestamp) {
            self.remove(no);
            return Some(LegEvent::New(frame.clone()));
        }
        let entry = self.entries.get_mut(&no)?;
        let mut bytes = Vec::new();
        let got = entry.leg.receive(frame, now, &mut bytes);
        out.extend(bytes.into_iter().map(|b| (peer, b)));
        if let Some(took) = entry.leg.took() {
            self.round_trips.measured(peer.ip(), took);
            entry.leg.first_gap = self.round_trips.first_gap(peer.ip());
        }
        match got {
            FrameOutcome::Deliver if entry.of.is_some() => Some(LegEvent::Frame(no, frame.clone())),
            FrameOutcome::Deliver | FrameOutcome::Consumed => None,
            FrameOutcome::UnknownCall => {
                entry.leg.cancel_retransmissions();
                let of = entry.of.clone();
                self.end(no, now);
                of.map(LegEvent::Lost)
            }
        }
    }

    /// The other side wants to see that its answers arrive here before it takes a NEW.
    fn show_token(&mut self, peer: SocketAddr, frame: &Frame, now: Time, out: &mut Vec<Outgoing>) {
        let Some(entry) = self.entries.get_mut(&frame.dest) else { return };
        let waits = entry.of.is_some() && entry.leg.peer == peer && entry.leg.remote == 0;
        let Some(token) = frame.elements.get(ie::CALLTOKEN).filter(|_| waits && entry.tokens < MOST_TOKENS)
        else {
            return;
        };
        entry.tokens += 1;
        let mut bytes = Vec::new();
        entry.leg.show(token, now, &mut bytes);
        out.extend(bytes.into_iter().map(|b| (peer, b)));
    }

    /// Does what is due on a leg.
    pub fn run_timers(&mut self, no: u16, now: Time, out: &mut Vec<Outgoing>) -> Option<LegEvent<T>> {
        let entry = self.entries.get_mut(&no)?;
        let mut bytes = Vec::new();
        if entry.pings && entry.leg.all_acked() && now.since(entry.leg.heard) >= PING_AFTER {
            entry.leg.send(Kind::Iax(Iax::Ping), Elements::default(), now, &mut bytes);
        }
        let speaks = entry.leg.run_timers(now, &mut bytes);
        let peer = entry.leg.peer;
        out.extend(bytes.into_iter().map(|b| (peer, b)));
        if !speaks {
            entry.leg.cancel_retransmissions();
            let of = entry.of.clone();
            if of.is_some() {
                self.end(no, now);
            }
            return of.map(LegEvent::Lost);
        }
        if entry.rests_until.is_some_and(|until| now >= until && entry.leg.all_acked()) {
            self.remove(no);
        }
        None
    }

    /// When `due` has something to do on a leg.
    pub fn next_deadline(&self, no: u16) -> Option<Time> {
        let entry = self.entries.get(&no)?;
        let ping = entry.pings.then(|| entry.leg.heard.plus(PING_AFTER));
        let ping = ping.filter(|_| entry.leg.all_acked());
        [entry.leg.next_deadline(), ping, entry.rests_until].into_iter().flatten().min()
    }

    fn remove(&mut self, no: u16) {
        if let Some(entry) = self.entries.remove(&no) {
            if entry.new_stamp.is_some() {
                self.begun.end(entry.leg.peer.ip());
            }
            let key = (entry.leg.peer, entry.leg.remote);
            if self.by_peer.get(&key) == Some(&no) {
                self.by_peer.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::iax2::frame::{parse, Datagram};

    fn new(source: u16) -> Frame {
        let elements = Elements::default();
        let kind = Kind::Iax(Iax::New);
        let (retransmitted, timestamp, data) = (false, 1, Vec::new());
        Frame { source, dest: 0, retransmitted, timestamp, oseq: 0, iseq: 0, kind, elements, data }
    }

    /// Guards against a HANGUP that is said again for seconds to a peer who never heard of its call.
    #[test]
    fn a_hangup_whose_new_was_lost_ends_with_the_peer_s_inval() {
        let (mut legs, mut out): (Legs<u16>, _) = (Legs::default(), Vec::new());
        let (peer, now) = (SocketAddr::from(([127, 0, 0, 1], 4_569)), Time(1_000_000));
        let no = legs.open_outgoing(peer, 7, now).expect("a number");
        legs.send(no, Kind::Iax(Iax::Hangup), Elements::default(), now, &mut out);
        legs.end(no, now);
        let Ok(Datagram::Full(hangup)) = parse(&out[0].1) else { panic!("{out:?}") };
        assert_eq!(hangup.dest, 0);
        let Ok(Datagram::Full(inval)) = parse(&hangup.inval().bytes()) else {
            panic!("the INVAL is not read")
        };
        assert_eq!(legs.receive(peer, &inval, now, &mut out), None);
        assert!(legs.all_acked());
    }

    /// Guards against one caller who takes all numbers, and against memory that its calls keep when they are over.
    #[test]
    fn one_address_begins_so_many_legs_and_gets_them_back_when_they_have_rested() {
        let mut legs: Legs<u16> = Legs::default();
        let peer = |host, port| SocketAddr::from(([127, 0, 0, host], port));
        let (now, mut out) = (Time(1_000_000), Vec::new());
        let mut begun = Vec::new();
        for n in 0..1_024_u16 {
            begun.extend(legs.open_incoming(peer(1, 1_000 + n % 7), &new(n + 1), n, now, &mut out));
        }
        assert_eq!(begun.len(), 1_024);
        assert!(legs.open_incoming(peer(1, 9), &new(7), 0, now, &mut out).is_none());
        assert!(legs.open_incoming(peer(2, 9), &new(7), 0, now, &mut out).is_some());
        for no in begun {
            legs.end(no, now);
            legs.run_timers(no, now.plus(REST), &mut out);
        }
        assert_eq!((legs.entries.len(), legs.by_peer.len()), (1, 1));
    }
}
