//! Recovery: what the core records for the next run, and how it continues from the records of the previous run.

use std::collections::BTreeMap;

use crate::core::relay::CAUSE_CUT;
use crate::core::{Client, Core, Deadline, DirectoryEntry, Effect, FrontKind, Sid, Source};
use crate::interface::{CallId, ServerId, ServerState, Time};
use crate::recovery::records::{CallRecord, DirectoryRecord, RecordChange, Records};
use crate::recovery::{recovered_call_state, Phase, RecoveredCallState, Recovery, RecoveryConfig};

/// Stands for any client connection: those of the previous run no longer exist.
const NO_CLIENT: Client = Client { front: FrontKind::JsonLines, no: u64::MAX };

/// Changes to be recorded, and the state of a recovery.
#[derive(Debug, Default)]
pub(super) struct RecoveryState {
    /// Changes that the record writer has not taken yet; `None`: nothing is recorded.
    pub(super) changes: Option<Vec<RecordChange>>,
    recovery: Option<Recovery>,
    config: RecoveryConfig,
    started: Time,
    /// Recorded calls whose call server is not listed yet.
    undecided: BTreeMap<Sid, CallRecord>,
    /// Clients of those of them whose leg was handed over by the previous process.
    leg_clients: BTreeMap<Sid, Client>,
    /// Recorded calls that count as established, with their call server and its start in Unix milliseconds.
    restored: BTreeMap<Sid, (ServerId, u64)>,
}

impl RecoveryState {
    /// Expects a directory to list the call server of a call whose leg was handed over.
    pub(super) fn expect_leg_call(&mut self, now: Time, sid: Sid, client: Client, record: CallRecord) {
        if self.undecided.is_empty() {
            self.started = now;
        }
        self.leg_clients.insert(sid, client);
        self.undecided.insert(sid, record);
    }

    /// When undecided calls have waited long enough for the list.
    pub(super) fn undecided_until(&self) -> Time {
        self.started.plus(self.config.directory_timeout)
    }
}

impl Core {
    /// Collects from now on the changes that a recovery needs, for [`Core::take_changes`].
    pub fn record_changes(&mut self) {
        self.recovery.changes.get_or_insert_with(Vec::new);
    }

    /// The time during which no attempt may follow one that may have run, plus one event loop iteration.
    pub fn resend_delay(&self) -> crate::interface::Span {
        crate::interface::Span(
            self.config.settings.resend_delay.0.saturating_add(self.config.settings.tick.0),
        )
    }

