//! IAX2 callers: call boxes and judge desks, each call a leg of its own. Signalling only.

pub mod call_token_gate;
mod outbound_registration;
pub mod registration;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::core::{Client, DeadlineOwner, FrontKind, Input, SetUp, Sid};
use crate::front::jsonl::{CAUSE_FAILED, CAUSE_REFUSED};
use crate::iax2::auth::{Authenticator, IssuedChallenge, Users};
use crate::iax2::bounds::Bounds;
use crate::iax2::describe::{add_description, description_of};
use crate::iax2::frame::{ie, parse, unsupport_reply, Control, Datagram, Elements, Frame, Iax, Kind};
use crate::iax2::legs::{LegEvent, Legs};
use crate::iax2::registrar::Registrar;
use crate::iax2::tokens::TokenPolicy;
use crate::interface::{Cell, Span, Time};
use crate::upstream::AdapterOutput;
use call_token_gate::{Admission, CallTokenGate};
use outbound_registration::OutboundRegistrations;

/// Q.850: the number has no valid form.
const CAUSE_BAD_NUMBER: u16 = 28;
/// Q.850: the call is rejected.
const CAUSE_NOT_LET_IN: u16 = 21;
/// Who is asked who he is must have answered within this.
const ANSWERS_WITHIN: Span = Span::from_millis(5_000);
/// Q.850: the call has ended in the usual way.
const CAUSE_CLEARED: u16 = 16;

/// A caller's leg.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caller {
    client: u64,
    sid: Sid,
}

/// What a caller need not say.
#[derive(Debug, Clone)]
pub struct Defaults {
    /// Class of a call whose NEW names no context.
    pub class: Rc<str>,
    /// How long a caller waits who does not say so.
    pub left: Span,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Makes the names of calls whose NEW bears none.
    pub seed: u64,
}

/// Plain counts of what this front did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FrontCounts {
    /// Datagrams that came.
    pub received: u64,
    /// Datagrams that could not be read, or a NEW that was no set-up.
    pub malformed: u64,
    /// NEWs of calls not known before.
    pub new_frames: u64,
    /// NEWs for which no leg was left.
    pub turned_away: u64,
    /// NEWs answered with a call token, or rejected for knowing of none; nothing is kept of them.
    pub tokens_asked: u64,
    /// Callers who did not say who they are, or wrongly.
    pub not_let_in: u64,
    /// NEWs with a call token that was not given to their address.
    pub tokens_refused: u64,
}

/// What somebody wants who was asked who he is.
#[derive(Debug)]
enum Want {
    Call(SetUp),
    Register,
    Release,
}

/// Somebody who was asked who he is.
#[derive(Debug)]
struct Examined {
    asked: IssuedChallenge,
    want: Want,
    /// When he was asked, and until when he must have answered.
    since: Time,
    until: Time,
}

/// All IAX2 callers.
#[derive(Debug)]
pub struct Callers {
    legs: Legs<Caller>,
    of_client: BTreeMap<u64, u16>,
    next: u64,
    usual: Defaults,
    door: CallTokenGate,
    examiner: Option<Authenticator>,
    /// Callers who were asked who they are, and what they want.
    examined: BTreeMap<u64, Examined>,
    registrar: Registrar,
    registers: OutboundRegistrations,
    /// What was done so far.
    pub counts: FrontCounts,
}

impl Callers {
    /// A front without a caller.
    pub fn new(usual: Defaults, door: CallTokenGate) -> Self {
        let (legs, counts) = (Legs::default(), FrontCounts::default());
        let (of_client, examined) = (BTreeMap::new(), BTreeMap::new());
        Self {
            legs,
            of_client,
            next: 0,
            usual,
            door,
            examiner: None,
            examined,
            registrar: Registrar::default(),
            registers: OutboundRegistrations::default(),
            counts,
        }
    }

