//! Stage 6: the registry of established and recently ended calls, and the releases that their callers must get.

use serde::{Deserialize, Serialize};

use std::collections::{BTreeMap, VecDeque};

use crate::core::relay::{CAUSE_CLEARED, CAUSE_CUT};
use crate::core::send::attempt_end_event;
use crate::core::{Caller, Client, Core, Deadline, Effect, FrontKind, LoadValues, RefusalReason, Sid};
use crate::interface::{Attempt, AttemptEnd, CallId, Cause, Event, Outcome, ServerId, Span, Time};
use crate::recovery::records::RecordChange;

/// How long an ended call is remembered. A release that crosses ours must not be mistaken for one of an unknown call.
const ENDED_CALL_RETENTION: Span = Span::from_millis(30_000);
/// How long a release without a connection to send it on stays pending.
const PENDING_RELEASE_TIMEOUT: Span = Span::from_millis(30_000);
/// A new connection without any message for this long is no health check's: pending releases are sent on it.
const FIRST_MESSAGE_TIMEOUT: Span = Span::from_millis(50);
/// How often a release is sent at most.
const MAX_RELEASE_SENDS: u8 = 4;
/// Limit of the ended calls, of the pending and of the unconfirmed releases; it bounds memory only.
const MAX_ENTRIES: usize = 16_384;
/// Limit of the hang-ups for unknown calls per connection. A caller may have had this many calls before a restart of
/// this controller.
const MAX_UNKNOWN_HANG_UPS: usize = 256;

/// An established call.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct EstablishedCall {
    client: Client,
    server: ServerId,
    id: CallId,
    attempt: u16,
    since: Time,
}

/// A release that a caller has not confirmed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct PendingRelease {
    cause: u16,
    /// How often it was sent.
    #[serde(rename = "said")]
    times_sent: u8,
}

/// Established calls, recently ended calls, and releases that are not confirmed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct CallRegistry {
    #[serde(rename = "standing")]
    pub(super) established: BTreeMap<Sid, EstablishedCall>,
    /// Number of established calls that were requested on each connection.
    #[serde(rename = "carried")]
    established_per_client: BTreeMap<Client, usize>,
    ended: BTreeMap<Sid, ()>,
    /// Ended calls, oldest first.
    #[serde(rename = "order")]
    ended_order: VecDeque<Sid>,
    /// Releases for which there was no connection.
    #[serde(rename = "unsaid")]
    pending_releases: BTreeMap<Sid, PendingRelease>,
    /// Releases sent, with the connection, that the caller has not confirmed.
    #[serde(rename = "unheard")]
    unconfirmed_releases: BTreeMap<Sid, (Client, PendingRelease)>,
}

impl CallRegistry {
    /// Whether the call is established or has recently ended.
    pub(super) fn is_known(&self, sid: Sid) -> bool {
        self.established.contains_key(&sid) || self.ended.contains_key(&sid)
    }
    pub(super) fn is_established_at(&self, sid: Sid, server: ServerId) -> bool {
        self.established.get(&sid).is_some_and(|call| call.server == server)
    }
    pub(super) fn add_established(
        &mut self,
        sid: Sid,
        client: Client,
        server: ServerId,
        id: CallId,
        attempt: u16,
        since: Time,
    ) {
        self.established.insert(sid, EstablishedCall { client, server, id, attempt, since });
        *self.established_per_client.entry(client).or_default() += 1;
    }
    /// The established calls with their clients and call servers.
    pub(super) fn established_calls(&self) -> impl Iterator<Item = (Sid, Client, ServerId)> + '_ {
        self.established.iter().map(|(sid, call)| (*sid, call.client, call.server))
    }
    /// Since when a call has been established.
    pub(super) fn established_since(&self, sid: Sid) -> Option<Time> {
        Some(self.established.get(&sid)?.since)
    }
    fn remove_established(&mut self, sid: Sid) -> Option<EstablishedCall> {
        let call = self.established.remove(&sid)?;
        if let Some(count) = self.established_per_client.get_mut(&call.client) {
            *count -= 1;
            if *count == 0 {
                self.established_per_client.remove(&call.client);
            }
        }
        Some(call)
    }
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        let calls = self.established.is_empty() && self.established_per_client.is_empty();
        calls
            && self.ended.is_empty()
            && self.ended_order.is_empty()
            && self.pending_releases.is_empty()
            && self.unconfirmed_releases.is_empty()
    }
    pub(super) fn has_calls_at(&self, server: ServerId) -> bool {
        self.established.values().any(|call| call.server == server)
    }
    pub(super) fn has_established_calls(&self, client: Client) -> bool {
        self.established_per_client.contains_key(&client)
    }
    pub(super) fn confirm_release(&mut self, sid: Sid) {
        self.pending_releases.remove(&sid);
        self.unconfirmed_releases.remove(&sid);
    }
    pub(super) fn forget_ended(&mut self, sid: Sid) {
        self.ended.remove(&sid);
        self.unconfirmed_releases.remove(&sid);
        // Guards against an order that accumulates the identifiers of a whole day's calls.
        while self.ended_order.front().is_some_and(|oldest| !self.ended.contains_key(oldest)) {
            self.ended_order.pop_front();
        }
    }
    pub(super) fn drop_pending_release(&mut self, sid: Sid) {
        self.pending_releases.remove(&sid);
    }
}

