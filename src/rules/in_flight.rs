//! Access to the outstanding set-ups, which tests compare with the state of the core.

use std::collections::BTreeSet;

use super::{CallId, Controller, Server, ServerId};

impl Controller {
    /// The outstanding set-ups according to the decision module.
    pub(crate) fn in_flight(&self) -> BTreeSet<(ServerId, CallId)> {
        let of_server =
            |(id, s): (&ServerId, &Server)| s.outstanding.iter().map(|o| (*id, o.call)).collect::<Vec<_>>();
        self.servers.iter().flat_map(of_server).collect()
    }
}
