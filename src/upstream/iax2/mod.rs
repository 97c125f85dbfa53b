//! Protocol adapter for IAX2 call servers. Holds no sockets: it returns the datagrams to send.

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

/// Q.850: normal call clearing.
const CAUSE_CLEARED: u16 = 16;
/// Q.850: temporary failure, for a call that was cut off.
const CAUSE_CUT: u16 = 41;
/// Version of the protocol.
const VERSION: [u8; 2] = [0, 2];

type Key = (ServerId, Sid);

/// A call on a leg to a call server.
#[derive(Debug, Clone, Default)]
struct Call {
    established: bool,
    body: Option<Rc<str>>,
}

/// Counters of this adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// NEWs sent, without retransmissions.
    pub new_frames: u64,
    /// Set-ups cancelled before the call server had answered anything.
    pub withdrawn: u64,
    /// Datagrams received.
    pub received: u64,
    /// Datagrams that could not be parsed.
    pub malformed: u64,
}

/// All IAX2 call servers.
#[derive(Debug, Default)]
pub struct Servers {
    legs: Legs<Key>,
    calls: BTreeMap<Key, (u16, Call)>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    account: Option<Account>,
    /// Counters since the start.
    pub counts: ServerCounts,
}

impl Servers {
    /// Sets the account with which to authenticate at call servers that ask for it.
    pub fn set_account(&mut self, account: Option<&Account>) {
        self.account = account.cloned();
    }

    /// Sets the address of a call server.
    pub fn set_address(&mut self, server: ServerId, address: SocketAddr) {
        self.addresses.insert(server, address);
    }

    /// A call server has restarted: its calls from before that are lost.
    pub fn restarted(&mut self, server: ServerId, restarted_at: Time, now: Time, output: &mut AdapterOutput) {
        let is_old = |(key, (no, _)): &(&Key, &(u16, Call))| {
            key.0 == server && !self.legs.received_since(*no, restarted_at)
        };
        let old: Vec<(Key, u16)> = self.calls.iter().filter(is_old).map(|(k, (no, _))| (*k, *no)).collect();
        for (key, no) in old {
            self.legs.cancel_retransmissions(no);
            self.leg_failed(key, TransportError::ConnectionClosed, now, output);
        }
    }

    /// Another call server has taken over the address, so the calls of this one are lost.
    pub fn replaced(&mut self, server: ServerId, now: Time, output: &mut AdapterOutput) {
        let affected = self.calls.iter().filter(|(key, _)| key.0 == server);
        let old: Vec<(Key, u16)> = affected.map(|(key, (no, _))| (*key, *no)).collect();
        for (key, no) in old {
            self.legs.cancel_retransmissions(no);
            self.leg_failed(key, TransportError::ConnectionClosed, now, output);
        }
    }

    /// Removes a call server that is gone for good.
    pub fn forget(&mut self, server: ServerId) {
        self.addresses.remove(&server);
    }

