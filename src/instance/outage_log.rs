//! Log lines on outages of call servers and directories: the first failure, reminders with a count, and the recovery.

use std::fmt::Display;
use std::net::SocketAddr;

use crate::instance::Instance;
use crate::outages::OutageEvent;

/// Target of the log lines of this module. Log filters and log readers use the name, so it does not follow the path.
const LOG_TARGET: &str = "lockpoint::instance::notices";

/// A remote party that may fail: its kind and its address.
pub(super) type Party = (&'static str, SocketAddr);

impl Instance {
    /// Records a failure and logs it if it is the first of an outage or a reminder is due.
    pub(super) fn report_failure(&self, (party, at): Party, why: &dyn Display) {
        let event = self.0.outages.borrow_mut().failed((party, at), self.0.clock.now());
        let instance = self.name();
        match event {
            Some(OutageEvent::Started) => {
                tracing::warn!(target: LOG_TARGET, instance, party, %at, %why, "failing")
            }
            Some(OutageEvent::Reminder(times, span)) => {
                let seconds = span.secs().round();
                tracing::warn!(
                    target: LOG_TARGET,
                    instance,
                    party,
                    %at,
                    %why,
                    times,
                    seconds,
                    "still failing"
                );
            }
            Some(OutageEvent::Recovered(..)) | None => {}
        }
    }

    /// Records a success and logs it if it ends an outage.
    pub(super) fn report_recovery(&self, (party, at): Party) {
        let event = self.0.outages.borrow_mut().recovered(&(party, at), self.0.clock.now());
        if let Some(OutageEvent::Recovered(times, span)) = event {
            let seconds = (span.secs() * 10.0).round() / 10.0;
            tracing::info!(target: LOG_TARGET, instance = self.name(), party, %at, times, seconds, "recovered");
        }
    }
}
