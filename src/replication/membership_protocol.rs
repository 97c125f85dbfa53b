//! Membership protocol: joining, heartbeats and leaving of this controller, and the work of a source as the home of
//! other members.

use std::net::SocketAddr;

use super::message::{Heartbeat, HeartbeatAck, Join, JoinRefused, Leave, Message, Welcome};
use super::message::{MAX_LISTED_PEERS, MAX_LISTED_REJECTIONS};
use super::version::{Dot, SourceId, MAX_EPOCH};
use super::{Event, MemberRecord, Replica, MAX_MEMBERS, MEMBER_PREFIX};
use crate::interface::{Span, Time};

/// Join requests to one source before the next source is tried.
const JOINS_PER_SOURCE: u32 = 2;
/// Heartbeat intervals between the join requests of a source that is its own home.
const SELF_HOME_HEARTBEATS: u32 = 2;
/// Unacknowledged heartbeats after which the member's own record is checked for another home.
const MISSED_ACKS_LIMIT: u32 = 3;
/// Number of copies of a leave message, which is never acknowledged.
const LEAVE_REPEATS: usize = 3;
/// Silence of a home source after which its members are removed if no other source has become their home. Longer than
/// any expected partition between regions.
const ORPHAN_TIMEOUT: Span = Span::from_millis(2 * 3_600 * 1_000);

/// State of this controller's membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Sends join requests.
    Joining,
    /// Is a member.
    Member {
        /// Home source: the one that receives its heartbeats.
        home: SourceId,
        /// Address of that source.
        address: SocketAddr,
    },
    /// Another process has taken over its name.
    Replaced,
    /// Has left the cluster.
    Left,
}

/// This controller's own membership.
#[derive(Debug)]
pub(super) struct OwnMembership {
    role: Role,
    incarnation: u32,
    /// Whether this process has been a member before.
    was_member: bool,
    /// Join requests without an answer; selects the source to ask next. At a source that is its own home, it counts
    /// heartbeat intervals instead.
    join_counter: u32,
    /// Heartbeats since the last acknowledgement.
    missed_acks: u32,
}

impl OwnMembership {
    /// Creates the state of a controller that is not a member yet.
    pub(super) fn new(incarnation: u32) -> OwnMembership {
        OwnMembership { role: Role::Joining, incarnation, was_member: false, join_counter: 0, missed_acks: 0 }
    }
}

impl Replica {
    /// Leaves the cluster; the replica sends nothing afterwards.
    pub fn leave(&mut self, now: Time, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        if let Role::Member { .. } = self.membership.role {
            self.send_leave(now);
        }
        out.append(&mut self.outbox);
        self.membership.role = Role::Left;
    }

    fn send_leave(&mut self, now: Time) {
        let message = Message::Leave(Leave { incarnation: self.membership.incarnation });
        if let Some(home) = self.home_address() {
            (0..LEAVE_REPEATS).for_each(|_| self.send(now, home, &message));
            return;
        }
        // This source is its own home: any other source that receives the message removes it.
        let others = self.other_sources();
        others.into_iter().for_each(|to| self.send(now, to, &message));
    }

    /// Returns whether this controller is a member.
    pub fn is_member(&self) -> bool {
        matches!(self.membership.role, Role::Member { .. })
    }

    /// Returns the home source of this controller.
    pub fn home(&self) -> Option<SourceId> {
        match self.membership.role {
            Role::Member { home, .. } => Some(home),
            _ => None,
        }
    }

    /// Returns the incarnation under which this controller is a member or joins.
    pub fn incarnation(&self) -> u32 {
        self.membership.incarnation
    }

    pub(super) fn is_active(&self) -> bool {
        !matches!(self.membership.role, Role::Replaced | Role::Left)
    }