impl Core {
    pub(super) fn client_up(&mut self, client: Client) {
        self.clients.insert(client, Caller::default());
        if client.front == FrontKind::JsonLines && !self.registry.pending_releases.is_empty() {
            self.deadlines.set(self.now.plus(FIRST_MESSAGE_TIMEOUT), Deadline::FirstMessage(client));
        }
    }

    /// A health check comes from the platform, which knows of no calls. Guards against releases that are sent to the
    /// health checker during a drain, and against health checks that it counts as failed because of them.
    pub(super) fn health_check_received(&mut self, client: Client) {
        self.deadlines.clear(&Deadline::FirstMessage(client));
        if let Some(caller) = self.clients.get_mut(&client) {
            caller.only_health_checks = !caller.served && caller.pending == 0;
        }
    }

    /// A message from a caller: pending releases are sent on its connection.
    pub(super) fn caller_message_received(&mut self, client: Client, out: &mut Vec<Effect>) {
        let Some(caller) = self.clients.get_mut(&client) else { return };
        caller.only_health_checks = false;
        if self.registry.pending_releases.is_empty() || client.front != FrontKind::JsonLines {
            return;
        }
        self.deadlines.clear(&Deadline::FirstMessage(client));
        for (sid, release) in std::mem::take(&mut self.registry.pending_releases) {
            self.deadlines.clear(&Deadline::PendingRelease(sid));
            self.send_release(client, sid, release.cause, release.times_sent, out);
        }
    }

    /// A client connection was closed: its pending calls are cancelled, its established calls continue. An IAX2 leg is
    /// its call, which ends with it.
    pub(super) fn client_down(&mut self, client: Client, out: &mut Vec<Effect>) {
        self.clients.remove(&client);
        self.deadlines.clear(&Deadline::FirstMessage(client));
        let pending: Vec<Sid> =
            self.pending.iter().filter(|(_, call)| call.client == client).map(|(sid, _)| *sid).collect();
        for sid in pending {
            self.cancel_call(sid, out);
        }
        // Unconfirmed releases are sent again: they may have been written while the caller was closing the connection.
        let unconfirmed = self.registry.unconfirmed_releases.iter().filter(|(_, (on, _))| *on == client);
        let unconfirmed: Vec<(Sid, PendingRelease)> =
            unconfirmed.map(|(sid, (_, release))| (*sid, *release)).collect();
        for (sid, release) in unconfirmed {
            self.registry.unconfirmed_releases.remove(&sid);
            self.send_release(client, sid, release.cause, release.times_sent, out);
        }
        if client.front == FrontKind::Iax2 {
            let established = self.registry.established.iter().filter(|(_, call)| call.client == client);
            let established: Vec<Sid> = established.map(|(sid, _)| *sid).collect();
            for sid in established {
                self.end_established(sid, CAUSE_CLEARED, out);
            }
        }
    }

