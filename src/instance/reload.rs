//! A new configuration for a controller at work: what can change does so at once, no call and no count is lost.

use std::time::Duration;

use crate::config::InstanceConfig;
use crate::directory::bulletin::Page;
use crate::instance::follow::Followed;
use crate::instance::open::random;
use crate::instance::{Instance, State};
use crate::interface::{Span, Time};
use crate::upstream::Todo;

impl State {
    /// Registers at the registrars of a configuration.
    pub(super) fn register(&mut self, config: &InstanceConfig, now: Time, todo: &mut Todo) {
        let at = config.iax2.as_ref().map(|iax2| iax2.register.as_slice()).unwrap_or_default();
        self.callers.register_at(config.secrets.account.as_ref(), at, now, todo);
    }
}

impl Instance {
    /// Takes over a configuration that was read anew, with the replicated settings laid over it. Returns the keys that
    /// only a restart can change and that stay as they were.
    pub fn reload(&self, config: InstanceConfig) -> Vec<&'static str> {
        if self.0.replication.is_none() {
            return self.take_over(config);
        }
        let in_force = self.lay_over(config.clone());
        let kept = self.take_over(in_force);
        self.file_taken_over(config, &kept);
        kept
    }

    /// Takes over a configuration: the bulletin and DNS-SD to follow, what is known, peers, limits
    /// and settings. Returns the keys that only a restart can change and that stay as they were.
    pub(super) fn take_over(&self, mut config: InstanceConfig) -> Vec<&'static str> {
        let mut kept = Vec::new();
        {
            let mut state = self.0.state.borrow_mut();
            let running = &self.0.bound_to;
            // Call servers and calls know their zones and classes by their places: new ones may follow, no other may take
            // a place.
            let zones = config.zones.starts_with(&self.0.followed.borrow().zones);
            let classes = config.core.classes == state.core.classes();
            if !(zones && classes && state.core.reconfigure(config.core.clone())) {
                // Settings stay or go as a whole. Guards against calls served by the classes of one file and the zones,
                // times and limits of another: what goes with the settings stays with them.
                config.zones = self.0.followed.borrow().zones.clone();
                config.default_caller_wait = state.callers.usual_left();
                config.initial_page = Page::default(); // read by the zones of the other file; the bulletin tells it too
                config.connect_timeout = span_of(self.0.connect_timeout.get());
            }
            let fleet = state.core.fleet_config_matches(config.core.fleet.as_ref());
            if !fleet {
                config.peers = state.peers.clone(); // they go by the numbers that the others know them by
            }
            let checks = [
                ("name", running.name == config.name),
                ("listen", running.listen == config.listen),
                ("console", running.console == config.console),
                ("peer_listen", running.peer_listen == config.peer_listen),
                ("store", running.store == config.store),
                ("replication", running.replication == config.replication),
                (
                    "iax2.listen",
                    running.iax2.as_ref().map(|i| i.listen) == config.iax2.as_ref().map(|i| i.listen),
                ),
                ("iax2.from", running.iax2.as_ref().map(|i| i.from) == config.iax2.as_ref().map(|i| i.from)),
                ("fleet", fleet),
                ("settings.zones", zones),
                ("settings.classes", classes),
            ];
            kept.extend(checks.into_iter().filter(|(_, same)| !same).map(|(key, _)| key));
            state.peers = config.peers.clone();
            let iax2 = config.iax2.as_ref().map(|iax2| (iax2.tokens, iax2.bounds));
            let (tokens, bounds) = iax2.unwrap_or_default();
            state.callers.reconfigure(config.default_caller_wait, &config.zones, tokens, bounds);
            state.servers.introduce(config.secrets.account.as_ref());
            match random() {
                Ok(key) => state.callers.examine(config.secrets.users.as_ref(), key),
                Err(error) => tracing::error!(%error, "users stay as they were"),
            }
            state.share_descriptors(config.limits);
            state.sip.set_most_links(config.limits.extra_server_connections());
            state.tally.reloads += 1;
        }
        self.0.limits.set(config.limits);
        self.0.connect_timeout.set(Duration::from_micros(config.connect_timeout.0));
        let now = self.0.clock.now();
        self.turn(|state, todo| {
            state.callers.expire(now, todo);
            state.register(&config, now, todo);
        });
        self.0.pool.set_most(config.limits.buffers());
        self.0.caller_bytes.set_most(config.limits.memory_share());
        self.0.server_bytes.set_most(config.limits.memory_share());
        // News that the file holds beyond what was told so far comes first: the numbers carry on.
        let known = config.initial_page.clone();
        let _ = self.page(known); // what of it cannot be read, the bulletin is asked for
        self.0.followed.send_if_modified(|followed| {
            let next = Followed::of(&config);
            let changed = *followed != next;
            *followed = next;
            changed
        });
        kept
    }

    /// A configuration that was read anew and cannot be used: the old one stays.
    pub fn reload_failed(&self) {
        self.0.state.borrow_mut().tally.reload_failures += 1;
    }
}

fn span_of(time: Duration) -> Span {
    Span(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
