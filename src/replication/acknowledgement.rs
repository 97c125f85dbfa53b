//! Which members have a change in force: what a source knows of its own members and hears from the other sources.

use super::message::{Message, Summary, MAX_LISTED_NAMES};
use super::version::{Dot, SourceId, MAX_SOURCES};
use super::Replica;
use crate::interface::Time;

/// How far a change has come, as far as this source knows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Acknowledgement {
    /// Members that are not known to have it. For members of other sources this may be too many for up to a heartbeat,
    /// never too few.
    pub missing: u32,
    /// Some of them, as far as they are known by name here.
    pub missing_names: Vec<String>,
    /// Members that have it and do not use it, since it is not valid for them.
    pub rejecting: u32,
    /// Some of them.
    pub rejecting_names: Vec<String>,
}

impl Acknowledgement {
    /// Whether the change is in force at every member.
    pub fn is_everywhere(&self) -> bool {
        self.missing == 0 && self.rejecting == 0
    }

    fn add_missing(&mut self, count: u32, names: impl Iterator<Item = String>) {
        self.missing += count;
        self.missing_names.extend(names);
        self.missing_names.truncate(MAX_LISTED_NAMES);
    }

    fn add_rejecting(&mut self, count: u32, names: impl Iterator<Item = String>) {
        self.rejecting += count;
        self.rejecting_names.extend(names);
        self.rejecting_names.truncate(MAX_LISTED_NAMES);
    }
}

impl Replica {
    /// How far a change has come; meaningful at a source.
    pub fn acknowledgement(&self, dot: Dot) -> Acknowledgement {
        let mut acknowledgement = Acknowledgement::default();
        let lacking: Vec<String> = self.residents.lacking(dot).map(str::to_string).collect();
        acknowledgement.add_missing(lacking.len() as u32, lacking.into_iter());
        let rejecting: Vec<String> = self.residents.rejecting(dot).map(str::to_string).collect();
        acknowledgement.add_rejecting(rejecting.len() as u32, rejecting.into_iter());
        for index in 0..MAX_SOURCES {
            let source = SourceId(index as u8);
            if Some(source) != self.config.source {
                self.add_members_of(source, dot, &mut acknowledgement);
            }
        }
        acknowledgement
    }

    fn add_members_of(&self, source: SourceId, dot: Dot, acknowledgement: &mut Acknowledgement) {
        let members = self.members.at_home(source);
        let Some(summary) = &self.summaries[source.index()] else {
            acknowledgement.add_missing(members, self.names_at_home(source));
            return;
        };
        let rejection = summary.rejected.iter().find(|rejection| rejection.dot == dot);
        if let Some(rejection) = rejection {
            acknowledgement.add_rejecting(rejection.count, std::iter::once(rejection.name.clone()));
        }
        if summary.least.covers(dot) {
            // Whoever joined since the source told has told nothing yet.
            acknowledgement.add_missing(members.saturating_sub(summary.members), std::iter::empty());
        } else if summary.behind == 0 {
            acknowledgement.add_missing(members, self.names_at_home(source));
        } else {
            acknowledgement.add_missing(summary.behind, summary.names.iter().cloned());
        }
    }

    fn names_at_home(&self, source: SourceId) -> impl Iterator<Item = String> + '_ {
        let members = self.members.iter().filter(move |member| member.record.home == source);
        members.map(|member| member.name.to_string()).take(MAX_LISTED_NAMES)
    }

    /// Tells the other sources how far the members of this one are.
    pub(super) fn send_summaries(&mut self, now: Time, source: SourceId) {
        let mut summary = self.residents.summary(&self.vector);
        summary.source = source;
        let message = Message::Summary(summary);
        for to in self.other_sources() {
            self.send(now, to, &message);
        }
    }

    /// Another source told how far its members are.
    pub(super) fn take_summary(&mut self, now: Time, summary: Summary) {
        if self.config.source.is_none() || Some(summary.source) == self.config.source {
            return;
        }
        let index = summary.source.index();
        self.sources_heard[index] = Some(now);
        self.summaries[index] = Some(summary);
    }
}
