//! Front for IAX2 callers (call boxes and judge desks): each call has a leg of its own. Signalling only, no
//! media.

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
use crate::iax2::leg::LegState;
use crate::iax2::legs::{LegEvent, Legs};
use crate::iax2::registrar::Registrar;
use crate::iax2::tokens::TokenPolicy;
use crate::interface::{Cell, Span, Time};
use crate::upstream::AdapterOutput;
use call_token_gate::{Admission, CallTokenGate};
use outbound_registration::OutboundRegistrations;

/// Q.850: invalid number format.
const CAUSE_BAD_NUMBER: u16 = 28;
/// Q.850: call rejected.
const CAUSE_REJECTED: u16 = 21;
/// How long a caller may take to answer an authentication challenge.
const AUTH_TIMEOUT: Span = Span::from_millis(5_000);
/// Q.850: normal call clearing.
const CAUSE_CLEARED: u16 = 16;

/// Owner of a leg: the client number and the call's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLeg {
    client: u64,
    sid: Sid,
}

/// Values for what a caller leaves out.
#[derive(Debug, Clone)]
pub struct Defaults {
    /// Class of a call whose NEW names no context.
    pub class: Rc<str>,
    /// How long a caller waits if it does not say.
    pub left: Span,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Seed for the names of calls whose NEW has none.
    pub seed: u64,
}

/// Counters of this front.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FrontCounts {
    /// Datagrams received.
    pub received: u64,
    /// Datagrams that could not be parsed, and NEWs that are no valid set-up.
    pub malformed: u64,
    /// NEWs of new calls.
    pub new_frames: u64,
    /// NEWs rejected because no leg was free.
    pub turned_away: u64,
    /// NEWs answered with a call token, or rejected for lack of one; no state is kept of them.
    pub tokens_asked: u64,
    /// Callers that failed to authenticate or did not answer the challenge in time.
    pub not_let_in: u64,
    /// NEWs with a call token that was not issued to their address.
    pub tokens_refused: u64,
}

/// What a caller that was challenged asked for.
#[derive(Debug)]
enum Purpose {
    Call(SetUp),
    Register,
    Release,
}

/// A caller that was sent an authentication challenge.
#[derive(Debug)]
struct Challenged {
    challenge: IssuedChallenge,
    purpose: Purpose,
    /// When the challenge was sent, and when it expires.
    since: Time,
    until: Time,
}

/// All IAX2 callers.
#[derive(Debug)]
pub struct Callers {
    legs: Legs<CallerLeg>,
    leg_of_client: BTreeMap<u64, u16>,
    last_client: u64,
    defaults: Defaults,
    gate: CallTokenGate,
    authenticator: Option<Authenticator>,
    /// Callers that have not answered their challenge yet, by client number.
    challenged: BTreeMap<u64, Challenged>,
    registrar: Registrar,
    registrations: OutboundRegistrations,
    /// Counters since the start.
    pub counts: FrontCounts,
}

impl Callers {
    /// A front without callers.
    pub fn new(defaults: Defaults, gate: CallTokenGate) -> Self {
        let (legs, counts) = (Legs::default(), FrontCounts::default());
        let (leg_of_client, challenged) = (BTreeMap::new(), BTreeMap::new());
        Self {
            legs,
            leg_of_client,
            last_client: 0,
            defaults,
            gate,
            authenticator: None,
            challenged,
            registrar: Registrar::default(),
            registrations: OutboundRegistrations::default(),
            counts,
        }
    }

    /// Sets the users that callers must authenticate as; `None` turns authentication off. `key`: see
    /// [`Authenticator::new`].
    pub fn set_users(&mut self, users: Option<&Users>, key: [u8; 32]) {
        match (users.cloned(), &mut self.authenticator) {
            (Some(users), Some(authenticator)) => authenticator.reconfigure(users),
            (Some(users), none) => *none = Some(Authenticator::new(users, key)),
            (None, authenticator) => *authenticator = None,
        }
    }

    /// How long a caller waits if it does not say.
    pub fn default_left(&self) -> Span {
        self.defaults.left
    }

