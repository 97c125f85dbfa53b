//! Taking over: the listener that the platform holds, and the way on which one process hands all it holds to the next.
//!
//! The predecessor listens at a Unix socket in `$TMPDIR`. Frames are a mark, a version, a kind and a length:
//!
//! | from | frame | meaning |
//! | --- | --- | --- |
//! | successor | `Hello` | it could serve, and asks for what is held |
//! | predecessor | `State`, then sockets | all of it; from here on the predecessor stands still |
//! | predecessor | `No` | not to be had, and why; it works on |
//! | successor | `Held` | it could read all of it |
//! | predecessor | `Yours` | it has let go |
//! | predecessor | `Keep` | the word came too late; it works on |
//! | successor | `Leave` | it cannot use what is held: the predecessor is to finish what it took, and end |

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

/// Of the frames and of what is handed over. A process of another version takes nothing over.
const VERSION: u8 = 3;
const MARK: [u8; 2] = *b"LP";
/// The longest frame.
const MOST_BYTES: usize = 16 << 20;
/// Sockets that go together.
const MOST_SOCKETS: usize = 64;
/// Sockets that are taken in all.
const MOST_IN_ALL: usize = 65_536;
/// A frame must be whole, and be answered, within this by the predecessor's watch: it stands still meanwhile.
const STANDS_STILL: Duration = Duration::from_millis(800);
/// The successor waits for longer: it must not go on alone while the predecessor might still.
const WAITS: Duration = Duration::from_secs(3);

/// The kinds of frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Asks for what is held.
    Hello = 1,
    /// What is held; sockets follow.
    State = 2,
    /// Not to be had.
    No = 3,
    /// All of it was read.
    Held = 4,
    /// The other has let go.
    Yours = 5,
    /// The other works on.
    Keep = 6,
    /// The other is to finish and end.
    Leave = 7,
}

impl Kind {
    /// What a successor asks, by the head of its first frame, which holds nothing more.
    pub fn asked(head: &[u8; 8]) -> Result<Kind, TakeoverError> {
        match (length_of(head)?, head[3]) {
            (0, kind) if kind == Kind::Hello as u8 => Ok(Kind::Hello),
            (0, kind) if kind == Kind::Leave as u8 => Ok(Kind::Leave),
            _ => Err(TakeoverError::Form),
        }
    }
}

/// A way that broke, or an answer that was no.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverError {
    /// The way broke, or took too long.
    #[error("the way between the processes broke: {0}")]
    Broken(#[from] io::Error),
    /// What came is no frame.
    #[error("what came is no message of version {VERSION}")]
    Form,
    /// The frame is longer than any may be.
    #[error("a message of {0} bytes")]
    TooLong(usize),
    /// The predecessor said no.
    #[error("the predecessor keeps what it holds: {0}")]
    No(String),
    /// The predecessor works on.
    #[error("the predecessor works on: the word came too late")]
    Kept,
    /// What came cannot be used.
    #[error("what the predecessor holds cannot be used: {0}")]
    Unusable(String),
}

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

/// Where a controller of this name waits for its successor.
pub fn socket_path(dir: &Path, name: &str) -> PathBuf {
    let name: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).take(40).collect();
    dir.join(format!("lockpoint-{name}.takeover"))
}

