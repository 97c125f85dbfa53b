//! What the core keeps for a life after this one, and how it goes on from what the life before kept.

use std::collections::BTreeMap;

use crate::core::relay::CAUSE_CUT;
use crate::core::{Client, Core, Deadline, DirectoryEntry, Effect, FrontKind, Sid, Source};
use crate::interface::{CallId, ServerId, ServerState, Time};
use crate::recovery::records::{Change, Found, KeptCall, KeptLine};
use crate::recovery::{fate, Fate, Phase, Recovery, RecoveryConfig};

/// Whoever comes: the connections of the life before are gone.
const NOBODY: Client = Client { front: FrontKind::JsonLines, no: u64::MAX };

/// What is kept, and what came back.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// Changes to be kept that nobody has taken yet; `None`: nothing is kept.
    pub(super) changes: Option<Vec<Change>>,
    recovery: Option<Recovery>,
    config: RecoveryConfig,
    began: Time,
    /// Calls whose call server is not listed yet.
    unknown: BTreeMap<Sid, KeptCall>,
    /// Calls that were taken for standing, and the birth of the call server that they stand at.
    trusted: BTreeMap<Sid, (ServerId, u64)>,
}

impl Core {
    /// From now on what a life after this one needs is noted, for [`Core::take_changes`].
    pub fn record_changes(&mut self) {
        self.returns.changes.get_or_insert_with(Vec::new);
    }

    /// For so long nothing may go for a call after an attempt that may have been out, and a round more.
    pub fn resend_delay(&self) -> crate::interface::Span {
        crate::interface::Span(self.config.settings.release.0.saturating_add(self.config.settings.tick.0))
    }

