//! Stage 3: events go to the decision module, and each of its actions goes to the stage that executes it. Directory
//! updates are handled here too.

use crate::core::{Core, Deadline, DirectoryEntry, Effect, ListedServer, Source};
use crate::interface::{
    Action, Event, ListKind, LoadField, LoadReport, Outcome, ServerEntry, ServerId, ServerState, Span, Time,
};
use crate::recovery::records::RecordChange;

/// How long a call server that has left its directory is remembered; longer while it has calls.
const FORGET_SERVER_AFTER: Span = Span::from_millis(20_000);
/// Limit of the call servers known at once; it bounds memory only.
const MAX_SERVERS: usize = 1_024;

impl Core {
    /// Passes an event to the decision module and executes all actions that follow.
    pub(super) fn feed(&mut self, event: Event, out: &mut Vec<Effect>) {
        self.events.push_back(event);
        self.process_events(out);
    }

    /// Passes the queued events to the decision module and executes its actions, until no event is left.
    pub(super) fn process_events(&mut self, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.publish_observation(&event);
            self.module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action, out);
            }
        }
    }

    fn execute(&mut self, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send { call, server, timeout } => self.send(call, server, timeout, out),
            Action::Refuse { call, retry_after } => self.refuse(call, retry_after, out),
            Action::Fail { call } => self.fail(call, out),
            Action::Cancel { call, attempt } => self.cancel(call, attempt.0, out),
            Action::Timer { after, token } => {
                self.deadlines.set(self.now.plus(after), Deadline::Module(token))
            }
            Action::SendToPeers { to, data } => out.push(Effect::SendToPeers(to, data)),
            Action::RequestPermits { server, permits } => self.request_credit(server, permits),
            Action::LendPermits { to, server, permits } => self.grant_credit(to, server, permits),
            Action::Log(line) => out.push(Effect::Log(line)),
            // Probes are not allowed, connections to call servers are kept open, and lists arrive without a request.
            Action::Probe { .. }
            | Action::CloseIdle { .. }
            | Action::SubscribeList(_)
            | Action::FetchList => {}
        }
    }

    /// Handles a load report that belongs to no call.
    pub(super) fn load_reported(
        &mut self,
        server: ServerId,
        report: crate::core::LoadValues,
        out: &mut Vec<Effect>,
    ) {
        let load = self.load_of(&report);
        self.feed(Event::Load { server, outcome: Outcome::Ok, load }, out);
    }

    /// A report's values in the order of the settings; -1 for those not reported.
    pub(super) fn load_of(&self, report: &crate::core::LoadValues) -> LoadReport {
        if report.is_empty() {
            return LoadReport::default();
        }
        let fields = self.config.settings.load_fields.iter();
        let ignored = |field: &LoadField| *field == LoadField::Pending && self.ignores_reported_queue();
        let value_of = |field: &LoadField| match report.iter().find(|(name, _)| name == field) {
            Some((_, value)) if !ignored(field) => *value,
            _ => -1.0,
        };
        LoadReport(fields.map(value_of).collect())
    }

    /// Handles an update of a directory: changes go to the decision module, and the protocol adapters open or close their
    /// connections.
    pub(super) fn directory_update(
        &mut self,
        source: Source,
        whole: bool,
        mut hosts: Vec<DirectoryEntry>,
        out: &mut Vec<Effect>,
    ) {
        if whole {
            let left = self.servers.values().filter(|l| l.source == source);
            let left = left.filter(|l| l.entry.state != ServerState::Gone);
            let left = left.filter(|l| !hosts.iter().any(|h| h.host == l.entry.host));
            let left: Vec<DirectoryEntry> =
                left.map(|l| DirectoryEntry { state: ServerState::Gone, ..l.entry.clone() }).collect();
            hosts.extend(left);
        }
        self.has_list |= !hosts.is_empty();
        let mut entries = Vec::new();
        for entry in hosts {
            let Some(server) = self.server_id_of(source, &entry) else { continue };
            let before = self.servers.get(&server).map(|l| (l.entry.started_ms, l.entry.address));
            if entry.state == ServerState::Ready && before.is_none_or(|(_, address)| address != entry.address)
            {
                entries.extend(self.retire_servers_at(server, source, &entry, out));
            }
            entries.push(server_entry(
                server,
                &DirectoryEntry { state: self.state_for_module(&entry), ..entry.clone() },
            ));
            self.publish_listing(server, &entry);
            self.record_entry(source, &entry);
            let restarted = before
                .is_some_and(|(started, address)| started != entry.started_ms || address != entry.address);
            if restarted {
                let restarted_at = Time(entry.started_ms.saturating_mul(1000));
                out.push(Effect::ServerRestarted(server, restarted_at));
            }
            let (address, protocol, state) = (entry.address, entry.protocol, entry.state);
            self.servers.insert(server, ListedServer { entry, source });
            match state {
                ServerState::Gone => {
                    self.deadlines.set(self.now.plus(FORGET_SERVER_AFTER), Deadline::ForgetServer(server))
                }
                ServerState::Ready | ServerState::Draining => {
                    self.deadlines.clear(&Deadline::ForgetServer(server))
                }
            }
            match state {
                ServerState::Ready => out.push(Effect::Connect { server, address, protocol }),
                ServerState::Draining => {
                    out.push(Effect::CancelQueued(server));
                    out.push(Effect::Connect { server, address, protocol });
                }
                ServerState::Gone => {
                    // Its calls end when it releases them, dies or stays silent: the list is seconds late and may be
                    // wrong.
                    out.push(Effect::CancelQueued(server));
                    out.push(Effect::StopConnecting(server));
                }
            }
        }
        if !entries.is_empty() {
            let named: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for server in &named {
                let Some(entry) = self.servers.get(server).map(|listed| listed.entry.clone()) else {
                    continue;
                };
                self.decide_calls_at(*server, &entry, out);
            }
            self.feed(Event::List { kind: ListKind::Delta, entries }, out);
            self.replay_observations(&named, out);
        }
    }
}

