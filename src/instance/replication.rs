//! Replicated configuration and membership of a running controller: socket, timer, and the settings overlaid on those
//! of the file.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::config::overlay::{Overlay, SettingsValidator, ALL_PREFIX, SERVICE_PREFIX};
use crate::config::{random_seed, InstanceConfig, ReplicationConfig};
use crate::instance::Instance;
use crate::interface::Time;
use crate::replication::{Dot, Event, ProposeError, Replica, ReplicaConfig, MAX_DATAGRAM, MEMBER_PREFIX};

/// The shortest time between two polls caused by the timer alone.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// The longest time between two polls.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// The pause after a socket error.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Replication state of one controller.
pub(super) struct Replication {
    replica: RefCell<Replica>,
    /// `None`: the controller has left.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    overlay: Rc<RefCell<Overlay>>,
    service: String,
    seeds: Vec<SocketAddr>,
    /// Why the current values of keys are not in force here.
    reasons: RefCell<BTreeMap<String, String>>,
    /// Notified when something is to be sent.
    rearm: Notify,
    failed_sends: Cell<u64>,
}

impl Replication {
    pub(super) fn new(
        file: &InstanceConfig,
        config: &ReplicationConfig,
        socket: UdpSocket,
        now: Time,
    ) -> Replication {
        let overlay = Rc::new(RefCell::new(Overlay::new(file.clone(), &config.replica.service)));
        let validator = Box::new(SettingsValidator(overlay.clone()));
        let replica =
            ReplicaConfig { incarnation: incarnation(), seed: random_seed(), ..config.replica.clone() };
        Replication {
            service: replica.service.clone(),
            seeds: replica.seeds.clone(),
            replica: RefCell::new(Replica::new(replica, validator, now)),
            socket: RefCell::new(Some(Rc::new(socket))),
            overlay,
            reasons: RefCell::default(),
            rearm: Notify::new(),
            failed_sends: Cell::new(0),
        }
    }

    /// Replication metrics, one per line.
    pub(super) fn metrics_text(&self) -> String {
        let replica = self.replica.borrow();
        let counts = replica.counts();
        let entries = replica.values("").count() as u64;
        let metrics = [
            ("members", replica.members().count() as u64, 'g'),
            ("entries", entries, 'g'),
            ("sent", counts.sent, 'c'),
            ("sent_bytes", counts.sent_bytes, 'c'),
            ("failed_sends", self.failed_sends.get(), 'c'),
            ("received", counts.received, 'c'),
            ("received_bytes", counts.received_bytes, 'c'),
            ("dropped", counts.dropped, 'c'),
            ("malformed", counts.malformed, 'c'),
            ("put_off", counts.deferred, 'c'),
            ("snapshots", counts.snapshots, 'c'),
            ("conflicts", counts.conflicts, 'c'),
            ("rejected", replica.rejected_keys().count() as u64, 'g'),
        ];
        let mut text = String::new();
        for (name, value, kind) in metrics {
            let _ = writeln!(text, "controller.replication.{name}:{value}|{kind}");
        }
        text
    }

    /// Sends datagrams without waiting; lost ones are made up for by a later anti-entropy comparison.
    fn send(&self, datagrams: Vec<(SocketAddr, Vec<u8>)>) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        for (to, bytes) in datagrams {
            if socket.try_send_to(&bytes, to).is_err() {
                self.failed_sends.set(self.failed_sends.get() + 1);
            }
        }
    }

    fn poll(&self, now: Time) {
        let mut datagrams = Vec::new();
        self.replica.borrow_mut().poll(now, &mut datagrams);
        self.send(datagrams);
    }

    /// Logs the replica's events. Returns whether a setting in force has changed.
    fn take_events(&self, instance: &str) -> bool {
        let events = self.replica.borrow_mut().take_events();
        let mut changed = false;
        for event in events {
            changed |= self.take_event(instance, event);
        }
        changed
    }

    fn take_event(&self, instance: &str, event: Event) -> bool {
        match event {
            Event::ValueChanged { key } => {
                self.reasons.borrow_mut().remove(&key);
                tracing::info!(instance, key, "replication: value in force");
                return !key.starts_with(MEMBER_PREFIX);
            }
            Event::Rejected { key, why } => {
                tracing::warn!(instance, key, why, "replication: value rejected here");
                self.record_reason(key, why);
            }
            Event::Conflict { key, winner, loser } => {
                let (winner, loser) = (winner.dot, loser.dot);
                tracing::warn!(instance, key, ?winner, ?loser, "replication: conflicting concurrent changes");
            }
            Event::MemberJoined { name } => tracing::info!(instance, name, "replication: member joined"),
            Event::MemberLeft { name } => tracing::info!(instance, name, "replication: member left"),
            Event::Joined => tracing::info!(instance, "replication: this controller has joined"),
            Event::Removed => {
                tracing::warn!(instance, "replication: this controller was removed; joining again")
            }
            Event::Replaced => {
                tracing::error!(
                    instance,
                    "replication: another process uses this name; this controller no longer takes part"
                );
            }
            Event::CaughtUp => tracing::info!(instance, "replication: caught up with the other members"),
        }
        false
    }

    /// Records why a key's value is not in force, for as long as it is rejected.
    fn record_reason(&self, key: String, why: String) {
        let replica = self.replica.borrow();
        let rejected: Vec<&str> = replica.rejected_keys().collect();
        let mut reasons = self.reasons.borrow_mut();
        reasons.insert(key, why);
        reasons.retain(|key, _| rejected.contains(&key.as_str()));
    }

    /// The configuration in force: the file's, overlaid with the replicated settings.
    fn in_force(&self, instance: &str) -> InstanceConfig {
        let replica = self.replica.borrow();
        let own = format!("{SERVICE_PREFIX}{}/", self.service);
        let values = replica.values(ALL_PREFIX).chain(replica.values(&own));
        let (config, left_out) = self.overlay.borrow().effective_config(values);
        for error in left_out {
            tracing::warn!(instance, %error, "replication: setting does not fit the file; ignored");
        }
        config
    }
}

