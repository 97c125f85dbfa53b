//! Stage 1: a set-up is read against the settings and gets its place in the table.

use crate::core::{Client, Core, Due, Effect, FrontKind, Open, SetUp, Sid};
use crate::interface::{CallId, Event, NewCall, Number, Span, Time};

/// Taken off the caller's wait: what the way to the caller and the turn of the loop may cost. Guards against a
/// final answer written just before the deadline and read just after it.
const WAY_BACK: Span = Span::from_millis(15);

impl Core {
    pub(super) fn take_in(&mut self, client: Client, set_up: SetUp, out: &mut Vec<Effect>) {
        // A repeated name is no new call: the first keeps its answer.
        if self.open.contains_key(&set_up.sid) || self.book.knows(set_up.sid) {
            self.counts.duplicates += 1;
            let first = self.open.get(&set_up.sid).map(|open| open.client);
            return out.push(match client.front {
                // Guards against a leg left waiting for an answer that its namesake gets.
                FrontKind::Iax2 if first != Some(client) => {
                    Effect::Refuse { client, sid: set_up.sid, again: false, wait: Span::default() }
                }
                _ => Effect::Settled(client),
            });
        }
        self.counts.taken += 1;
        let id = CallId(self.next_call);
        self.next_call = self.next_call.wrapping_add(1);
        let class = self.config.classes.iter().position(|name| *name == set_up.class);
        let Some(class) = class.filter(|_| self.admits()) else {
            return self.not_admitted(client, set_up.sid, out);
        };
        let valid_until = self.now.plus(set_up.left.less(WAY_BACK));
        let new = NewCall {
            call: id,
            class,
            number: Number(u64::from_str_radix(&set_up.number, 16).unwrap_or(0)),
            valid_until,
            first_choice: set_up.dest,
            redialled: set_up.redialled,
            in_transit: false,
        };
        let sid = set_up.sid;
        self.hold(sid, id, client, class, valid_until, set_up);
        self.feed(Event::Call(new), out);
    }

    fn hold(&mut self, sid: Sid, id: CallId, client: Client, class: usize, valid_until: Time, set_up: SetUp) {
        let SetUp { number, body, .. } = set_up;
        let not_before = Time::default();
        let open = Open { id, client, class, number, body, valid_until, attempts: 0, out: None, not_before };
        self.held_bytes += open.body.len();
        self.open.insert(sid, open);
        self.names.insert(id, sid);
        self.deadlines.set(valid_until, Due::Caller(id));
    }
}
