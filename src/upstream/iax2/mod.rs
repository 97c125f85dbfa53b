//! IAX2 call servers. No socket here: datagrams are handed back to be sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::core::{
    AttemptError, DeadlineOwner, Input, LoadValues, Progress, Refusal, ServerEvent, Sid, TransportError,
};
use crate::iax2::auth::Account;
use crate::iax2::describe::{add_description, description_of};
use crate::iax2::frame::{ie, parse, unsupport_reply, Control, Datagram, Elements, Frame, Iax, Kind};
use crate::iax2::legs::{LegEvent, Legs};
use crate::interface::{Cause, ServerId, Span, Time};
use crate::upstream::sip::message::parse_report;
use crate::upstream::AdapterOutput;

/// Q.850: the call has ended in the usual way.
const CAUSE_CLEARED: u16 = 16;
/// Q.850: a call that was cut.
const CAUSE_CUT: u16 = 41;
/// The protocol's version.
const VERSION: [u8; 2] = [0, 2];

type Key = (ServerId, Sid);

/// A call's leg towards a call server.
#[derive(Debug, Clone, Default)]
struct Call {
    stands: bool,
    body: Option<Rc<str>>,
}

/// Plain counts of what this side did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// NEWs sent; a retransmission is none.
    pub new_frames: u64,
    /// Set-ups that were withdrawn before the call server had answered anything.
    pub withdrawn: u64,
    /// Datagrams that came.
    pub received: u64,
    /// Datagrams that could not be read.
    pub malformed: u64,
}

/// All IAX2 call servers.
#[derive(Debug, Default)]
pub struct Servers {
    legs: Legs<Key>,
    calls: BTreeMap<Key, (u16, Call)>,
    dials: BTreeMap<ServerId, SocketAddr>,
    account: Option<Account>,
    /// What was done so far.
    pub counts: ServerCounts,
}

impl Servers {
    /// From now on this is who we are at call servers that ask.
    pub fn set_account(&mut self, account: Option<&Account>) {
        self.account = account.cloned();
    }

    /// Where a call server is. One that started anew knows none of the old calls.
    pub fn set_address(
        &mut self,
        server: ServerId,
        dial: SocketAddr,
        fresh: Option<Time>,
        now: Time,
        todo: &mut AdapterOutput,
    ) {
        self.dials.insert(server, dial);
        let Some(born) = fresh else { return };
        let of_old =
            |(key, (no, _)): &(&Key, &(u16, Call))| key.0 == server && !self.legs.received_since(*no, born);
        let old: Vec<(Key, u16)> = self.calls.iter().filter(of_old).map(|(k, (no, _))| (*k, *no)).collect();
        for (key, no) in old {
            self.legs.cancel_retransmissions(no);
            self.broken(key, TransportError::ConnectionClosed, now, todo);
        }
    }

    /// Another call server has its address: its calls are gone.
    pub fn replaced(&mut self, server: ServerId, now: Time, todo: &mut AdapterOutput) {
        let of_old = self.calls.iter().filter(|(key, _)| key.0 == server);
        let old: Vec<(Key, u16)> = of_old.map(|(key, (no, _))| (*key, *no)).collect();
        for (key, no) in old {
            self.legs.cancel_retransmissions(no);
            self.broken(key, TransportError::ConnectionClosed, now, todo);
        }
    }

    /// A call server that has left for good: nothing is kept of it.
    pub fn forget(&mut self, server: ServerId) {
        self.dials.remove(&server);
    }

    /// Sends a set-up.
    #[allow(clippy::too_many_arguments)] // one set-up, as the wire wants it
    pub fn set_up(
        &mut self,
        server: ServerId,
        sid: Sid,
        class: &str,
        number: &str,
        left: Span,
        body: &str,
        now: Time,
        todo: &mut AdapterOutput,
    ) {
        let dial = self.dials.get(&server).copied();
        let Some(no) = dial.and_then(|dial| self.legs.open_outgoing(dial, (server, sid), now)) else {
            let error =
                AttemptError { error: TransportError::ConnectFailed, progress: Progress::NotConnected };
            return todo.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
        };
        let elements = Elements::default()
            .with(ie::VERSION, &VERSION)
            .with(ie::CALLED_NUMBER, number.as_bytes())
            .with(ie::CALLED_CONTEXT, class.as_bytes())
            .with(ie::CALLTOKEN, &[])
            .with_variable("callid", sid.as_str())
            .with_variable("left", &(left.0 / 1000).to_string());
        let elements = match &self.account {
            Some(account) => elements.with(ie::USERNAME, account.username.as_bytes()),
            None => elements,
        };
        let elements = add_description(elements, body);
        self.counts.new_frames += 1;
        self.legs.send(no, Kind::Iax(Iax::New), elements, now, &mut todo.to_servers);
        self.calls.insert((server, sid), (no, Call::default()));
        self.arm(no, todo);
    }

    /// Gives a set-up up, or ends a call that stands.
    pub fn hang_up(&mut self, server: ServerId, sid: Sid, cause: u16, now: Time, todo: &mut AdapterOutput) {
        let Some((no, _)) = self.calls.remove(&(server, sid)) else { return };
        // A NEW that was never heard must not be heard after the HANGUP.
        if !self.legs.answered(no) {
            self.legs.cancel_retransmissions(no);
        }
        self.say_hang_up(no, cause, now, todo);
    }

    fn say_hang_up(&mut self, no: u16, cause: u16, now: Time, todo: &mut AdapterOutput) {
        let code = u8::try_from(cause).unwrap_or(u8::MAX);
        let elements = Elements::default().with(ie::CAUSE_CODE, &[code]);
        self.legs.send(no, Kind::Iax(Iax::Hangup), elements, now, &mut todo.to_servers);
        self.legs.end(no, now);
        self.arm(no, todo);
    }

