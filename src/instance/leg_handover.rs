//! Established calls of IAX2 callers across a planned restart of the agent: a process that stops leaves their legs in a file,
//! and the next one continues them. Where the legs are not left to anyone, their calls are ended in order.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::core::{LegCall, Sid};
use crate::iax2::leg::LegState;
use crate::instance::{Instance, State};
use crate::interface::{Span, Time};
use crate::recovery::records::CallRecord;
use crate::upstream::AdapterOutput;

/// Version of the file.
const VERSION: u32 = 1;
/// Legs that were left longer ago than this have been given up by their callers.
const MAX_AGE: Span = Span::from_millis(60_000);

/// A leg and its call.
#[derive(Debug, Serialize, Deserialize)]
struct HandedLeg {
    sid: String,
    leg: LegState,
    call: CallRecord,
}

/// Contents of the file.
#[derive(Debug, Serialize, Deserialize)]
struct HandedLegs {
    version: u32,
    left_at: Time,
    legs: Vec<HandedLeg>,
}

/// The file in which an instance of the agent with this control socket leaves its legs.
pub fn leg_file(control_socket: &Path, instance: &str) -> PathBuf {
    let mut file = control_socket.as_os_str().to_owned();
    file.push(format!(".{instance}.legs"));
    file.into()
}

impl State {
    fn handed_leg(&self, call: LegCall) -> Option<HandedLeg> {
        let number = self.sip.number_of(call.server, call.sid)?;
        Some(HandedLeg {
            sid: call.sid.to_string(),
            leg: self.iax2_front.leg_state(call.client)?,
            call: self.core.leg_call_record(call, &number)?,
        })
    }

    fn end_leg_call(&mut self, call: LegCall, now: Time, output: &mut AdapterOutput) {
        let mut effects = Vec::new();
        self.core.end_leg_call(now, call, &mut effects);
        self.apply_effects(effects, now, output);
    }

    fn resume_leg(&mut self, handed: HandedLeg, now: Time, output: &mut AdapterOutput) {
        let Some(sid) = Sid::parse(&handed.sid) else { return };
        if let Some(client) = self.iax2_front.resume_leg(sid, &handed.leg, now, output) {
            self.core.resume_leg_call(now, sid, client, handed.call);
        }
    }
}

impl Instance {
    /// From now on the legs of IAX2 callers are left in this file when the instance ends, for the next process.
    pub fn leave_legs_in(&self, file: PathBuf) {
        *self.0.leg_file.borrow_mut() = Some(file);
    }

    /// Ends the calls of the legs that are not left to the next process, on both sides.
    pub(super) fn end_leg_calls(&self) {
        let now = self.0.clock.now();
        let leaves_legs = self.0.leg_file.borrow().is_some();
        self.apply(|state, output| {
            for call in state.core.leg_calls() {
                if !leaves_legs || state.handed_leg(call).is_none() {
                    state.end_leg_call(call, now, output);
                }
            }
        });
    }

    /// Leaves the legs of established calls to the next process, as the last step of this one.
    pub(super) fn leave_legs(&self) {
        let Some(file) = self.0.leg_file.borrow().clone() else { return };
        let now = self.0.clock.now();
        let legs: Vec<HandedLeg> = {
            let state = self.0.state.borrow();
            state.core.leg_calls().into_iter().filter_map(|call| state.handed_leg(call)).collect()
        };
        if legs.is_empty() {
            return;
        }
        let count = legs.len();
        match write(&file, &HandedLegs { version: VERSION, left_at: now, legs }) {
            Ok(()) => tracing::info!(legs = count, "callers' legs left to the next process"),
            Err(error) => {
                tracing::warn!(file = %file.display(), %error, "cannot leave the callers' legs to the next process");
                self.0.leg_file.take();
                self.end_leg_calls();
            }
        }
    }

    /// Continues the legs that the previous process has left in a file, which is removed.
    pub fn resume_legs(&self, file: &Path) {
        let now = self.0.clock.now();
        let handed = match read(file) {
            Ok(Some(handed)) => handed,
            Ok(None) => return,
            Err(error) => {
                tracing::warn!(file = %file.display(), %error, "cannot continue the callers' legs");
                return;
            }
        };
        if handed.version != VERSION || now.since(handed.left_at) > MAX_AGE {
            tracing::warn!(file = %file.display(), legs = handed.legs.len(), "callers' legs are too old to be continued");
            return;
        }
        tracing::info!(legs = handed.legs.len(), "continuing the legs of the previous process");
        self.apply(|state, output| {
            for leg in handed.legs {
                state.resume_leg(leg, now, output);
            }
        });
    }
}

fn write(file: &Path, handed: &HandedLegs) -> io::Result<()> {
    let text = serde_json::to_vec(handed)?;
    let mut temporary = file.as_os_str().to_owned();
    temporary.push(".new");
    let _ = fs::remove_file(&temporary);
    // Contains callers' addresses.
    let mut opened = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&temporary)?;
    opened.write_all(&text)?;
    fs::rename(&temporary, file)
}

fn read(file: &Path) -> io::Result<Option<HandedLegs>> {
    let text = match fs::read(file) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    // Before they are continued: legs must not be continued twice.
    fs::remove_file(file)?;
    Ok(Some(serde_json::from_slice(&text)?))
}
