//! Order and delay of the datagrams of one peer: duplicates, reordered datagrams and those of earlier incarnations are
//! detected, and how much longer than the fastest recent one each was in transit. Clocks are not compared; only changes
//! of the difference between them count.

use super::datagram::Header;
use crate::interface::{Span, Time};

/// The smallest clock offset is measured anew over each such window, since clocks drift: 100 ppm are 6 ms in it.
const OFFSET_WINDOW: Span = Span::from_millis(60_000);
/// Serial-number arithmetic: a number less than half the range behind another is the older of the two.
const HALF_RANGE: u32 = 1 << 31;

/// What is known of one peer's datagrams and clock.
#[derive(Debug, Default)]
pub struct PeerClock {
    incarnation: u32,
    sequence: u32,
    last_received_at: Time,
    /// Smallest offset of the receiver's clock to the sender's timestamp in the previous window, in ms.
    previous_min_offset: Option<u32>,
    /// The same for the current window.
    current_min_offset: Option<u32>,
    window_began_at: Time,
}

impl PeerClock {
    /// Time of the last datagram that was accepted.
    pub fn last_received_at(&self) -> Time {
        self.last_received_at
    }

    /// Checks the header of a datagram; returns its transit time beyond that of the fastest recent one. `None`: it is
    /// to be dropped as a duplicate, out of order, or of an earlier incarnation.
    pub fn receive(&mut self, now: Time, header: &Header) -> Option<Span> {
        if !self.accepts(header) {
            return None;
        }
        if !self.is_known() || header.incarnation != self.incarnation {
            *self =
                PeerClock { incarnation: header.incarnation, window_began_at: now, ..PeerClock::default() };
        }
        (self.sequence, self.last_received_at) = (header.sequence, now);
        if now.since(self.window_began_at) > OFFSET_WINDOW {
            self.previous_min_offset = self.current_min_offset.take();
            self.window_began_at = now;
        }
        Some(self.extra_delay(((now.0 / 1_000) as u32).wrapping_sub(header.sent_ms)))
    }

    /// Whether any datagram has been accepted.
    fn is_known(&self) -> bool {
        self.last_received_at != Time::default()
    }

    /// Whether a datagram is of a newer incarnation, or next in order within the current one.
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

    /// Notes a clock offset; returns by how much it exceeds the smallest of both windows.
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
