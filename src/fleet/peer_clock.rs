//! Order and delay of the datagrams from one peer. Detects duplicates, reordered datagrams and datagrams of earlier
//! incarnations, and measures how much longer each datagram was in transit than the fastest recent one. Absolute clock
//! values are not compared; only changes of the offset between the two clocks are used.

use super::datagram::Header;
use crate::interface::{Span, Time};

/// Window over which the smallest clock offset is measured. It is limited because clocks drift: 100 ppm amount to 6 ms
/// per window.
const OFFSET_WINDOW: Span = Span::from_millis(60_000);
/// Half the range of serial numbers. In serial-number arithmetic, a number that is behind another by less than this is
/// the older of the two.
const HALF_RANGE: u32 = 1 << 31;

/// State of one peer's sequence of datagrams and of its clock offset.
#[derive(Debug, Default)]
pub struct PeerClock {
    incarnation: u32,
    sequence: u32,
    last_received_at: Time,
    /// Smallest difference between the receiver's clock and the sender's timestamp in the previous window, in ms.
    previous_min_offset: Option<u32>,
    /// The same for the current window.
    current_min_offset: Option<u32>,
    window_started_at: Time,
}

impl PeerClock {
    /// Time at which the last accepted datagram was received.
    pub fn last_received_at(&self) -> Time {
        self.last_received_at
    }

    /// Checks the header of a datagram; returns by how much its transit time exceeds that of the fastest recent one, or
    /// `None` if the datagram is to be dropped as a duplicate, out of order, or from an earlier incarnation.
    pub fn receive(&mut self, now: Time, header: &Header) -> Option<Span> {
        if !self.accepts(header) {
            return None;
        }
        if !self.is_known() || header.incarnation != self.incarnation {
            *self =
                PeerClock { incarnation: header.incarnation, window_started_at: now, ..PeerClock::default() };
        }
        (self.sequence, self.last_received_at) = (header.sequence, now);
        if now.since(self.window_started_at) > OFFSET_WINDOW {
            self.previous_min_offset = self.current_min_offset.take();
            self.window_started_at = now;
        }
        Some(self.extra_delay(((now.0 / 1_000) as u32).wrapping_sub(header.sent_ms)))
    }

    /// Whether a datagram has been accepted before.
    fn is_known(&self) -> bool {
        self.last_received_at != Time::default()
    }

    /// Whether a datagram is from a newer incarnation, or newer than the last one within the current incarnation.
    fn accepts(&self, header: &Header) -> bool {
        if !self.is_known() {
            return true;
        }
        let incarnations_behind = self.incarnation.wrapping_sub(header.incarnation);
        if incarnations_behind != 0 {
            return incarnations_behind >= HALF_RANGE;
        }
        self.sequence.wrapping_sub(header.sequence) >= HALF_RANGE
    }

    /// Records a clock offset; returns by how much it exceeds the smallest one of both windows.
    fn extra_delay(&mut self, offset: u32) -> Span {
        let current_min = self.current_min_offset.map_or(offset, |min| smaller_offset(offset, min));
        self.current_min_offset = Some(current_min);
        let min_offset =
            self.previous_min_offset.map_or(current_min, |previous| smaller_offset(previous, current_min));
        Span::from_millis(u64::from(offset.wrapping_sub(min_offset)))
    }
}

/// The smaller of two offsets that may have wrapped around.
fn smaller_offset(a: u32, b: u32) -> u32 {
    if a.wrapping_sub(b) < HALF_RANGE {
        b
    } else {
        a
    }
}

#[cfg(test)]
mod tests;
