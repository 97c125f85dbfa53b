//! One leg: sequence numbers, acknowledgements, retransmission.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::round_trip::{next_gap, COPIES};
use crate::interface::{Span, Time};

/// A frame not acknowledged for so long: the other side is silent.
const SILENT_AFTER: Span = Span::from_millis(4_500);
/// Frames that may wait to be acknowledged.
const MOST_UNACKED: usize = 64;

#[derive(Debug)]
struct Sent {
    frame: Frame,
    first: Time,
    next: Time,
    /// The first gap ahead of a copy, and the next one.
    first_gap: Span,
    gap: Span,
    copies: u32,
}

impl Sent {
    fn new(frame: Frame, gap: Span, now: Time) -> Sent {
        Sent { frame, first: now, next: now.plus(gap), first_gap: gap, gap, copies: 0 }
    }
}

/// What a frame means to its leg.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameOutcome {
    /// The next in turn: it is to be acted on, once.
    Deliver,
    /// Seen before, ahead of its turn, or about the exchange itself: nothing to act on.
    Consumed,
    /// The other side does not know the call.
    UnknownCall,
}

/// One leg of a call.
#[derive(Debug)]
pub struct Leg {
    /// The call number here.
    pub local: u16,
    /// The call number there; 0 until known.
    pub remote: u16,
    /// Where the other side is.
    pub peer: SocketAddr,
    /// The last frame from there.
    pub heard: Time,
    began: Time,
    stamp: Option<u32>,
    oseq: u8,
    iseq: u8,
    unacked: VecDeque<Sent>,
    /// After how long a frame is sent again for the first time.
    pub first_gap: Span,
    /// How long the last frame that was sent once took to be acknowledged.
    took: Option<Span>,
}

impl Leg {
    /// A leg that begins now.
    pub fn new(local: u16, remote: u16, peer: SocketAddr, first_gap: Span, now: Time) -> Self {
        let (unacked, took) = (VecDeque::new(), None);
        let (heard, began, stamp) = (now, now, None);
        Self { local, remote, peer, heard, began, stamp, oseq: 0, iseq: 0, unacked, first_gap, took }
    }

    /// What was measured of the round trip since this was asked last.
    pub fn took(&mut self) -> Option<Span> {
        self.took.take()
    }

    /// Sends a frame that is sent again until acknowledged.
    pub fn send(&mut self, kind: Kind, elements: Elements, now: Time, out: &mut Vec<Vec<u8>>) {
        // It wraps after 49.7 days (RFC 5456, 8.1.1).
        let passed = (now.since(self.began).0 / 1000) as u32;
        // No two frames of a leg bear the same time: acknowledgements name frames by it.
        let later = |last: u32| passed.wrapping_sub(last) as i32 > 0;
        let stamp = self.stamp.map_or(passed, |last| if later(last) { passed } else { last.wrapping_add(1) });
        self.stamp = Some(stamp);
        self.send_at(stamp, kind, elements, now, out);
    }

    /// Sends a frame that bears a time of the other side's: an echo.
    fn send_at(&mut self, timestamp: u32, kind: Kind, elements: Elements, now: Time, out: &mut Vec<Vec<u8>>) {
        let frame = self.frame(timestamp, kind, elements);
        out.push(frame.bytes());
        self.oseq = self.oseq.wrapping_add(1);
        if self.unacked.len() < MOST_UNACKED {
            self.unacked.push_back(Sent::new(frame, self.first_gap, now));
        }
    }

    fn frame(&self, timestamp: u32, kind: Kind, elements: Elements) -> Frame {
        let Leg { local: source, remote: dest, oseq, iseq, .. } = *self;
        Frame { source, dest, retransmitted: false, timestamp, oseq, iseq, kind, elements, data: Vec::new() }
    }

    /// Sends what takes no sequence number.
    fn say(&self, iax: Iax, timestamp: u32, out: &mut Vec<Vec<u8>>) {
        out.push(self.frame(timestamp, Kind::Iax(iax), Elements::default()).bytes());
    }