    pub(super) fn dispatch(&mut self, now: Time, from: SocketAddr, message: Message) {
        match message {
            Message::Join(join) => self.handle_join(now, from, join),
            Message::Welcome(welcome) => self.handle_welcome(from, &welcome),
            Message::JoinRefused(refused) => self.handle_join_refused(now, &refused),
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat),
            Message::HeartbeatAck(ack) if ack.incarnation == self.membership.incarnation => {
                self.membership.missed_acks = 0;
            }
            Message::HeartbeatAck(_) => (),
            Message::Leave(leave) => self.handle_leave(now, from, &leave),
            Message::Summary(summary) => self.handle_summary(now, summary),
            Message::Changes(changes) => self.handle_changes(now, from, &changes),
            Message::Digest(digest) => self.handle_digest(now, from, &digest),
            Message::Hashes(hashes) => self.handle_hashes(now, from, &hashes),
            Message::PieceRequest(request) => self.handle_piece_request(now, from, &request),
            Message::Piece(piece) => self.handle_piece(now, from, &piece),
        }
    }

    /// Does the periodic work of each heartbeat interval.
    pub(super) fn maintain_membership(&mut self, now: Time) {
        if self.membership.role == Role::Joining {
            self.ask_to_join(now);
        } else {
            self.send_heartbeat(now);
        }
        if let Some(source) = self.config.source.filter(|_| self.ready) {
            self.remove_silent_members(now);
            self.remove_orphans(now, source);
            self.send_summaries(now, source);
        }
    }

    /// Restarts all silence timers after this process was stalled.
    pub(super) fn reset_silence_timers(&mut self, now: Time) {
        self.home_members.reset_silence(now);
        self.membership.missed_acks = 0;
        for received_at in self.summaries_received_at.iter_mut().flatten() {
            *received_at = now;
        }
    }

    fn ask_to_join(&mut self, now: Time) {
        let sources = self.other_sources();
        let all_tried = sources.len() as u32 * JOINS_PER_SOURCE;
        if self.membership.join_counter >= all_tried && self.ready {
            if let Some(source) = self.config.source {
                self.become_own_home(now, source);
                return;
            }
        }
        if sources.is_empty() {
            return;
        }
        let to = sources[(self.membership.join_counter / JOINS_PER_SOURCE) as usize % sources.len()];
        self.membership.join_counter = self.membership.join_counter.wrapping_add(1);
        self.send_join(now, to);
    }

    fn send_join(&mut self, now: Time, to: SocketAddr) {
        let config = &self.config;
        let join = Join {
            name: config.name.clone(),
            region: config.region.clone(),
            zone: config.zone.clone(),
            service: config.service.clone(),
            incarnation: self.membership.incarnation,
            source: config.source,
        };
        self.send(now, to, &Message::Join(join));
    }

    /// Returns the addresses of the other sources, the preferred one first.
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

    /// Makes this source a member with itself as its home, since no other source answered.
    fn become_own_home(&mut self, now: Time, source: SourceId) {
        let config = &self.config;
        let record = MemberRecord {
            address: config.address,
            region: config.region.as_str().into(),
            zone: config.zone.as_str().into(),
            service: config.service.as_str().into(),
            incarnation: self.membership.incarnation,
            home: source,
            source: Some(source),
        };
        let name = config.name.clone();
        if self.write_member(now, &name, Some(&record)) {
            self.become_member(source, self.config.address);
        }
    }

    fn become_member(&mut self, home: SourceId, address: SocketAddr) {
        let was_joining = self.membership.role == Role::Joining;
        self.membership.role = Role::Member { home, address };
        (self.membership.was_member, self.membership.join_counter, self.membership.missed_acks) =
            (true, 0, 0);
        if was_joining {
            self.emit(Event::Joined);
        }
    }

    fn send_heartbeat(&mut self, now: Time) {
        let rejected: Vec<Dot> =
            self.entries.rejected().take(MAX_LISTED_REJECTIONS).map(|change| change.stamp.dot).collect();
        let name = self.config.name.clone();
        self.home_members.record_heartbeat(now, &name, self.vector, rejected.clone());
        if self.membership.missed_acks >= MISSED_ACKS_LIMIT {
            self.adopt_home_from_own_record();
        }
        let Some(home) = self.home_address() else {
            self.request_external_home(now);
            return;
        };
        if self.membership.missed_acks >= self.config.missed_heartbeats {
            self.rejoin_at_another_source(now, home);
            return;
        }
        self.membership.missed_acks += 1;
        let (incarnation, vector) = (self.membership.incarnation, self.vector);
        self.send(now, home, &Message::Heartbeat(Heartbeat { incarnation, vector, rejected }));
    }

    fn rejoin_at_another_source(&mut self, now: Time, silent: SocketAddr) {
        self.membership.role = Role::Joining;
        let sources = self.other_sources();
        let index = sources.iter().position(|source| *source == silent).map_or(0, |index| index + 1);
        self.membership.join_counter = index as u32 * JOINS_PER_SOURCE;
        self.ask_to_join(now);
    }

    /// Sends a join request to another source from time to time, at a source that is its own home.
    fn request_external_home(&mut self, now: Time) {
        self.membership.join_counter = self.membership.join_counter.wrapping_add(1);
        let others = self.other_sources();
        if others.is_empty() || !self.membership.join_counter.is_multiple_of(SELF_HOME_HEARTBEATS) {
            return;
        }
        let attempt = (self.membership.join_counter / SELF_HOME_HEARTBEATS) as usize;
        self.send_join(now, others[attempt % others.len()]);
    }

    /// Returns the address for heartbeats; `None` if this controller is not a member or is its own home.
    fn home_address(&self) -> Option<SocketAddr> {
        let Role::Member { home, address } = self.membership.role else {
            return None;
        };
        if Some(home) == self.config.source {
            return None;
        }
        Some(self.members.source_address(home).unwrap_or(address))
    }

    fn handle_welcome(&mut self, from: SocketAddr, welcome: &Welcome) {
        if welcome.incarnation != self.membership.incarnation {
            return;
        }
        self.introduced_peers = welcome.peers.clone();
        self.introduced_peers.push(from);
        self.become_member(welcome.home, from);
    }

    fn handle_join_refused(&mut self, now: Time, refused: &JoinRefused) {
        if self.membership.role != Role::Joining || refused.known < self.membership.incarnation {
            return;
        }
        if self.membership.was_member && refused.known > self.membership.incarnation {
            self.mark_replaced();
            return;
        }
        // The known record is from an earlier run of this process: join with a higher incarnation.
        self.membership.incarnation = refused.known.saturating_add(1).min(MAX_EPOCH);
        self.membership.join_counter = self.membership.join_counter.saturating_sub(1);
        self.next_heartbeat = now;
    }

    fn mark_replaced(&mut self) {
        self.membership.role = Role::Replaced;
        self.emit(Event::Replaced);
    }

    /// Handles a join request at a source: writes the member's record and answers with a welcome or a refusal.
    fn handle_join(&mut self, now: Time, from: SocketAddr, join: Join) {
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
        self.remove_previous_member_at(now, from, &join.name);
        if known.as_ref() != Some(&record) && !self.write_member(now, &join.name, Some(&record)) {
            return;
        }
        self.home_members.add(now, &join.name);
        let peers =
            (0..MAX_LISTED_PEERS).filter_map(|_| self.random_peer()).filter(|peer| *peer != from).collect();
        self.send(
            now,
            from,
            &Message::Welcome(Welcome { incarnation: join.incarnation, home: source, peers }),
        );
    }

    /// Removes a member with another name at the address of a joining one: that process no longer exists.
    fn remove_previous_member_at(&mut self, now: Time, address: SocketAddr, name: &str) {
        let previous = self.members.by_address(address).filter(|member| *member.name != *name);
        if let Some(previous) = previous.map(|member| member.name.clone()) {
            self.remove_member(now, &previous);
        }
    }

    fn handle_heartbeat(&mut self, now: Time, from: SocketAddr, heartbeat: Heartbeat) {
        let Some(member) = self.members.by_address(from) else {
            return;
        };
        let name = member.name.clone();
        if member.record.incarnation != heartbeat.incarnation || !self.home_members.contains(&name) {
            return;
        }
        self.home_members.record_heartbeat(now, &name, heartbeat.vector, heartbeat.rejected);
        self.send(now, from, &Message::HeartbeatAck(HeartbeatAck { incarnation: heartbeat.incarnation }));
    }

    fn handle_leave(&mut self, now: Time, from: SocketAddr, leave: &Leave) {
        let Some(member) = self.members.by_address(from) else {
            return;
        };
        let own_home = member.record.source == Some(member.record.home);
        let name = member.name.clone();
        if member.record.incarnation == leave.incarnation && (own_home || self.home_members.contains(&name)) {
            self.remove_member(now, &name);
        }
    }

    fn remove_silent_members(&mut self, now: Time) {
        for name in self.home_members.silent(now, self.config.silence_timeout()) {
            self.remove_member(now, &name);
        }
    }

    /// Removes members whose home source is dead. Only the live source with the lowest number does so. A source that
    /// was its own home is removed after the silence timeout, since it rejoins by itself when it recovers; other
    /// members only after [`ORPHAN_TIMEOUT`], which outlasts network partitions.
    fn remove_orphans(&mut self, now: Time, own: SourceId) {
        let silence = self.config.silence_timeout();
        let silent_for: Vec<Span> = self
            .summaries_received_at
            .iter_mut()
            .map(|received_at| now.since(*received_at.get_or_insert(now)))
            .collect();
        let has_summary = |source: &SourceId| self.summaries[source.index()].is_some();
        let lower = (0..own.0).map(SourceId).filter(has_summary);
        if lower.into_iter().any(|source| silent_for[source.index()] < silence) {
            return;
        }
        let is_orphan = |record: &MemberRecord| {
            let timeout = if record.source == Some(record.home) { silence } else { ORPHAN_TIMEOUT };
            record.home != own && silent_for[record.home.index()] >= timeout
        };
        if silent_for.iter().all(|span| *span < silence) {
            return;
        }
        let orphans = self.members.iter().filter(|member| is_orphan(&member.record));
        let orphans: Vec<Box<str>> = orphans.map(|member| member.name.clone()).collect();
        orphans.iter().for_each(|name| self.remove_member(now, name));
    }

    fn remove_member(&mut self, now: Time, name: &str) {
        self.home_members.remove(name);
        self.write_member(now, name, None);
    }

    fn write_member(&mut self, now: Time, name: &str, record: Option<&MemberRecord>) -> bool {
        let value = record.and_then(|record| serde_json::to_vec(record).ok());
        self.write_change(now, &format!("{MEMBER_PREFIX}{name}"), value.as_deref()).is_ok()
    }

    /// Applies a changed member record to the member list and to this controller's own membership.
    pub(super) fn member_changed(&mut self, now: Time, name: &str, value: Option<&[u8]>) {
        match value.and_then(MemberRecord::decode) {
            Some(record) => self.member_written(now, name, record),
            None => self.member_removed(now, name),
        }
    }

    fn member_written(&mut self, now: Time, name: &str, record: MemberRecord) {
        if Some(record.home) == self.config.source {
            self.home_members.add(now, name);
        } else {
            self.home_members.remove(name);
        }
        if name == self.config.name {
            self.own_record_written(&record);
        }
        if self.members.upsert(name, record) {
            self.emit(Event::MemberJoined { name: name.to_string() });
        }
    }

    fn own_record_written(&mut self, record: &MemberRecord) {
        let own = record.address == self.config.address;
        if record.incarnation > self.membership.incarnation && !own && self.membership.was_member {
            self.mark_replaced();
        } else {
            self.adopt_recorded_home(record);
        }
    }

    fn adopt_home_from_own_record(&mut self) {
        let record = self.members.get(&self.config.name).map(|member| member.record.clone());
        if let Some(record) = record {
            self.adopt_recorded_home(&record);
        }
    }

    /// Adopts the home source from the own record: if two sources accepted the join, the record decides which one is
    /// the home.
    fn adopt_recorded_home(&mut self, record: &MemberRecord) {
        if record.address != self.config.address || record.incarnation != self.membership.incarnation {
            return;
        }
        if let Role::Member { home, address } = &mut self.membership.role {
            if *home != record.home {
                *home = record.home;
                *address = self.members.source_address(record.home).unwrap_or(*address);
                self.membership.missed_acks = 0;
            }
        }
    }

    fn member_removed(&mut self, now: Time, name: &str) {
        let known = self.members.get(name).map(|member| member.record.clone());
        if let Some(record) =
            known.filter(|_| self.home_members.is_alive(now, name, self.config.silence_timeout()))
        {
            // Another source removed the member although this one receives its heartbeats: restore the record.
            if self.write_member(now, name, Some(&record)) {
                return;
            }
        }
        self.home_members.remove(name);
        if self.members.remove(name) {
            self.emit(Event::MemberLeft { name: name.to_string() });
        }
        if name == self.config.name && self.is_member() {
            self.membership.role = Role::Joining;
            self.membership.incarnation = self.membership.incarnation.saturating_add(1).min(MAX_EPOCH);
            self.membership.join_counter = 0;
            self.next_heartbeat = now;
            self.emit(Event::Removed);
        }
    }
}

/// Returns whether a joining member's record must be refused because the known one takes precedence.
fn is_superseded(record: &MemberRecord, known: &MemberRecord) -> bool {
    record.incarnation < known.incarnation
        || (record.incarnation == known.incarnation && record.address != known.address)
}
