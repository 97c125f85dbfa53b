//! Addresses and listeners of simulated peers, also where other threads of this process start programs meanwhile.
//!
//! A program that is being started holds copies of this process's sockets until it has replaced its image. While such a
//! copy listens, nobody else can listen on its address.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket};

/// A listener that was closed releases its address within this time.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval of attempts to listen meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// An address of this host on which nobody listens, for a program that is started later.
pub fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    let socket = if ip.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind((ip, 0).into())?;
    // It never listens: a copy of it keeps nobody from listening.
    socket.local_addr()
}

/// Listens on an address whose last listener has just been closed.
pub async fn listen_again(at: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    loop {
        match TcpListener::bind(at).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;
    use std::process::Command;
    use std::thread::{self, JoinHandle};

    // Addresses of their own: the system may give one test the port that the other has closed for a moment.
    const FREE_ADDRESS_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 77, 0, 1));
    const LISTEN_AGAIN_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 77, 0, 2));

    /// Starts one program after another in another thread.
    fn start_programs() -> JoinHandle<()> {
        thread::spawn(|| {
            for _ in 0..300 {
                Command::new("true").status().expect("the program runs");
            }
        })
    }

    /// Guards against trials that cannot start as another trial of the process starts a controller at that moment.
    #[test]
    fn a_free_address_can_be_listened_on_while_programs_are_started() {
        let starting = start_programs();
        while !starting.is_finished() {
            let at = free_address(FREE_ADDRESS_IP).expect("an address");
            std::net::TcpListener::bind(at).expect("nobody listens there");
        }
    }

    /// Guards against a path or a call server that stays down after its fault, without a word.
    #[tokio::test]
    async fn a_closed_listener_can_listen_again_while_programs_are_started() {
        let starting = start_programs();
        let first = TcpListener::bind((LISTEN_AGAIN_IP, 0)).await.expect("a listener");
        let at = first.local_addr().expect("its address");
        drop(first);
        while !starting.is_finished() {
            drop(listen_again(at).await.expect("it listens again"));
        }
    }
}
