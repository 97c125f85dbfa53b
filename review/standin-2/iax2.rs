//! A small IAX2 caller (RFC 5456): it places one call at a time and answers what comes on it.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use crate::kit::note;

struct Frame {
    source: u16,
    dest: u16,
    timestamp: u32,
    oseq: u8,
    iseq: u8,
    kind: (u8, u8),
}

const IAX: u8 = 6;
const NEW: (u8, u8) = (IAX, 1);
const PING: (u8, u8) = (IAX, 2);
const PONG: (u8, u8) = (IAX, 3);
const ACK: (u8, u8) = (IAX, 4);
const HANGUP: (u8, u8) = (IAX, 5);
const REJECT: (u8, u8) = (IAX, 6);
const ACCEPT: (u8, u8) = (IAX, 7);
const INVAL: (u8, u8) = (IAX, 10);
const VNAK: (u8, u8) = (IAX, 0x12);
const ANSWER: (u8, u8) = (4, 4);

fn name(kind: (u8, u8)) -> String {
    let known = [
        (NEW, "NEW"),
        (PING, "PING"),
        (PONG, "PONG"),
        (ACK, "ACK"),
        (HANGUP, "HANGUP"),
        (REJECT, "REJECT"),
        (ACCEPT, "ACCEPT"),
        (INVAL, "INVAL"),
        (VNAK, "VNAK"),
        (ANSWER, "ANSWER"),
    ];
    let found = known.iter().find(|(known, _)| *known == kind);
    found.map_or(format!("{kind:?}"), |(_, name)| (*name).to_owned())
}

impl Frame {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = (self.source | 0x8000).to_be_bytes().to_vec();
        bytes.extend(self.dest.to_be_bytes());
        bytes.extend(self.timestamp.to_be_bytes());
        bytes.extend([self.oseq, self.iseq, self.kind.0, self.kind.1]);
        bytes
    }

    fn parse(bytes: &[u8]) -> Option<Frame> {
        let head: [u8; 12] = bytes.get(..12)?.try_into().ok()?;
        (head[0] & 0x80 != 0).then(|| Frame {
            source: u16::from_be_bytes([head[0] & 0x7f, head[1]]),
            dest: u16::from_be_bytes([head[2] & 0x7f, head[3]]),
            timestamp: u32::from_be_bytes([head[4], head[5], head[6], head[7]]),
            oseq: head[8],
            iseq: head[9],
            kind: (head[10], head[11]),
        })
    }
}

/// The process of a caller: its socket.
pub struct Phone(UdpSocket);

impl Phone {
    /// A process at this address, which calls the front at `to`.
    pub fn start(at: SocketAddr, to: SocketAddr) -> Option<Phone> {
        let socket = UdpSocket::bind(at).ok()?;
        socket.set_read_timeout(Some(Duration::from_millis(10))).ok()?;
        socket.connect(to).ok()?;
        note(&format!("a caller's process starts at {}", socket.local_addr().ok()?));
        Some(Phone(socket))
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.0.local_addr().ok()
    }

    /// Places a call under this call number and serves it for `ms`; returns the names of the frames that came for it.
    pub fn call(&self, number: u16, callid: &str, left: u64, ms: u64) -> Vec<String> {
        let mut new = Frame { source: number, dest: 0, timestamp: 3, oseq: 0, iseq: 0, kind: NEW }.bytes();
        let elements: [(u8, Vec<u8>); 7] = [
            (0x0b, vec![0, 2]),
            (0x01, b"7f3a9c21".to_vec()),
            (0x05, b"judge-call".to_vec()),
            (0x34, format!("callid={callid}").into_bytes()),
            (0x34, format!("left={left}").into_bytes()),
            (0x08, vec![0, 0, 0, 4]),
            (0x09, vec![0, 0, 0, 4]),
        ];
        for (element, value) in elements {
            new.extend([element, value.len() as u8]);
            new.extend(value);
        }
        note(&format!("caller -> NEW source {number} callid {callid} left {left}"));
        let _ = self.0.send(&new);
        let start = Instant::now();
        let (mut remote, mut iseq, mut oseq) = (0, 0_u8, 1_u8);
        let (mut acked, mut said, mut asked) = (false, start, None::<Instant>);
        let mut came = Vec::new();
        while start.elapsed() < Duration::from_millis(ms) {
            if !acked && said.elapsed() > Duration::from_millis(500) {
                said = Instant::now();
                let mut again = new.clone();
                again[2] |= 0x80;
                note(&format!("caller -> NEW source {number} again"));
                let _ = self.0.send(&again);
            }
            let mut bytes = [0; 2_000];
            let Ok(length) = self.0.recv(&mut bytes) else { continue };
            let Some(frame) = Frame::parse(&bytes[..length]).filter(|frame| frame.dest == number) else {
                continue;
            };
            if remote == 0 {
                remote = frame.source;
            }
            acked |= frame.iseq > 0;
            note(&format!("caller <- {} source {} oseq {}", name(frame.kind), frame.source, frame.oseq));
            came.push(name(frame.kind));
            if [ACK, INVAL, VNAK].contains(&frame.kind) {
                continue;
            }
            let mut reply =
                Frame { source: number, dest: remote, timestamp: frame.timestamp, oseq, iseq, kind: ACK };
            match frame.oseq.wrapping_sub(iseq) as i8 {
                0 => {
                    iseq = iseq.wrapping_add(1);
                    reply.iseq = iseq;
                    if frame.kind == PING {
                        reply.kind = PONG;
                        oseq = oseq.wrapping_add(1);
                    }
                }
                // Something is missing: asked for once a second.
                1.. if asked.is_none_or(|at| at.elapsed() > Duration::from_secs(1)) => {
                    asked = Some(Instant::now());
                    reply.kind = VNAK;
                }
                1.. => continue,
                _ => {}
            }
            let _ = self.0.send(&reply.bytes());
        }
        came
    }
}
