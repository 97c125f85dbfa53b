//! Write queue of a connection. It holds whole messages, so that those of which no byte has been written can
//! be withdrawn.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::core::Sid;

/// Largest number of bytes queued on one connection.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
/// Share of these bytes that set-ups may use. The rest is for messages that end calls: a set-up that has been
/// sent and is given up while others wait behind it must be cancelled on the same connection.
const MAX_SET_UP_BYTES: usize = 96 * 1024;

/// Limit on the bytes queued on many connections together. Callers that ask for much and read nothing each
/// stay within their own limit, but together would exhaust the memory the platform allows.
#[derive(Debug, Clone)]
pub struct Budget(Rc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    used: Cell<usize>,
    max: Cell<usize>,
    /// Set-ups written completely.
    set_ups: Cell<u64>,
}

impl Budget {
    /// A budget of `max` bytes.
    pub fn new(max: usize) -> Self {
        Self(Rc::new(BudgetState { used: Cell::new(0), max: Cell::new(max), set_ups: Cell::new(0) }))
    }
    /// Changes the limit.
    pub fn set_max(&self, max: usize) {
        self.0.max.set(max);
    }
    /// Set-ups written completely.
    pub fn set_ups_written(&self) -> u64 {
        self.0.set_ups.get()
    }
    fn take(&self, bytes: usize) -> bool {
        let BudgetState { used, max, .. } = &*self.0;
        let fits = used.get() + bytes <= max.get();
        if fits {
            used.set(used.get() + bytes);
        }
        fits
    }
    fn give_back(&self, bytes: usize) {
        self.0.used.set(self.0.used.get().saturating_sub(bytes));
    }
}

impl Default for Budget {
    /// No common limit, only that of each connection.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

/// A queued message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QueuedMessage {
    /// The encoded message.
    pub bytes: Bytes,
    /// The call whose set-up it is; such a message may be withdrawn.
    pub set_up: Option<Sid>,
}

/// The queue of one connection, shared by its reader and its writers.
#[derive(Debug, Default)]
pub struct WriteQueue {
    inner: RefCell<QueueState>,
    changed: Notify,
    budget: Budget,
}

impl Serialize for WriteQueue {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.inner.borrow().serialize(to)
    }
}

impl<'de> Deserialize<'de> for WriteQueue {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let inner = RefCell::new(QueueState::deserialize(from)?);
        Ok(Self { inner, changed: Notify::new(), budget: Budget::default() })
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.budget.give_back(self.inner.get_mut().queued_bytes);
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct QueueState {
    items: VecDeque<QueuedMessage>,
    /// Bytes of the first message already written.
    #[serde(rename = "left")]
    written: usize,
    #[serde(rename = "waiting")]
    queued_bytes: usize,
    finish: bool,
    abort: bool,
    #[serde(rename = "deaf")]
    reading_stopped: bool,
    held: bool,
}

impl WriteQueue {
    /// A queue that counts against a shared budget.
    pub fn with_budget(budget: &Budget) -> Self {
        Self { budget: budget.clone(), inner: RefCell::default(), changed: Notify::default() }
    }

    /// Moves the queue to another budget, even beyond its limit: the bytes were within the limit of the
    /// former one.
    pub fn move_to_budget(&mut self, budget: &Budget) {
        let queued = self.inner.get_mut().queued_bytes;
        self.budget.give_back(queued);
        self.budget = budget.clone();
        budget.0.used.set(budget.0.used.get() + queued);
    }

    /// Appends a message; `false` if the queue or the budget has no room for it.
    pub fn push(&self, bytes: Bytes, set_up: Option<Sid>) -> bool {
        let mut inner = self.inner.borrow_mut();
        let max = if set_up.is_some() { MAX_SET_UP_BYTES } else { MAX_QUEUED_BYTES };
        if inner.queued_bytes + bytes.len() > max || !self.budget.take(bytes.len()) {
            return false;
        }
        inner.queued_bytes += bytes.len();
        inner.items.push_back(QueuedMessage { bytes, set_up });
        self.changed.notify_one();
        true
    }

    /// Withdraws a set-up of which no byte has been written.
    pub fn cancel_unsent(&self, sid: Sid) -> bool {
        let removed = self.remove_where(|message| message.set_up == Some(sid));
        !removed.is_empty()
    }

    /// Withdraws all set-ups of which no byte has been written.
    pub fn cancel_all_unsent(&self) -> Vec<Sid> {
        self.remove_where(|message| message.set_up.is_some())
            .into_iter()
            .filter_map(|message| message.set_up)
            .collect()
    }

