//! This controller's own membership, and what a source does for the members whose home it is.

use std::net::SocketAddr;

use super::message::{Heartbeat, HeartbeatAck, Join, JoinRefused, Leave, Message, Welcome};
use super::message::{MAX_LISTED_PEERS, MAX_LISTED_REJECTIONS};
use super::version::{Dot, SourceId, MAX_EPOCH};
use super::{Event, MemberRecord, Replica, MAX_MEMBERS, MEMBER_PREFIX};
use crate::interface::{Span, Time};

/// Times that one source is asked before the next one is.
const JOINS_PER_SOURCE: u32 = 2;
/// A source that is its own home asks another one to be it after so many heartbeats.
const SELF_HOME_HEARTBEATS: u32 = 2;
/// After so many heartbeats without an acknowledgement, the record is asked which source is the home.
const UNHEARD_HEARTBEATS: u32 = 3;
/// Times that a leave is sent, since nobody acknowledges it.
const LEAVE_REPEATS: usize = 3;
/// Members of a home that is silent for so long are removed if nobody else has become their home: longer than regions are
/// cut off from each other.
const ORPHANS_AFTER: Span = Span::from_millis(2 * 3_600 * 1_000);

/// What this controller is to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Asks to be a member.
    Joining,
    /// Is a member.
    Member {
        /// The source that hears its heartbeats.
        home: SourceId,
        /// Where that source said so.
        address: SocketAddr,
    },
    /// Another process has taken its name.
    Replaced,
    /// It has left.
    Left,
}

/// This controller's own membership.
#[derive(Debug)]
pub(super) struct Standing {
    role: Role,
    incarnation: u32,
    /// It was a member in this life.
    was_member: bool,
    /// Joins sent without an answer; also says which source is asked next.
    asked: u32,
    /// Heartbeats without an acknowledgement since the last one.
    unacknowledged: u32,
}

impl Standing {
    /// One that asks to be a member.
    pub(super) fn new(incarnation: u32) -> Standing {
        Standing { role: Role::Joining, incarnation, was_member: false, asked: 0, unacknowledged: 0 }
    }
}

impl Replica {
    /// Says good-bye; nothing is sent any more afterwards.
    pub fn leave(&mut self, now: Time, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        if let Role::Member { .. } = self.standing.role {
            self.say_leave(now);
        }
        out.append(&mut self.outbox);
        self.standing.role = Role::Left;
    }

    fn say_leave(&mut self, now: Time) {
        let message = Message::Leave(Leave { incarnation: self.standing.incarnation });
        if let Some(home) = self.home_address() {
            (0..LEAVE_REPEATS).for_each(|_| self.send(now, home, &message));
            return;
        }
        // Its own home: whoever hears this writes it down.
        let others = self.other_sources();
        others.into_iter().for_each(|to| self.send(now, to, &message));
    }

    /// Whether it is a member.
    pub fn is_member(&self) -> bool {
        matches!(self.standing.role, Role::Member { .. })
    }

    /// The source that hears its heartbeats.
    pub fn home(&self) -> Option<SourceId> {
        match self.standing.role {
            Role::Member { home, .. } => Some(home),
            _ => None,
        }
    }

    /// The incarnation under which it takes part.
    pub fn incarnation(&self) -> u32 {
        self.standing.incarnation
    }

    pub(super) fn takes_part(&self) -> bool {
        !matches!(self.standing.role, Role::Replaced | Role::Left)
    }

    pub(super) fn handle(&mut self, now: Time, from: SocketAddr, message: Message) {
        match message {
            Message::Join(join) => self.take_join(now, from, join),
            Message::Welcome(welcome) => self.take_welcome(from, &welcome),
            Message::JoinRefused(refused) => self.take_join_refused(now, &refused),
            Message::Heartbeat(heartbeat) => self.take_heartbeat(now, from, heartbeat),
            Message::HeartbeatAck(ack) if ack.incarnation == self.standing.incarnation => {
                self.standing.unacknowledged = 0;
            }
            Message::HeartbeatAck(_) => (),
            Message::Leave(leave) => self.take_leave(now, from, &leave),
            Message::Summary(summary) => self.take_summary(now, summary),
            Message::Changes(changes) => self.take_changes(now, from, &changes),
            Message::Digest(digest) => self.take_digest(now, from, &digest),
            Message::Hashes(hashes) => self.take_hashes(now, from, &hashes),
            Message::PieceRequest(request) => self.take_piece_request(now, from, &request),
            Message::Piece(piece) => self.take_piece(now, from, &piece),
        }
    }

