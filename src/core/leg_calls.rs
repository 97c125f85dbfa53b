//! Established calls of IAX2 callers when their process stops. A leg belongs to a process: its call is handed to the next
//! process together with the leg, or ended in order on both sides.

use crate::core::relay::CAUSE_CUT;
use crate::core::{Client, Core, Deadline, Effect, FrontKind, Protocol, ServerId, Sid};
use crate::interface::Time;
use crate::recovery::records::CallRecord;

/// An established call of an IAX2 caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LegCall {
    /// The call.
    pub sid: Sid,
    /// Number of its leg's client.
    pub client: u64,
    /// Its call server.
    pub server: ServerId,
}

impl Core {
    /// The established calls of IAX2 callers.
    pub fn leg_calls(&self) -> Vec<LegCall> {
        let calls = self.registry.established_calls();
        let of_legs = calls.filter(|(_, client, _)| client.front == FrontKind::Iax2);
        of_legs.map(|(sid, client, server)| LegCall { sid, client: client.no, server }).collect()
    }

    /// The record of an established call at a SIP call server, from which another process continues it. `None` at other
    /// call servers: the leg towards them belongs to this process, too.
    pub fn leg_call_record(&self, call: LegCall, number: &str) -> Option<CallRecord> {
        let entry = &self.servers.get(&call.server)?.entry;
        let since = self.registry.established_since(call.sid)?;
        (entry.protocol == Protocol::Sip).then(|| CallRecord {
            host: entry.host.clone(),
            started_ms: entry.started_ms,
            number: number.to_owned(),
            since_ms: since.0 / 1_000,
            leg: true,
        })
    }

    /// Continues a call of another process, whose leg is a client here. It is established once a directory lists its
    /// call server with the same start; otherwise its caller gets its release.
    pub fn resume_leg_call(&mut self, now: Time, sid: Sid, client: u64, record: CallRecord) {
        self.now = self.now.max(now);
        let client = Client { front: FrontKind::Iax2, no: client };
        self.client_up(client);
        self.recovery.expect_leg_call(self.now, sid, client, record);
        let until = self.recovery.undecided_until();
        self.deadlines.set(until, Deadline::Recovery);
    }

    /// Ends an established call on both sides because its leg ends with this process.
    pub fn end_leg_call(&mut self, now: Time, call: LegCall, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let client = Client { front: FrontKind::Iax2, no: call.client };
        self.end_established(call.sid, CAUSE_CUT, out);
        self.send_release(client, call.sid, CAUSE_CUT, 0, out);
    }
}