    /// Removes all messages of which no byte has been written, to send them on another connection.
    pub fn take_unsent(&self) -> Vec<QueuedMessage> {
        self.remove_where(|_| true)
    }

    fn remove_where(&self, which: impl Fn(&QueuedMessage) -> bool) -> Vec<QueuedMessage> {
        let mut inner = self.inner.borrow_mut();
        let partly_written = usize::from(inner.written > 0);
        let mut removed = Vec::new();
        let mut at = partly_written;
        while at < inner.items.len() {
            if !which(&inner.items[at]) {
                at += 1;
            } else if let Some(message) = inner.items.remove(at) {
                inner.queued_bytes -= message.bytes.len();
                self.budget.give_back(message.bytes.len());
                removed.push(message);
            }
        }
        removed
    }

    /// Closes the connection once everything queued has been written.
    pub fn finish(&self) {
        self.inner.borrow_mut().finish = true;
        self.changed.notify_one();
    }

    /// Closes the connection at once.
    pub fn abort(&self) {
        self.inner.borrow_mut().abort = true;
        self.changed.notify_one();
    }

    /// Stops reading from the connection; queued messages are still written.
    pub fn stop_reading(&self) {
        self.inner.borrow_mut().reading_stopped = true;
        self.changed.notify_one();
    }

    /// Whether reading has been stopped.
    pub(crate) fn reading_stopped(&self) -> bool {
        self.inner.borrow().reading_stopped
    }

    /// Holds queued messages back, or releases them; while held they can be withdrawn.
    pub fn hold(&self, held: bool) {
        self.inner.borrow_mut().held = held;
        self.changed.notify_one();
    }

    /// Whether there is something to write now.
    pub(crate) fn may_write(&self) -> bool {
        let inner = self.inner.borrow();
        !inner.held && !inner.items.is_empty()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.inner.borrow().items.is_empty()
    }

    pub(crate) fn is_closing(&self) -> bool {
        let inner = self.inner.borrow();
        inner.abort || (inner.finish && inner.items.is_empty())
    }

    /// Whether the connection was closed in order: everything has been written, and reading was never
    /// stopped.
    pub(crate) fn is_finished(&self) -> bool {
        let inner = self.inner.borrow();
        inner.finish && !inner.abort && !inner.reading_stopped && inner.items.is_empty()
    }

    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Discards everything queued, as if it had been written.
    #[cfg(test)]
    pub(crate) fn mark_all_written(&self) {
        let mut inner = self.inner.borrow_mut();
        self.budget.give_back(std::mem::take(&mut inner.queued_bytes));
        inner.items.clear();
    }

    /// Writes until the socket accepts no more.
    pub(crate) fn write_to(&self, stream: &TcpStream) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        while let Some(message) = inner.items.front() {
            match stream.try_write(&message.bytes[inner.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    let set_up = u64::from(message.set_up.is_some());
                    let completed = inner.advance(n);
                    if completed > 0 {
                        self.budget.0.set_ups.set(self.budget.0.set_ups.get() + set_up);
                    }
                    self.budget.give_back(completed);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

impl QueueState {
    /// Counts `n` bytes as written. Returns the length of the first message if that completes it.
    fn advance(&mut self, n: usize) -> usize {
        self.written += n;
        let Some(message) = self.items.front() else { return 0 };
        let length = message.bytes.len();
        if self.written < length {
            return 0;
        }
        self.queued_bytes -= length;
        self.written = 0;
        self.items.pop_front();
        length
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Callers that ask for much and read nothing must not exhaust the allowed memory together.
    #[test]
    fn budget_limits_many_queues_together_and_is_returned_when_they_are_dropped() {
        let budget = Budget::new(1_000);
        let queues: Vec<WriteQueue> = (0..4).map(|_| WriteQueue::with_budget(&budget)).collect();
        let push = |n: usize, sid| queues[n].push(Bytes::from(vec![0; 300]), sid);
        let sid = Some(Sid::from_number(1));
        assert!(push(0, sid) && push(1, None) && push(2, None));
        assert!(!push(3, None), "each is within its own limit, all together are not");
        assert!(queues[0].cancel_unsent(Sid::from_number(1)) && push(3, None));
        drop(queues);
        assert!(WriteQueue::with_budget(&budget).push(Bytes::from(vec![0; 1_000]), None));
        budget.set_max(10);
        assert!(!WriteQueue::with_budget(&budget).push(Bytes::from(vec![0; 11]), None));
    }
}
