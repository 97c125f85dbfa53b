//! What is to be written on a connection: whole messages, so that those of which no byte has left can be taken back.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::core::Sid;

/// Bytes that may wait on one connection.
const MOST_WAITING: usize = 128 * 1024;
/// Of these, what set-ups may take. The rest is for what ends calls: a set-up that has left and is given up while others
/// wait behind it must be taken back where it went.
const MOST_SET_UPS: usize = 96 * 1024;

/// Bytes that may wait on many connections together. Guards against callers who ask much and read nothing: each is
/// within its bounds, and all together would take the memory that the platform allows.
#[derive(Debug, Clone)]
pub struct Budget(Rc<Account>);

#[derive(Debug)]
struct Account {
    used: Cell<usize>,
    most: Cell<usize>,
    /// Set-ups that have left whole.
    set_ups: Cell<u64>,
}

impl Budget {
    /// So many bytes.
    pub fn new(most: usize) -> Self {
        Self(Rc::new(Account { used: Cell::new(0), most: Cell::new(most), set_ups: Cell::new(0) }))
    }
    /// From now on so many.
    pub fn set_max(&self, most: usize) {
        self.0.most.set(most);
    }
    /// Set-ups that were written whole.
    pub fn set_ups_written(&self) -> u64 {
        self.0.set_ups.get()
    }
    fn take(&self, bytes: usize) -> bool {
        let Account { used, most, .. } = &*self.0;
        let fits = used.get() + bytes <= most.get();
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
    /// Bounded by each connection's own limit alone.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

/// A message that waits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QueuedMessage {
    /// Its bytes.
    pub bytes: Bytes,
    /// The call whose set-up it is; such a message may be taken back.
    pub set_up: Option<Sid>,
}

/// The queue of one connection; its reader and its writers share it.
#[derive(Debug, Default)]
pub struct WriteQueue {
    inner: RefCell<Inner>,
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
        let inner = RefCell::new(Inner::deserialize(from)?);
        Ok(Self { inner, changed: Notify::new(), budget: Budget::default() })
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.budget.give_back(self.inner.get_mut().waiting);
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Inner {
    items: VecDeque<QueuedMessage>,
    /// Bytes of the first item that have left.
    left: usize,
    waiting: usize,
    finish: bool,
    abort: bool,
    deaf: bool,
    held: bool,
}

impl WriteQueue {
    /// A queue whose messages count against a budget that it shares.
    pub fn with_budget(budget: &Budget) -> Self {
        Self { budget: budget.clone(), inner: RefCell::default(), changed: Notify::default() }
    }

    /// From now on what waits counts against this budget. It was within another's, so that it is never too much.
    pub fn move_to_budget(&mut self, budget: &Budget) {
        let waiting = self.inner.get_mut().waiting;
        self.budget.give_back(waiting);
        self.budget = budget.clone();
        budget.0.used.set(budget.0.used.get() + waiting);
    }

    /// Appends a message; `false` if it would wait behind too many others.
    pub fn push(&self, bytes: Bytes, set_up: Option<Sid>) -> bool {
        let mut inner = self.inner.borrow_mut();
        let most = if set_up.is_some() { MOST_SET_UPS } else { MOST_WAITING };
        if inner.waiting + bytes.len() > most || !self.budget.take(bytes.len()) {
            return false;
        }
        inner.waiting += bytes.len();
        inner.items.push_back(QueuedMessage { bytes, set_up });
        self.changed.notify_one();
        true
    }

    /// Takes back a set-up of which no byte has left.
    pub fn cancel_unsent(&self, sid: Sid) -> bool {
        let taken = self.take_where(|item| item.set_up == Some(sid));
        !taken.is_empty()
    }

    /// Takes back all set-ups of which no byte has left.
    pub fn cancel_all_unsent(&self) -> Vec<Sid> {
        self.take_where(|item| item.set_up.is_some()).into_iter().filter_map(|item| item.set_up).collect()
    }

    /// Takes whatever has not begun to leave, for another connection.
    pub fn take_unsent(&self) -> Vec<QueuedMessage> {
        self.take_where(|_| true)
    }

