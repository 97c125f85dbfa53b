//! The member list, and a home source's records of the members that send it heartbeats.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand_core::RngCore;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use super::message::{Rejection, Summary, MAX_LISTED_NAMES, MAX_LISTED_REJECTIONS};
use super::version::{Dot, SourceId, VersionVector, MAX_SOURCES};
use crate::interface::{Span, Time};

/// Maximum number of members.
pub const MAX_MEMBERS: usize = 8_192;
/// Prefix of the keys of member records.
pub const MEMBER_PREFIX: &str = "member/";

/// A member's record: the value of the key `member/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address from which it sends and at which others reach it.
    pub address: SocketAddr,
    /// Region of the member.
    pub region: Box<str>,
    /// Zone of the member.
    pub zone: Box<str>,
    /// Service of the member.
    pub service: Box<str>,
    /// Incarnation of its process.
    pub incarnation: u32,
    /// Home source: the one that receives its heartbeats.
    pub home: SourceId,
    /// Source number, if it is a source itself.
    pub source: Option<SourceId>,
}

impl MemberRecord {
    /// Decodes the value of a member's key; `None` if it is malformed or names a source out of range.
    pub fn decode(value: &[u8]) -> Option<MemberRecord> {
        let record: MemberRecord = serde_json::from_slice(value).ok()?;
        let sources = [Some(record.home), record.source];
        sources.into_iter().flatten().all(|source| usize::from(source.0) < MAX_SOURCES).then_some(record)
    }
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Unique name.
    pub name: Box<str>,
    /// Its record.
    pub record: MemberRecord,
}

/// The member list, indexed by name and by address.
#[derive(Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    by_name: HashMap<Box<str>, u32>,
    by_address: HashMap<SocketAddr, u32>,
    home_counts: [u32; MAX_SOURCES],
    sources: [Option<SocketAddr>; MAX_SOURCES],
}

impl Members {
    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.list.iter()
    }

    /// Returns the member with this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).map(|index| &self.list[*index as usize])
    }

    /// Returns the member at this address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&Member> {
        self.by_address.get(&address).map(|index| &self.list[*index as usize])
    }

    /// Returns the number of members whose home is this source.
    pub fn count_with_home(&self, source: SourceId) -> u32 {
        self.home_counts[source.index()]
    }

    /// Returns the address of a source, if it is a member.
    pub fn source_address(&self, source: SourceId) -> Option<SocketAddr> {
        self.sources[source.index()]
    }

    /// Returns the addresses of the sources that are members.
    pub fn source_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.sources.iter().flatten().copied()
    }

    /// Inserts a member or replaces its record; returns whether it is new.
    pub fn upsert(&mut self, name: &str, record: MemberRecord) -> bool {
        if let Some(source) = record.source {
            self.sources[source.index()] = Some(record.address);
        }
        let is_new = match self.by_name.get(name) {
            Some(index) => {
                let index = *index;
                let before = std::mem::replace(&mut self.list[index as usize].record, record.clone());
                self.home_counts[before.home.index()] -= 1;
                if before.address != record.address {
                    self.reindex_address(before.address, index);
                    self.by_address.insert(record.address, index);
                }
                false
            }
            None if self.list.len() >= MAX_MEMBERS => return false,
            None => {
                let index = self.list.len() as u32;
                self.by_name.insert(name.into(), index);
                self.by_address.insert(record.address, index);
                self.list.push(Member { name: name.into(), record: record.clone() });
                true
            }
        };
        self.home_counts[record.home.index()] += 1;
        is_new
    }

    /// Removes a member; returns whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(index) = self.by_name.remove(name) else {
            return false;
        };
        let member = self.list.swap_remove(index as usize);
        self.home_counts[member.record.home.index()] -= 1;
        if let Some(source) = member.record.source {
            self.sources[source.index()].take_if(|address| *address == member.record.address);
        }
        if let Some(moved) = self.list.get(index as usize) {
            let former = self.list.len() as u32;
            self.by_name.insert(moved.name.clone(), index);
            if self.by_address.get(&moved.record.address) == Some(&former) {
                self.by_address.insert(moved.record.address, index);
            }
        }
        self.reindex_address(member.record.address, index);
        true
    }

    /// Returns the address of a random member, other than `own`.
    pub fn random_address(&self, rng: &mut Pcg32, own: SocketAddr) -> Option<SocketAddr> {
        if self.list.is_empty() {
            return None;
        }
        let index = rng.next_u32() as usize % self.list.len();
        let address = self.list[index].record.address;
        if address != own {
            return Some(address);
        }
        let next = self.list[(index + 1) % self.list.len()].record.address;
        (next != own).then_some(next)
    }

    /// Removes the index entry of an address if it points to the member at `index`; it then points to another member
    /// with the same address, if there is one.
    fn reindex_address(&mut self, address: SocketAddr, index: u32) {
        if self.by_address.get(&address) != Some(&index) {
            return;
        }
        let other = self.list.iter().position(|member| member.record.address == address);
        match other {
            Some(other) => self.by_address.insert(address, other as u32),
            None => self.by_address.remove(&address),
        };
    }
}

