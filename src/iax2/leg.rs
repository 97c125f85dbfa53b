//! One call leg: sequence numbers, acknowledgements and retransmission.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::round_trip::{next_interval, MAX_RETRANSMISSIONS};
use crate::interface::{Span, Time};

/// A peer that leaves a frame unacknowledged for this long is silent.
const SILENCE_TIMEOUT: Span = Span::from_millis(4_500);
/// Unacknowledged frames kept for retransmission. Further frames are sent once only.
const MAX_UNACKED: usize = 64;

/// A frame that was sent and is not acknowledged yet.
#[derive(Debug)]
struct Unacked {
    frame: Frame,
    first_sent: Time,
    next_send: Time,
    /// The interval before the first retransmission.
    first_interval: Span,
    /// The interval before the next retransmission.
    interval: Span,
    retransmissions: u32,
}

impl Unacked {
    fn new(frame: Frame, interval: Span, now: Time) -> Unacked {
        Unacked {
            frame,
            first_sent: now,
            next_send: now.plus(interval),
            first_interval: interval,
            interval,
            retransmissions: 0,
        }
    }
}

/// What a received frame requires of the caller of [`Leg::receive`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameOutcome {
    /// The frame is next in sequence: it is to be acted on, once.
    Deliver,
    /// A duplicate, a frame ahead of its sequence, or one that the leg itself has handled.
    Consumed,
    /// The peer does not know the call.
    UnknownCall,
}

/// One leg of a call.
#[derive(Debug)]
pub struct Leg {
    /// The local call number.
    pub local: u16,
    /// The peer's call number; 0 until known.
    pub remote: u16,
    /// The peer's address.
    pub peer: SocketAddr,
    /// When the last frame was received from the peer.
    pub last_received: Time,
    started: Time,
    last_timestamp: Option<u32>,
    oseq: u8,
    iseq: u8,
    unacked: VecDeque<Unacked>,
    /// The interval before a frame is retransmitted for the first time.
    pub first_interval: Span,
    /// Round trip of the last acknowledged frame that had been sent only once.
    round_trip: Option<Span>,
}

/// What another process needs to continue a leg on which every frame has been acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegState {
    /// The local call number.
    pub local: u16,
    /// The peer's call number.
    pub remote: u16,
    /// The peer's address.
    pub peer: SocketAddr,
    started: Time,
    last_timestamp: Option<u32>,
    oseq: u8,
    iseq: u8,
}

impl Leg {
    /// The state for another process.
    pub fn state(&self) -> LegState {
        LegState {
            local: self.local,
            remote: self.remote,
            peer: self.peer,
            started: self.started,
            last_timestamp: self.last_timestamp,
            oseq: self.oseq,
            iseq: self.iseq,
        }
    }

    /// Continues a leg of another process.
    pub fn resume(state: &LegState, first_interval: Span, now: Time) -> Self {
        let mut leg = Leg::new(state.local, state.remote, state.peer, first_interval, now);
        leg.started = state.started;
        leg.last_timestamp = state.last_timestamp;
        (leg.oseq, leg.iseq) = (state.oseq, state.iseq);
        leg
    }

    /// Creates a leg that starts at `now`.
    pub fn new(local: u16, remote: u16, peer: SocketAddr, first_interval: Span, now: Time) -> Self {
        let (unacked, round_trip) = (VecDeque::new(), None);
        let (last_received, started, last_timestamp) = (now, now, None);
        Self {
            local,
            remote,
            peer,
            last_received,
            started,
            last_timestamp,
            oseq: 0,
            iseq: 0,
            unacked,
            first_interval,
            round_trip,
        }
    }

    /// Returns the round trip measured since the last call, if any.
    pub fn take_round_trip(&mut self) -> Option<Span> {
        self.round_trip.take()
    }

    /// Sends a frame, which is retransmitted until acknowledged.
    pub fn send(&mut self, kind: Kind, elements: Elements, now: Time, out: &mut Vec<Vec<u8>>) {
        // The timestamp wraps after 49.7 days (RFC 5456, 8.1.1).
        let elapsed = (now.since(self.started).0 / 1000) as u32;
        // No two frames of a leg have the same timestamp, because acknowledgements identify frames by it.
        let is_later = |last: u32| elapsed.wrapping_sub(last) as i32 > 0;
        let timestamp =
            self.last_timestamp
                .map_or(elapsed, |last| if is_later(last) { elapsed } else { last.wrapping_add(1) });
        self.last_timestamp = Some(timestamp);
        self.send_at(timestamp, kind, elements, now, out);
    }

    /// Sends a frame with a given timestamp: PONG and LAGRP repeat the peer's.
    fn send_at(&mut self, timestamp: u32, kind: Kind, elements: Elements, now: Time, out: &mut Vec<Vec<u8>>) {
        let frame = self.frame(timestamp, kind, elements);
        out.push(frame.bytes());
        self.oseq = self.oseq.wrapping_add(1);
        if self.unacked.len() < MAX_UNACKED {
            self.unacked.push_back(Unacked::new(frame, self.first_interval, now));
        }
    }

    fn frame(&self, timestamp: u32, kind: Kind, elements: Elements) -> Frame {
        let Leg { local: source, remote: dest, oseq, iseq, .. } = *self;
        Frame { source, dest, retransmitted: false, timestamp, oseq, iseq, kind, elements, data: Vec::new() }
    }

    /// Sends a frame that takes no sequence number and is not retransmitted.
    fn send_unsequenced(&self, iax: Iax, timestamp: u32, out: &mut Vec<Vec<u8>>) {
        out.push(self.frame(timestamp, Kind::Iax(iax), Elements::default()).bytes());
    }