    /// Sends a set-up.
    #[allow(clippy::too_many_arguments)] // the parts of one set-up
    pub fn set_up(
        &mut self,
        server: ServerId,
        sid: Sid,
        class: &str,
        number: &str,
        left: Span,
        body: &str,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let address = self.addresses.get(&server).copied();
        let Some(no) = address.and_then(|address| self.legs.open_outgoing(address, (server, sid), now))
        else {
            let error =
                AttemptError { error: TransportError::ConnectFailed, progress: Progress::NotConnected };
            return output.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
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
        self.legs.send(no, Kind::Iax(Iax::New), elements, now, &mut output.to_servers);
        self.calls.insert((server, sid), (no, Call::default()));
        self.arm(no, output);
    }

    /// Cancels a set-up or releases an established call.
    pub fn hang_up(&mut self, server: ServerId, sid: Sid, cause: u16, now: Time, output: &mut AdapterOutput) {
        let Some((no, _)) = self.calls.remove(&(server, sid)) else { return };
        // A NEW that has not arrived yet must not arrive after the HANGUP.
        if !self.legs.answered(no) {
            self.legs.cancel_retransmissions(no);
        }
        self.send_hang_up(no, cause, now, output);
    }

    fn send_hang_up(&mut self, no: u16, cause: u16, now: Time, output: &mut AdapterOutput) {
        let code = u8::try_from(cause).unwrap_or(u8::MAX);
        let elements = Elements::default().with(ie::CAUSE_CODE, &[code]);
        self.legs.send(no, Kind::Iax(Iax::Hangup), elements, now, &mut output.to_servers);
        self.legs.end(no, now);
        self.arm(no, output);
    }

    /// Cancels every set-up that the call server has not answered yet: the next retransmission of its NEW
    /// might be the first to arrive, and a call server that drains must get no new work.
    pub fn cancel_unanswered(&mut self, server: ServerId, now: Time, output: &mut AdapterOutput) {
        let unanswered =
            self.calls.iter().filter(|(key, (no, _))| key.0 == server && !self.legs.answered(*no));
        let unanswered: Vec<Sid> = unanswered.map(|(key, _)| key.1).collect();
        for sid in unanswered {
            self.counts.withdrawn += 1;
            self.hang_up(server, sid, CAUSE_CLEARED, now, output);
            let error = AttemptError { error: TransportError::Cancelled, progress: Progress::Written };
            output.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
        }
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
        let event = self.legs.receive(from, &frame, now, &mut output.to_servers);
        match event {
            Some(LegEvent::Frame(no, frame)) => self.handle_frame(no, &frame, now, output),
            Some(LegEvent::Lost(key)) => self.leg_failed(key, TransportError::ConnectionClosed, now, output),
            // Call servers do not place calls.
            Some(LegEvent::New(new)) => output.to_servers.push((from, new.inval().bytes())),
            None => {}
        }
        self.arm(frame.dest, output);
    }

    fn handle_frame(&mut self, no: u16, frame: &Frame, now: Time, output: &mut AdapterOutput) {
        let Some(&key) = self.legs.owner(no) else { return };
        let Some((_, call)) = self.calls.get_mut(&key) else { return };
        let (server, sid) = key;
        let elements = &frame.elements;
        let report = elements.variable("report").map(|text| parse_report(&text)).unwrap_or_default();
        let cause = elements.number(ie::CAUSE_CODE).and_then(|code| u16::try_from(code).ok());
        let cause_code = match frame.kind {
            Kind::Iax(Iax::AuthReq) => {
                // Without an account, an empty answer is refused at once, which is better than a call server
                // that waits.
                let answer = self.account.as_ref().and_then(|account| account.respond(elements));
                let answer = answer.unwrap_or_default();
                self.legs.send(no, Kind::Iax(Iax::AuthRep), answer, now, &mut output.to_servers);
                return;
            }
            Kind::Iax(Iax::Accept) => {
                call.body = Some(description_of(elements).into());
                return;
            }
            Kind::Control(Control::Answer) if !call.established => {
                call.established = true;
                let body = call.body.clone().unwrap_or_else(|| description_of(elements).into());
                self.legs.mark_established(no);
                output.inputs.push(Input::Server(server, sid, ServerEvent::Answered(body)));
                return;
            }
            Kind::Iax(Iax::Reject | Iax::Hangup) | Kind::Control(Control::Hangup) => cause,
            Kind::Control(Control::Busy) => Some(17),
            Kind::Control(Control::Congestion) => Some(42),
            Kind::Iax(iax) => {
                if let Some(elements) = unsupport_reply(iax) {
                    self.legs.send(no, Kind::Iax(Iax::Unsupport), elements, now, &mut output.to_servers);
                }
                return;
            }
            _ => return,
        };
        let was_established = call.established;
        self.calls.remove(&key);
        if matches!(frame.kind, Kind::Control(_)) {
            self.send_hang_up(no, CAUSE_CLEARED, now, output);
        }
        self.legs.end(no, now);
        let event = if was_established {
            ServerEvent::Released(cause_code.unwrap_or(CAUSE_CLEARED), report)
        } else {
            let retry_after = elements.variable("wait").and_then(|ms| ms.parse().ok()).map(Span::from_millis);
            let (refusal, why) = refusal_from_cause(cause_code.unwrap_or(0), retry_after);
            ServerEvent::Refused(refusal, why, report)
        };
        output.inputs.push(Input::Server(server, sid, event));
    }

    /// Ends a call whose leg has failed: the call server does not answer, or does not know the call.
    fn leg_failed(&mut self, key: Key, why: TransportError, now: Time, output: &mut AdapterOutput) {
        let Some((no, call)) = self.calls.remove(&key) else { return };
        self.legs.end(no, now);
        let event = if call.established {
            // Otherwise the caller would keep an established call whose call server no longer answers.
            ServerEvent::Released(CAUSE_CUT, LoadValues::new())
        } else {
            ServerEvent::Lost(AttemptError { error: why, progress: Progress::Written })
        };
        output.inputs.push(Input::Server(key.0, key.1, event));
    }

    /// Runs the timers of a leg.
    pub fn run_timer(&mut self, key: u64, now: Time, output: &mut AdapterOutput) {
        let no = u16::try_from(key).unwrap_or(0);
        if let Some(LegEvent::Lost(call)) = self.legs.run_timers(no, now, &mut output.to_servers) {
            self.leg_failed(call, TransportError::NotAcknowledged, now, output);
        }
        self.arm(no, output);
    }

    /// Whether every frame sent has been acknowledged.
    pub fn all_acked(&self) -> bool {
        self.legs.all_acked()
    }

    fn arm(&self, no: u16, output: &mut AdapterOutput) {
        if let Some(at) = self.legs.next_deadline(no) {
            output.deadlines.push((at, DeadlineOwner::Iax2Upstream, u64::from(no)));
        }
    }
}

/// What a cause received before the answer means.
fn refusal_from_cause(cause: u16, retry_after: Option<Span>) -> (Refusal, Cause) {
    match cause {
        34 => (Refusal::Full, Cause::NoCircuit),
        38 | 42 | 47 => (Refusal::Full, retry_after.map_or(Cause::ProcessorFull, Cause::ProcessorFullFor)),
        17 => (Refusal::Error, Cause::NumberBusy),
        _ => (Refusal::Error, Cause::None),
    }
}
