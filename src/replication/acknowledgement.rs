//! Acknowledgement of changes: which members have a change in force, from heartbeats of a source's own members and from
//! the summaries of the other sources.

use super::message::{Message, Summary, MAX_LISTED_NAMES};
use super::version::{Dot, SourceId, MAX_SOURCES};
use super::Replica;
use crate::interface::Time;

/// Progress of a change through the cluster, as known to this source.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Acknowledgement {
    /// Number of members not known to have the change. For members of other sources the number may be too high for up
    /// to one heartbeat interval, but never too low.
    pub missing: u32,
    /// Names of some of these members, as far as they are known here.
    pub missing_names: Vec<String>,
    /// Number of members that hold the change but do not use it, since it is not valid for them.
    pub rejecting: u32,
    /// Names of some of these members.
    pub rejecting_names: Vec<String>,
}

impl Acknowledgement {
    /// Returns whether the change is in force at every member.
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
    /// Returns the progress of a change; meaningful only at a source.
    pub fn acknowledgement(&self, dot: Dot) -> Acknowledgement {
        let mut acknowledgement = Acknowledgement::default();
        let missing: Vec<String> = self.home_members.missing(dot).map(str::to_string).collect();
        acknowledgement.add_missing(missing.len() as u32, missing.into_iter());
        let rejecting: Vec<String> = self.home_members.rejecting(dot).map(str::to_string).collect();
        acknowledgement.add_rejecting(rejecting.len() as u32, rejecting.into_iter());
        for index in 0..MAX_SOURCES {
            let source = SourceId(index as u8);
            if Some(source) != self.config.source {
                self.add_members_of_source(source, dot, &mut acknowledgement);
            }
        }
        acknowledgement
    }

    fn add_members_of_source(&self, source: SourceId, dot: Dot, acknowledgement: &mut Acknowledgement) {
        let members = self.members.count_with_home(source);
        let Some(summary) = &self.summaries[source.index()] else {
            acknowledgement.add_missing(members, self.names_with_home(source));
            return;
        };
        let rejection = summary.rejected.iter().find(|rejection| rejection.dot == dot);
        if let Some(rejection) = rejection {
            acknowledgement.add_rejecting(rejection.count, std::iter::once(rejection.name.clone()));
        }
        if summary.least.covers(dot) {
            // Members that joined after the summary have not reported yet.
            acknowledgement.add_missing(members.saturating_sub(summary.members), std::iter::empty());
        } else if summary.behind == 0 {
            acknowledgement.add_missing(members, self.names_with_home(source));
        } else {
            acknowledgement.add_missing(summary.behind, summary.names.iter().cloned());
        }
    }

    fn names_with_home(&self, source: SourceId) -> impl Iterator<Item = String> + '_ {
        let members = self.members.iter().filter(move |member| member.record.home == source);
        members.map(|member| member.name.to_string()).take(MAX_LISTED_NAMES)
    }

    /// Sends the progress of this source's members to the other sources.
    pub(super) fn send_summaries(&mut self, now: Time, source: SourceId) {
        let mut summary = self.home_members.summary(&self.vector);
        summary.source = source;
        let message = Message::Summary(summary);
        for to in self.other_sources() {
            self.send(now, to, &message);
        }
    }

    /// Handles the summary of another source.
    pub(super) fn handle_summary(&mut self, now: Time, summary: Summary) {
        if self.config.source.is_none() || Some(summary.source) == self.config.source {
            return;
        }
        let index = summary.source.index();
        self.summaries_received_at[index] = Some(now);
        self.summaries[index] = Some(summary);
    }
}
