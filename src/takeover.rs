//! Taking over: the listener that the platform holds, and what a predecessor hands on.

use std::io;
use std::net::TcpListener;

use listenfd::ListenFd;

/// The listening socket that this process has inherited as that descriptor.
pub fn inherited(descriptor: i32) -> io::Result<TcpListener> {
    // listenfd reads systemd's form of the same; it checks what the descriptor is.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS");
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = taken?.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no such descriptor"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
