//! Stage 1: a set-up is read against the settings and gets its place in the table.

use std::collections::BTreeSet;

use crate::core::{Client, Core, Deadline, Effect, FrontKind, Open, SetUp, Sid};
use crate::interface::{CallId, Event, NewCall, Number, Span, Time};
use crate::metrics::Ending;

/// Taken off the caller's wait: what the way to the caller and the turn of the loop may cost. Guards against a
/// final answer written just before the deadline and read just after it.
const WAY_BACK: Span = Span::from_millis(15);

/// A caller may say that it waits this much longer than its class allows. What is longer is no figure that is meant.
const LEFT_SLACK: Span = Span::from_millis(1_000);
/// Number and description together; more would make a message longer than a call server reads. Guards against set-ups
/// on which a call server closes the connection that it shares with others.
const MOST_TEXT: usize = 15 * 1024;

impl Core {
    pub(super) fn take_in(&mut self, client: Client, set_up: SetUp, out: &mut Vec<Effect>) {
        if self.open.contains_key(&set_up.sid) {
            return self.named_again(client, &set_up, out);
        }
        if self.book.knows(set_up.sid) {
            // The call stands or is over: its name cannot be another's.
            self.counts.duplicates += 1;
            let class = self.config.classes.iter().position(|name| *name == set_up.class);
            self.ends(class, Ending::Failed);
            return out.push(Effect::Refuse {
                client,
                sid: set_up.sid,
                retryable: false,
                retry_after: Span::default(),
            });
        }
        self.counts.taken += 1;
        let id = CallId(self.next_call);
        self.next_call = self.next_call.wrapping_add(1);
        let class = self.config.classes.iter().position(|name| *name == set_up.class);
        let longest = self.config.max_caller_wait;
        let out_of_range = set_up.left > Span(longest.0.saturating_add(LEFT_SLACK.0))
            || set_up.number.len() + set_up.body.len() > MOST_TEXT;
        let Some(class) = class.filter(|_| !out_of_range) else {
            return self.not_usable(client, set_up.sid, class, out);
        };
        if !self.admits(client) {
            return self.not_admitted(client, set_up.sid, class, out);
        }
        let valid_until = self.now.plus(set_up.left.less(WAY_BACK));
        let new = NewCall {
            call: id,
            class,
            tenant: self.tenant_of(&set_up),
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

    /// The place of the tenant that a set-up names; `None`: it names none that there is.
    pub(super) fn tenant_of(&self, set_up: &SetUp) -> Option<usize> {
        let name = set_up.tenant.as_ref()?;
        self.config.tenants.iter().position(|tenant| tenant == name)
    }

    /// The name of a call that is owed an answer. The same set-up again is no new call: it keeps its answer, on the
    /// connection where it was asked for last. Guards against a caller who takes another's name: that call goes on.
    fn named_again(&mut self, client: Client, set_up: &SetUp, out: &mut Vec<Effect>) {
        self.counts.duplicates += 1;
        let sid = set_up.sid;
        let Some(open) = self.open.get_mut(&sid) else { return };
        let class = self.config.classes.get(open.class);
        let same = open.number == set_up.number && open.body == set_up.body && class == Some(&set_up.class);
        let (id, first) = (open.id, open.client);
        let shared = client.front == FrontKind::JsonLines && first.front == client.front;
        if same && shared {
            open.client = client;
            self.moved(first, client);
            return out.push(Effect::AnswerNoLongerOwed(first));
        }
        if first != client {
            // Guards against a leg left waiting for an answer that its namesake gets.
            return out.push(Effect::Refuse { client, sid, retryable: false, retry_after: Span::default() });
        }
        // One caller means two calls by one name: nobody could tell their answers apart.
        self.caller_gives_up(id, out);
        out.push(Effect::AnswerNoLongerOwed(client));
        out.push(Effect::ProtocolViolation(client));
    }

    fn hold(&mut self, sid: Sid, id: CallId, client: Client, class: usize, valid_until: Time, set_up: SetUp) {
        let SetUp { number, body, .. } = set_up;
        let not_before = Time::default();
        let open = Open {
            id,
            client,
            class,
            number,
            body,
            valid_until,
            attempts: 0,
            out: None,
            unsettled: BTreeSet::new(),
            not_before,
        };
        self.held_bytes += open.body.len();
        self.open.insert(sid, open);
        self.clients.entry(client).or_default().owed += 1;
        self.names.insert(id, sid);
        self.deadlines.set(valid_until, Deadline::CallerTimeout(id));
    }
}
