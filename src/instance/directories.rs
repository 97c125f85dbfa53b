//! Follows the directories (bulletin and DNS-SD) that list the call servers. A changed configuration changes which
//! are followed; the list received so far stays.

use std::net::SocketAddr;

use tokio::sync::watch;

use crate::config::{DnsSdConfig, InstanceConfig};
use crate::core::{Input, Source};
use crate::directory::bulletin::{self, BulletinError, MalformedEvents, Page};
use crate::directory::dns_sd::{self, DnsError};
use crate::instance::Instance;

/// Target of the log lines of this module. Log filters and log readers use the name, so it does not follow the path.
const LOG_TARGET: &str = "lockpoint::instance::follow";

/// The directories to follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct DirectoryConfig {
    /// The bulletin's address.
    pub(super) bulletin: Option<SocketAddr>,
    /// The DNS-SD resolver and service.
    pub(super) dns_sd: Option<DnsSdConfig>,
    /// Names of the zones, by which both directories say where a call server is.
    pub(super) zones: Vec<String>,
}

impl DirectoryConfig {
    pub(super) fn of(config: &InstanceConfig) -> DirectoryConfig {
        let InstanceConfig { bulletin, dns_sd, zones, .. } = config;
        DirectoryConfig { bulletin: *bulletin, dns_sd: dns_sd.clone(), zones: zones.clone() }
    }
}

impl Instance {
    /// Follows the directories of the latest configuration; never returns. Guards against updates lost on a change of
    /// the bulletin: event numbers continue, so the new one is asked for the events after the last one taken.
    pub(super) async fn follow(self, mut directories: watch::Receiver<DirectoryConfig>) {
        let mut watch = dns_sd::ServiceState::default();
        loop {
            let current = directories.borrow_and_update().clone();
            tokio::select! {
                _ = self.follow_bulletin(&current) => {}
                _ = self.follow_dns_sd(&current, &mut watch) => {}
                changed = directories.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn follow_bulletin(&self, config: &DirectoryConfig) {
        let Some(address) = config.bulletin else { return std::future::pending().await };
        let party = ("bulletin", address);
        let failed = |error| {
            self.0.state.borrow_mut().counters.bulletin_failures += 1;
            self.report_failure(party, &error);
        };
        let take = |page| match self.take_bulletin_page(page) {
            None => {
                self.report_recovery(party);
                Ok(())
            }
            Some(spoilt) => Err(BulletinError::Malformed(spoilt)),
        };
        bulletin::follow(address, &self.0.bulletin_cursor, &config.zones, take, failed).await;
    }

    async fn follow_dns_sd(&self, config: &DirectoryConfig, watch: &mut dns_sd::ServiceState) {
        let take = |hosts| {
            let list = Input::List { source: Source::DnsSd, whole: true, hosts };
            self.apply_guarded(|_, todo| todo.inputs.push(list));
        };
        let Some(dns) = &config.dns_sd else {
            if watch.stop() {
                take(Vec::new());
            }
            return std::future::pending().await;
        };
        let party = ("resolver", dns.resolver);
        let report = |result: Result<(), DnsError>| match result {
            Ok(()) => self.report_recovery(party),
            Err(error) => {
                self.0.state.borrow_mut().counters.dns_failures += 1;
                self.report_failure(party, &error);
            }
        };
        dns_sd::follow(dns.resolver, dns.service.clone(), config.zones.clone(), watch, take, report).await;
    }

    /// Takes the events of a bulletin page after the last one taken. Returns an unreadable event that is to be
    /// requested again.
    pub(super) fn take_bulletin_page(&self, page: Page) -> Option<MalformedEvents> {
        let taken = self.0.bulletin_cursor.borrow_mut().take(page);
        let skipped = taken.malformed.as_ref().and_then(|spoilt| spoilt.skipped);
        if let Some(spoilt) = taken.malformed.as_ref().filter(|spoilt| spoilt.skipped.is_some()) {
            let instance = self.name();
            tracing::warn!(
                target: LOG_TARGET,
                instance, party = "bulletin", why = %spoilt,
                "unreadable entries skipped; the known list stays"
            );
        }
        self.apply_guarded(|state, todo| {
            state.counters.malformed_bulletin += skipped.unwrap_or(0);
            let updates = taken.changes.into_iter().map(|change| Input::List {
                source: Source::Bulletin,
                whole: change.whole,
                hosts: change.hosts,
            });
            todo.inputs.extend(updates);
        });
        taken.malformed.filter(|spoilt| spoilt.skipped.is_none())
    }
}
