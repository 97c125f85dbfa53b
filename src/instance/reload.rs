//! Reload of a running controller's configuration: what can change does so at once, with no call and no counter lost.

use std::time::Duration;

use crate::config::InstanceConfig;
use crate::directory::bulletin::Page;
use crate::instance::directories::DirectoryConfig;
use crate::instance::startup::random;
use crate::instance::{Instance, State};
use crate::interface::{Span, Time};
use crate::upstream::AdapterOutput;

impl State {
    /// Registers at the configuration's IAX2 registrars.
    pub(super) fn register(&mut self, config: &InstanceConfig, now: Time, todo: &mut AdapterOutput) {
        let at = config.iax2.as_ref().map(|iax2| iax2.register.as_slice()).unwrap_or_default();
        self.iax2_front.register_at(config.secrets.account.as_ref(), at, now, todo);
    }
}

impl Instance {
    /// Applies a reloaded configuration, overlaid with the replicated settings. Returns the changed keys that only a
    /// restart can apply; they stay as they were.
    pub fn reload(&self, config: InstanceConfig) -> Vec<&'static str> {
        if self.0.replication.is_none() {
            return self.apply_config(config);
        }
        let in_force = self.with_replicated_settings(config.clone());
        let unchanged = self.apply_config(in_force);
        self.file_applied(config, &unchanged);
        unchanged
    }

    /// Applies a configuration: the directories to follow, the known list, peers, limits and settings. Returns the
    /// changed keys that only a restart can apply; they stay as they were.
    pub(super) fn apply_config(&self, mut config: InstanceConfig) -> Vec<&'static str> {
        let mut unchanged = Vec::new();
        {
            let mut state = self.0.state.borrow_mut();
            let running = &self.0.fixed_config;
            // Call servers and calls refer to zones and classes by index: new ones may be appended, but no index may
            // get another meaning.
            let zones = config.zones.starts_with(&self.0.directories.borrow().zones);
            let classes = config.core.classes == state.core.classes();
            if !(zones && classes && state.core.reconfigure(config.core.clone())) {
                // Settings change as a whole or not at all. Guards against calls served by the classes of one file
                // and the zones, times and limits of another: values that belong to the settings stay with them.
                config.zones = self.0.directories.borrow().zones.clone();
                config.default_caller_wait = state.iax2_front.default_left();
                config.initial_page = Page::default(); // read with the other file's zones; the bulletin provides it too
                config.connect_timeout = span_of(self.0.connect_timeout.get());
            }
            let fleet = state.core.fleet_config_matches(config.core.fleet.as_ref());
            if !fleet {
                config.peers = state.peers.clone(); // their order defines the numbers that peers use
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
            unchanged.extend(checks.into_iter().filter(|(_, same)| !same).map(|(key, _)| key));
            state.peers = config.peers.clone();
            let iax2 = config.iax2.as_ref().map(|iax2| (iax2.tokens, iax2.bounds));
            let (tokens, bounds) = iax2.unwrap_or_default();
            state.iax2_front.reconfigure(config.default_caller_wait, &config.zones, tokens, bounds);
            state.iax2_servers.set_account(config.secrets.account.as_ref());
            match random() {
                Ok(key) => state.iax2_front.set_users(config.secrets.users.as_ref(), key),
                Err(error) => tracing::error!(%error, "cannot load the IAX2 users; the previous ones stay"),
            }
            state.limit_client_connections(config.limits);
            state.sip.set_max_links(config.limits.extra_server_connections());
            state.counters.reloads += 1;
        }
        self.0.limits.set(config.limits);
        self.0.connect_timeout.set(Duration::from_micros(config.connect_timeout.0));
        let now = self.0.clock.now();
        self.apply(|state, todo| {
            state.iax2_front.expire(now, todo);
            state.register(&config, now, todo);
        });
        self.0.client_buffers.set_limits(config.limits.client_buffers());
        self.0.server_buffers.set_limits(config.limits.server_buffers());
        self.0.caller_bytes.set_max(config.limits.memory_share());
        self.0.server_bytes.set_max(config.limits.memory_share());
        // Events of the file after the last one taken come first: the bulletin continues their numbers.
        let known = config.initial_page.clone();
        let _ = self.take_bulletin_page(known); // unreadable events are requested from the bulletin later
        self.0.directories.send_if_modified(|directories| {
            let next = DirectoryConfig::of(&config);
            let changed = *directories != next;
            *directories = next;
            changed
        });
        unchanged
    }

    /// Counts a reload that failed because the new configuration cannot be used; the old one stays.
    pub fn reload_failed(&self) {
        self.0.state.borrow_mut().counters.reload_failures += 1;
    }
}

fn span_of(time: Duration) -> Span {
    Span(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
