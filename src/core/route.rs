//! Stage 3: the decision module hears an event, and each of its actions goes to the stage that carries it out.

use crate::core::{Core, Deadline, DirectoryEntry, Effect, Listed, Source};
use crate::interface::{
    Action, Event, ListKind, LoadField, LoadReport, Outcome, ServerEntry, ServerId, ServerState, Span, Time,
};

use crate::recovery::records::Change;

/// A call server that has left the list is remembered this long, and for as long as calls stand there.
const GONE: Span = Span::from_millis(20_000);
/// Call servers known at once at most; memory only.
const MOST_SERVERS: usize = 1_024;

impl Core {
    /// Hands an event to the module and carries out what follows from it, until nothing more follows.
    pub(super) fn feed(&mut self, event: Event, out: &mut Vec<Effect>) {
        self.events.push_back(event);
        self.pump(out);
    }

    /// Lets the module hear what has been booked for it.
    pub(super) fn pump(&mut self, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.publish_observation(&event);
            self.module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action, out);
            }
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send { call, server, patience } => self.send(call, server, patience, out),
            Action::Refuse { call, retry_after } => self.refuse(call, retry_after, out),
            Action::Fail { call } => self.fail(call, out),
            Action::Cancel { call, attempt } => self.cancel(call, attempt.0, out),
            Action::Timer { after, token } => {
                self.deadlines.set(self.now.plus(after), Deadline::Module(token))
            }
            Action::Tell { to, data } => out.push(Effect::SendToPeers(to, data)),
            Action::Lack { server, parts } => self.request_credit(server, parts),
            Action::Lend { to, server, parts } => self.grant_credit(to, server, parts),
            Action::Log(line) => out.push(Effect::Log(line)),
            // Probes are not allowed; ways to call servers are kept up; the list comes unasked.
            Action::Probe { .. } | Action::CloseIdle { .. } | Action::Watch(_) | Action::FetchList => {}
        }
    }

    pub(super) fn server_reports(
        &mut self,
        server: ServerId,
        report: crate::core::LoadValues,
        out: &mut Vec<Effect>,
    ) {
        let load = self.load_of(&report);
        self.feed(Event::Load { server, outcome: Outcome::Ok, load }, out);
    }

    /// A report's figures in the order of the settings; -1 where one is not told.
    pub(super) fn load_of(&self, report: &crate::core::LoadValues) -> LoadReport {
        if report.is_empty() {
            return LoadReport::default();
        }
        let fields = self.config.settings.load_fields.iter();
        let unread = |field: &LoadField| *field == LoadField::Pending && self.reads_no_queue();
        let told = |field: &LoadField| match report.iter().find(|(name, _)| name == field) {
            Some((_, value)) if !unread(field) => *value,
            _ => -1.0,
        };
        LoadReport(fields.map(told).collect())
    }

    /// News of a directory: what changed goes to the module, and the wires keep up or give up their ways.
    pub(super) fn news(
        &mut self,
        source: Source,
        whole: bool,
        mut hosts: Vec<DirectoryEntry>,
        out: &mut Vec<Effect>,
    ) {
        if whole {
            let left = self.servers.values().filter(|l| l.source == source);
            let left = left.filter(|l| l.line.state != ServerState::Gone);
            let left = left.filter(|l| !hosts.iter().any(|h| h.host == l.line.host));
            let left: Vec<DirectoryEntry> =
                left.map(|l| DirectoryEntry { state: ServerState::Gone, ..l.line.clone() }).collect();
            hosts.extend(left);
        }
        self.list_held |= !hosts.is_empty();
        let mut entries = Vec::new();
        for line in hosts {
            let Some(server) = self.number_of(source, &line) else { continue };
            let before = self.servers.get(&server).map(|l| (l.line.started_ms, l.line.address));
            if line.state == ServerState::Ready && before.is_none_or(|(_, dial)| dial != line.address) {
                entries.extend(self.replaced_by(server, source, &line, out));
            }
            entries.push(entry_of(
                server,
                &DirectoryEntry { state: self.state_for_module(&line), ..line.clone() },
            ));
            self.publish_listing(server, &line);
            self.keep_line(source, &line);
            let fresh = before.is_some_and(|(born, dial)| born != line.started_ms || dial != line.address);
            let fresh = fresh.then_some(Time(line.started_ms.saturating_mul(1000)));
            let (address, protocol, state) = (line.address, line.protocol, line.state);
            self.servers.insert(server, Listed { line, source });
            match state {
                ServerState::Gone => self.deadlines.set(self.now.plus(GONE), Deadline::ForgetServer(server)),
                ServerState::Ready | ServerState::Draining => {
                    self.deadlines.clear(&Deadline::ForgetServer(server))
                }
            }
            match state {
                ServerState::Ready => {
                    out.push(Effect::Connect { server, address, protocol, restarted_at: fresh })
                }
                ServerState::Draining => {
                    out.push(Effect::CancelQueued(server));
                    out.push(Effect::Connect { server, address, protocol, restarted_at: fresh });
                }
                ServerState::Gone => {
                    // Its calls end when it says so, dies or stays silent: the list is seconds late and may be wrong.
                    out.push(Effect::CancelQueued(server));
                    out.push(Effect::StopConnecting(server));
                }
            }
        }
        if !entries.is_empty() {
            let named: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for server in &named {
                let Some(line) = self.servers.get(server).map(|listed| listed.line.clone()) else { continue };
                self.decide_at(*server, &line, out);
            }
            self.feed(Event::List { kind: ListKind::Delta, entries }, out);
            self.replay_observations(&named, out);
        }
    }
}

