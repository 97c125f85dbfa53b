//! The legs at one UDP socket: allocation of call numbers, matching of frames to legs, and ended legs, whose numbers
//! are not reused for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::iax2::bounds::{Bounds, IncomingLegCounts};
use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind, MAX_CALL_NUMBER};
use crate::iax2::leg::{FrameOutcome, Leg, LegState};
use crate::iax2::round_trip::RoundTrips;
use crate::interface::{Span, Time};

/// An ended leg's number is not reused for this long, so that late frames of the old call do not reach a new one.
const NUMBER_QUARANTINE: Span = Span::from_millis(10_000);
/// The leg of an established call sends a PING when nothing was received for this long.
const PING_AFTER: Span = Span::from_millis(2_500);
/// Legs at one socket, including ended ones whose numbers are not reusable yet.
const MAX_LEGS: usize = 20_000;
/// Call tokens that a leg sends: the first one may have expired on arrival.
const MAX_TOKENS: u8 = 2;

/// A datagram to be sent, and its destination.
pub type Outgoing = (SocketAddr, Vec<u8>);

/// An event of a leg, reported to its owner.
#[derive(Debug, Clone, PartialEq)]
pub enum LegEvent<T> {
    /// A frame to be acted on, and the local number of its leg.
    Frame(u16, Frame),
    /// The peer is silent or does not know the call: the leg has ended.
    Lost(T),
    /// A NEW, REGREQ or REGREL that belongs to no leg.
    New(Frame),
}

#[derive(Debug)]
struct Entry<T> {
    leg: Leg,
    /// What the leg is for; `None` once the call has ended.
    owner: Option<T>,
    /// Whether the call is established: the peer is then sent PINGs, so that its silence is noticed.
    established: bool,
    /// When the number of an ended leg may be reused.
    reusable_at: Option<Time>,
    /// The timestamp of the peer's first frame; `None` on an outgoing leg.
    new_timestamp: Option<u32>,
    /// Call tokens sent on this leg.
    tokens_sent: u8,
}

/// The legs at one socket. `T` names what a leg is for.
#[derive(Debug)]
pub struct Legs<T> {
    entries: BTreeMap<u16, Entry<T>>,
    by_peer: BTreeMap<(SocketAddr, u16), u16>,
    /// Incoming legs by address and network, for the limits in `bounds`.
    incoming: IncomingLegCounts,
    bounds: Bounds,
    round_trips: RoundTrips,
    last_number: u16,
}

impl<T> Default for Legs<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            incoming: IncomingLegCounts::default(),
            bounds: Bounds::default(),
            round_trips: RoundTrips::default(),
            last_number: 0,
        }
    }
}