/// Operators' access to the replica.
impl Instance {
    /// Whether this controller takes part in replicated configuration.
    pub fn replicates(&self) -> bool {
        self.0.replication.is_some()
    }

    /// Changes a key or, without a value, deletes it. The error names the seeds if this controller is not a source.
    pub(crate) fn propose(&self, key: &str, value: Option<&[u8]>) -> Result<Dot, String> {
        let replication = self.0.replication.as_ref().ok_or("no [instance.replication] in its file")?;
        let now = self.0.clock.now();
        let proposed = replication.replica.borrow_mut().propose(now, key, value);
        replication.rearm.notify_one();
        proposed.map_err(|error| match error {
            ProposeError::NotASource => {
                let seeds: Vec<String> = replication.seeds.iter().map(SocketAddr::to_string).collect();
                format!("{error}; ask one of the sources, its seeds: {}", seeds.join(", "))
            }
            other => other.to_string(),
        })
    }

    /// Gives read access to the replica and to the reasons why keys are not in force.
    pub(crate) fn replica<R>(
        &self,
        read: impl FnOnce(&Replica, &BTreeMap<String, String>) -> R,
    ) -> Option<R> {
        let replication = self.0.replication.as_ref()?;
        let result = read(&replication.replica.borrow(), &replication.reasons.borrow());
        Some(result)
    }
}

impl Instance {
    /// Receives and sends datagrams; never returns.
    pub(super) async fn replicate(self) {
        let Some(replication) = &self.0.replication else { return };
        let Some(socket) = replication.socket.borrow().clone() else { return };
        let mut bytes = [0; MAX_DATAGRAM + 1];
        loop {
            let due = self.sleep_until(replication.replica.borrow().next_due());
            tokio::select! {
                received = socket.recv_from(&mut bytes) => match received {
                    Ok((length, from)) => self.replication_iteration(Some((from, &bytes[..length]))),
                    Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
                },
                _ = replication.rearm.notified() => self.replication_iteration(None),
                _ = tokio::time::sleep_until(due) => self.replication_iteration(None),
            }
        }
    }

    fn sleep_until(&self, due: Time) -> tokio::time::Instant {
        let now = tokio::time::Instant::now();
        let wait = Duration::from_micros(due.0.saturating_sub(self.0.clock.now().0));
        now + wait.clamp(MIN_SLEEP, MAX_SLEEP)
    }

    /// Handles one datagram or deadline. A panic is counted and does not end the task.
    fn replication_iteration(&self, datagram: Option<(SocketAddr, &[u8])>) {
        let iteration = std::panic::AssertUnwindSafe(|| self.take_replication_iteration(datagram));
        if std::panic::catch_unwind(iteration).is_err() {
            self.0.panics.set(self.0.panics.get() + 1);
        }
    }

    fn take_replication_iteration(&self, datagram: Option<(SocketAddr, &[u8])>) {
        let Some(replication) = &self.0.replication else { return };
        let now = self.0.clock.now();
        if let Some((from, bytes)) = datagram {
            // The replica counts invalid datagrams.
            let _ = replication.replica.borrow_mut().receive(now, from, bytes);
        }
        replication.poll(now);
        if replication.take_events(self.name()) {
            let config = replication.in_force(self.name());
            self.log_unchanged(&self.apply_config(config));
        }
    }

    fn log_unchanged(&self, unchanged: &[&'static str]) {
        if !unchanged.is_empty() {
            tracing::warn!(
                instance = self.name(),
                keys = unchanged.join(", "),
                "only a restart can change these"
            );
        }
    }

    /// A reloaded file's configuration, overlaid with the replicated settings.
    pub(super) fn with_replicated_settings(&self, file: InstanceConfig) -> InstanceConfig {
        let Some(replication) = &self.0.replication else { return file };
        let before = replication.overlay.borrow().file().clone();
        replication.overlay.borrow_mut().set_file(file);
        let config = replication.in_force(self.name());
        replication.overlay.borrow_mut().set_file(before);
        config
    }

    /// Makes an applied file the base of later overlays, with the former settings if those were left unchanged.
    pub(super) fn file_applied(&self, file: InstanceConfig, unchanged: &[&'static str]) {
        let Some(replication) = &self.0.replication else { return };
        let mut overlay = replication.overlay.borrow_mut();
        let settings_stayed = unchanged.iter().any(|key| key.starts_with("settings."));
        let settings = if settings_stayed { overlay.file().settings.clone() } else { file.settings.clone() };
        match file.with_settings(settings) {
            Ok(file) => overlay.set_file(file),
            Err((key, why)) => {
                tracing::error!(
                    key,
                    why,
                    "file does not fit the running settings; former base of the replicated settings stays"
                )
            }
        }
    }

    /// Announces this member's leave and closes the socket.
    pub(super) fn stop_replication(&self) {
        let Some(replication) = &self.0.replication else { return };
        let mut datagrams = Vec::new();
        replication.replica.borrow_mut().leave(self.0.clock.now(), &mut datagrams);
        replication.send(datagrams);
        replication.socket.borrow_mut().take();
    }
}

/// Number of this process incarnation, higher in each later one: seconds since 1970.
fn incarnation() -> u32 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u32::try_from(since.as_secs()).unwrap_or(u32::MAX)
}
