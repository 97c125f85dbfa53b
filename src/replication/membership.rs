//! The members known, and what a home source knows of its own.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand_core::RngCore;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use super::message::{Rejection, Summary, MAX_LISTED_NAMES, MAX_LISTED_REJECTIONS};
use super::version::{Dot, SourceId, VersionVector, MAX_SOURCES};
use crate::interface::{Span, Time};

/// Members that there can be.
pub const MAX_MEMBERS: usize = 8_192;
/// What the keys of members begin with.
pub const MEMBER_PREFIX: &str = "member/";

/// The value of `member/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where it sends from and is reached.
    pub address: SocketAddr,
    /// Its region.
    pub region: Box<str>,
    /// Its zone.
    pub zone: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Its incarnation.
    pub incarnation: u32,
    /// The source that hears its heartbeats.
    pub home: SourceId,
    /// Its number, if it is a source itself.
    pub source: Option<SourceId>,
}

impl MemberRecord {
    /// Reads the value of a member's key.
    pub fn read(value: &[u8]) -> Option<MemberRecord> {
        let record: MemberRecord = serde_json::from_slice(value).ok()?;
        let sources = [Some(record.home), record.source];
        sources.into_iter().flatten().all(|source| usize::from(source.0) < MAX_SOURCES).then_some(record)
    }
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Box<str>,
    /// What else is known of it.
    pub record: MemberRecord,
}

/// The members known, with an index by name and by address.
#[derive(Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    by_name: HashMap<Box<str>, u32>,
    by_address: HashMap<SocketAddr, u32>,
    homes: [u32; MAX_SOURCES],
    sources: [Option<SocketAddr>; MAX_SOURCES],
}

impl Members {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.list.iter()
    }

    /// The member of that name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).map(|place| &self.list[*place as usize])
    }

    /// The member at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Member> {
        self.by_address.get(&address).map(|place| &self.list[*place as usize])
    }

    /// Members whose home is that source.
    pub fn at_home(&self, source: SourceId) -> u32 {
        self.homes[source.index()]
    }

    /// Where a source is reached.
    pub fn source_address(&self, source: SourceId) -> Option<SocketAddr> {
        self.sources[source.index()]
    }

    /// Where the sources that are members are reached.
    pub fn source_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.sources.iter().flatten().copied()
    }

    /// Puts a member in or replaces its record; whether it is new.
    pub fn put(&mut self, name: &str, record: MemberRecord) -> bool {
        if let Some(source) = record.source {
            self.sources[source.index()] = Some(record.address);
        }
        let is_new = match self.by_name.get(name) {
            Some(place) => {
                let place = *place;
                let before = std::mem::replace(&mut self.list[place as usize].record, record.clone());
                self.homes[before.home.index()] -= 1;
                if before.address != record.address {
                    self.forget_address(before.address, place);
                    self.by_address.insert(record.address, place);
                }
                false
            }
            None if self.list.len() >= MAX_MEMBERS => return false,
            None => {
                let place = self.list.len() as u32;
                self.by_name.insert(name.into(), place);
                self.by_address.insert(record.address, place);
                self.list.push(Member { name: name.into(), record: record.clone() });
                true
            }
        };
        self.homes[record.home.index()] += 1;
        is_new
    }

    /// Takes a member out; whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(place) = self.by_name.remove(name) else {
            return false;
        };
        let member = self.list.swap_remove(place as usize);
        self.homes[member.record.home.index()] -= 1;
        if let Some(source) = member.record.source {
            self.sources[source.index()].take_if(|address| *address == member.record.address);
        }
        if let Some(moved) = self.list.get(place as usize) {
            let former = self.list.len() as u32;
            self.by_name.insert(moved.name.clone(), place);
            if self.by_address.get(&moved.record.address) == Some(&former) {
                self.by_address.insert(moved.record.address, place);
            }
        }
        self.forget_address(member.record.address, place);
        true
    }

    /// An address drawn at random, other than `own`.
    pub fn draw(&self, rng: &mut Pcg32, own: SocketAddr) -> Option<SocketAddr> {
        if self.list.is_empty() {
            return None;
        }
        let place = rng.next_u32() as usize % self.list.len();
        let address = self.list[place].record.address;
        if address != own {
            return Some(address);
        }
        let next = self.list[(place + 1) % self.list.len()].record.address;
        (next != own).then_some(next)
    }

    /// The address no longer leads to the member at `place`; another member of the same address is found instead.
    fn forget_address(&mut self, address: SocketAddr, place: u32) {
        if self.by_address.get(&address) != Some(&place) {
            return;
        }
        let other = self.list.iter().position(|member| member.record.address == address);
        match other {
            Some(other) => self.by_address.insert(address, other as u32),
            None => self.by_address.remove(&address),
        };
    }
}

/// What a home source knows of one of its members.
#[derive(Debug)]
struct Resident {
    heard: Time,
    vector: VersionVector,
    rejected: Vec<Dot>,
}

/// What a source knows of the members whose home it is.
#[derive(Debug, Default)]
pub struct Residents {
    by_name: BTreeMap<Box<str>, Resident>,
}

impl Residents {
    /// A member has this source as its home from now on.
    pub fn admit(&mut self, now: Time, name: &str) {
        let fresh = Resident { heard: now, vector: VersionVector::default(), rejected: Vec::new() };
        self.by_name.entry(name.into()).or_insert(fresh).heard = now;
    }

    /// A member is gone or has another home.
    pub fn dismiss(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Whether the member has this source as its home.
    pub fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// A heartbeat of a member came.
    pub fn heard(&mut self, now: Time, name: &str, vector: VersionVector, rejected: Vec<Dot>) {
        if let Some(resident) = self.by_name.get_mut(name) {
            *resident = Resident { heard: now, vector, rejected };
        }
    }

    /// All are taken to have been heard now.
    pub fn reset(&mut self, now: Time) {
        self.by_name.values_mut().for_each(|resident| resident.heard = now);
    }

    /// Whether the member was heard within `span`.
    pub fn is_alive(&self, now: Time, name: &str, span: Span) -> bool {
        self.by_name.get(name).is_some_and(|resident| now.since(resident.heard) < span)
    }

    /// Those not heard for `span`.
    pub fn silent(&self, now: Time, span: Span) -> Vec<Box<str>> {
        let silent = self.by_name.iter().filter(|(_, resident)| now.since(resident.heard) >= span);
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Those that have not applied a change.
    pub fn lacking(&self, dot: Dot) -> impl Iterator<Item = &str> {
        self.by_name
            .iter()
            .filter(move |(_, resident)| !resident.vector.covers(dot))
            .map(|(name, _)| name.as_ref())
    }

    /// Those that do not use a change.
    pub fn rejecting(&self, dot: Dot) -> impl Iterator<Item = &str> {
        let rejecting = self.by_name.iter().filter(move |(_, resident)| resident.rejected.contains(&dot));
        rejecting.map(|(name, _)| name.as_ref())
    }

    /// What the other sources are told of them; `vector` is what the source itself has applied.
    pub fn summary(&self, vector: &VersionVector) -> Summary {
        let mut summary =
            Summary { members: self.by_name.len() as u32, least: *vector, ..Summary::default() };
        for (name, resident) in &self.by_name {
            summary.least = summary.least.lower(&resident.vector);
            if !resident.vector.is_at_least(vector) {
                summary.behind += 1;
                if summary.names.len() < MAX_LISTED_NAMES {
                    summary.names.push(name.to_string());
                }
            }
            resident.rejected.iter().for_each(|dot| count_rejection(&mut summary.rejected, *dot, name));
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