    fn take_where(&self, which: impl Fn(&QueuedMessage) -> bool) -> Vec<QueuedMessage> {
        let mut inner = self.inner.borrow_mut();
        let begun = usize::from(inner.left > 0);
        let mut taken = Vec::new();
        let mut at = begun;
        while at < inner.items.len() {
            if !which(&inner.items[at]) {
                at += 1;
            } else if let Some(item) = inner.items.remove(at) {
                inner.waiting -= item.bytes.len();
                self.budget.give_back(item.bytes.len());
                taken.push(item);
            }
        }
        taken
    }

    /// The connection ends once all is written.
    pub fn finish(&self) {
        self.inner.borrow_mut().finish = true;
        self.changed.notify_one();
    }

    /// The connection ends now.
    pub fn abort(&self) {
        self.inner.borrow_mut().abort = true;
        self.changed.notify_one();
    }

    /// Nothing more is read from the connection; what waits is still written.
    pub fn stop_reading(&self) {
        self.inner.borrow_mut().deaf = true;
        self.changed.notify_one();
    }

    /// Whether nothing more is to be read.
    pub(crate) fn reading_stopped(&self) -> bool {
        self.inner.borrow().deaf
    }

    /// Keeps back what waits until told otherwise; it can be taken back meanwhile.
    pub fn hold(&self, held: bool) {
        self.inner.borrow_mut().held = held;
        self.changed.notify_one();
    }

    /// Whether something may be written now.
    pub(crate) fn may_write(&self) -> bool {
        let inner = self.inner.borrow();
        !inner.held && !inner.items.is_empty()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.inner.borrow().items.is_empty()
    }

    pub(crate) fn is_closing(&self) -> bool {
        let inner = self.inner.borrow();
        inner.abort || (inner.finish && inner.items.is_empty())
    }

    /// Whether it was ended in order: all is written, and what the other side said was read to the last.
    pub(crate) fn is_finished(&self) -> bool {
        let inner = self.inner.borrow();
        inner.finish && !inner.abort && !inner.deaf && inner.items.is_empty()
    }

    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// All that waits has left.
    #[cfg(test)]
    pub(crate) fn mark_all_written(&self) {
        let mut inner = self.inner.borrow_mut();
        self.budget.give_back(std::mem::take(&mut inner.waiting));
        inner.items.clear();
    }

    /// Writes until the connection takes no more.
    pub(crate) fn write_to(&self, stream: &TcpStream) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        while let Some(item) = inner.items.front() {
            match stream.try_write(&item.bytes[inner.left..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    let set_up = u64::from(item.set_up.is_some());
                    let whole = inner.wrote(n);
                    if whole > 0 {
                        self.budget.0.set_ups.set(self.budget.0.set_ups.get() + set_up);
                    }
                    self.budget.give_back(whole);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

impl Inner {
    /// Returns the bytes of the message that has left whole.
    fn wrote(&mut self, n: usize) -> usize {
        self.left += n;
        let Some(item) = self.items.front() else { return 0 };
        let length = item.bytes.len();
        if self.left < length {
            return 0;
        }
        self.waiting -= length;
        self.left = 0;
        self.items.pop_front();
        length
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against callers who ask much and read nothing and together take the memory that is allowed.
    #[test]
    fn what_waits_on_many_connections_is_bounded_together_and_given_back() {
        let budget = Budget::new(1_000);
        let queues: Vec<WriteQueue> = (0..4).map(|_| WriteQueue::with_budget(&budget)).collect();
        let push = |n: usize, sid| queues[n].push(Bytes::from(vec![0; 300]), sid);
        let sid = Some(Sid::from_number(1));
        assert!(push(0, sid) && push(1, None) && push(2, None));
        assert!(!push(3, None), "each is within its own bound, all together are not");
        assert!(queues[0].cancel_unsent(Sid::from_number(1)) && push(3, None));
        drop(queues);
        assert!(WriteQueue::with_budget(&budget).push(Bytes::from(vec![0; 1_000]), None));
        budget.set_max(10);
        assert!(!WriteQueue::with_budget(&budget).push(Bytes::from(vec![0; 11]), None));
    }
}