    /// Changes the default wait, the zones, the call token policy and the limits on legs.
    pub fn reconfigure(&mut self, left: Span, zones: &[String], tokens: TokenPolicy, bounds: Bounds) {
        self.defaults.left = left;
        self.defaults.zones = zones.to_vec();
        self.gate.reconfigure(tokens);
        self.legs.set_bounds(bounds);
    }

    /// Number of legs whose call has not ended.
    pub fn live(&self) -> usize {
        self.leg_of_client.len()
    }

    /// The state of a caller's leg, for another process.
    pub fn leg_state(&self, client: u64) -> Option<LegState> {
        self.legs.state(*self.leg_of_client.get(&client)?)
    }

    /// Continues the leg of an established call of another process; returns the number of its client.
    pub fn resume_leg(
        &mut self,
        sid: Sid,
        state: &LegState,
        now: Time,
        output: &mut AdapterOutput,
    ) -> Option<u64> {
        let client = self.last_client + 1;
        if !self.legs.resume(state, CallerLeg { client, sid }, now) {
            return None;
        }
        self.last_client = client;
        self.leg_of_client.insert(client, state.local);
        self.arm(state.local, output);
        Some(client)
    }

    /// Whether every frame sent has been acknowledged.
    pub fn all_acked(&self) -> bool {
        self.legs.all_acked()
    }