    /// From now on callers are asked who they are, or no longer. `key`: see [`Authenticator::new`].
    pub fn set_users(&mut self, users: Option<&Users>, key: [u8; 32]) {
        match (users.cloned(), &mut self.examiner) {
            (Some(users), Some(examiner)) => examiner.reconfigure(users),
            (Some(users), none) => *none = Some(Authenticator::new(users, key)),
            (None, examiner) => *examiner = None,
        }
    }

    /// How long a caller waits who does not say so.
    pub fn default_left(&self) -> Span {
        self.usual.left
    }

    /// From now on a caller who does not say so waits this long, these are the zones, tokens are asked for or not, and
    /// so many legs may be begun.
    pub fn reconfigure(&mut self, left: Span, zones: &[String], tokens: TokenPolicy, bounds: Bounds) {
        self.usual.left = left;
        self.usual.zones = zones.to_vec();
        self.door.reconfigure(tokens);
        self.legs.set_bounds(bounds);
    }

    /// How many legs have a call that is not over.
    pub fn live(&self) -> usize {
        self.of_client.len()
    }

    /// Whether nothing waits to be acknowledged.
    pub fn all_acked(&self) -> bool {
        self.legs.all_acked()
    }

    /// A datagram came.
    pub fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Time, todo: &mut AdapterOutput) {
        self.counts.received += 1;
        let frame = match parse(bytes) {
            Ok(Datagram::Full(frame)) => frame,
            Ok(Datagram::Mini { .. } | Datagram::Video { .. } | Datagram::Trunk { .. }) => return,
            Err(_) => {
                self.counts.malformed += 1;
                return;
            }
        };
        let told = self.legs.receive(from, &frame, now, &mut todo.to_callers);
        match told {
            Some(LegEvent::New(new)) => self.set_up(from, &new, now, todo),
            Some(LegEvent::Frame(no, frame)) => self.frame(no, &frame, now, todo),
            Some(LegEvent::Lost(caller)) => self.lost(caller, todo),
            None => {}
        }
        if frame.dest != 0 {
            self.arm(frame.dest, todo);
        }
    }

    fn set_up(&mut self, from: SocketAddr, new: &Frame, now: Time, todo: &mut AdapterOutput) {
        match self.door.check(from, new, now) {
            Admission::Admitted => {}
            Admission::Reply(frame) => {
                self.counts.tokens_asked += 1;
                return todo.to_callers.push((from, frame.bytes()));
            }
            Admission::Dropped(error) => {
                self.counts.tokens_refused += 1;
                tracing::debug!(%from, %error, "a NEW was passed over");
                return;
            }
        }
        if new.kind != Kind::Iax(Iax::New) {
            return self.registers(from, new, now, todo);
        }
        let Some((no, client)) = self.leg_for(from, new, now, todo) else { return };
        let Some(&Caller { sid, .. }) = self.legs.owner(no) else { return };
        self.counts.new_frames += 1;
        match self.set_up_of(sid, new) {
            Some(set_up) => match &mut self.examiner {
                Some(examiner) => {
                    let user = new.elements.text(ie::USERNAME).unwrap_or_default();
                    let (elements, asked) = examiner.challenge(user);
                    let until = now.plus(ANSWERS_WITHIN.min(set_up.left));
                    self.examined
                        .insert(client, Examined { asked, want: Want::Call(set_up), since: now, until });
                    self.legs.send(no, Kind::Iax(Iax::AuthReq), elements, now, &mut todo.to_callers);
                }
                None => self.open(client, no, set_up, todo),
            },
            None => {
                self.counts.malformed += 1;
                self.over(no, Iax::Reject, CAUSE_BAD_NUMBER, Span::default(), now, todo);
            }
        }
        self.arm(no, todo);
    }

    /// A leg for a first frame: its number, and the caller's.
    fn leg_for(
        &mut self,
        from: SocketAddr,
        first: &Frame,
        now: Time,
        todo: &mut AdapterOutput,
    ) -> Option<(u16, u64)> {
        self.next += 1;
        let client = self.next;
        let named = first.elements.variable("callid").and_then(|name| Sid::parse(&name));
        let sid = named.unwrap_or_else(|| Sid::from_number(mixed(self.usual.seed.wrapping_add(client))));
        let no = self.legs.open_incoming(from, first, Caller { client, sid }, now, &mut todo.to_callers);
        if no.is_none() {
            // No leg is left for it: it hears so at once, and nothing is kept of it.
            self.counts.turned_away += 1;
            todo.to_callers.push((from, first.inval().bytes()));
        }
        Some((no?, client))
    }

    fn open(&mut self, client: u64, no: u16, set_up: SetUp, todo: &mut AdapterOutput) {
        self.of_client.insert(client, no);
        let client = Client { front: FrontKind::Iax2, no: client };
        todo.inputs.push(Input::ClientUp(client));
        todo.inputs.push(Input::SetUp(client, set_up));
    }

    /// A caller has said who he is. Whatever is wrong, he hears the same.
    fn answered(&mut self, no: u16, client: u64, frame: &Frame, now: Time, todo: &mut AdapterOutput) {
        let Some(examined) = self.examined.remove(&client) else { return };
        let (asked, mut set_up, since) = match examined {
            Examined { asked, want: Want::Call(set_up), since, .. } => (asked, set_up, since),
            examined => return self.registered(no, examined, frame, now, todo),
        };
        let (Some(examiner), Some(from)) = (&mut self.examiner, self.legs.peer(no)) else {
            // Nobody is asked any more.
            return self.open(client, no, set_up, todo);
        };
        match examiner.verify(from.ip(), &asked, &frame.elements, now) {
            Ok(()) => {
                set_up.left = set_up.left.saturating_sub(now.since(since));
                self.open(client, no, set_up, todo);
            }
            Err(error) => {
                tracing::info!(%from, %error, "an IAX2 caller was not let in");
                self.counts.not_let_in += 1;
                self.over(no, Iax::Reject, CAUSE_NOT_LET_IN, Span::default(), now, todo);
            }
        }
    }

    fn set_up_of(&self, sid: Sid, new: &Frame) -> Option<SetUp> {
        let elements = &new.elements;
        let number = elements.text(ie::CALLED_NUMBER)?;
        if number.is_empty() || !number.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.+".contains(&b)) {
            return None;
        }
        let class = elements.text(ie::CALLED_CONTEXT).filter(|class| !class.is_empty());
        let left = match elements.variable("left") {
            Some(ms) => Span::from_millis(ms.parse().ok()?),
            None => self.usual.left,
        };
        let dest = elements.variable("dest").and_then(|cell| cell.parse().ok()).map(Cell);
        Some(SetUp {
            sid,
            class: class.map_or_else(|| self.usual.class.clone(), Into::into),
            tenant: elements.variable("tenant").map(Into::into),
            left,
            number: number.into(),
            dest,
            redialled: false,
            body: description_of(elements).into(),
        })
    }

    fn frame(&mut self, no: u16, frame: &Frame, now: Time, todo: &mut AdapterOutput) {
        let Some(&caller) = self.legs.owner(no) else { return };
        if self.registrar_says(no, caller, frame, now, todo) {
            return;
        }
        match frame.kind {
            Kind::Iax(Iax::AuthRep | Iax::RegReq | Iax::RegRel) => {
                self.answered(no, caller.client, frame, now, todo)
            }
            Kind::Iax(Iax::Hangup | Iax::Reject) | Kind::Control(Control::Hangup) => {
                let cause = frame.elements.number(ie::CAUSE_CODE).and_then(|c| u16::try_from(c).ok());
                let client = Client { front: FrontKind::Iax2, no: caller.client };
                let cause = cause.unwrap_or(CAUSE_CLEARED);
                todo.inputs.push(Input::HangUp(client, caller.sid, cause));
                self.legs.end(no, now);
                self.lost(caller, todo);
            }
            Kind::Iax(iax) => {
                if let Some(elements) = unsupport_reply(iax) {
                    self.legs.send(no, Kind::Iax(Iax::Unsupport), elements, now, &mut todo.to_callers);
                }
            }
            _ => {}
        }
    }

    fn lost(&mut self, caller: Caller, todo: &mut AdapterOutput) {
        self.examined.remove(&caller.client);
        if self.of_client.remove(&caller.client).is_some() {
            todo.inputs.push(Input::ClientDown(Client { front: FrontKind::Iax2, no: caller.client }));
        }
    }

    /// The call stands.
    pub fn ready(&mut self, client: u64, body: &str, now: Time, todo: &mut AdapterOutput) {
        let Some(&no) = self.of_client.get(&client) else { return };
        let out = &mut todo.to_callers;
        self.legs.send(no, Kind::Iax(Iax::Accept), add_description(Elements::default(), body), now, out);
        self.legs.send(no, Kind::Control(Control::Answer), Elements::default(), now, out);
        self.legs.mark_established(no);
        self.arm(no, todo);
    }

    /// Refused or failed.
    pub fn refuse(&mut self, client: u64, again: bool, wait: Span, now: Time, todo: &mut AdapterOutput) {
        let Some(&no) = self.of_client.get(&client) else { return };
        let cause = if again { CAUSE_REFUSED } else { CAUSE_FAILED };
        self.over(no, Iax::Reject, cause, wait, now, todo);
    }

    /// A call that stood is over.
    pub fn release(&mut self, client: u64, cause: u16, now: Time, todo: &mut AdapterOutput) {
        let Some(&no) = self.of_client.get(&client) else { return };
        self.over(no, Iax::Hangup, cause, Span::default(), now, todo);
    }

    fn over(&mut self, no: u16, how: Iax, cause: u16, wait: Span, now: Time, todo: &mut AdapterOutput) {
        let code = u8::try_from(cause).unwrap_or(u8::MAX);
        let text = if cause == CAUSE_REFUSED { "try again" } else { "call ended" };
        let mut elements = Elements::default().with(ie::CAUSE, text.as_bytes()).with(ie::CAUSE_CODE, &[code]);
        if wait > Span::default() {
            elements = elements.with_variable("wait", &wait.0.div_ceil(1000).to_string());
        }
        let caller = self.legs.owner(no).copied();
        self.legs.send(no, Kind::Iax(how), elements, now, &mut todo.to_callers);
        self.legs.end(no, now);
        if let Some(caller) = caller {
            self.lost(caller, todo);
        }
        self.arm(no, todo);
    }

    /// Does what is due on a leg.
    pub fn run_timer(&mut self, key: u64, now: Time, todo: &mut AdapterOutput) {
        if key == registration::EXPIRY {
            return self.expire(now, todo);
        }
        if let Some(place) = key.checked_sub(outbound_registration::FIRST) {
            return self.registrant_due(usize::try_from(place).unwrap_or(usize::MAX), now, todo);
        }
        let no = u16::try_from(key).unwrap_or(0);
        if let Some(LegEvent::Lost(caller)) = self.legs.run_timers(no, now, &mut todo.to_callers) {
            self.lost(caller, todo);
        }
        if self.answers_until(no).is_some_and(|until| now >= until) {
            self.counts.not_let_in += 1;
            self.over(no, Iax::Reject, CAUSE_NOT_LET_IN, Span::default(), now, todo);
        }
        self.arm(no, todo);
    }

    /// Until when the caller of a leg must have said who he is.
    fn answers_until(&self, no: u16) -> Option<Time> {
        Some(self.examined.get(&self.legs.owner(no)?.client)?.until)
    }

    fn arm(&self, no: u16, todo: &mut AdapterOutput) {
        let due = self.legs.next_deadline(no).into_iter().chain(self.answers_until(no)).min();
        if let Some(at) = due {
            todo.deadlines.push((at, DeadlineOwner::Iax2Front, u64::from(no)));
        }
    }
}

/// Spreads neighbouring numbers over all 64 bits (the finisher of SplitMix64).
fn mixed(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