    /// Takes the changes since the last time.
    pub fn take_changes(&mut self) -> Vec<RecordChange> {
        self.recovery.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub(super) fn record_change(&mut self, change: impl FnOnce() -> RecordChange) {
        if let Some(changes) = &mut self.recovery.changes {
            changes.push(change());
        }
    }

    /// Starts the recovery from the records of the previous run. Must be called before any input is handled.
    pub fn recover(&mut self, now: Time, config: RecoveryConfig, found: &Records, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let others = self.config.fleet.as_ref().is_some_and(|fleet| fleet.controllers > 1);
        self.recovery.config = config;
        self.recovery.started = self.now;
        if *found == Records::default() {
            return out.push(Effect::Log("recovery: no records found; this is the first start".to_owned()));
        }
        self.recovery.recovery = Some(Recovery::new(config, self.now, others));
        out.push(Effect::Log(format!(
            "recovery: found records of {} established calls, {} pending releases and {} call servers; {} unreadable",
            found.calls.len(),
            found.pending_releases.len(),
            found.directory.len(),
            found.unreadable
        )));
        for (sid, cause) in &found.pending_releases {
            self.remember_ended(*sid);
            self.send_release(NO_CLIENT, *sid, *cause, 0, out);
        }
        self.recovery.undecided.extend(found.calls.iter().cloned());
        let mut by_source: BTreeMap<Source, Vec<DirectoryEntry>> = BTreeMap::new();
        for kept in found.current_entries(self.now, config.max_entry_age) {
            by_source.entry(kept.source).or_default().push(kept.entry.clone());
        }
        for (source, hosts) in by_source {
            self.directory_update(source, false, hosts, out);
        }
        self.advance_recovery(out);
    }

    /// A peer's observations have arrived.
    pub(super) fn peer_answered(&mut self) {
        if let Some(recovery) = &mut self.recovery.recovery {
            recovery.record_peer_answer();
            self.deadlines.set(self.now, Deadline::Recovery);
        }
    }

    /// Whether the recovery admits a new set-up.
    pub(super) fn recovery_admits(&mut self) -> bool {
        let now = self.now;
        self.recovery.recovery.as_mut().is_none_or(|recovery| recovery.admits(now))
    }

    /// Whether reported queue lengths are ignored for now. The decision module converts them to a wait by the usual time
    /// per call, which is unknown until calls are served again. Guards against a queue of 200 calls that is taken for
    /// minutes, and all calls refused for as long.
    pub(super) fn ignores_reported_queue(&self) -> bool {
        self.recovery.recovery.as_ref().is_some_and(|recovery| recovery.phase() < Phase::Serving)
    }

    /// The state of a call server for the decision module: during a recovery a cold call server gets no calls until full
    /// service.
    pub(super) fn state_for_module(&self, entry: &DirectoryEntry) -> ServerState {
        let cold =
            self.now.since(Time(entry.started_ms.saturating_mul(1_000))) < self.config.settings.warm_up;
        let waits = self.recovery.recovery.as_ref().is_some_and(|recovery| !recovery.allows_cold_servers());
        match entry.state {
            ServerState::Ready if cold && waits => ServerState::Draining,
            state => state,
        }
    }

    /// Advances the recovery: its phase may have ended, and undecided calls may have waited long enough for the list.
    pub(super) fn advance_recovery(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(recovery) = &mut self.recovery.recovery else { return self.decide_all_calls(out) };
        let entered = recovery.advance(now);
        let ends = recovery.phase_end();
        out.extend(entered.iter().map(|phase| Effect::Log(phase.to_string())));
        if entered.iter().any(|entered| entered.phase == Phase::Serving) {
            let ready = self.servers.iter().filter(|(_, l)| l.entry.state == ServerState::Ready);
            let ready: Vec<ServerId> = ready.map(|(server, _)| *server).collect();
            ready.into_iter().for_each(|server| self.relist(server, ServerState::Ready, out));
        }
        self.decide_all_calls(out);
        let until = self.recovery.undecided_until();
        let next = ends.into_iter().chain((!self.recovery.undecided.is_empty()).then_some(until)).min();
        match next {
            Some(at) => self.deadlines.set(at.max(now), Deadline::Recovery),
            None if self.recovery.restored.is_empty() => self.recovery.recovery = None,
            None => {}
        }
    }

    /// Decides on the recorded calls at a call server that a directory has just listed.
    pub(super) fn decide_calls_at(
        &mut self,
        server: ServerId,
        entry: &DirectoryEntry,
        out: &mut Vec<Effect>,
    ) {
        if self.recovery.undecided.is_empty() && self.recovery.restored.is_empty() {
            return;
        }
        let there = self.recovery.undecided.iter().filter(|(_, call)| call.host == entry.host);
        let there: Vec<Sid> = there.map(|(sid, _)| *sid).collect();
        for sid in there {
            self.decide_call(sid, Some((server, entry.started_ms)), out);
        }
        // Guards against calls that stay established at callers because an outdated list named the process that had them.
        let restarted = |(at, started_ms): &(ServerId, u64)| *at == server && *started_ms != entry.started_ms;
        let over = self.recovery.restored.iter().filter(|(_, call)| restarted(call));
        let over: Vec<Sid> = over.map(|(sid, _)| *sid).collect();
        for sid in over {
            self.recovery.restored.remove(&sid);
            self.cut_call(sid, out);
        }
    }

    /// Decides on all recorded calls whose call servers are not listed.
    fn decide_all_calls(&mut self, out: &mut Vec<Effect>) {
        let undecided: Vec<Sid> = self.recovery.undecided.keys().copied().collect();
        for sid in undecided {
            self.decide_call(sid, None, out);
        }
    }

    /// Restores a recorded call or ends it; `listed`: its call server's id and start, if a directory lists it.
    fn decide_call(&mut self, sid: Sid, listed: Option<(ServerId, u64)>, out: &mut Vec<Effect>) {
        let (config, started) = (self.recovery.config, self.recovery.started);
        let Some(call) = self.recovery.undecided.get(&sid) else { return };
        let listed_start = listed.map(|(_, started_ms)| started_ms);
        match (recovered_call_state(&config, started, self.now, call.started_ms, listed_start), listed) {
            (RecoveredCallState::Established, Some((server, started_ms))) => {
                let Some(call) = self.recovery.undecided.remove(&sid) else { return };
                let (id, attempt) = (CallId(self.next_call), 0);
                self.next_call = self.next_call.wrapping_add(1);
                let since = Time(call.since_ms.saturating_mul(1_000));
                let leg_client = self.recovery.leg_clients.remove(&sid);
                let leg_client = leg_client.filter(|client| self.clients.contains_key(client));
                let client = leg_client.unwrap_or(NO_CLIENT);
                self.registry.add_established(sid, client, server, id, attempt, since);
                out.push(Effect::RestoreCall { server, sid, number: call.number.as_str().into() });
                if call.leg && leg_client.is_none() {
                    // Its caller's leg ended with the previous process, or has ended since: nobody is on the call.
                    self.end_established(sid, CAUSE_CUT, out);
                } else {
                    self.recovery.restored.insert(sid, (server, started_ms));
                }
            }
            (RecoveredCallState::Undecided(_), _) => {}
            (RecoveredCallState::Established | RecoveredCallState::Ended, _) => {
                let leg = self.recovery.undecided.remove(&sid).is_some_and(|call| call.leg);
                self.remember_ended(sid);
                let leg_client = self.recovery.leg_clients.remove(&sid);
                if let Some(client) = leg_client.or((!leg).then_some(NO_CLIENT)) {
                    self.send_release(client, sid, CAUSE_CUT, 0, out);
                }
            }
        }
    }

    /// Records a directory's entry.
    pub(super) fn record_entry(&mut self, source: Source, entry: &DirectoryEntry) {
        let told_ms = self.now.0 / 1_000;
        self.record_change(|| {
            RecordChange::ServerListed(DirectoryRecord { source, entry: entry.clone(), listed_ms: told_ms })
        });
    }

    /// Removes a call that has ended from the restored ones.
    pub(super) fn drop_restored(&mut self, sid: Sid) {
        self.recovery.restored.remove(&sid);
    }
}