    /// What each heartbeat interval asks for.
    pub(super) fn keep_membership(&mut self, now: Time) {
        if self.standing.role == Role::Joining {
            self.ask_to_join(now);
        } else {
            self.send_heartbeat(now);
        }
        if let Some(source) = self.config.source.filter(|_| self.ready) {
            self.remove_the_silent(now);
            self.remove_orphans(now, source);
            self.send_summaries(now, source);
        }
    }

    /// This process stood still.
    pub(super) fn forgive_silence(&mut self, now: Time) {
        self.residents.reset(now);
        self.standing.unacknowledged = 0;
        for heard in self.sources_heard.iter_mut().flatten() {
            *heard = now;
        }
    }

    fn ask_to_join(&mut self, now: Time) {
        let sources = self.other_sources();
        let round = sources.len() as u32 * JOINS_PER_SOURCE;
        if self.standing.asked >= round && self.ready {
            if let Some(source) = self.config.source {
                self.become_own_home(now, source);
                return;
            }
        }
        if sources.is_empty() {
            return;
        }
        let to = sources[(self.standing.asked / JOINS_PER_SOURCE) as usize % sources.len()];
        self.standing.asked = self.standing.asked.wrapping_add(1);
        self.send_join(now, to);
    }

    fn send_join(&mut self, now: Time, to: SocketAddr) {
        let config = &self.config;
        let join = Join {
            name: config.name.clone(),
            region: config.region.clone(),
            zone: config.zone.clone(),
            service: config.service.clone(),
            incarnation: self.standing.incarnation,
            source: config.source,
        };
        self.send(now, to, &Message::Join(join));
    }

    /// Where the other sources are reached, the preferred one first.
    pub(super) fn other_sources(&self) -> Vec<SocketAddr> {
        let own = self.config.address;
        let mut sources: Vec<SocketAddr> = Vec::new();
        for address in self.config.seeds.iter().copied().chain(self.members.source_addresses()) {
            if address != own && !sources.contains(&address) {
                sources.push(address);
            }
        }
        sources
    }

    /// A source that no other one answers is a member by itself.
    fn become_own_home(&mut self, now: Time, source: SourceId) {
        let config = &self.config;
        let record = MemberRecord {
            address: config.address,
            region: config.region.as_str().into(),
            zone: config.zone.as_str().into(),
            service: config.service.as_str().into(),
            incarnation: self.standing.incarnation,
            home: source,
            source: Some(source),
        };
        let name = config.name.clone();
        if self.write_member(now, &name, Some(&record)) {
            self.become_member(source, self.config.address);
        }
    }

    fn become_member(&mut self, home: SourceId, address: SocketAddr) {
        let was_joining = self.standing.role == Role::Joining;
        self.standing.role = Role::Member { home, address };
        (self.standing.was_member, self.standing.asked, self.standing.unacknowledged) = (true, 0, 0);
        if was_joining {
            self.report(Event::Joined);
        }
    }

    fn send_heartbeat(&mut self, now: Time) {
        let rejected: Vec<Dot> =
            self.entries.rejected().take(MAX_LISTED_REJECTIONS).map(|change| change.stamp.dot).collect();
        let name = self.config.name.clone();
        self.residents.heard(now, &name, self.vector, rejected.clone());
        if self.standing.unacknowledged >= UNHEARD_HEARTBEATS {
            self.follow_own_record();
        }
        let Some(home) = self.home_address() else {
            self.look_for_another_home(now);
            return;
        };
        if self.standing.unacknowledged >= self.config.missed_heartbeats {
            self.seek_another_home(now, home);
            return;
        }
        self.standing.unacknowledged += 1;
        let (incarnation, vector) = (self.standing.incarnation, self.vector);
        self.send(now, home, &Message::Heartbeat(Heartbeat { incarnation, vector, rejected }));
    }

    fn seek_another_home(&mut self, now: Time, silent: SocketAddr) {
        self.standing.role = Role::Joining;
        let sources = self.other_sources();
        let place = sources.iter().position(|source| *source == silent).map_or(0, |place| place + 1);
        self.standing.asked = place as u32 * JOINS_PER_SOURCE;
        self.ask_to_join(now);
    }

