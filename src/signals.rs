//! Signals from the platform and the operator, received through a pipe.
//!
//! The async runtime's own signal driver wakes itself through a Unix socket pair, but the fleet's standing test (see
//! `tests/standing.rs`) allows TCP and UDP sockets only. Here the handler (`signal-hook`, async-signal-safe) writes one
//! byte to the write end of a pipe, and the runtime waits for the read end like for any other descriptor.

use std::io::{self, PipeReader, Read};

use tokio::io::unix::AsyncFd;

/// SIGTERM: a planned restart or an operator's stop.
pub const TERMINATE: i32 = signal_hook::consts::SIGTERM;
/// SIGINT: an operator's Ctrl-C.
pub const INTERRUPT: i32 = signal_hook::consts::SIGINT;
/// SIGHUP: reload the configuration.
pub const HANG_UP: i32 = signal_hook::consts::SIGHUP;

/// Receives a set of signals, which no longer end the process from [`SignalListener::new`] on.
pub struct SignalListener {
    pipe: AsyncFd<PipeReader>,
}

impl SignalListener {
    /// Starts to receive these signals (numbers as in `signal(7)`). Fails if no pipe can be created or a signal
    /// cannot be caught (SIGKILL, SIGSTOP); the signals then keep their usual effect.
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

    /// Waits for the next signal; several that came together count as one. Never returns if the pipe fails.
    pub async fn next(&mut self) {
        let mut bytes = [0u8; 64];
        loop {
            let Ok(mut ready) = self.pipe.readable().await else { return std::future::pending().await };
            match ready.try_io(|pipe| pipe.get_ref().read(&mut bytes)) {
                Ok(Ok(read)) if read > 0 => {
                    // Signals that came meanwhile are merged with this one.
                    while matches!(self.pipe.get_ref().read(&mut bytes), Ok(read) if read > 0) {}
                    return;
                }
                Ok(Ok(_)) | Ok(Err(_)) => return std::future::pending().await,
                Err(_would_block) => continue,
            }
        }
    }
}
