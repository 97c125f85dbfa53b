//! Following the directories: which call servers there are. What is followed changes when the configuration does;
//! what has been told so far stays.

use std::net::SocketAddr;

use tokio::sync::watch;

use crate::config::{DnsSdConfig, InstanceConfig};
use crate::core::{Input, Source};
use crate::directory::bulletin::{self, BulletinError, MalformedEvents, Page};
use crate::directory::dns_sd::{self, DnsError};
use crate::instance::Instance;

/// What is followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Followed {
    /// The bulletin.
    pub(super) bulletin: Option<SocketAddr>,
    /// DNS-SD records.
    pub(super) dns_sd: Option<DnsSdConfig>,
    /// Names of the zones, by which both tell where a call server stands.
    pub(super) zones: Vec<String>,
}

impl Followed {
    pub(super) fn of(config: &InstanceConfig) -> Followed {
        let InstanceConfig { bulletin, dns_sd, zones, .. } = config;
        Followed { bulletin: *bulletin, dns_sd: dns_sd.clone(), zones: zones.clone() }
    }
}

impl Instance {
    /// Follows the directories for good, those named last. Guards against news lost between two bulletins: the
    /// numbers carry on, so the next one is asked for what came after the last event taken.
    pub(super) async fn follow(self, mut followed: watch::Receiver<Followed>) {
        let mut watch = dns_sd::ServiceState::default();
        loop {
            let now = followed.borrow_and_update().clone();
            tokio::select! {
                _ = self.follow_bulletin(&now) => {}
                _ = self.follow_dns_sd(&now, &mut watch) => {}
                changed = followed.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn follow_bulletin(&self, followed: &Followed) {
        let Some(address) = followed.bulletin else { return std::future::pending().await };
        let party = ("bulletin", address);
        let failed = |error| {
            self.0.state.borrow_mut().tally.bulletin_failures += 1;
            self.failed(party, &error);
        };
        let take = |page| match self.page(page) {
            None => {
                self.works(party);
                Ok(())
            }
            Some(spoilt) => Err(BulletinError::Malformed(spoilt)),
        };
        bulletin::follow(address, &self.0.heard, &followed.zones, take, failed).await;
    }

    async fn follow_dns_sd(&self, followed: &Followed, watch: &mut dns_sd::ServiceState) {
        let take = |hosts| {
            let list = Input::List { source: Source::DnsSd, whole: true, hosts };
            self.guarded(|_, todo| todo.inputs.push(list));
        };
        let Some(dns) = &followed.dns_sd else {
            if watch.stop() {
                take(Vec::new());
            }
            return std::future::pending().await;
        };
        let party = ("resolver", dns.resolver);
        let heard = |round: Result<(), DnsError>| match round {
            Ok(()) => self.works(party),
            Err(error) => {
                self.0.state.borrow_mut().tally.dns_failures += 1;
                self.failed(party, &error);
            }
        };
        dns_sd::follow(dns.resolver, dns.service.clone(), followed.zones.clone(), watch, take, heard).await;
    }

    /// Takes what a page of the bulletin tells beyond the last event taken; what is to be asked for again.
    pub(super) fn page(&self, page: Page) -> Option<MalformedEvents> {
        let taken = self.0.heard.borrow_mut().take(page);
        let skipped = taken.malformed.as_ref().and_then(|spoilt| spoilt.skipped);
        if let Some(spoilt) = taken.malformed.as_ref().filter(|spoilt| spoilt.skipped.is_some()) {
            let instance = self.name();
            tracing::warn!(instance, party = "bulletin", why = %spoilt, "passed over; what was known stays");
        }
        self.guarded(|state, todo| {
            state.tally.bulletin += skipped.unwrap_or(0);
            let news = taken.changes.into_iter().map(|change| Input::List {
                source: Source::Bulletin,
                whole: change.whole,
                hosts: change.hosts,
            });
            todo.inputs.extend(news);
        });
        taken.malformed.filter(|spoilt| spoilt.skipped.is_none())
    }
}