impl Core {
    /// The id of the call server with this host name, assigned when it is first listed. Ids are never reused: events still
    /// under way for a call server that has left must not be taken for another's.
    fn server_id_of(&mut self, source: Source, entry: &DirectoryEntry) -> Option<ServerId> {
        let name = (source, entry.host.clone());
        if let Some(known) = self.hosts.get(&name) {
            return Some(*known);
        }
        // An entry for a call server that left before it was known changes nothing.
        if entry.state == ServerState::Gone || self.hosts.len() >= MAX_SERVERS {
            return None;
        }
        self.next_server += 1;
        let server = ServerId { address: self.next_server, port: 0 };
        self.hosts.insert(name, server);
        Some(server)
    }

    /// Marks the call servers that had this address before as gone: their processes no longer exist, whatever the list
    /// still says. Guards against calls that stay established at a call server whose address another has taken.
    fn retire_servers_at(
        &mut self,
        server: ServerId,
        source: Source,
        entry: &DirectoryEntry,
        out: &mut Vec<Effect>,
    ) -> Vec<ServerEntry> {
        let same_address = |l: &ListedServer| l.source == source && l.entry.address == entry.address;
        let before = self.servers.iter().filter(|(id, l)| **id != server && same_address(l));
        let before: Vec<ServerId> = before.map(|(id, _)| *id).collect();
        let mut entries = Vec::new();
        for old in before {
            let Some(listed) = self.servers.get_mut(&old) else { continue };
            let was = std::mem::replace(&mut listed.entry.state, ServerState::Gone);
            if was != ServerState::Gone {
                entries.push(server_entry(old, &listed.entry));
                self.deadlines.set(self.now.plus(FORGET_SERVER_AFTER), Deadline::ForgetServer(old));
            }
            out.push(Effect::CancelQueued(old));
            out.push(Effect::ServerReplaced(old));
        }
        entries
    }

    /// Forgets a call server that has left, unless it still has calls.
    pub(super) fn forget_server(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(listed) = self.servers.get(&server) else { return };
        if listed.entry.state != ServerState::Gone {
            return;
        }
        let has_attempts = self.pending.values().any(|call| call.has_attempt_at(server));
        if has_attempts || self.registry.has_calls_at(server) {
            return self.deadlines.set(self.now.plus(FORGET_SERVER_AFTER), Deadline::ForgetServer(server));
        }
        if let Some(listed) = self.servers.remove(&server) {
            self.record_change(|| RecordChange::ServerForgotten(listed.source, listed.entry.host.clone()));
            self.keys.remove(&listed.entry.host);
            self.warnings.forget(server);
            self.hosts.remove(&(listed.source, listed.entry.host));
        }
        out.push(Effect::ForgetServer(server));
    }
}

/// A directory entry in the form that the decision module takes.
pub(super) fn server_entry(server: ServerId, entry: &DirectoryEntry) -> ServerEntry {
    ServerEntry {
        server,
        cell: entry.cell,
        zone: entry.zone,
        started: Time(entry.started_ms.saturating_mul(1000)),
        state: entry.state,
    }
}