    /// Handles a datagram.
    pub fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Time, output: &mut AdapterOutput) {
        self.counts.received += 1;
        let frame = match parse(bytes) {
            Ok(Datagram::Full(frame)) => frame,
            Ok(Datagram::Mini { .. } | Datagram::Video { .. } | Datagram::Trunk { .. }) => return,
            Err(_) => {
                self.counts.malformed += 1;
                return;
            }
        };
        let event = self.legs.receive(from, &frame, now, &mut output.to_callers);
        match event {
            Some(LegEvent::New(new)) => self.handle_new(from, &new, now, output),
            Some(LegEvent::Frame(no, frame)) => self.handle_frame(no, &frame, now, output),
            Some(LegEvent::Lost(caller)) => self.remove_client(caller, output),
            None => {}
        }
        if frame.dest != 0 {
            self.arm(frame.dest, output);
        }
    }

    fn handle_new(&mut self, from: SocketAddr, new: &Frame, now: Time, output: &mut AdapterOutput) {
        match self.gate.check(from, new, now) {
            Admission::Admitted => {}
            Admission::Reply(frame) => {
                self.counts.tokens_asked += 1;
                return output.to_callers.push((from, frame.bytes()));
            }
            Admission::Dropped(error) => {
                self.counts.tokens_refused += 1;
                tracing::debug!(%from, %error, "NEW dropped");
                return;
            }
        }
        if new.kind != Kind::Iax(Iax::New) {
            return self.challenge_registration(from, new, now, output);
        }
        let Some((no, client)) = self.leg_for(from, new, now, output) else { return };
        let Some(&CallerLeg { sid, .. }) = self.legs.owner(no) else { return };
        self.counts.new_frames += 1;
        match self.parse_set_up(sid, new) {
            Some(set_up) => match &mut self.authenticator {
                Some(authenticator) => {
                    let user = new.elements.text(ie::USERNAME).unwrap_or_default();
                    let (elements, challenge) = authenticator.challenge(user);
                    let until = now.plus(AUTH_TIMEOUT.min(set_up.left));
                    self.challenged.insert(
                        client,
                        Challenged { challenge, purpose: Purpose::Call(set_up), since: now, until },
                    );
                    self.legs.send(no, Kind::Iax(Iax::AuthReq), elements, now, &mut output.to_callers);
                }
                None => self.open(client, no, set_up, output),
            },
            None => {
                self.counts.malformed += 1;
                self.end_call(no, Iax::Reject, CAUSE_BAD_NUMBER, Span::default(), now, output);
            }
        }
        self.arm(no, output);
    }

    /// Opens a leg for a first frame. Returns its call number and the client number.
    fn leg_for(
        &mut self,
        from: SocketAddr,
        first: &Frame,
        now: Time,
        output: &mut AdapterOutput,
    ) -> Option<(u16, u64)> {
        self.last_client += 1;
        let client = self.last_client;
        let named = first.elements.variable("callid").and_then(|name| Sid::parse(&name));
        let sid = named.unwrap_or_else(|| Sid::from_number(mix(self.defaults.seed.wrapping_add(client))));
        let no = self.legs.open_incoming(from, first, CallerLeg { client, sid }, now, &mut output.to_callers);
        if no.is_none() {
            // No leg is free: the caller is told at once, and no state is kept.
            self.counts.turned_away += 1;
            output.to_callers.push((from, first.inval().bytes()));
        }
        Some((no?, client))
    }

    fn open(&mut self, client: u64, no: u16, set_up: SetUp, output: &mut AdapterOutput) {
        self.leg_of_client.insert(client, no);
        let client = Client { front: FrontKind::Iax2, no: client };
        output.inputs.push(Input::ClientUp(client));
        output.inputs.push(Input::SetUp(client, set_up));
    }

    /// Handles the answer to a challenge. Every failure gets the same reply.
    fn handle_auth_reply(
        &mut self,
        no: u16,
        client: u64,
        frame: &Frame,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let Some(challenged) = self.challenged.remove(&client) else { return };
        let (challenge, mut set_up, since) = match challenged {
            Challenged { challenge, purpose: Purpose::Call(set_up), since, .. } => (challenge, set_up, since),
            challenged => return self.handle_registration(no, challenged, frame, now, output),
        };
        let (Some(authenticator), Some(from)) = (&mut self.authenticator, self.legs.peer(no)) else {
            // Authentication has been turned off meanwhile.
            return self.open(client, no, set_up, output);
        };
        match authenticator.verify(from.ip(), &challenge, &frame.elements, now) {
            Ok(()) => {
                set_up.left = set_up.left.saturating_sub(now.since(since));
                self.open(client, no, set_up, output);
            }
            Err(error) => {
                tracing::info!(%from, %error, "IAX2 caller rejected");
                self.counts.not_let_in += 1;
                self.end_call(no, Iax::Reject, CAUSE_REJECTED, Span::default(), now, output);
            }
        }
    }

    fn parse_set_up(&self, sid: Sid, new: &Frame) -> Option<SetUp> {
        let elements = &new.elements;
        let number = elements.text(ie::CALLED_NUMBER)?;
        if number.is_empty() || !number.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.+".contains(&b)) {
            return None;
        }
        let class = elements.text(ie::CALLED_CONTEXT).filter(|class| !class.is_empty());
        let left = match elements.variable("left") {
            Some(ms) => Span::from_millis(ms.parse().ok()?),
            None => self.defaults.left,
        };
        let dest = elements.variable("dest").and_then(|cell| cell.parse().ok()).map(Cell);
        Some(SetUp {
            sid,
            class: class.map_or_else(|| self.defaults.class.clone(), Into::into),
            tenant: elements.variable("tenant").map(Into::into),
            left,
            number: number.into(),
            dest,
            redialled: false,
            body: description_of(elements).into(),
        })
    }

    fn handle_frame(&mut self, no: u16, frame: &Frame, now: Time, output: &mut AdapterOutput) {
        let Some(&caller) = self.legs.owner(no) else { return };
        if self.handle_registrar_frame(no, caller, frame, now, output) {
            return;
        }
        match frame.kind {
            Kind::Iax(Iax::AuthRep | Iax::RegReq | Iax::RegRel) => {
                self.handle_auth_reply(no, caller.client, frame, now, output)
            }
            Kind::Iax(Iax::Hangup | Iax::Reject) | Kind::Control(Control::Hangup) => {
                let cause = frame.elements.number(ie::CAUSE_CODE).and_then(|c| u16::try_from(c).ok());
                let client = Client { front: FrontKind::Iax2, no: caller.client };
                let cause = cause.unwrap_or(CAUSE_CLEARED);
                output.inputs.push(Input::HangUp(client, caller.sid, cause));
                self.legs.end(no, now);
                self.remove_client(caller, output);
            }
            Kind::Iax(iax) => {
                if let Some(elements) = unsupport_reply(iax) {
                    self.legs.send(no, Kind::Iax(Iax::Unsupport), elements, now, &mut output.to_callers);
                }
            }
            _ => {}
        }
    }

    fn remove_client(&mut self, caller: CallerLeg, output: &mut AdapterOutput) {
        self.challenged.remove(&caller.client);
        if self.leg_of_client.remove(&caller.client).is_some() {
            output.inputs.push(Input::ClientDown(Client { front: FrontKind::Iax2, no: caller.client }));
        }
    }

    /// The call is established.
    pub fn ready(&mut self, client: u64, body: &str, now: Time, output: &mut AdapterOutput) {
        let Some(&no) = self.leg_of_client.get(&client) else { return };
        let out = &mut output.to_callers;
        self.legs.send(no, Kind::Iax(Iax::Accept), add_description(Elements::default(), body), now, out);
        self.legs.send(no, Kind::Control(Control::Answer), Elements::default(), now, out);
        self.legs.mark_established(no);
        self.arm(no, output);
    }

    /// The call is refused or has failed.
    pub fn refuse(
        &mut self,
        client: u64,
        retryable: bool,
        retry_after: Span,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let Some(&no) = self.leg_of_client.get(&client) else { return };
        let cause = if retryable { CAUSE_REFUSED } else { CAUSE_FAILED };
        self.end_call(no, Iax::Reject, cause, retry_after, now, output);
    }

    /// An established call was released.
    pub fn release(&mut self, client: u64, cause: u16, now: Time, output: &mut AdapterOutput) {
        let Some(&no) = self.leg_of_client.get(&client) else { return };
        self.end_call(no, Iax::Hangup, cause, Span::default(), now, output);
    }

    fn end_call(
        &mut self,
        no: u16,
        how: Iax,
        cause: u16,
        retry_after: Span,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let code = u8::try_from(cause).unwrap_or(u8::MAX);
        let text = if cause == CAUSE_REFUSED { "try again" } else { "call ended" };
        let mut elements = Elements::default().with(ie::CAUSE, text.as_bytes()).with(ie::CAUSE_CODE, &[code]);
        if retry_after > Span::default() {
            elements = elements.with_variable("wait", &retry_after.0.div_ceil(1000).to_string());
        }
        let caller = self.legs.owner(no).copied();
        self.legs.send(no, Kind::Iax(how), elements, now, &mut output.to_callers);
        self.legs.end(no, now);
        if let Some(caller) = caller {
            self.remove_client(caller, output);
        }
        self.arm(no, output);
    }

    /// Runs the deadline with this key.
    pub fn run_timer(&mut self, key: u64, now: Time, output: &mut AdapterOutput) {
        if key == registration::EXPIRY_KEY {
            return self.expire(now, output);
        }
        if let Some(index) = key.checked_sub(outbound_registration::FIRST_KEY) {
            return self.registrant_due(usize::try_from(index).unwrap_or(usize::MAX), now, output);
        }
        let no = u16::try_from(key).unwrap_or(0);
        if let Some(LegEvent::Lost(caller)) = self.legs.run_timers(no, now, &mut output.to_callers) {
            self.remove_client(caller, output);
        }
        if self.challenge_expires_at(no).is_some_and(|until| now >= until) {
            self.counts.not_let_in += 1;
            self.end_call(no, Iax::Reject, CAUSE_REJECTED, Span::default(), now, output);
        }
        self.arm(no, output);
    }

    /// When the challenge sent on a leg expires, if there is one.
    fn challenge_expires_at(&self, no: u16) -> Option<Time> {
        Some(self.challenged.get(&self.legs.owner(no)?.client)?.until)
    }

    fn arm(&self, no: u16, output: &mut AdapterOutput) {
        let due = self.legs.next_deadline(no).into_iter().chain(self.challenge_expires_at(no)).min();
        if let Some(at) = due {
            output.deadlines.push((at, DeadlineOwner::Iax2Front, u64::from(no)));
        }
    }
}

/// Mixes a number into all 64 bits (finisher of SplitMix64), so that consecutive numbers give unrelated
/// names.
fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