    /// A source that is its own home asks the others now and then.
    fn look_for_another_home(&mut self, now: Time) {
        self.standing.asked = self.standing.asked.wrapping_add(1);
        let others = self.other_sources();
        if others.is_empty() || !self.standing.asked.is_multiple_of(SELF_HOME_HEARTBEATS) {
            return;
        }
        let turn = (self.standing.asked / SELF_HOME_HEARTBEATS) as usize;
        self.send_join(now, others[turn % others.len()]);
    }

    /// Where heartbeats go; none: this is its own home.
    fn home_address(&self) -> Option<SocketAddr> {
        let Role::Member { home, address } = self.standing.role else {
            return None;
        };
        if Some(home) == self.config.source {
            return None;
        }
        Some(self.members.source_address(home).unwrap_or(address))
    }

    fn take_welcome(&mut self, from: SocketAddr, welcome: &Welcome) {
        if welcome.incarnation != self.standing.incarnation {
            return;
        }
        self.introduced = welcome.peers.clone();
        self.introduced.push(from);
        self.become_member(welcome.home, from);
    }

    fn take_join_refused(&mut self, now: Time, refused: &JoinRefused) {
        if self.standing.role != Role::Joining || refused.known < self.standing.incarnation {
            return;
        }
        if self.standing.was_member && refused.known > self.standing.incarnation {
            self.replaced();
            return;
        }
        // The record is of an earlier life of this process.
        self.standing.incarnation = refused.known.saturating_add(1).min(MAX_EPOCH);
        self.standing.asked = self.standing.asked.saturating_sub(1);
        self.next_heartbeat = now;
    }

    fn replaced(&mut self) {
        self.standing.role = Role::Replaced;
        self.report(Event::Replaced);
    }

    /// A controller asks this source to be a member.
    fn take_join(&mut self, now: Time, from: SocketAddr, join: Join) {
        let Some(source) = self.config.source.filter(|_| self.ready) else {
            return;
        };
        if join.name == self.config.name {
            return;
        }
        let record = MemberRecord {
            address: from,
            region: join.region.into(),
            zone: join.zone.into(),
            service: join.service.into(),
            incarnation: join.incarnation,
            home: source,
            source: join.source,
        };
        let known = self.members.get(&join.name).map(|member| member.record.clone());
        if let Some(known) = known.as_ref().filter(|known| is_superseded(&record, known)) {
            let refused = Message::JoinRefused(JoinRefused { known: known.incarnation });
            self.send(now, from, &refused);
            return;
        }
        if known.is_none() && self.members.len() >= MAX_MEMBERS {
            return;
        }
        self.remove_former_at(now, from, &join.name);
        if known.as_ref() != Some(&record) && !self.write_member(now, &join.name, Some(&record)) {
            return;
        }
        self.residents.admit(now, &join.name);
        let peers =
            (0..MAX_LISTED_PEERS).filter_map(|_| self.draw_peer()).filter(|peer| *peer != from).collect();
        self.send(
            now,
            from,
            &Message::Welcome(Welcome { incarnation: join.incarnation, home: source, peers }),
        );
    }

    /// A member of another name at the address of one that joins is gone.
    fn remove_former_at(&mut self, now: Time, address: SocketAddr, name: &str) {
        let former = self.members.at(address).filter(|member| *member.name != *name);
        if let Some(former) = former.map(|member| member.name.clone()) {
            self.remove_member(now, &former);
        }
    }

    fn take_heartbeat(&mut self, now: Time, from: SocketAddr, heartbeat: Heartbeat) {
        let Some(member) = self.members.at(from) else {
            return;
        };
        let name = member.name.clone();
        if member.record.incarnation != heartbeat.incarnation || !self.residents.contains(&name) {
            return;
        }
        self.residents.heard(now, &name, heartbeat.vector, heartbeat.rejected);
        self.send(now, from, &Message::HeartbeatAck(HeartbeatAck { incarnation: heartbeat.incarnation }));
    }

    fn take_leave(&mut self, now: Time, from: SocketAddr, leave: &Leave) {
        let Some(member) = self.members.at(from) else {
            return;
        };
        let own_home = member.record.source == Some(member.record.home);
        let name = member.name.clone();
        if member.record.incarnation == leave.incarnation && (own_home || self.residents.contains(&name)) {
            self.remove_member(now, &name);
        }
    }

