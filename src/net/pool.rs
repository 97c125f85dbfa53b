//! Read buffers: all of one size, used again, bounded in number.

use std::cell::RefCell;
use std::rc::Rc;

/// The longest message allowed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// A buffer holds the longest message and its line end.
pub const BUFFER_BYTES: usize = MAX_MESSAGE_BYTES + 256;

/// Buffers kept for connections whose messages come whole. Guards against those who send half a message each and hold
/// all the others.
const KEPT: usize = 4;

/// The buffers that no connection holds. A connection holds one only while part of a message is in it.
#[derive(Debug, Clone)]
pub struct BufferPool(Rc<RefCell<Free>>);

#[derive(Debug)]
struct Free {
    buffers: Vec<Vec<u8>>,
    lent: usize,
    most: usize,
}

impl BufferPool {
    /// A pool that lends at most so many buffers at once.
    pub fn new(most: usize) -> Self {
        Self(Rc::new(RefCell::new(Free { buffers: Vec::new(), lent: 0, most: most.max(2 * KEPT) })))
    }

    /// An empty buffer; `None` if all are lent.
    pub fn take(&self) -> Option<Buffer> {
        let mut free = self.0.borrow_mut();
        if free.lent >= free.most {
            return None;
        }
        free.lent += 1;
        let bytes = free.buffers.pop().unwrap_or_else(|| vec![0; BUFFER_BYTES]);
        Some(Buffer { bytes, filled: 0, pool: self.clone() })
    }

    /// Whether a buffer with part of a message in it may be kept until the rest comes.
    pub fn may_hold_partial(&self) -> bool {
        let free = self.0.borrow();
        free.lent + KEPT <= free.most
    }

    /// From now on lends at most so many.
    pub fn set_max(&self, most: usize) {
        let mut free = self.0.borrow_mut();
        free.most = most.max(2 * KEPT);
        let idle = free.most.saturating_sub(free.lent);
        free.buffers.truncate(idle);
    }

    /// Buffers lent now.
    pub fn lent(&self) -> usize {
        self.0.borrow().lent
    }
}

/// A buffer on loan; it goes back when dropped.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    filled: usize,
    pool: BufferPool,
}

impl Buffer {
    /// What has been read and not used.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }
    /// Room for more.
    pub fn room(&mut self) -> &mut [u8] {
        &mut self.bytes[self.filled..]
    }
    /// So many bytes were read into the room.
    pub fn add(&mut self, n: usize) {
        self.filled = (self.filled + n).min(self.bytes.len());
    }
    /// So many bytes have been used.
    pub fn used(&mut self, n: usize) {
        let n = n.min(self.filled);
        self.bytes.copy_within(n..self.filled, 0);
        self.filled -= n;
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut free = self.pool.0.borrow_mut();
        free.lent -= 1;
        let bytes = std::mem::take(&mut self.bytes);
        // The next few are at hand; a crowd's buffers go back to the system.
        if free.buffers.len() < KEPT {
            free.buffers.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against those who send half a message each and hold the buffers of all the others.
    #[test]
    fn the_last_buffers_are_kept_for_messages_that_come_whole_and_a_crowd_s_are_given_back() {
        let pool = BufferPool::new(20);
        let mut held = Vec::new();
        while pool.may_hold_partial() {
            held.push(pool.take().expect("one more"));
        }
        assert_eq!(held.len(), 20 - KEPT + 1);
        assert!(pool.take().is_some(), "one for a message that comes whole");
        drop(held);
        assert_eq!((pool.lent(), pool.0.borrow().buffers.len()), (0, KEPT));
        pool.set_max(2 * KEPT);
        assert_eq!(std::iter::from_fn(|| pool.take()).take(99).map(std::mem::forget).count(), 2 * KEPT);
    }
}