impl Core {
    /// The number of the call server of this name. Numbers are never used twice: what is still under way for one that
    /// has left must not meet another.
    fn number_of(&mut self, source: Source, line: &DirectoryEntry) -> Option<ServerId> {
        let name = (source, line.host.clone());
        if let Some(known) = self.hosts.get(&name) {
            return Some(*known);
        }
        // One that has left before it was known is no news.
        if line.state == ServerState::Gone || self.hosts.len() >= MOST_SERVERS {
            return None;
        }
        self.next_server += 1;
        let server = ServerId { address: self.next_server, port: 0 };
        self.hosts.insert(name, server);
        Some(server)
    }

    /// Those that had this address before: their processes are gone, whatever the list still says of them. Guards
    /// against calls left standing at a call server whose place another has taken.
    fn replaced_by(
        &mut self,
        server: ServerId,
        source: Source,
        line: &DirectoryEntry,
        out: &mut Vec<Effect>,
    ) -> Vec<ServerEntry> {
        let at_once = |l: &Listed| l.source == source && l.line.address == line.address;
        let before = self.servers.iter().filter(|(id, l)| **id != server && at_once(l));
        let before: Vec<ServerId> = before.map(|(id, _)| *id).collect();
        let mut entries = Vec::new();
        for old in before {
            let Some(listed) = self.servers.get_mut(&old) else { continue };
            let was = std::mem::replace(&mut listed.line.state, ServerState::Gone);
            if was != ServerState::Gone {
                entries.push(entry_of(old, &listed.line));
                self.deadlines.set(self.now.plus(GONE), Deadline::ForgetServer(old));
            }
            out.push(Effect::CancelQueued(old));
            out.push(Effect::ServerReplaced(old));
        }
        entries
    }

    /// Forgets a call server that has left, unless calls still stand there.
    pub(super) fn forget_server(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(listed) = self.servers.get(&server) else { return };
        if listed.line.state != ServerState::Gone {
            return;
        }
        let out_there = self.open.values().any(|open| open.out.is_some_and(|o| o.server == server));
        if out_there || self.book.any_at(server) {
            return self.deadlines.set(self.now.plus(GONE), Deadline::ForgetServer(server));
        }
        if let Some(listed) = self.servers.remove(&server) {
            self.note_change(|| Change::Unlisted(listed.source, listed.line.host.clone()));
            self.keys.remove(&listed.line.host);
            self.warnings.forget(server);
            self.hosts.remove(&(listed.source, listed.line.host));
        }
        out.push(Effect::ForgetServer(server));
    }
}

pub(super) fn entry_of(server: ServerId, line: &DirectoryEntry) -> ServerEntry {
    ServerEntry {
        server,
        cell: line.cell,
        zone: line.zone,
        started: Time(line.started_ms.saturating_mul(1000)),
        state: line.state,
    }
}
