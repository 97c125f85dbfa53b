//! Signals from the platform and the operator, heard through a pipe of our own.
//!
//! The async runtime's own signal driver wakes itself through a Unix socket pair; the standing test of the fleet
//! admits TCP and UDP only. Here the handler (`signal-hook`, async-signal-safe) writes one byte to the write end of
//! an ordinary pipe, and the runtime waits on the read end like on any other descriptor.

use std::io::{self, PipeReader, Read};

use tokio::io::unix::AsyncFd;

/// SIGTERM: a planned restart or an operator's stop.
pub const TERMINATE: i32 = signal_hook::consts::SIGTERM;
/// SIGINT: an operator's Ctrl-C.
pub const INTERRUPT: i32 = signal_hook::consts::SIGINT;
/// SIGHUP: a new configuration.
pub const HANG_UP: i32 = signal_hook::consts::SIGHUP;

/// Any of some signals, from the moment of [`SignalListener::new`] on: from then on they no longer end the process.
pub struct SignalListener {
    pipe: AsyncFd<PipeReader>,
}

impl SignalListener {
    /// Catches these signals (numbers as in `signal(7)`). Errors: no pipe, or a signal that may not be caught
    /// (SIGKILL, SIGSTOP); then the signals keep their usual effect.
    pub fn new(signals: &[i32]) -> io::Result<SignalListener> {
        let (reader, writer) = io::pipe()?;
        rustix::fs::fcntl_setfl(&reader, rustix::fs::OFlags::NONBLOCK)?;
        for &signal in signals {
            // Each handler writes to its own copy; the pipe stays open as long as one is registered.
            signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
        }
        // The deprecation is about descriptors closed behind the runtime's back; this one is owned by the `AsyncFd`
        // alone from here to its end, and the replacement needs `unsafe`, which the crate forbids.
        #[allow(deprecated)]
        let pipe = AsyncFd::new(reader)?;
        Ok(SignalListener { pipe })
    }

    /// Waits for the next of them; several that came together count as one. Never returns if the pipe fails.
    pub async fn next(&mut self) {
        let mut bytes = [0u8; 64];
        loop {
            let Ok(mut ready) = self.pipe.readable().await else { return std::future::pending().await };
            match ready.try_io(|pipe| pipe.get_ref().read(&mut bytes)) {
                Ok(Ok(read)) if read > 0 => {
                    // What else came meanwhile is the same news.
                    while matches!(self.pipe.get_ref().read(&mut bytes), Ok(read) if read > 0) {}
                    return;
                }
                Ok(Ok(_)) | Ok(Err(_)) => return std::future::pending().await,
                Err(_would_block) => continue,
            }
        }
    }
}
