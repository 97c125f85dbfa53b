//! What operators ask of a controller at work.

use std::rc::Rc;

use tokio::net::TcpListener;

use crate::console::{self, Answer, Call};
use crate::core::DeadlineOwner;
use crate::drain::{AboutToEnd, Drain, Held, Phase};
use crate::instance::{Instance, State};
use crate::interface::Time;
use crate::metrics::{self, Gauges};

impl State {
    /// What is held that a process which ends must see to. `parting`: connections that wait for the other side.
    fn held(&self, parting: usize) -> Held {
        let read = self.guests.all_written() && self.callers.all_acked() && self.servers.all_acked();
        match (self.core.pending_calls(), read, self.guests.len() + parting) {
            (1.., ..) => Held::Calls,
            (0, false, _) => Held::Answers,
            (0, true, 1..) => Held::Connections,
            (0, true, 0) => Held::Nothing,
        }
    }
}

impl Instance {
    /// Answers operators for good.
    pub(super) async fn hear_operators(self, listener: Rc<TcpListener>, most: usize) {
        console::serve(listener, most, move |call| self.called(call)).await;
    }

    /// Does what an operator calls for.
    pub fn called(&self, call: Call) -> Answer {
        match call {
            Call::Ping if self.ready() => Answer::Success("serving", None),
            Call::Ping => Answer::Failure("no list of call servers is held yet".to_owned()),
            Call::Info => Answer::Success("figures follow", Some(self.figures())),
            Call::Lameduck => {
                self.lameduck();
                Answer::Success("emptying", None)
            }
            Call::Rejoin => match self.rejoin() {
                Ok(()) => Answer::Success("working", None),
                Err(error) => Answer::Failure(error.to_string()),
            },
        }
    }

    /// Sends callers away: tests fail from now on, what was taken is answered, connections end.
    pub fn lameduck(&self) {
        self.drain(|drain, now| drain.lameduck(now));
    }

    /// Back to work, also in the midst of a drain.
    pub fn rejoin(&self) -> Result<(), AboutToEnd> {
        let mut told = Ok(());
        self.drain(|drain, _| told = drain.rejoin());
        told
    }

    /// The same as `lameduck`, but the process is to end and cannot be brought back.
    pub fn begin_stop(&self) {
        self.drain(|drain, now| drain.end(now));
    }

    fn drain(&self, step: impl FnOnce(&mut Drain, Time)) {
        let now = self.0.clock.now();
        self.turn(|state, todo| {
            let before = state.drain;
            step(&mut state.drain, now);
            if state.drain == before {
                return;
            }
            state.core.refuse_set_ups_from(state.drain.refuses_from());
            todo.deadlines.extend(
                state.guests.numbers().into_iter().map(|no| (now, DeadlineOwner::ClientConnections, no)),
            );
        });
    }

    /// Where it stands: at work, or sending callers away.
    pub fn phase(&self) -> Phase {
        self.0.state.borrow().drain.phase()
    }

    /// Whether it was asked to stop.
    pub fn stopping(&self) -> bool {
        matches!(self.phase(), Phase::Emptying { ends: true, .. })
    }

    fn held(&self) -> Held {
        self.0.state.borrow().held(self.0.parting.get())
    }

    /// Whether all that was taken is answered, and no caller is connected.
    pub fn empty(&self) -> bool {
        self.held() == Held::Nothing
    }

    /// Whether the process, told to end, may do so.
    pub(super) fn may_leave(&self) -> bool {
        let (held, state) = (self.held(), self.0.state.borrow());
        state.drain.may_leave(held, state.core.max_caller_wait(), self.0.clock.now())
    }

    /// The figures, one a line.
    pub fn figures(&self) -> String {
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
        if let Some(keeper) = &state.keeper {
            text.push_str(&keeper.lines());
        }
        if let Some(replication) = &self.0.replication {
            text.push_str(&replication.figures());
        }
        text
    }

    /// What is held, and what has left towards call servers.
    pub(super) fn gauges(&self, state: &State) -> Gauges {
        let written = self.0.server_bytes.set_ups_written() + state.servers.counts.new_frames;
        Gauges { upstream_requests: written, ..state.core.gauges(self.0.clock.now()) }
    }
}
