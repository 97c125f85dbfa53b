//! What fails around an instance, in the log: once, with how often, and when it is back.

use std::fmt::Display;
use std::net::SocketAddr;

use crate::instance::Instance;
use crate::outages::OutageEvent;

/// What may fail: its kind, and where it is.
pub(super) type Party = (&'static str, SocketAddr);

impl Instance {
    /// Something that is spoken to has failed.
    pub(super) fn failed(&self, (party, at): Party, why: &dyn Display) {
        let say = self.0.outages.borrow_mut().failed((party, at), self.0.clock.now());
        let instance = self.name();
        match say {
            Some(OutageEvent::Started) => tracing::warn!(instance, party, %at, %why, "fails"),
            Some(OutageEvent::Reminder(times, span)) => {
                let seconds = span.secs().round();
                tracing::warn!(instance, party, %at, %why, times, seconds, "still fails");
            }
            Some(OutageEvent::Recovered(..)) | None => {}
        }
    }

    /// The same works.
    pub(super) fn works(&self, (party, at): Party) {
        let say = self.0.outages.borrow_mut().recovered(&(party, at), self.0.clock.now());
        if let Some(OutageEvent::Recovered(times, span)) = say {
            let seconds = (span.secs() * 10.0).round() / 10.0;
            tracing::info!(instance = self.name(), party, %at, times, seconds, "is back");
        }
    }
}