    /// What is to be kept, since it was last asked for.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.returns.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub(super) fn note_change(&mut self, change: impl FnOnce() -> Change) {
        if let Some(changes) = &mut self.returns.changes {
            changes.push(change());
        }
    }

    /// Goes on after a life that left these records. To be called before anything else is handled.
    pub fn recover(&mut self, now: Time, config: RecoveryConfig, found: &Found, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let others = self.config.fleet.as_ref().is_some_and(|fleet| fleet.controllers > 1);
        self.returns.config = config;
        self.returns.began = self.now;
        if *found == Found::default() {
            return out
                .push(Effect::Log("recovery: there are no records: this is the first start".to_owned()));
        }
        self.returns.recovery = Some(Recovery::new(config, self.now, others));
        out.push(Effect::Log(format!(
            "recovery: the records hold {} calls that stood, {} releases owed, {} call servers; {} cannot be read",
            found.calls.len(),
            found.owed.len(),
            found.list.len(),
            found.unreadable
        )));
        for (sid, cause) in &found.owed {
            self.remember(*sid);
            self.say_release(NOBODY, *sid, *cause, 0, out);
        }
        self.returns.unknown.extend(found.calls.iter().cloned());
        let mut by_source: BTreeMap<Source, Vec<DirectoryEntry>> = BTreeMap::new();
        for kept in found.lines(self.now, config.line_age) {
            by_source.entry(kept.source).or_default().push(kept.line.clone());
        }
        for (source, hosts) in by_source {
            self.news(source, false, hosts, out);
        }
        self.recovery_due(out);
    }

    /// Another controller has told what it sees.
    pub(super) fn others_answer(&mut self) {
        if let Some(recovery) = &mut self.returns.recovery {
            recovery.hears();
            self.deadlines.set(self.now, Deadline::Recovery);
        }
    }

    /// Whether a set-up that has just come is taken, as far as the recovery goes.
    pub(super) fn returned(&mut self) -> bool {
        let now = self.now;
        self.returns.recovery.as_mut().is_none_or(|recovery| recovery.takes(now))
    }

    /// Whether a reported queue tells nothing yet: the module reads it by what is usual, which nobody knows before work is
    /// back. Guards against 200 calls that wait being read as minutes, and all calls refused for as long.
    pub(super) fn reads_no_queue(&self) -> bool {
        self.returns.recovery.as_ref().is_some_and(|recovery| recovery.phase() < Phase::Serving)
    }

    /// What the module hears of a call server's state: one that is cold takes no calls before all others have work.
    pub(super) fn state_for_module(&self, line: &DirectoryEntry) -> ServerState {
        let cold = self.now.since(Time(line.started_ms.saturating_mul(1_000))) < self.config.settings.cold;
        let waits = self.returns.recovery.as_ref().is_some_and(|recovery| !recovery.gives_to_cold());
        match line.state {
            ServerState::Ready if cold && waits => ServerState::Draining,
            state => state,
        }
    }

    /// A phase of the recovery may have ended, or calls have waited for the list for long enough.
    pub(super) fn recovery_due(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(recovery) = &mut self.returns.recovery else { return };
        let began = recovery.look(now);
        let ends = recovery.ends();
        out.extend(began.iter().map(|phase| Effect::Log(phase.to_string())));
        if began.iter().any(|b| b.phase == Phase::Serving) {
            let cold = self.servers.iter().filter(|(_, l)| l.line.state == ServerState::Ready);
            let cold: Vec<ServerId> = cold.map(|(server, _)| *server).collect();
            cold.into_iter().for_each(|server| self.list_again(server, ServerState::Ready, out));
        }
        let waiting: Vec<Sid> = self.returns.unknown.keys().copied().collect();
        for sid in waiting {
            self.decide(sid, None, out);
        }
        let until = self.returns.began.plus(self.returns.config.list_patience);
        let next = ends.into_iter().chain((!self.returns.unknown.is_empty()).then_some(until)).min();
        match next {
            Some(at) => self.deadlines.set(at.max(now), Deadline::Recovery),
            None if self.returns.trusted.is_empty() => self.returns.recovery = None,
            None => {}
        }
    }

    /// A list names a call server: what becomes of the calls that stood there.
    pub(super) fn decide_at(&mut self, server: ServerId, line: &DirectoryEntry, out: &mut Vec<Effect>) {
        if self.returns.unknown.is_empty() && self.returns.trusted.is_empty() {
            return;
        }
        let there = self.returns.unknown.iter().filter(|(_, call)| call.host == line.host);
        let there: Vec<Sid> = there.map(|(sid, _)| *sid).collect();
        for sid in there {
            self.decide(sid, Some((server, line.started_ms)), out);
        }
        // Guards against calls left standing at callers since an old list named the process that carried them.
        let anew = |(at, born): &(ServerId, u64)| *at == server && *born != line.started_ms;
        let over = self.returns.trusted.iter().filter(|(_, call)| anew(call));
        let over: Vec<Sid> = over.map(|(sid, _)| *sid).collect();
        for sid in over {
            self.returns.trusted.remove(&sid);
            self.cut(sid, out);
        }
    }

    fn decide(&mut self, sid: Sid, listed: Option<(ServerId, u64)>, out: &mut Vec<Effect>) {
        let (config, began) = (self.returns.config, self.returns.began);
        let Some(call) = self.returns.unknown.get(&sid) else { return };
        match (fate(&config, began, self.now, call.born_ms, listed.map(|(_, born)| born)), listed) {
            (Fate::Stands, Some((server, born))) => {
                let Some(call) = self.returns.unknown.remove(&sid) else { return };
                let (id, attempt) = (CallId(self.next_call), 0);
                self.next_call = self.next_call.wrapping_add(1);
                let since = Time(call.since_ms.saturating_mul(1_000));
                self.book.stands(sid, NOBODY, server, id, attempt, since);
                out.push(Effect::RestoreCall { server, sid, number: call.number.as_str().into() });
                if call.leg {
                    // Its caller's leg has gone with the process before: there is nobody to talk to.
                    self.end_standing(sid, CAUSE_CUT, out);
                } else {
                    self.returns.trusted.insert(sid, (server, born));
                }
            }
            (Fate::Unknown(_), _) => {}
            (Fate::Stands | Fate::Over, _) => {
                let leg = self.returns.unknown.remove(&sid).is_some_and(|call| call.leg);
                self.remember(sid);
                if !leg {
                    self.say_release(NOBODY, sid, CAUSE_CUT, 0, out);
                }
            }
        }
    }

    /// The line of a list is kept.
    pub(super) fn keep_line(&mut self, source: Source, line: &DirectoryEntry) {
        let told_ms = self.now.0 / 1_000;
        self.note_change(|| Change::Listed(KeptLine { source, line: line.clone(), told_ms }));
    }

    /// A call that has ended needs no more trust.
    pub(super) fn no_longer_trusted(&mut self, sid: Sid) {
        self.returns.trusted.remove(&sid);
    }
}
