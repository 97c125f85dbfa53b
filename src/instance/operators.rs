//! What operators ask of a controller at work.

use std::rc::Rc;

use tokio::net::TcpListener;

use crate::console::{self, Answer, Call};
use crate::figures::{self, Gauges};
use crate::instance::Instance;

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
            Call::Lameduck | Call::Rejoin => Answer::Failure("not yet".to_owned()),
        }
    }

    /// The figures, one a line.
    pub fn figures(&self) -> String {
        let state = self.0.state.borrow();
        let written = self.0.server_bytes.set_ups_left() + state.servers.counts.news;
        let gauges = Gauges { upstream_requests: written, ..state.core.gauges(self.0.clock.now()) };
        figures::lines(state.core.figures(), &gauges)
    }
}
