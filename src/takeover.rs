//! Takeover between two processes: the listener inherited from the platform, and the channel on which a process hands
//! its state and sockets to its successor.
//!
//! The predecessor listens on a Unix socket in `$TMPDIR`. A frame consists of two magic bytes, the version, the kind,
//! the length of the body, and the body:
//!
//! | from | frame | meaning |
//! | --- | --- | --- |
//! | successor | `Request` | it is able to serve and requests the state |
//! | predecessor | `State`, then sockets | the whole state; the predecessor is blocked from here on |
//! | predecessor | `Refusal` | no state, and the reason; the predecessor continues to serve |
//! | successor | `Received` | it has read the whole state |
//! | predecessor | `Released` | the state now belongs to the successor |
//! | predecessor | `Cancel` | `Received` came too late; the predecessor continues to serve |
//! | successor | `Stop` | it cannot use the state: the predecessor is to finish its accepted calls and end |

use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use listenfd::ListenFd;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

/// Version of the frames and of the state. There is no takeover between processes of different versions.
const VERSION: u8 = 3;
const MAGIC: [u8; 2] = *b"LP";
/// The longest frame body.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Sockets sent with one message.
const MAX_SOCKETS_PER_MESSAGE: usize = 64;
/// Sockets accepted in one takeover.
const MAX_SOCKETS: usize = 65_536;
/// The predecessor's timeout for one exchange. Its event loop is blocked meanwhile.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(800);
/// The successor's timeout for one exchange. Longer than the predecessor's: the successor must not start alone while
/// the predecessor may still hand over.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(3);

/// Kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameKind {
    /// Requests the state.
    Request = 1,
    /// The state; sockets follow.
    State = 2,
    /// The state is not available; the body gives the reason.
    Refusal = 3,
    /// The successor has read the state and all sockets.
    Received = 4,
    /// The predecessor has released the state to the successor.
    Released = 5,
    /// The predecessor has cancelled the takeover and continues to serve.
    Cancel = 6,
    /// The predecessor is to finish its accepted calls and end.
    Stop = 7,
}

impl FrameKind {
    /// Parses the header of a successor's first frame, which has no body.
    pub fn parse_request(header: &[u8; 8]) -> Result<FrameKind, TakeoverError> {
        match (body_length(header)?, header[3]) {
            (0, kind) if kind == FrameKind::Request as u8 => Ok(FrameKind::Request),
            (0, kind) if kind == FrameKind::Stop as u8 => Ok(FrameKind::Stop),
            _ => Err(TakeoverError::InvalidFrame),
        }
    }
}

/// Why a takeover failed.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverError {
    /// The channel failed or timed out.
    #[error("takeover channel: {0}")]
    Io(#[from] io::Error),
    /// Not a frame, or not the expected one.
    #[error("invalid takeover frame (protocol version {VERSION} expected)")]
    InvalidFrame,
    /// A frame body or a list of sockets above the limit.
    #[error("takeover frame or socket list too long: {0}")]
    TooLong(usize),
    /// The predecessor refused to hand over its state.
    #[error("refused by the predecessor: {0}")]
    Refused(String),
    /// The predecessor cancelled the takeover and continues to serve.
    #[error("cancelled by the predecessor: confirmation came too late")]
    Cancelled,
    /// The state does not fit this process or cannot be read.
    #[error("the predecessor's state cannot be used: {0}")]
    Unusable(String),
}

/// The listening socket that this process has inherited as `descriptor`.
pub fn inherited_listener(descriptor: i32) -> io::Result<TcpListener> {
    // listenfd takes descriptors by systemd's variables and checks that this one is a listening socket.
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

/// The Unix socket on which a controller of this name waits for its successor.
pub fn socket_path(dir: &Path, name: &str) -> PathBuf {
    let name: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).take(40).collect();
    dir.join(format!("lockpoint-{name}.takeover"))
}

