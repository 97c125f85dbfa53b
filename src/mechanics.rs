//! Small helpers of the decisions that decide nothing: every time and number is passed in.

use std::collections::{BTreeMap, VecDeque};

use rand_core::RngCore;
use serde::{Deserialize, Serialize};

use crate::interface::{Span, Time, Token};

/// What timers that were set are for.
#[derive(Debug, Serialize, Deserialize)]
pub struct Timers<W> {
    set: BTreeMap<Token, W>,
    next: u32,
}

impl<W> Default for Timers<W> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), next: 0 }
    }
}

impl<W> Timers<W> {
    /// The token of a new timer for this.
    pub fn set(&mut self, what: W) -> Token {
        let token = Token(self.next);
        self.next = self.next.wrapping_add(1);
        self.set.insert(token, what);
        token
    }

    /// What a timer that has run out was for.
    pub fn take(&mut self, token: Token) -> Option<W> {
        self.set.remove(&token)
    }
}

/// Lines of a log, each said now and then only.
#[derive(Debug, Default)]
pub struct Seldom(BTreeMap<&'static str, Time>);

impl Seldom {
    /// The line, unless it was said within `every`.
    pub fn says(&mut self, now: Time, every: Span, line: &'static str) -> Option<String> {
        if self.0.get(line).is_some_and(|&at| now.since(at) < every) {
            return None;
        }
        self.0.insert(line, now);
        Some(line.to_owned())
    }
}

/// A rate is reckoned over no less than this: fewer calls tell nothing of it.
const RATE_FROM: Span = Span::from_millis(3_000);

/// What servers take in usual times, in calls a second for each unit of their size: the most that was seen. Guards
/// against a ramp that starts from the little that stands in the midst of a trouble. Each accept is weighed by the size
/// of all servers at its own time: a rate divided by the size of now would rise as soon as servers leave.
#[derive(Debug, Serialize, Deserialize)]
pub struct UsualRate {
    span: Span,
    /// Accepts within the span, each over the size of all servers then, and their sum.
    taken: VecDeque<(Time, f64)>,
    sum: f64,
    most: f64,
    unit: SizeUnit,
    began: Option<Time>,
}

/// What the sizes of servers are measured in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
enum SizeUnit {
    /// Each server counts as one: none has told its lines.
    #[default]
    Servers,
    /// Lines.
    Lines,
}

impl UsualRate {
    /// Nothing seen yet; a rate is reckoned over the last `span`.
    pub fn new(span: Span) -> Self {
        let unit = SizeUnit::default();
        Self { span, taken: VecDeque::new(), sum: 0.0, most: 0.0, unit, began: None }
    }

    /// Whether this is the first moment that there is.
    pub fn begins(&mut self, now: Time) -> bool {
        let first = self.began.is_none();
        self.began.get_or_insert(now);
        first
    }

    /// A call was taken; `size`: of all servers that take calls, in servers of mean size; `lines`: of a server of mean
    /// size, where told. What was seen in another unit is void.
    pub fn took(&mut self, now: Time, size: f64, lines: Option<f64>) {
        let unit = if lines.is_some() { SizeUnit::Lines } else { SizeUnit::Servers };
        let size = size * lines.unwrap_or(1.0);
        if unit != self.unit {
            self.taken.clear();
            (self.sum, self.most, self.unit) = (0.0, 0.0, unit);
        }
        if size <= 0.0 {
            return;
        }
        self.taken.push_back((now, 1.0 / size));
        self.sum += 1.0 / size;
        self.forget(now);
        if self.passed(now) > RATE_FROM {
            self.most = self.most.max(self.per_second(self.sum, now));
        }
    }

    /// The usual rate of a server of mean size, if calls were taken for long enough to tell.
    pub fn known(&self, lines: Option<f64>) -> Option<f64> {
        (self.most > 0.0).then_some(self.most * lines.unwrap_or(1.0))
    }

    /// The rate of the calls that a server of mean size took within the span, however few.
    pub fn taken_rate(&mut self, now: Time, lines: Option<f64>) -> f64 {
        self.forget(now);
        self.per_second(self.sum, now) * lines.unwrap_or(1.0)
    }

    /// So many within the span, as a rate.
    pub fn per_second(&self, within: f64, now: Time) -> f64 {
        within / self.passed(now).max(RATE_FROM).secs()
    }

    fn forget(&mut self, now: Time) {
        while let Some(&(_, weight)) = self.taken.front().filter(|(at, _)| now.since(*at) >= self.span) {
            self.sum -= weight;
            self.taken.pop_front();
        }
        if self.taken.is_empty() {
            self.sum = 0.0; // no rounding is left over
        }
    }

    /// What of the span has passed since the start.
    fn passed(&self, now: Time) -> Span {
        now.since(self.began.unwrap_or(now)).min(self.span)
    }
}

/// The mean of the lines that are told; `None`: none are.
pub fn mean_told(lines: impl Iterator<Item = f64>) -> Option<f64> {
    let told = lines.filter(|&lines| lines > 0.0);
    let (sum, servers) = told.fold((0.0, 0.0), |(sum, servers), lines| (sum + lines, servers + 1.0));
    (servers > 0.0).then(|| sum / servers)
}

/// Puts the items in a drawn order.
pub fn shuffle<T>(items: &mut [T], rng: &mut impl RngCore) {
    for at in (1..items.len()).rev() {
        let other = (rng.next_u32() as usize) % (at + 1);
        items.swap(at, other);
    }
}