    /// Takes a frame: books what it acknowledges, answers what concerns the exchange itself.
    pub fn receive(&mut self, frame: &Frame, now: Time, out: &mut Vec<Vec<u8>>) -> FrameOutcome {
        self.heard = now;
        if self.remote == 0 {
            self.remote = frame.source;
        }
        self.acknowledged(frame.iseq, now);
        match frame.kind {
            Kind::Iax(Iax::Ack) => return FrameOutcome::Consumed,
            Kind::Iax(Iax::Inval) => return FrameOutcome::UnknownCall,
            Kind::Iax(Iax::Vnak) => {
                self.resend(now, out);
                return FrameOutcome::Consumed;
            }
            _ => {}
        }
        let ahead = frame.oseq.wrapping_sub(self.iseq) as i8;
        if ahead > 0 {
            self.say(Iax::Vnak, frame.timestamp, out);
            return FrameOutcome::Consumed;
        }
        if ahead < 0 {
            // A retransmission: our acknowledgement was lost. It is no new event.
            self.say(Iax::Ack, frame.timestamp, out);
            return FrameOutcome::Consumed;
        }
        self.iseq = self.iseq.wrapping_add(1);
        match frame.kind {
            Kind::Iax(Iax::Ping) => self.echo(Iax::Pong, frame, now, out),
            Kind::Iax(Iax::LagRq) => self.echo(Iax::LagRp, frame, now, out),
            Kind::Iax(Iax::Pong | Iax::LagRp) => {
                self.say(Iax::Ack, frame.timestamp, out);
                FrameOutcome::Consumed
            }
            _ => {
                self.say(Iax::Ack, frame.timestamp, out);
                FrameOutcome::Deliver
            }
        }
    }

    fn echo(&mut self, iax: Iax, frame: &Frame, now: Time, out: &mut Vec<Vec<u8>>) -> FrameOutcome {
        self.send_at(frame.timestamp, Kind::Iax(iax), Elements::default(), now, out);
        FrameOutcome::Consumed
    }

    /// All frames ahead of `iseq` have arrived. One that we never sent acknowledges nothing.
    fn acknowledged(&mut self, iseq: u8, now: Time) {
        if (self.oseq.wrapping_sub(iseq) as i8) < 0 {
            return;
        }
        while let Some(sent) = self.unacked.front() {
            if (iseq.wrapping_sub(sent.frame.oseq) as i8) <= 0 {
                break;
            }
            // Of one that was sent again nobody knows which copy was heard (RFC 6298, 3: Karn's rule).
            if !sent.frame.retransmitted {
                self.took = Some(now.since(sent.first));
            }
            self.unacked.pop_front();
        }
    }

    fn resend(&mut self, now: Time, out: &mut Vec<Vec<u8>>) {
        let (iseq, dest) = (self.iseq, self.remote);
        for sent in &mut self.unacked {
            (sent.frame.retransmitted, sent.frame.iseq, sent.frame.dest) = (true, iseq, dest);
            sent.next = now.plus(sent.gap);
            out.push(sent.frame.bytes());
        }
    }

    /// Sends again what is overdue. `false`: the other side is silent.
    pub fn run_timers(&mut self, now: Time, out: &mut Vec<Vec<u8>>) -> bool {
        let (iseq, dest) = (self.iseq, self.remote);
        for sent in &mut self.unacked {
            if now.since(sent.first) >= SILENT_AFTER {
                return false;
            }
            if sent.next <= now {
                (sent.frame.retransmitted, sent.frame.iseq, sent.frame.dest) = (true, iseq, dest);
                sent.copies += 1;
                sent.gap = next_gap(sent.first_gap, sent.gap);
                let silent_at = sent.first.plus(SILENT_AFTER);
                sent.next = if sent.copies < COPIES { now.plus(sent.gap).min(silent_at) } else { silent_at };
                out.push(sent.frame.bytes());
            }
        }
        true
    }

    /// The other side wants a call token with the first frame, which it has not taken yet: that is sent anew with it, and again
    /// until acknowledged.
    pub fn show(&mut self, token: &[u8], now: Time, out: &mut Vec<Vec<u8>>) {
        let begins =
            |sent: &&mut Sent| matches!(sent.frame.kind, Kind::Iax(Iax::New | Iax::RegReq | Iax::RegRel));
        let Some(sent) = self.unacked.front_mut().filter(begins) else { return };
        sent.frame.elements.0.retain(|(element, _)| *element != ie::CALLTOKEN);
        sent.frame.elements.0.push((ie::CALLTOKEN, token.to_vec()));
        sent.frame.retransmitted = false;
        (sent.first, sent.next, sent.gap, sent.copies) = (now, now.plus(sent.first_gap), sent.first_gap, 0);
        out.push(sent.frame.bytes());
    }

    /// When `due` has something to do.
    pub fn next_deadline(&self) -> Option<Time> {
        self.unacked.iter().map(|sent| sent.next).min()
    }

    /// Whether all that was sent has been acknowledged.
    pub fn all_acked(&self) -> bool {
        self.unacked.is_empty()
    }

    /// Sends nothing again of what was sent so far.
    pub fn cancel_retransmissions(&mut self) {
        self.unacked.clear();
    }
}