    /// Handles a received frame: drops the sent frames that it acknowledges, acknowledges it, and answers VNAK, PING
    /// and LAGRQ.
    pub fn receive(&mut self, frame: &Frame, now: Time, out: &mut Vec<Vec<u8>>) -> FrameOutcome {
        self.last_received = now;
        if self.remote == 0 {
            self.remote = frame.source;
        }
        self.acknowledged(frame.iseq, now);
        match frame.kind {
            Kind::Iax(Iax::Ack) => return FrameOutcome::Consumed,
            Kind::Iax(Iax::Inval) => return FrameOutcome::UnknownCall,
            Kind::Iax(Iax::Vnak) => {
                self.retransmit_all(now, out);
                return FrameOutcome::Consumed;
            }
            _ => {}
        }
        let ahead = frame.oseq.wrapping_sub(self.iseq) as i8;
        if ahead > 0 {
            self.send_unsequenced(Iax::Vnak, frame.timestamp, out);
            return FrameOutcome::Consumed;
        }
        if ahead < 0 {
            // A retransmission, because our acknowledgement was lost: acknowledged again and not delivered.
            self.send_unsequenced(Iax::Ack, frame.timestamp, out);
            return FrameOutcome::Consumed;
        }
        self.iseq = self.iseq.wrapping_add(1);
        match frame.kind {
            Kind::Iax(Iax::Ping) => self.echo(Iax::Pong, frame, now, out),
            Kind::Iax(Iax::LagRq) => self.echo(Iax::LagRp, frame, now, out),
            Kind::Iax(Iax::Pong | Iax::LagRp) => {
                self.send_unsequenced(Iax::Ack, frame.timestamp, out);
                FrameOutcome::Consumed
            }
            _ => {
                self.send_unsequenced(Iax::Ack, frame.timestamp, out);
                FrameOutcome::Deliver
            }
        }
    }

    fn echo(&mut self, iax: Iax, frame: &Frame, now: Time, out: &mut Vec<Vec<u8>>) -> FrameOutcome {
        self.send_at(frame.timestamp, Kind::Iax(iax), Elements::default(), now, out);
        FrameOutcome::Consumed
    }

    /// Drops the unacknowledged frames before `iseq`, which the peer has received. An `iseq` beyond the last frame
    /// sent is ignored.
    fn acknowledged(&mut self, iseq: u8, now: Time) {
        if (self.oseq.wrapping_sub(iseq) as i8) < 0 {
            return;
        }
        while let Some(sent) = self.unacked.front() {
            if (iseq.wrapping_sub(sent.frame.oseq) as i8) <= 0 {
                break;
            }
            // The acknowledgement of a retransmitted frame does not tell which copy it is for (Karn's rule, RFC 6298,
            // 3).
            if !sent.frame.retransmitted {
                self.round_trip = Some(now.since(sent.first_sent));
            }
            self.unacked.pop_front();
        }
    }

    fn retransmit_all(&mut self, now: Time, out: &mut Vec<Vec<u8>>) {
        let (iseq, dest) = (self.iseq, self.remote);
        for sent in &mut self.unacked {
            (sent.frame.retransmitted, sent.frame.iseq, sent.frame.dest) = (true, iseq, dest);
            sent.next_send = now.plus(sent.interval);
            out.push(sent.frame.bytes());
        }
    }

    /// Retransmits overdue frames. Returns `false` if the peer is silent.
    pub fn run_timers(&mut self, now: Time, out: &mut Vec<Vec<u8>>) -> bool {
        let (iseq, dest) = (self.iseq, self.remote);
        for sent in &mut self.unacked {
            if now.since(sent.first_sent) >= SILENCE_TIMEOUT {
                return false;
            }
            if sent.next_send <= now {
                (sent.frame.retransmitted, sent.frame.iseq, sent.frame.dest) = (true, iseq, dest);
                sent.retransmissions += 1;
                sent.interval = next_interval(sent.first_interval, sent.interval);
                let silent_at = sent.first_sent.plus(SILENCE_TIMEOUT);
                sent.next_send = if sent.retransmissions < MAX_RETRANSMISSIONS {
                    now.plus(sent.interval).min(silent_at)
                } else {
                    silent_at
                };
                out.push(sent.frame.bytes());
            }
        }
        true
    }

    /// Sends the first frame anew with a call token. The peer asked for the token and has not accepted the frame yet,
    /// so this counts as a first transmission, and retransmission starts over.
    pub fn resend_with_token(&mut self, token: &[u8], now: Time, out: &mut Vec<Vec<u8>>) {
        let is_initial =
            |sent: &&mut Unacked| matches!(sent.frame.kind, Kind::Iax(Iax::New | Iax::RegReq | Iax::RegRel));
        let Some(sent) = self.unacked.front_mut().filter(is_initial) else { return };
        sent.frame.elements.0.retain(|(element, _)| *element != ie::CALLTOKEN);
        sent.frame.elements.0.push((ie::CALLTOKEN, token.to_vec()));
        sent.frame.retransmitted = false;
        (sent.first_sent, sent.next_send, sent.interval, sent.retransmissions) =
            (now, now.plus(sent.first_interval), sent.first_interval, 0);
        out.push(sent.frame.bytes());
    }

    /// When [`Leg::run_timers`] is next due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.unacked.iter().map(|sent| sent.next_send).min()
    }

    /// Whether every frame sent has been acknowledged or given up.
    pub fn all_acked(&self) -> bool {
        self.unacked.is_empty()
    }

    /// Stops retransmission of all frames sent so far.
    pub fn cancel_retransmissions(&mut self) {
        self.unacked.clear();
    }
}