/// Waits for a successor at this place, instead of whoever did before.
pub fn wait_at(place: &Path) -> io::Result<UnixListener> {
    remove_socket(place)?;
    let listener = UnixListener::bind(place)?;
    std::fs::set_permissions(place, std::fs::Permissions::from_mode(0o600))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Removes a socket, never another kind of file.
fn remove_socket(place: &Path) -> io::Result<()> {
    match std::fs::symlink_metadata(place) {
        Ok(found) if found.file_type().is_socket() => std::fs::remove_file(place),
        Ok(_) => Err(io::Error::new(io::ErrorKind::AlreadyExists, "another file is in the way")),
        Err(_) => Ok(()),
    }
}

/// One end of the way between two processes.
#[derive(Debug)]
pub struct TakeoverChannel {
    stream: UnixStream,
    patience: Duration,
    /// When the exchange that is under way must have come to its end. Guards against one who reads or writes a little
    /// now and then, and keeps a predecessor standing still.
    ends: Instant,
}

/// What is written or read before the time is looked at again.
const PIECE: usize = 32 * 1024;

impl TakeoverChannel {
    /// To the predecessor at this place; `None`: there is none. A socket that nobody answers at is removed.
    pub fn to_predecessor(place: &Path) -> Option<TakeoverChannel> {
        match UnixStream::connect(place) {
            Ok(stream) => TakeoverChannel::of(stream, WAITS).ok(),
            Err(error) => {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    let _ = remove_socket(place);
                }
                None
            }
        }
    }

    /// From a successor that has connected.
    pub fn to_successor(stream: UnixStream) -> io::Result<TakeoverChannel> {
        TakeoverChannel::of(stream, STANDS_STILL)
    }

    fn of(stream: UnixStream, patience: Duration) -> io::Result<TakeoverChannel> {
        stream.set_nonblocking(false)?;
        Ok(TakeoverChannel { stream, patience, ends: Instant::now() + patience })
    }

    /// An exchange begins.
    fn begin(&mut self) {
        self.ends = Instant::now() + self.patience;
    }

    /// What is done next has only the time that is left.
    fn in_time(&self) -> io::Result<&UnixStream> {
        let left = self.ends.saturating_duration_since(Instant::now());
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
            match self.in_time()?.write(&left[..left.len().min(PIECE)]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => left = &left[n..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn read(&self, bytes: &mut [u8]) -> io::Result<()> {
        let mut got = 0;
        while got < bytes.len() {
            match self.in_time()?.read(&mut bytes[got..]) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => got += n,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Says something.
    pub fn say(&mut self, kind: Kind, text: &[u8]) -> Result<(), TakeoverError> {
        let length = u32::try_from(text.len()).ok().filter(|_| text.len() <= MOST_BYTES);
        let length = length.ok_or(TakeoverError::TooLong(text.len()))?;
        let mut head = [0; 8];
        head[..2].copy_from_slice(&MARK);
        (head[2], head[3]) = (VERSION, kind as u8);
        head[4..].copy_from_slice(&length.to_be_bytes());
        self.write(&head)?;
        Ok(self.write(text)?)
    }

    /// Hears something; its kind is as it came.
    pub fn hear(&mut self) -> Result<(u8, Vec<u8>), TakeoverError> {
        let mut head = [0; 8];
        self.read(&mut head)?;
        let length = length_of(&head)?;
        let mut text = vec![0; length];
        self.read(&mut text)?;
        Ok((head[3], text))
    }

    /// Hands all over. When this says yes, it is the successor's; otherwise nothing has changed hands.
    pub fn hand_over(&mut self, state: &[u8], sockets: &[BorrowedFd<'_>]) -> Result<(), TakeoverError> {
        self.begin();
        self.say(Kind::State, state)?;
        self.write(&u32::try_from(sockets.len()).unwrap_or(u32::MAX).to_be_bytes())?;
        for some in sockets.chunks(MOST_SOCKETS) {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_SOCKETS))];
            let mut with = SendAncillaryBuffer::new(&mut space);
            if !with.push(SendAncillaryMessage::ScmRights(some)) {
                return Err(TakeoverError::TooLong(some.len()));
            }
            sendmsg(self.in_time()?, &[IoSlice::new(&[1])], &mut with, SendFlags::empty())
                .map_err(io::Error::from)?;
        }
        match self.hear() {
            Ok((kind, _)) if kind == Kind::Held as u8 => self.say(Kind::Yours, b""),
            Ok(_) => Err(TakeoverError::Form),
            Err(error) => {
                // Should it still be there, it must know that it has come too late.
                self.begin();
                let _ = self.say(Kind::Keep, b"");
                Err(error)
            }
        }
    }

    /// Asks for what is held, and gets it with its sockets.
    pub fn ask(&mut self) -> Result<(Vec<u8>, Vec<OwnedFd>), TakeoverError> {
        self.begin();
        self.say(Kind::Hello, b"")?;
        let (kind, text) = self.hear()?;
        if kind == Kind::No as u8 {
            return Err(TakeoverError::No(String::from_utf8_lossy(&text).into_owned()));
        }
        if kind != Kind::State as u8 {
            return Err(TakeoverError::Form);
        }
        let mut count = [0; 4];
        self.read(&mut count)?;
        let count = u32::from_be_bytes(count) as usize;
        if count > MOST_IN_ALL {
            return Err(TakeoverError::TooLong(count));
        }
        let mut sockets = Vec::new();
        while sockets.len() < count {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_SOCKETS))];
            let mut with = RecvAncillaryBuffer::new(&mut space);
            let mut byte = [0; 1];
            let into = &mut [IoSliceMut::new(&mut byte)];
            let got = recvmsg(self.in_time()?, into, &mut with, RecvFlags::CMSG_CLOEXEC)
                .map_err(io::Error::from)?;
            let before = sockets.len();
            for message in with.drain() {
                if let RecvAncillaryMessage::ScmRights(some) = message {
                    sockets.extend(some);
                }
            }
            if got.bytes == 0 || sockets.len() == before {
                return Err(TakeoverError::Form);
            }
        }
        Ok((text, sockets))
    }

    /// Says that all of it can be used; when this says yes, it is this process's.
    pub fn take(&mut self) -> Result<(), TakeoverError> {
        self.begin();
        // Where nobody is there any more to hear it, the last word that was said there still counts.
        match self.say(Kind::Held, b"") {
            Err(TakeoverError::Broken(error)) if error.kind() != io::ErrorKind::BrokenPipe => {
                return Err(error.into());
            }
            _ => {}
        }
        match self.hear() {
            Ok((kind, _)) if kind == Kind::Yours as u8 => Ok(()),
            Ok(_) => Err(TakeoverError::Kept),
            // It has died, and what it held is here: whoever works on says so first.
            Err(TakeoverError::Broken(error)) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(()),
            Err(TakeoverError::Broken(error)) if error.kind() == io::ErrorKind::ConnectionReset => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn length_of(head: &[u8; 8]) -> Result<usize, TakeoverError> {
    if head[..2] != MARK || head[2] != VERSION {
        return Err(TakeoverError::Form);
    }
    let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    if length > MOST_BYTES {
        return Err(TakeoverError::TooLong(length));
    }
    Ok(length)
}
