//! Access to the outstanding set-ups, which tests compare with the state of the core.

use std::collections::BTreeSet;

use super::{CallId, Controller, Server, ServerId};

impl Controller {
    /// The outstanding set-ups according to the decision module.
    pub(crate) fn in_flight(&self) -> BTreeSet<(ServerId, CallId)> {
        let of_server = |(id, server): (&ServerId, &Server)| {
            server.outstanding.iter().map(|attempt| (*id, attempt.call)).collect::<Vec<_>>()
        };
        self.servers.iter().flat_map(of_server).collect()
    }
}
