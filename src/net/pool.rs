//! Pool of read buffers: all of one size, reused, limited in number.

use std::cell::RefCell;
use std::rc::Rc;

/// Longest message allowed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// A buffer holds the longest message and its line end.
pub const BUFFER_BYTES: usize = MAX_MESSAGE_BYTES + 256;

/// Buffers reserved for connections whose messages arrive whole. Otherwise clients that send half a message
/// each could hold all of them.
const RESERVED: usize = 4;
/// Limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Buffers lent to any connection.
    pub usual: usize,
    /// Buffers lent in all; those beyond `usual` are for connections that must not be closed because answers are pending
    /// on them.
    pub max: usize,
}

impl PoolLimits {
    /// The same limit for all connections.
    pub fn same_for_all(max: usize) -> Self {
        Self { usual: max, max }
    }

    fn at_least_reserved(self) -> Self {
        let usual = self.usual.max(2 * RESERVED);
        Self { usual, max: self.max.max(usual) }
    }
}

/// A pool of buffers. A connection holds a buffer only while it contains part of a message.
#[derive(Debug, Clone)]
pub struct BufferPool(Rc<RefCell<PoolState>>);

#[derive(Debug)]
struct PoolState {
    buffers: Vec<Vec<u8>>,
    in_use: usize,
    limits: PoolLimits,
}

impl BufferPool {
    /// A pool with these limits.
    pub fn new(limits: PoolLimits) -> Self {
        Self(Rc::new(RefCell::new(PoolState {
            buffers: Vec::new(),
            in_use: 0,
            limits: limits.at_least_reserved(),
        })))
    }

    /// Takes an empty buffer; `None` if all are in use.
    pub fn take(&self) -> Option<Buffer> {
        let mut state = self.0.borrow_mut();
        if state.in_use >= state.limits.max {
            return None;
        }
        state.in_use += 1;
        let bytes = state.buffers.pop().unwrap_or_else(|| vec![0; BUFFER_BYTES]);
        Some(Buffer { bytes, filled: 0, pool: self.clone() })
    }

    /// Whether a buffer with a partial message may be kept until the rest arrives.
    pub fn may_hold_partial(&self) -> bool {
        let state = self.0.borrow();
        state.in_use + RESERVED <= state.limits.usual
    }

    /// The same for a connection that must not be closed because answers are pending on it.
    pub fn may_hold_partial_beyond_limit(&self) -> bool {
        let state = self.0.borrow();
        state.in_use + RESERVED <= state.limits.max
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: PoolLimits) {
        let mut state = self.0.borrow_mut();
        state.limits = limits.at_least_reserved();
        let idle = state.limits.max.saturating_sub(state.in_use);
        state.buffers.truncate(idle);
    }

    /// Buffers in use.
    pub fn in_use(&self) -> usize {
        self.0.borrow().in_use
    }
}

/// A buffer on loan; it returns to the pool when dropped.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    filled: usize,
    pool: BufferPool,
}

impl Buffer {
    /// The bytes read and not consumed yet.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }
    /// The free space after them.
    pub fn room(&mut self) -> &mut [u8] {
        &mut self.bytes[self.filled..]
    }
    /// Marks `n` bytes of the free space as filled.
    pub fn add(&mut self, n: usize) {
        self.filled = (self.filled + n).min(self.bytes.len());
    }
    /// Removes `n` consumed bytes from the front.
    pub fn used(&mut self, n: usize) {
        let n = n.min(self.filled);
        self.bytes.copy_within(n..self.filled, 0);
        self.filled -= n;
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        state.in_use -= 1;
        let bytes = std::mem::take(&mut self.bytes);
        // Only a few are kept for reuse; after a peak the memory of the others is freed.
        if state.buffers.len() < RESERVED {
            state.buffers.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Clients that send half a message each must not hold the buffers of all the others.
    #[test]
    fn last_buffers_are_reserved_for_whole_messages_and_unused_ones_are_freed() {
        let pool = BufferPool::new(PoolLimits { usual: 20, max: 30 });
        let mut held = Vec::new();
        while pool.may_hold_partial() {
            held.push(pool.take().expect("one more"));
        }
        assert_eq!(held.len(), 20 - RESERVED + 1);
        assert!(pool.take().is_some(), "one for a message that arrives whole");
        // Those that owe answers go on, up to a limit of their own that leaves some for whole messages too.
        while pool.may_hold_partial_beyond_limit() {
            held.push(pool.take().expect("one more"));
        }
        assert_eq!(held.len(), 30 - RESERVED + 1);
        assert!(pool.take().is_some(), "one for a message that arrives whole");
        drop(held);
        assert_eq!((pool.in_use(), pool.0.borrow().buffers.len()), (0, RESERVED));
        pool.set_limits(PoolLimits::same_for_all(1));
        assert_eq!(std::iter::from_fn(|| pool.take()).take(99).map(std::mem::forget).count(), 2 * RESERVED);
    }
}