    fn remove_the_silent(&mut self, now: Time) {
        for name in self.residents.silent(now, self.config.silence()) {
            self.remove_member(now, &name);
        }
    }

    /// Members whose home died with them are removed by the lowest source that lives: a source that was its own home as
    /// soon as it is silent, since it comes back by itself; others only when no cut lasts that long.
    fn remove_orphans(&mut self, now: Time, own: SourceId) {
        let silence = self.config.silence();
        let silent_for: Vec<Span> =
            self.sources_heard.iter_mut().map(|heard| now.since(*heard.get_or_insert(now))).collect();
        let heard_here = |source: &SourceId| self.summaries[source.index()].is_some();
        let lower = (0..own.0).map(SourceId).filter(heard_here);
        if lower.into_iter().any(|source| silent_for[source.index()] < silence) {
            return;
        }
        let is_orphan = |record: &MemberRecord| {
            let patience = if record.source == Some(record.home) { silence } else { ORPHANS_AFTER };
            record.home != own && silent_for[record.home.index()] >= patience
        };
        if silent_for.iter().all(|span| *span < silence) {
            return;
        }
        let orphans = self.members.iter().filter(|member| is_orphan(&member.record));
        let orphans: Vec<Box<str>> = orphans.map(|member| member.name.clone()).collect();
        orphans.iter().for_each(|name| self.remove_member(now, name));
    }

    fn remove_member(&mut self, now: Time, name: &str) {
        self.residents.dismiss(name);
        self.write_member(now, name, None);
    }

    fn write_member(&mut self, now: Time, name: &str, record: Option<&MemberRecord>) -> bool {
        let value = record.and_then(|record| serde_json::to_vec(record).ok());
        self.write(now, &format!("{MEMBER_PREFIX}{name}"), value.as_deref()).is_ok()
    }

    /// The entry of a member is another now.
    pub(super) fn member_changed(&mut self, now: Time, name: &str, value: Option<&[u8]>) {
        match value.and_then(MemberRecord::read) {
            Some(record) => self.member_written(now, name, record),
            None => self.member_removed(now, name),
        }
    }

    fn member_written(&mut self, now: Time, name: &str, record: MemberRecord) {
        if Some(record.home) == self.config.source {
            self.residents.admit(now, name);
        } else {
            self.residents.dismiss(name);
        }
        if name == self.config.name {
            self.own_record_written(&record);
        }
        if self.members.put(name, record) {
            self.report(Event::MemberJoined { name: name.to_string() });
        }
    }

    fn own_record_written(&mut self, record: &MemberRecord) {
        let own = record.address == self.config.address;
        if record.incarnation > self.standing.incarnation && !own && self.standing.was_member {
            self.replaced();
        } else {
            self.follow(record);
        }
    }

    fn follow_own_record(&mut self) {
        let record = self.members.get(&self.config.name).map(|member| member.record.clone());
        if let Some(record) = record {
            self.follow(&record);
        }
    }

    /// Two sources may have taken it in: the record says which one hears it.
    fn follow(&mut self, record: &MemberRecord) {
        if record.address != self.config.address || record.incarnation != self.standing.incarnation {
            return;
        }
        if let Role::Member { home, address } = &mut self.standing.role {
            if *home != record.home {
                *home = record.home;
                *address = self.members.source_address(record.home).unwrap_or(*address);
                self.standing.unacknowledged = 0;
            }
        }
    }

    fn member_removed(&mut self, now: Time, name: &str) {
        let known = self.members.get(name).map(|member| member.record.clone());
        if let Some(record) = known.filter(|_| self.residents.is_alive(now, name, self.config.silence())) {
            // Removed by a source that did not hear it, while this one does.
            if self.write_member(now, name, Some(&record)) {
                return;
            }
        }
        self.residents.dismiss(name);
        if self.members.remove(name) {
            self.report(Event::MemberLeft { name: name.to_string() });
        }
        if name == self.config.name && self.is_member() {
            self.standing.role = Role::Joining;
            self.standing.incarnation = self.standing.incarnation.saturating_add(1).min(MAX_EPOCH);
            self.standing.asked = 0;
            self.next_heartbeat = now;
            self.report(Event::Removed);
        }
    }
}

/// Whether a record that asks to be written goes behind the one known.
fn is_superseded(record: &MemberRecord, known: &MemberRecord) -> bool {
    record.incarnation < known.incarnation
        || (record.incarnation == known.incarnation && record.address != known.address)
}