/// Listens for a successor at this path, replacing the socket of an earlier process.
pub fn listen_for_successor(path: &Path) -> io::Result<UnixListener> {
    remove_socket(path)?;
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Removes a socket, never another kind of file.
fn remove_socket(path: &Path) -> io::Result<()> {
    match std::fs::symlink_metadata(path) {
        Ok(metadata) if metadata.file_type().is_socket() => std::fs::remove_file(path),
        Ok(_) => Err(io::Error::new(io::ErrorKind::AlreadyExists, "the path exists and is not a socket")),
        Err(_) => Ok(()),
    }
}

/// One end of the connection between two processes.
#[derive(Debug)]
pub struct TakeoverChannel {
    stream: UnixStream,
    timeout: Duration,
    /// End of the time for the current exchange. Guards against a peer that reads or writes a few bytes now and then
    /// and so keeps the predecessor blocked.
    deadline: Instant,
}

/// Bytes written at most before the remaining time is checked again.
const CHUNK_BYTES: usize = 32 * 1024;

impl TakeoverChannel {
    /// Connects to the predecessor at this path; `None`: there is none. A socket on which no process listens is
    /// removed.
    pub fn to_predecessor(path: &Path) -> Option<TakeoverChannel> {
        match UnixStream::connect(path) {
            Ok(stream) => TakeoverChannel::new(stream, SUCCESSOR_TIMEOUT).ok(),
            Err(error) => {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    let _ = remove_socket(path);
                }
                None
            }
        }
    }

    /// The predecessor's end, for a successor that has connected.
    pub fn to_successor(stream: UnixStream) -> io::Result<TakeoverChannel> {
        TakeoverChannel::new(stream, PREDECESSOR_TIMEOUT)
    }

    fn new(stream: UnixStream, timeout: Duration) -> io::Result<TakeoverChannel> {
        stream.set_nonblocking(false)?;
        Ok(TakeoverChannel { stream, timeout, deadline: Instant::now() + timeout })
    }

    /// Starts the time for the next exchange.
    fn restart_timeout(&mut self) {
        self.deadline = Instant::now() + self.timeout;
    }

    /// The stream, with its timeouts set to the time that is left for this exchange.
    fn stream_with_remaining_time(&self) -> io::Result<&UnixStream> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.set_write_timeout(Some(left))?;
        Ok(&self.stream)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut left = bytes;
        while !left.is_empty() {
            match self.stream_with_remaining_time()?.write(&left[..left.len().min(CHUNK_BYTES)]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => left = &left[n..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn read(&self, bytes: &mut [u8]) -> io::Result<()> {
        let mut filled = 0;
        while filled < bytes.len() {
            match self.stream_with_remaining_time()?.read(&mut bytes[filled..]) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => filled += n,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Sends a frame.
    pub fn send(&mut self, kind: FrameKind, body: &[u8]) -> Result<(), TakeoverError> {
        let length = u32::try_from(body.len()).ok().filter(|_| body.len() <= MAX_FRAME_BYTES);
        let length = length.ok_or(TakeoverError::TooLong(body.len()))?;
        let mut header = [0; 8];
        header[..2].copy_from_slice(&MAGIC);
        (header[2], header[3]) = (VERSION, kind as u8);
        header[4..].copy_from_slice(&length.to_be_bytes());
        self.write(&header)?;
        Ok(self.write(body)?)
    }

    /// Receives a frame: its kind, unchecked, and its body.
    pub fn receive(&mut self) -> Result<(u8, Vec<u8>), TakeoverError> {
        let mut header = [0; 8];
        self.read(&mut header)?;
        let length = body_length(&header)?;
        let mut body = vec![0; length];
        self.read(&mut body)?;
        Ok((header[3], body))
    }

    /// Sends the state and sockets. After `Ok` they belong to the successor, after an error still to this process.
    pub fn send_state(&mut self, state: &[u8], sockets: &[BorrowedFd<'_>]) -> Result<(), TakeoverError> {
        self.restart_timeout();
        self.send(FrameKind::State, state)?;
        self.write(&u32::try_from(sockets.len()).unwrap_or(u32::MAX).to_be_bytes())?;
        for fds in sockets.chunks(MAX_SOCKETS_PER_MESSAGE) {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS_PER_MESSAGE))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            if !ancillary.push(SendAncillaryMessage::ScmRights(fds)) {
                return Err(TakeoverError::TooLong(fds.len()));
            }
            sendmsg(
                self.stream_with_remaining_time()?,
                &[IoSlice::new(&[1])],
                &mut ancillary,
                SendFlags::empty(),
            )
            .map_err(io::Error::from)?;
        }
        match self.receive() {
            Ok((kind, _)) if kind == FrameKind::Received as u8 => self.send(FrameKind::Released, b""),
            Ok(_) => Err(TakeoverError::InvalidFrame),
            Err(error) => {
                // A successor that is still there must learn that its confirmation is too late.
                self.restart_timeout();
                let _ = self.send(FrameKind::Cancel, b"");
                Err(error)
            }
        }
    }

    /// Requests the predecessor's state and receives it with its sockets.
    pub fn request_state(&mut self) -> Result<(Vec<u8>, Vec<OwnedFd>), TakeoverError> {
        self.restart_timeout();
        self.send(FrameKind::Request, b"")?;
        let (kind, body) = self.receive()?;
        if kind == FrameKind::Refusal as u8 {
            return Err(TakeoverError::Refused(String::from_utf8_lossy(&body).into_owned()));
        }
        if kind != FrameKind::State as u8 {
            return Err(TakeoverError::InvalidFrame);
        }
        let mut count = [0; 4];
        self.read(&mut count)?;
        let count = u32::from_be_bytes(count) as usize;
        if count > MAX_SOCKETS {
            return Err(TakeoverError::TooLong(count));
        }
        let mut sockets = Vec::new();
        while sockets.len() < count {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS_PER_MESSAGE))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let mut byte = [0; 1];
            let into = &mut [IoSliceMut::new(&mut byte)];
            let received =
                recvmsg(self.stream_with_remaining_time()?, into, &mut ancillary, RecvFlags::CMSG_CLOEXEC)
                    .map_err(io::Error::from)?;
            let before = sockets.len();
            for message in ancillary.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    sockets.extend(fds);
                }
            }
            if received.bytes == 0 || sockets.len() == before {
                return Err(TakeoverError::InvalidFrame);
            }
        }
        Ok((body, sockets))
    }

    /// Confirms that the state can be used. After `Ok` it belongs to this process.
    pub fn confirm(&mut self) -> Result<(), TakeoverError> {
        self.restart_timeout();
        // If the predecessor has closed its end, the last frame that it sent still decides.
        match self.send(FrameKind::Received, b"") {
            Err(TakeoverError::Io(error)) if error.kind() != io::ErrorKind::BrokenPipe => {
                return Err(error.into());
            }
            _ => {}
        }
        match self.receive() {
            Ok((kind, _)) if kind == FrameKind::Released as u8 => Ok(()),
            Ok(_) => Err(TakeoverError::Cancelled),
            // The predecessor has died, and its state is here: one that continues to serve sends `Cancel` first.
            Err(TakeoverError::Io(error)) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(()),
            Err(TakeoverError::Io(error)) if error.kind() == io::ErrorKind::ConnectionReset => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn body_length(header: &[u8; 8]) -> Result<usize, TakeoverError> {
    if header[..2] != MAGIC || header[2] != VERSION {
        return Err(TakeoverError::InvalidFrame);
    }
    let length = u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(TakeoverError::TooLong(length));
    }
    Ok(length)
}
