//! Stage 2: what the controller has no room or no list for is refused before the module hears of it.

use crate::core::{Client, Core, Effect, Sid};
use crate::interface::Span;
use crate::metrics::Ending;

/// Calls of one caller that may be owed an answer at once. Guards against one who asks for hundreds at once and takes
/// the place of the others.
const MOST_OF_ONE: usize = 256;
/// A caller who finds no room is asked to stay away this long.
const NO_ROOM_WAIT: Span = Span::from_millis(500);

impl Core {
    /// Whether another call may be held.
    pub(super) fn admits(&mut self, client: Client) -> bool {
        let room = self.open.len() < self.config.max_pending_calls
            && self.held_bytes < self.config.max_pending_bytes;
        let of_one = self.clients.get(&client).map_or(0, |caller| caller.owed);
        let takes = self.closes_at.is_none_or(|at| self.now < at);
        self.list_held && takes && room && of_one < MOST_OF_ONE && self.returned()
    }

    /// A class that does not exist, a figure out of range: the same again would fare no better.
    pub(super) fn not_usable(
        &mut self,
        client: Client,
        sid: Sid,
        class: Option<usize>,
        out: &mut Vec<Effect>,
    ) {
        self.ends(class, Ending::Failed);
        self.counts.unusable += 1;
        self.remember(sid);
        out.push(Effect::Refuse { client, sid, retryable: false, retry_after: Span::default() });
        out.push(Effect::ProtocolViolation(client));
    }

    pub(super) fn not_admitted(&mut self, client: Client, sid: Sid, class: usize, out: &mut Vec<Effect>) {
        self.ends(Some(class), Ending::Rejected);
        let wait = NO_ROOM_WAIT.min(self.config.settings.max_retry_after);
        self.remember(sid);
        out.push(Effect::Refuse { client, sid, retryable: true, retry_after: wait });
    }
}