    /// A caller cancels a set-up, or ends its call, on any connection.
    pub(super) fn hang_up_received(&mut self, client: Client, sid: Sid, cause: u16, out: &mut Vec<Effect>) {
        if let Some(call) = self.pending.get(&sid) {
            // Guards against a caller that cancels another's set-up.
            let own = call.client == client;
            return if own {
                self.cancel_call(sid, out)
            } else {
                out.push(Effect::ConfirmRelease(client, sid))
            };
        }
        out.push(Effect::ConfirmRelease(client, sid));
        if self.registry.established.contains_key(&sid) {
            self.end_established(sid, cause, out);
        } else if !self.registry.ended.contains_key(&sid) {
            // Guards against a caller that ends hundreds of unknown calls, each at every call server.
            let unknown_hang_ups = self.clients.get_mut(&client).map_or(0, |caller| {
                caller.unknown_hang_ups += 1;
                caller.unknown_hang_ups
            });
            if unknown_hang_ups > MAX_UNKNOWN_HANG_UPS {
                return;
            }
            // The call may date from before a restart of this controller: any call server that has it ends it.
            self.remember_ended(sid);
            let servers: Vec<ServerId> = self.servers.keys().copied().collect();
            out.extend(servers.into_iter().map(|server| Effect::Bye(server, sid, cause)));
        }
    }

    /// Cancels a pending call for its caller.
    fn cancel_call(&mut self, sid: Sid, out: &mut Vec<Effect>) {
        let Some(id) = self.pending.get(&sid).map(|call| call.id) else { return };
        self.counts.given_up += 1;
        self.feed(Event::HungUp(id), out);
        self.cancel_attempt(sid, Outcome::Cancelled, out);
        if let Some(call) = self.remove_pending(sid) {
            out.push(Effect::AnswerNoLongerOwed(call.client));
        }
        self.remember_ended(sid);
        self.process_events(out);
    }

    /// Ends an established call from the caller's side.
    pub(super) fn end_established(&mut self, sid: Sid, cause: u16, out: &mut Vec<Effect>) {
        let Some(call) = self.registry.remove_established(sid) else { return };
        self.remember_ended(sid);
        self.record_change(|| RecordChange::CallEnded(sid));
        self.drop_restored(sid);
        out.push(Effect::Bye(call.server, sid, cause));
        self.report_call_end(call, Outcome::Cancelled, &LoadValues::new(), out);
    }

    /// A call server's release: it is sent to the caller at once, on its own connection or any other.
    pub(super) fn release_received(
        &mut self,
        server: ServerId,
        sid: Sid,
        cause: u16,
        report: LoadValues,
        out: &mut Vec<Effect>,
    ) {
        if self.registry.is_established_at(sid, server) {
            let Some(call) = self.registry.remove_established(sid) else { return };
            self.remember_ended(sid);
            self.send_release(call.client, sid, cause, 0, out);
            let outcome = if cause == CAUSE_CLEARED { Outcome::Ok } else { Outcome::Reset };
            self.report_call_end(call, outcome, &report, out);
            return;
        }
        if self.pending.get(&sid).is_some_and(|call| call.may_be_established_at(server)) {
            self.release_before_answer(server, sid, &report, out);
        } else if !self.registry.is_known(sid) && !self.pending.contains_key(&sid) {
            // Guards against calls that stay established at callers after a restart: the call is unknown here, and the
            // caller still waits for its release.
            self.remember_ended(sid);
            self.counts.unknown_released += 1;
            let no_client = Client { front: FrontKind::JsonLines, no: u64::MAX };
            self.send_release(no_client, sid, cause, 0, out);
        }
    }

    /// A release has overtaken the answer. Only an established call is released, so this call ran and is over. Without the
    /// description in the answer it cannot be answered: its caller gets a failure. Guards against another attempt for a
    /// call that has run, and against a caller that learns of its end too late.
    fn release_before_answer(
        &mut self,
        server: ServerId,
        sid: Sid,
        report: &LoadValues,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.pending.get(&sid) else { return };
        let (id, has_attempt) = (call.id, call.has_attempt_at(server));
        if has_attempt {
            let load = self.load_of(report);
            self.attempt_ended(sid, Outcome::Reset, Cause::None, load);
        }
        self.fail_and_report_hang_up(id, RefusalReason::ReleasedBeforeAnswer, out);
    }