impl<T: Clone> Legs<T> {
    /// Sets the limits for incoming legs. Existing legs stay.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    fn allocate_number(&mut self) -> Option<u16> {
        if self.entries.len() >= MAX_LEGS {
            return None;
        }
        // Numbers are taken in a cycle, so that the time before one is reused is as long as possible.
        for _ in 0..MAX_CALL_NUMBER {
            self.last_number = if self.last_number >= MAX_CALL_NUMBER { 1 } else { self.last_number + 1 };
            if !self.entries.contains_key(&self.last_number) {
                return Some(self.last_number);
            }
        }
        None
    }

    /// Opens a leg towards `peer`; `None` if no number is free.
    pub fn open_outgoing(&mut self, peer: SocketAddr, owner: T, now: Time) -> Option<u16> {
        let local = self.allocate_number()?;
        let leg = Leg::new(local, 0, peer, self.round_trips.first_interval(peer.ip()), now);
        let entry = Entry {
            leg,
            owner: Some(owner),
            established: false,
            reusable_at: None,
            new_timestamp: None,
            tokens_sent: 0,
        };
        self.entries.insert(local, entry);
        Some(local)
    }

    /// Opens the leg of a received NEW, REGREQ or REGREL and acknowledges that frame; `None` if a limit is reached or
    /// no number is free.
    pub fn open_incoming(
        &mut self,
        peer: SocketAddr,
        new: &Frame,
        owner: T,
        now: Time,
        out: &mut Vec<Outgoing>,
    ) -> Option<u16> {
        let local = self.allocate_number()?;
        self.incoming.add(peer.ip(), &self.bounds).ok()?;
        let mut leg = Leg::new(local, new.source, peer, self.round_trips.first_interval(peer.ip()), now);
        let mut bytes = Vec::new();
        leg.receive(new, now, &mut bytes);
        out.extend(bytes.into_iter().map(|b| (peer, b)));
        let new_timestamp = Some(new.timestamp);
        self.by_peer.insert((peer, new.source), local);
        self.entries.insert(
            local,
            Entry {
                leg,
                owner: Some(owner),
                established: false,
                reusable_at: None,
                new_timestamp,
                tokens_sent: 0,
            },
        );
        Some(local)
    }

    /// The state of a leg that has not ended, for another process.
    pub fn state(&self, no: u16) -> Option<LegState> {
        let entry = self.entries.get(&no).filter(|entry| entry.owner.is_some())?;
        Some(entry.leg.state())
    }

    /// Continues the leg of an established call of another process. `false`: its number is in use here, or a limit is
    /// reached.
    pub fn resume(&mut self, state: &LegState, owner: T, now: Time) -> bool {
        if self.entries.contains_key(&state.local)
            || self.incoming.add(state.peer.ip(), &self.bounds).is_err()
        {
            return false;
        }
        let leg = Leg::resume(state, self.round_trips.first_interval(state.peer.ip()), now);
        self.by_peer.insert((state.peer, state.remote), state.local);
        self.last_number = self.last_number.max(state.local);
        let entry = Entry {
            leg,
            owner: Some(owner),
            established: true,
            reusable_at: None,
            new_timestamp: None,
            tokens_sent: 0,
        };
        self.entries.insert(state.local, entry);
        true
    }

    /// Sends a frame on a leg.
    pub fn send(&mut self, no: u16, kind: Kind, elements: Elements, now: Time, out: &mut Vec<Outgoing>) {
        let Some(entry) = self.entries.get_mut(&no) else { return };
        let mut bytes = Vec::new();
        entry.leg.send(kind, elements, now, &mut bytes);
        let peer = entry.leg.peer;
        out.extend(bytes.into_iter().map(|b| (peer, b)));
    }

    /// Marks the call of a leg as established: from now on PINGs are sent, so that a silent peer is noticed.
    pub fn mark_established(&mut self, no: u16) {
        if let Some(entry) = self.entries.get_mut(&no) {
            entry.established = true;
        }
    }

    /// Ends a leg. Its last frames are still retransmitted until acknowledged, and its number is not reused for a
    /// while.
    pub fn end(&mut self, no: u16, now: Time) {
        if let Some(entry) = self.entries.get_mut(&no) {
            entry.owner = None;
            entry.established = false;
            entry.reusable_at = Some(now.plus(NUMBER_QUARANTINE));
        }
    }

    /// Stops retransmission of all frames that a leg has sent so far.
    pub fn cancel_retransmissions(&mut self, no: u16) {
        if let Some(entry) = self.entries.get_mut(&no) {
            entry.leg.cancel_retransmissions();
        }
    }

    /// Whether the peer has ever answered on a leg.
    pub fn answered(&self, no: u16) -> bool {
        self.entries.get(&no).is_some_and(|entry| entry.leg.remote != 0)
    }

    /// Whether anything was received on a leg at or after `since`.
    pub fn received_since(&self, no: u16, since: Time) -> bool {
        self.entries.get(&no).is_some_and(|entry| entry.leg.remote != 0 && entry.leg.last_received >= since)
    }

    /// The address of a leg's peer.
    pub fn peer(&self, no: u16) -> Option<SocketAddr> {
        Some(self.entries.get(&no)?.leg.peer)
    }

    /// What a leg is for; `None` once it has ended.
    pub fn owner(&self, no: u16) -> Option<&T> {
        self.entries.get(&no)?.owner.as_ref()
    }

    /// Legs that have not ended.
    pub fn live(&self) -> impl Iterator<Item = (u16, &T)> {
        self.entries.iter().filter_map(|(no, entry)| Some((*no, entry.owner.as_ref()?)))
    }

    /// Whether every frame sent has been acknowledged or given up.
    pub fn all_acked(&self) -> bool {
        self.entries.values().all(|entry| entry.leg.all_acked())
    }

    /// Handles a received full frame.
    pub fn receive(
        &mut self,
        peer: SocketAddr,
        frame: &Frame,
        now: Time,
        out: &mut Vec<Outgoing>,
    ) -> Option<LegEvent<T>> {
        if frame.kind == Kind::Iax(Iax::Poke) {
            // A POKE belongs to no call, whatever call number it has.
            let mut pong = frame.inval();
            (pong.kind, pong.source) = (Kind::Iax(Iax::Pong), 1);
            out.push((peer, pong.bytes()));
            return None;
        }
        if frame.kind == Kind::Iax(Iax::CallToken) {
            self.resend_with_token(peer, frame, now, out);
            return None;
        }
        let is_initial = matches!(frame.kind, Kind::Iax(Iax::New | Iax::RegReq | Iax::RegRel));
        let is_new = is_initial && frame.dest == 0;
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
        // The peer reuses its call number for a new call. A retransmission of the old NEW has the old timestamp.
        if is_new && entry.reusable_at.is_some() && entry.new_timestamp != Some(frame.timestamp) {
            self.remove(no);
            return Some(LegEvent::New(frame.clone()));
        }
        let entry = self.entries.get_mut(&no)?;
        let mut bytes = Vec::new();
        let outcome = entry.leg.receive(frame, now, &mut bytes);
        out.extend(bytes.into_iter().map(|b| (peer, b)));
        if let Some(round_trip) = entry.leg.take_round_trip() {
            self.round_trips.record(peer.ip(), round_trip);
            entry.leg.first_interval = self.round_trips.first_interval(peer.ip());
        }
        match outcome {
            FrameOutcome::Deliver if entry.owner.is_some() => Some(LegEvent::Frame(no, frame.clone())),
            FrameOutcome::Deliver | FrameOutcome::Consumed => None,
            FrameOutcome::UnknownCall => {
                entry.leg.cancel_retransmissions();
                let owner = entry.owner.clone();
                self.end(no, now);
                owner.map(LegEvent::Lost)
            }
        }
    }

    /// Handles a CALLTOKEN: the peer wants proof that its answers arrive here before it accepts a NEW.
    fn resend_with_token(&mut self, peer: SocketAddr, frame: &Frame, now: Time, out: &mut Vec<Outgoing>) {
        let Some(entry) = self.entries.get_mut(&frame.dest) else { return };
        let expects_token = entry.owner.is_some() && entry.leg.peer == peer && entry.leg.remote == 0;
        let Some(token) =
            frame.elements.get(ie::CALLTOKEN).filter(|_| expects_token && entry.tokens_sent < MAX_TOKENS)
        else {
            return;
        };
        entry.tokens_sent += 1;
        let mut bytes = Vec::new();
        entry.leg.resend_with_token(token, now, &mut bytes);
        out.extend(bytes.into_iter().map(|b| (peer, b)));
    }

    /// Sends the PINGs and retransmissions that are due on a leg, detects a silent peer, and removes an ended leg
    /// whose number may be reused.
    pub fn run_timers(&mut self, no: u16, now: Time, out: &mut Vec<Outgoing>) -> Option<LegEvent<T>> {
        let entry = self.entries.get_mut(&no)?;
        let mut bytes = Vec::new();
        if entry.established && entry.leg.all_acked() && now.since(entry.leg.last_received) >= PING_AFTER {
            entry.leg.send(Kind::Iax(Iax::Ping), Elements::default(), now, &mut bytes);
        }
        let responsive = entry.leg.run_timers(now, &mut bytes);
        let peer = entry.leg.peer;
        out.extend(bytes.into_iter().map(|b| (peer, b)));
        if !responsive {
            entry.leg.cancel_retransmissions();
            let owner = entry.owner.clone();
            if owner.is_some() {
                self.end(no, now);
            }
            return owner.map(LegEvent::Lost);
        }
        if entry.reusable_at.is_some_and(|until| now >= until && entry.leg.all_acked()) {
            self.remove(no);
        }
        None
    }

    /// When [`Legs::run_timers`] is next due for a leg.
    pub fn next_deadline(&self, no: u16) -> Option<Time> {
        let entry = self.entries.get(&no)?;
        let ping = entry.established.then(|| entry.leg.last_received.plus(PING_AFTER));
        let ping = ping.filter(|_| entry.leg.all_acked());
        [entry.leg.next_deadline(), ping, entry.reusable_at].into_iter().flatten().min()
    }

    fn remove(&mut self, no: u16) {
        if let Some(entry) = self.entries.remove(&no) {
            if entry.new_timestamp.is_some() {
                self.incoming.remove(entry.leg.peer.ip());
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

    /// Guards against a HANGUP that is retransmitted for seconds to a peer that never received the NEW of its call.
    #[test]
    fn an_inval_ends_retransmission_of_a_hangup_whose_new_was_lost() {
        let (mut legs, mut out): (Legs<u16>, _) = (Legs::default(), Vec::new());
        let (peer, now) = (SocketAddr::from(([127, 0, 0, 1], 4_569)), Time(1_000_000));
        let no = legs.open_outgoing(peer, 7, now).expect("a number");
        legs.send(no, Kind::Iax(Iax::Hangup), Elements::default(), now, &mut out);
        legs.end(no, now);
        let Ok(Datagram::Full(hangup)) = parse(&out[0].1) else { panic!("{out:?}") };
        assert_eq!(hangup.dest, 0);
        let Ok(Datagram::Full(inval)) = parse(&hangup.inval().bytes()) else {
            panic!("the INVAL does not parse")
        };
        assert_eq!(legs.receive(peer, &inval, now, &mut out), None);
        assert!(legs.all_acked());
    }

    /// Guards against one caller that uses up all call numbers, and against a leak: an ended leg must leave no entry
    /// and no count.
    #[test]
    fn legs_per_address_are_limited_and_ended_ones_are_removed_when_their_numbers_are_reusable() {
        let mut legs: Legs<u16> = Legs::default();
        let peer = |host, port| SocketAddr::from(([127, 0, 0, host], port));
        let (now, mut out) = (Time(1_000_000), Vec::new());
        let mut opened = Vec::new();
        for n in 0..1_024_u16 {
            opened.extend(legs.open_incoming(peer(1, 1_000 + n % 7), &new(n + 1), n, now, &mut out));
        }
        assert_eq!(opened.len(), 1_024);
        assert!(legs.open_incoming(peer(1, 9), &new(7), 0, now, &mut out).is_none());
        assert!(legs.open_incoming(peer(2, 9), &new(7), 0, now, &mut out).is_some());
        for no in opened {
            legs.end(no, now);
            legs.run_timers(no, now.plus(NUMBER_QUARANTINE), &mut out);
        }
        assert_eq!((legs.entries.len(), legs.by_peer.len()), (1, 1));
    }
}