/// Last known state of a member whose home is this source.
#[derive(Debug)]
struct HomeMember {
    last_heard: Time,
    vector: VersionVector,
    rejected: Vec<Dot>,
}

/// The members whose home is this source, with the state from their heartbeats.
#[derive(Debug, Default)]
pub struct HomeMembers {
    by_name: BTreeMap<Box<str>, HomeMember>,
}

impl HomeMembers {
    /// Adds a member whose home is now this source, or resets its silence if it is there already.
    pub fn add(&mut self, now: Time, name: &str) {
        let initial = HomeMember { last_heard: now, vector: VersionVector::default(), rejected: Vec::new() };
        self.by_name.entry(name.into()).or_insert(initial).last_heard = now;
    }

    /// Removes a member that is gone or has another home.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Returns whether the member's home is this source.
    pub fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Records a heartbeat of a member.
    pub fn record_heartbeat(&mut self, now: Time, name: &str, vector: VersionVector, rejected: Vec<Dot>) {
        if let Some(member) = self.by_name.get_mut(name) {
            *member = HomeMember { last_heard: now, vector, rejected };
        }
    }

    /// Restarts the silence time of all members, as if each had just sent a heartbeat.
    pub fn reset_silence(&mut self, now: Time) {
        self.by_name.values_mut().for_each(|member| member.last_heard = now);
    }

    /// Returns whether the member sent a heartbeat within `span`.
    pub fn is_alive(&self, now: Time, name: &str, span: Span) -> bool {
        self.by_name.get(name).is_some_and(|member| now.since(member.last_heard) < span)
    }

    /// Returns the members without a heartbeat for `span` or longer.
    pub fn silent(&self, now: Time, span: Span) -> Vec<Box<str>> {
        let silent = self.by_name.iter().filter(|(_, member)| now.since(member.last_heard) >= span);
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the members that have not applied a change.
    pub fn missing(&self, dot: Dot) -> impl Iterator<Item = &str> {
        self.by_name
            .iter()
            .filter(move |(_, member)| !member.vector.covers(dot))
            .map(|(name, _)| name.as_ref())
    }

    /// Returns the members that reject a change as invalid.
    pub fn rejecting(&self, dot: Dot) -> impl Iterator<Item = &str> {
        let rejecting = self.by_name.iter().filter(move |(_, member)| member.rejected.contains(&dot));
        rejecting.map(|(name, _)| name.as_ref())
    }

    /// Builds the summary for the other sources; `vector` is what this source itself has applied.
    pub fn summary(&self, vector: &VersionVector) -> Summary {
        let mut summary =
            Summary { members: self.by_name.len() as u32, least: *vector, ..Summary::default() };
        for (name, member) in &self.by_name {
            summary.least = summary.least.lower(&member.vector);
            if !member.vector.is_at_least(vector) {
                summary.behind += 1;
                if summary.names.len() < MAX_LISTED_NAMES {
                    summary.names.push(name.to_string());
                }
            }
            member.rejected.iter().for_each(|dot| count_rejection(&mut summary.rejected, *dot, name));
        }
        summary
    }
}

fn count_rejection(rejections: &mut Vec<Rejection>, dot: Dot, name: &str) {
    if let Some(known) = rejections.iter_mut().find(|rejection| rejection.dot == dot) {
        known.count += 1;
    } else if rejections.len() < MAX_LISTED_REJECTIONS {
        rejections.push(Rejection { dot, count: 1, name: name.to_string() });
    }
}
