//! A TCP path between a controller and one of its peers, with faults that a test switches on and off.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};

use crate::ports::listen_again;

/// The pause between two pieces of a message that travels in pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
/// The size of these pieces, in bytes.
const PIECE_BYTES: usize = 40;

/// What happens to the bytes on the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    /// They pass.
    Passing,
    /// Nothing passes; open connections stay open, and new ones stay silent.
    Cut,
    /// All connections are reset, and their bytes are lost.
    Reset,
}

/// How the next connections behave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionFaults {
    /// They carry nothing before this time has passed.
    pub late_by: Duration,
    /// They are closed after this time.
    pub closed_after: Option<Duration>,
    /// Their bytes travel in small pieces.
    pub in_pieces: bool,
}

/// A TCP path to a peer.
pub struct TcpPath {
    /// Where it is entered.
    pub at: SocketAddr,
    peer: SocketAddr,
    /// The address from which the peer sees connections come.
    from: IpAddr,
    faults: Cell<ConnectionFaults>,
    flow: RefCell<watch::Sender<Flow>>,
    listening: RefCell<Option<JoinHandle<()>>>,
}

impl TcpPath {
    /// Opens a path from a listener to a peer, which sees connections come from the address `from`.
    pub fn open(listener: TcpListener, peer: SocketAddr, from: IpAddr) -> io::Result<Rc<TcpPath>> {
        let path = Rc::new(TcpPath {
            at: listener.local_addr()?,
            peer,
            from,
            faults: Cell::default(),
            flow: RefCell::new(watch::channel(Flow::Passing).0),
            listening: RefCell::default(),
        });
        path.listen(listener);
        Ok(path)
    }

    fn listen(self: &Rc<Self>, listener: TcpListener) {
        let path = self.clone();
        let listening = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let flow = path.flow.borrow().subscribe();
                spawn_local(carry(stream, path.clone(), path.faults.get(), flow));
            }
        });
        *self.listening.borrow_mut() = Some(listening);
    }

    /// Sets how the next connections behave.
    pub fn set_faults(&self, faults: ConnectionFaults) {
        self.faults.set(faults);
    }

    /// Nothing passes any more, and nothing is said about it.
    pub fn cut(&self) {
        self.flow.borrow().send_replace(Flow::Cut);
    }

    /// Resets all connections; new ones pass.
    pub fn reset(&self) {
        self.flow.replace(watch::channel(Flow::Passing).0).send_replace(Flow::Reset);
    }

    /// Resets all connections and refuses new ones.
    pub fn refuse(&self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
        self.reset();
    }

    /// Accepts connections again.
    pub async fn accept(self: &Rc<Self>) -> io::Result<()> {
        if self.listening.borrow().is_none() {
            self.listen(listen_again(self.at).await?);
        }
        Ok(())
    }
}

/// How a carried connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    InOrder,
    Reset,
}

/// Carries one connection until it ends.
async fn carry(
    mut near: TcpStream,
    path: Rc<TcpPath>,
    faults: ConnectionFaults,
    flow: watch::Receiver<Flow>,
) {
    let mut reset = flow.clone();
    let connect = async {
        tokio::time::sleep(faults.late_by).await;
        wait_until_passing(&mut flow.clone()).await;
        let socket = TcpSocket::new_v4()?;
        socket.bind((path.from, 0).into())?;
        socket.connect(path.peer).await
    };
    let connected = tokio::select! {
        connected = connect => connected,
        _ = wait_until_reset(&mut reset) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(mut far) = connected else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let closed = async {
        match faults.closed_after {
            Some(after) => tokio::time::sleep(after).await,
            None => std::future::pending().await,
        }
    };
    let end = {
        let ((near_reader, near_writer), (far_reader, far_writer)) = (near.split(), far.split());
        let there = copy(near_reader, far_writer, faults.in_pieces, flow.clone());
        let back = copy(far_reader, near_writer, faults.in_pieces, flow.clone());
        tokio::select! {
            copied = async { tokio::try_join!(there, back) } => copied.map_or(End::Reset, |_| End::InOrder),
            _ = closed => End::InOrder,
            _ = wait_until_reset(&mut reset) => End::Reset,
        }
    };
    if end == End::Reset {
        let _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}

/// Copies one direction until it ends, then ends it for the receiver too.
async fn copy(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    in_pieces: bool,
    mut flow: watch::Receiver<Flow>,
) -> io::Result<()> {
    let mut chunk = [0; 4096];
    loop {
        let count = reader.read(&mut chunk).await?;
        wait_until_passing(&mut flow).await;
        if count == 0 {
            return writer.shutdown().await;
        }
        write(&mut writer, &chunk[..count], in_pieces).await?;
    }
}

async fn write(writer: &mut WriteHalf<'_>, bytes: &[u8], in_pieces: bool) -> io::Result<()> {
    if !in_pieces {
        return writer.write_all(bytes).await;
    }
    for piece in bytes.chunks(PIECE_BYTES) {
        writer.write_all(piece).await?;
        tokio::time::sleep(PIECE_PAUSE).await;
    }
    Ok(())
}

async fn wait_until_passing(flow: &mut watch::Receiver<Flow>) {
    if flow.wait_for(|flow| *flow == Flow::Passing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn wait_until_reset(flow: &mut watch::Receiver<Flow>) {
    // The sender is dropped right after it has sent the reset.
    let _ = flow.wait_for(|flow| *flow == Flow::Reset).await;
}