    /// Takes back every set-up that the call server has not answered yet: the next copy of its NEW might be the
    /// first to arrive. Guards against new work at a call server that drains.
    pub fn cancel_unanswered(&mut self, server: ServerId, now: Time, todo: &mut AdapterOutput) {
        let unheard = self.calls.iter().filter(|(key, (no, _))| key.0 == server && !self.legs.answered(*no));
        let unheard: Vec<Sid> = unheard.map(|(key, _)| key.1).collect();
        for sid in unheard {
            self.counts.withdrawn += 1;
            self.hang_up(server, sid, CAUSE_CLEARED, now, todo);
            let error = AttemptError { error: TransportError::Cancelled, progress: Progress::Written };
            todo.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
        }
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
        let told = self.legs.receive(from, &frame, now, &mut todo.to_servers);
        match told {
            Some(LegEvent::Frame(no, frame)) => self.frame(no, &frame, now, todo),
            Some(LegEvent::Lost(key)) => self.broken(key, TransportError::ConnectionClosed, now, todo),
            // Call servers do not call.
            Some(LegEvent::New(new)) => todo.to_servers.push((from, new.inval().bytes())),
            None => {}
        }
        self.arm(frame.dest, todo);
    }

    fn frame(&mut self, no: u16, frame: &Frame, now: Time, todo: &mut AdapterOutput) {
        let Some(&key) = self.legs.owner(no) else { return };
        let Some((_, call)) = self.calls.get_mut(&key) else { return };
        let (server, sid) = key;
        let elements = &frame.elements;
        let report = elements.variable("report").map(|text| parse_report(&text)).unwrap_or_default();
        let cause = elements.number(ie::CAUSE_CODE).and_then(|code| u16::try_from(code).ok());
        let over = match frame.kind {
            Kind::Iax(Iax::AuthReq) => {
                // Where we have no answer, an empty one is refused at once: better than a call server that waits.
                let answer = self.account.as_ref().and_then(|account| account.respond(elements));
                let answer = answer.unwrap_or_default();
                self.legs.send(no, Kind::Iax(Iax::AuthRep), answer, now, &mut todo.to_servers);
                return;
            }
            Kind::Iax(Iax::Accept) => {
                call.body = Some(description_of(elements).into());
                return;
            }
            Kind::Control(Control::Answer) if !call.stands => {
                call.stands = true;
                let body = call.body.clone().unwrap_or_else(|| description_of(elements).into());
                self.legs.mark_established(no);
                todo.inputs.push(Input::Server(server, sid, ServerEvent::Answered(body)));
                return;
            }
            Kind::Iax(Iax::Reject | Iax::Hangup) | Kind::Control(Control::Hangup) => cause,
            Kind::Control(Control::Busy) => Some(17),
            Kind::Control(Control::Congestion) => Some(42),
            Kind::Iax(iax) => {
                if let Some(elements) = unsupport_reply(iax) {
                    self.legs.send(no, Kind::Iax(Iax::Unsupport), elements, now, &mut todo.to_servers);
                }
                return;
            }
            _ => return,
        };
        let stood = call.stands;
        self.calls.remove(&key);
        if matches!(frame.kind, Kind::Control(_)) {
            self.say_hang_up(no, CAUSE_CLEARED, now, todo);
        }
        self.legs.end(no, now);
        let says = if stood {
            ServerEvent::Released(over.unwrap_or(CAUSE_CLEARED), report)
        } else {
            let wait = elements.variable("wait").and_then(|ms| ms.parse().ok()).map(Span::from_millis);
            let (refusal, why) = refusal_of(over.unwrap_or(0), wait);
            ServerEvent::Refused(refusal, why, report)
        };
        todo.inputs.push(Input::Server(server, sid, says));
    }

    /// A call's way broke: the other side is silent, or does not know the call.
    fn broken(&mut self, key: Key, why: TransportError, now: Time, todo: &mut AdapterOutput) {
        let Some((no, call)) = self.calls.remove(&key) else { return };
        self.legs.end(no, now);
        let says = if call.stands {
            // Guards against a call left standing at its caller when its server has gone silent.
            ServerEvent::Released(CAUSE_CUT, LoadValues::new())
        } else {
            ServerEvent::Lost(AttemptError { error: why, progress: Progress::Written })
        };
        todo.inputs.push(Input::Server(key.0, key.1, says));
    }

    /// Does what is due on a leg.
    pub fn run_timer(&mut self, key: u64, now: Time, todo: &mut AdapterOutput) {
        let no = u16::try_from(key).unwrap_or(0);
        if let Some(LegEvent::Lost(call)) = self.legs.run_timers(no, now, &mut todo.to_servers) {
            self.broken(call, TransportError::NotAcknowledged, now, todo);
        }
        self.arm(no, todo);
    }

    /// Whether nothing waits to be acknowledged.
    pub fn all_acked(&self) -> bool {
        self.legs.all_acked()
    }

    fn arm(&self, no: u16, todo: &mut AdapterOutput) {
        if let Some(at) = self.legs.next_deadline(no) {
            todo.deadlines.push((at, DeadlineOwner::Iax2Upstream, u64::from(no)));
        }
    }
}

/// What a cause ahead of the answer means.
fn refusal_of(cause: u16, wait: Option<Span>) -> (Refusal, Cause) {
    match cause {
        34 => (Refusal::Full, Cause::NoCircuit),
        38 | 42 | 47 => (Refusal::Full, wait.map_or(Cause::ProcessorFull, Cause::ProcessorFullFor)),
        17 => (Refusal::Error, Cause::NumberBusy),
        _ => (Refusal::Error, Cause::None),
    }
}
