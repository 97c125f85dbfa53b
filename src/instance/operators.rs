//! Operators' commands to a running controller, and its metrics.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::console::{self, ConsoleCommand, ConsoleReply};
use crate::core::DeadlineOwner;
use crate::drain::{Drain, Outstanding, Phase, ProcessEnding, CLOSE_AWAITED};
use crate::instance::{Instance, State, STOP_CHECK_INTERVAL};
use crate::interface::Time;
use crate::metrics::{self, Gauges};

impl State {
    /// The most important work that a stopping process still has. `closing`: connections that wait for the caller to
    /// close.
    fn outstanding(&self, closing: usize) -> Outstanding {
        let all_read = self.client_connections.all_written()
            && self.iax2_front.all_acked()
            && self.iax2_servers.all_acked();
        match (self.core.pending_calls(), all_read, self.client_connections.len() + closing) {
            (1.., ..) => Outstanding::Calls,
            (0, false, _) => Outstanding::Answers,
            (0, true, 1..) => Outstanding::Connections,
            (0, true, 0) => Outstanding::Nothing,
        }
    }
}

impl Instance {
    /// Serves the operators' console; never returns.
    pub(super) async fn serve_console(self, listener: Rc<TcpListener>, most: usize) {
        console::serve(listener, most, move |command| self.execute(command)).await;
    }

    /// Executes an operator's command.
    pub fn execute(&self, command: ConsoleCommand) -> ConsoleReply {
        match command {
            ConsoleCommand::Ping if self.ready() => ConsoleReply::Success("serving", None),
            ConsoleCommand::Ping => ConsoleReply::Failure("no list of call servers received yet".to_owned()),
            ConsoleCommand::Info => ConsoleReply::Success("figures follow", Some(self.metrics_text())),
            ConsoleCommand::Lameduck => {
                self.lameduck();
                ConsoleReply::Success("emptying", None)
            }
            ConsoleCommand::Rejoin => match self.rejoin() {
                Ok(()) => ConsoleReply::Success("working", None),
                Err(error) => ConsoleReply::Failure(error.to_string()),
            },
        }
    }

    /// Drains the controller: health checks fail from now on, accepted set-ups are answered, and connections end.
    pub fn lameduck(&self) {
        self.drain(|drain, now| drain.lameduck(now));
    }

    /// Resumes normal work, also during a drain.
    pub fn rejoin(&self) -> Result<(), ProcessEnding> {
        let mut result = Ok(());
        self.drain(|drain, _| result = drain.rejoin());
        result
    }

    /// Like `lameduck`, but the process ends afterwards and the drain cannot be revoked.
    pub fn begin_stop(&self) {
        self.drain(|drain, now| drain.begin_stop(now));
    }

    fn drain(&self, step: impl FnOnce(&mut Drain, Time)) {
        let now = self.0.clock.now();
        self.apply(|state, todo| {
            let before = state.drain;
            step(&mut state.drain, now);
            if state.drain == before {
                return;
            }
            state.core.refuse_set_ups_from(state.drain.refuses_set_ups_from());
            todo.deadlines.extend(
                state
                    .client_connections
                    .numbers()
                    .into_iter()
                    .map(|no| (now, DeadlineOwner::ClientConnections, no)),
            );
        });
    }

    /// Whether the controller works or drains.
    pub fn phase(&self) -> Phase {
        self.0.state.borrow().drain.phase()
    }

    /// Whether the controller was asked to stop.
    pub fn stopping(&self) -> bool {
        matches!(self.phase(), Phase::Draining { stopping: true, .. })
    }

    fn outstanding(&self) -> Outstanding {
        self.0.state.borrow().outstanding(self.0.closing_connections.get())
    }

    /// Whether all accepted set-ups are answered and no caller is connected.
    pub fn is_drained(&self) -> bool {
        self.outstanding() == Outstanding::Nothing
    }

    /// Whether a process that was asked to stop may end now.
    pub(super) fn may_exit(&self) -> bool {
        let (outstanding, state) = (self.outstanding(), self.0.state.borrow());
        state.drain.may_exit(outstanding, state.core.max_caller_wait(), self.0.clock.now())
    }

    /// Closes all callers' connections, as the process is about to end. Releases that arrive from now on are left to the
    /// next process: no caller could be told of them any more.
    pub(super) async fn close_client_connections(&self) {
        {
            let mut state = self.0.state.borrow_mut();
            state.sip.leave_releases();
            for no in state.client_connections.numbers() {
                state.client_connections.finish(no);
            }
        }
        let closed_by = tokio::time::Instant::now() + Duration::from_micros(CLOSE_AWAITED.0);
        while self.outstanding() == Outstanding::Connections && tokio::time::Instant::now() < closed_by {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    }

    /// Whether releases were sent that callers on IAX2 legs or call servers have not confirmed.
    pub(super) fn has_unconfirmed_releases(&self) -> bool {
        let state = self.0.state.borrow();
        let legs_acked = state.iax2_front.all_acked() && state.iax2_servers.all_acked();
        !legs_acked || state.sip.has_unconfirmed_releases()
    }

    /// The controller's metrics, one per line.
    pub fn metrics_text(&self) -> String {
        let state = self.0.state.borrow();
        let mut text = metrics::format_metrics(state.core.metrics(), &self.gauges(&state));
        if let (Some(counts), Some(credit)) = (state.core.fleet_counts(), state.core.credit_counts()) {
            let now = self.0.clock.now();
            let peers = state.core.fleet_peers();
            text.push_str(&metrics::format_fleet_metrics(
                &counts,
                &credit,
                peers,
                &state.core.fleet_view(now),
            ));
        }
        if let Some(record_writer) = &state.record_writer {
            text.push_str(&record_writer.metrics_text());
        }
        if let Some(replication) = &self.0.replication {
            text.push_str(&replication.metrics_text());
        }
        text
    }

    /// Gauges of the core, and the number of set-ups sent to call servers.
    pub(super) fn gauges(&self, state: &State) -> Gauges {
        let written = self.0.server_bytes.set_ups_written() + state.iax2_servers.counts.new_frames;
        Gauges { upstream_requests: written, ..state.core.gauges(self.0.clock.now()) }
    }
}
