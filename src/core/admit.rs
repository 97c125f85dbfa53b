//! Stage 2: what the controller has no room or no list for is refused before the module hears of it.

use crate::core::{Client, Core, Effect, Sid};
use crate::interface::Span;

/// Descriptions of calls owed an answer may take this much together. Guards against running out of the memory that
/// the platform allows while each call is within its bounds.
const MOST_BYTES: usize = 48 * 1024 * 1024;
/// A caller who finds no room is asked to stay away this long.
const NO_ROOM_WAIT: Span = Span::from_millis(500);

impl Core {
    /// Whether another call may be held.
    pub(super) fn admits(&self) -> bool {
        self.list_held && self.open.len() < self.config.most_held && self.held_bytes < MOST_BYTES
    }

    pub(super) fn not_admitted(&mut self, client: Client, sid: Sid, out: &mut Vec<Effect>) {
        self.counts.refused += 1;
        let wait = NO_ROOM_WAIT.min(self.config.settings.max_retry_after);
        self.remember(sid);
        out.push(Effect::Refuse { client, sid, again: true, wait });
    }
}