    /// A call server's process has died: all its calls are cut.
    pub(super) fn server_died(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let cut = self.registry.established.iter().filter(|(_, call)| call.server == server);
        let cut: Vec<Sid> = cut.map(|(sid, _)| *sid).collect();
        cut.into_iter().for_each(|sid| self.cut_call(sid, out));
    }

    /// Ends an established call whose call server's process has gone without a release.
    pub(super) fn cut_call(&mut self, sid: Sid, out: &mut Vec<Effect>) {
        let Some(call) = self.registry.remove_established(sid) else { return };
        self.remember_ended(sid);
        self.send_release(call.client, sid, CAUSE_CUT, 0, out);
        self.report_call_end(call, Outcome::Reset, &LoadValues::new(), out);
    }

    /// Sends a release on the call's own connection, else on any open one of its front; without one it stays pending.
    pub(super) fn send_release(
        &mut self,
        client: Client,
        sid: Sid,
        cause: u16,
        times_sent: u8,
        out: &mut Vec<Effect>,
    ) {
        // Guards against an endless repetition where each connection closes before the release is confirmed.
        if times_sent >= MAX_RELEASE_SENDS {
            return;
        }
        self.drop_restored(sid);
        let own = self.clients.contains_key(&client).then_some(client);
        let shared = client.front == FrontKind::JsonLines;
        // Guards against sending a release to the newest connection whatever it is: it may be one of a flood of idle
        // connections. Those that have had an established call come first.
        let newest = |served: bool| {
            let fit = |(c, caller): &(&Client, &Caller)| {
                c.front == client.front && caller.served >= served && !caller.only_health_checks
            };
            self.clients.iter().rfind(fit).map(|(c, _)| *c).filter(|_| shared)
        };
        let any = || newest(true).or_else(|| newest(false));
        match own.or_else(any) {
            Some(client) => {
                self.counts.released += 1;
                self.record_change(|| RecordChange::CallEnded(sid));
                if shared && self.registry.unconfirmed_releases.len() < MAX_ENTRIES {
                    self.registry
                        .unconfirmed_releases
                        .insert(sid, (client, PendingRelease { cause, times_sent: times_sent + 1 }));
                }
                out.push(Effect::Release(client, sid, cause));
            }
            None if shared && self.registry.pending_releases.len() < MAX_ENTRIES => {
                self.registry.pending_releases.insert(sid, PendingRelease { cause, times_sent });
                self.record_change(|| RecordChange::ReleasePending(sid, cause));
                self.deadlines.set(self.now.plus(PENDING_RELEASE_TIMEOUT), Deadline::PendingRelease(sid));
            }
            None => self.record_change(|| RecordChange::CallEnded(sid)),
        }
    }

    /// Reports the end of an established call to the decision module.
    fn report_call_end(
        &mut self,
        call: EstablishedCall,
        outcome: Outcome,
        report: &LoadValues,
        out: &mut Vec<Effect>,
    ) {
        let took = self.now.since(call.since);
        let mut event = attempt_end_event(call.id, call.attempt, call.server, outcome, Cause::None, took);
        let load = self.load_of(report);
        if let Event::Ended(AttemptEnd { closed, load: reported, attempt, .. }) = &mut event {
            (*closed, *reported, *attempt) = (true, load, Attempt(call.attempt));
        }
        self.feed(event, out);
    }

    /// Remembers an ended call for [`ENDED_CALL_RETENTION`].
    pub(super) fn remember_ended(&mut self, sid: Sid) {
        if self.registry.ended.insert(sid, ()).is_none() {
            self.registry.ended_order.push_back(sid);
        }
        self.deadlines.set(self.now.plus(ENDED_CALL_RETENTION), Deadline::ForgetCall(sid));
        while self.registry.ended_order.len() > MAX_ENTRIES {
            let Some(oldest) = self.registry.ended_order.pop_front() else { break };
            self.registry.forget_ended(oldest);
            self.deadlines.clear(&Deadline::ForgetCall(oldest));
        }
    }
}
