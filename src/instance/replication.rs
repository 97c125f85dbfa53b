//! Replicated configuration and membership of a controller at work: its socket, its timer, and the settings that it lays
//! over those of the file.

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

/// The shortest time between two polls that nothing else causes.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);
/// The longest time between two polls.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);
/// The pause after a socket error.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Replication of one controller.
pub(super) struct Replication {
    replica: RefCell<Replica>,
    /// `None`: it has left.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    overlay: Rc<RefCell<Overlay>>,
    service: String,
    seeds: Vec<SocketAddr>,
    /// Why current values of keys are not in force here.
    reasons: RefCell<BTreeMap<String, String>>,
    /// Something is to be sent.
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

    /// The figures, one a line.
    pub(super) fn figures(&self) -> String {
        let replica = self.replica.borrow();
        let counts = replica.counts();
        let entries = replica.values("").count() as u64;
        let figures = [
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
        for (name, value, kind) in figures {
            let _ = writeln!(text, "controller.replication.{name}:{value}|{kind}");
        }
        text
    }

    /// Sends datagrams without waiting: what is lost comes by a later comparison.
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

    /// Logs what happened; whether a setting has another value in force.
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
                tracing::info!(instance, key, "replication: in force");
                return !key.starts_with(MEMBER_PREFIX);
            }
            Event::Rejected { key, why } => {
                tracing::warn!(instance, key, why, "replication: not in force here");
                self.keep_reason(key, why);
            }
            Event::Conflict { key, winner, loser } => {
                let (winner, loser) = (winner.dot, loser.dot);
                tracing::warn!(instance, key, ?winner, ?loser, "replication: changed on two sides at once");
            }
            Event::MemberJoined { name } => tracing::info!(instance, name, "replication: member joined"),
            Event::MemberLeft { name } => tracing::info!(instance, name, "replication: member left"),
            Event::Joined => tracing::info!(instance, "replication: this controller has joined"),
            Event::Removed => tracing::warn!(instance, "replication: removed; it joins again"),
            Event::Replaced => {
                tracing::error!(
                    instance,
                    "replication: another process has this name; no part is taken any more"
                );
            }
            Event::CaughtUp => tracing::info!(instance, "replication: caught up with the others"),
        }
        false
    }

    /// Keeps why a key is not in force, for as long as it is not.
    fn keep_reason(&self, key: String, why: String) {
        let replica = self.replica.borrow();
        let rejected: Vec<&str> = replica.rejected_keys().collect();
        let mut reasons = self.reasons.borrow_mut();
        reasons.insert(key, why);
        reasons.retain(|key, _| rejected.contains(&key.as_str()));
    }

    /// The configuration in force: the file's with the replicated settings laid over.
    fn in_force(&self, instance: &str) -> InstanceConfig {
        let replica = self.replica.borrow();
        let own = format!("{SERVICE_PREFIX}{}/", self.service);
        let values = replica.values(ALL_PREFIX).chain(replica.values(&own));
        let (config, left_out) = self.overlay.borrow().effective_config(values);
        for error in left_out {
            tracing::warn!(instance, %error, "replication: does not fit the file; left out");
        }
        config
    }
}

/// What an operator asks of a replica.
impl Instance {
    /// Whether it takes part in replicated configuration.
    pub fn replicates(&self) -> bool {
        self.0.replication.is_some()
    }

    /// Changes or, without a value, deletes a key; the error names the seeds where this controller is no source.
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

    /// Looks at the replica, and at why keys are not in force.
    pub(crate) fn replica<R>(
        &self,
        look: impl FnOnce(&Replica, &BTreeMap<String, String>) -> R,
    ) -> Option<R> {
        let replication = self.0.replication.as_ref()?;
        let looked = look(&replication.replica.borrow(), &replication.reasons.borrow());
        Some(looked)
    }
}

impl Instance {
    /// Receives and sends for good.
    pub(super) async fn replicate(self) {
        let Some(replication) = &self.0.replication else { return };
        let Some(socket) = replication.socket.borrow().clone() else { return };
        let mut bytes = [0; MAX_DATAGRAM + 1];
        loop {
            let due = self.sleep_until(replication.replica.borrow().next_due());
            tokio::select! {
                received = socket.recv_from(&mut bytes) => match received {
                    Ok((length, from)) => self.replication_turn(Some((from, &bytes[..length]))),
                    Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
                },
                _ = replication.rearm.notified() => self.replication_turn(None),
                _ = tokio::time::sleep_until(due) => self.replication_turn(None),
            }
        }
    }

    fn sleep_until(&self, due: Time) -> tokio::time::Instant {
        let now = tokio::time::Instant::now();
        let wait = Duration::from_micros(due.0.saturating_sub(self.0.clock.now().0));
        now + wait.clamp(SHORTEST_SLEEP, LONGEST_SLEEP)
    }

    /// One datagram or deadline; a panic costs what caused it alone, and is counted.
    fn replication_turn(&self, datagram: Option<(SocketAddr, &[u8])>) {
        let turn = std::panic::AssertUnwindSafe(|| self.take_replication_turn(datagram));
        if std::panic::catch_unwind(turn).is_err() {
            self.0.panics.set(self.0.panics.get() + 1);
        }
    }

    fn take_replication_turn(&self, datagram: Option<(SocketAddr, &[u8])>) {
        let Some(replication) = &self.0.replication else { return };
        let now = self.0.clock.now();
        if let Some((from, bytes)) = datagram {
            // What cannot be taken is counted by the replica.
            let _ = replication.replica.borrow_mut().receive(now, from, bytes);
        }
        replication.poll(now);
        if replication.take_events(self.name()) {
            let config = replication.in_force(self.name());
            self.log_kept(&self.take_over(config));
        }
    }

    fn log_kept(&self, kept: &[&'static str]) {
        if !kept.is_empty() {
            tracing::warn!(instance = self.name(), keys = kept.join(", "), "only a restart can change these");
        }
    }

    /// The replicated settings laid over a file that was read anew.
    pub(super) fn lay_over(&self, file: InstanceConfig) -> InstanceConfig {
        let Some(replication) = &self.0.replication else { return file };
        let before = replication.overlay.borrow().file().clone();
        replication.overlay.borrow_mut().set_file(file);
        let config = replication.in_force(self.name());
        replication.overlay.borrow_mut().set_file(before);
        config
    }

    /// A file was taken over: later changes are laid over it. Settings that were kept stay the ones below.
    pub(super) fn file_taken_over(&self, file: InstanceConfig, kept: &[&'static str]) {
        let Some(replication) = &self.0.replication else { return };
        let mut overlay = replication.overlay.borrow_mut();
        let settings_stayed = kept.iter().any(|key| key.starts_with("settings."));
        let settings = if settings_stayed { overlay.file().settings.clone() } else { file.settings.clone() };
        match file.with_settings(settings) {
            Ok(file) => overlay.set_file(file),
            Err((key, why)) => {
                tracing::error!(key, why, "the settings before stay below the replicated ones")
            }
        }
    }

    /// Says good-bye to the other members and closes the socket.
    pub(super) fn leave_replication(&self) {
        let Some(replication) = &self.0.replication else { return };
        let mut datagrams = Vec::new();
        replication.replica.borrow_mut().leave(self.0.clock.now(), &mut datagrams);
        replication.send(datagrams);
        replication.socket.borrow_mut().take();
    }
}

/// Higher in each life of a process: seconds since 1970.
fn incarnation() -> u32 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u32::try_from(since.as_secs()).unwrap_or(u32::MAX)
}
