//! Full frames and their information elements: bytes in and out.

use thiserror::Error;

/// A call number takes 15 bits.
pub const MAX_CALL_NUMBER: u16 = 0x7fff;
/// The longest datagram taken or sent.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// The F bit of a full frame, and where other frames have a bit of their own.
const FULL: u16 = 0x8000;
/// The meta command of a trunk.
const TRUNK: u8 = 1;
/// Bytes of a full frame ahead of its information elements.
const HEADER: usize = 12;

macro_rules! codes {
    ($(#[$doc:meta])* $name:ident { $($variant:ident = $code:literal),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[allow(missing_docs)] // the names are the RFC's
        pub enum $name {
            $($variant,)*
            /// A code that the RFC does not give.
            Other(u8),
        }
        impl $name {
            /// Its code: the subclass on the wire.
            pub fn code(self) -> u8 {
                match self { $($name::$variant => $code,)* $name::Other(code) => code }
            }
            /// What a code stands for.
            pub fn of(code: u8) -> Self {
                match code { $($code => $name::$variant,)* code => $name::Other(code) }
            }
            /// All that the RFC names.
            pub const ALL: &'static [$name] = &[$($name::$variant),*];
        }
    };
}

codes!(
    /// IAX control frames (RFC 5456, 8.4; RTKEY and CALLTOKEN are 0x27 and 0x28).
    Iax {
        New = 0x01,
        Ping = 0x02,
        Pong = 0x03,
        Ack = 0x04,
        Hangup = 0x05,
        Reject = 0x06,
        Accept = 0x07,
        AuthReq = 0x08,
        AuthRep = 0x09,
        Inval = 0x0a,
        LagRq = 0x0b,
        LagRp = 0x0c,
        RegReq = 0x0d,
        RegAuth = 0x0e,
        RegAck = 0x0f,
        RegRej = 0x10,
        RegRel = 0x11,
        Vnak = 0x12,
        DpReq = 0x13,
        DpRep = 0x14,
        Dial = 0x15,
        TxReq = 0x16,
        TxCnt = 0x17,
        TxAcc = 0x18,
        TxReady = 0x19,
        TxRel = 0x1a,
        TxRej = 0x1b,
        Quelch = 0x1c,
        Unquelch = 0x1d,
        Poke = 0x1e,
        Mwi = 0x20,
        Unsupport = 0x21,
        Transfer = 0x22,
        Provision = 0x23,
        FwDownl = 0x24,
        FwData = 0x25,
        TxMedia = 0x26,
        RtKey = 0x27,
        CallToken = 0x28,
    }
);
codes!(
    /// Control frames (RFC 5456, 8.3).
    Control {
        Hangup = 0x01,
        Ringing = 0x03,
        Answer = 0x04,
        Busy = 0x05,
        Congestion = 0x08,
        FlashHook = 0x09,
        Option = 0x0b,
        KeyRadio = 0x0c,
        UnkeyRadio = 0x0d,
        Progress = 0x0e,
        Proceeding = 0x0f,
        Hold = 0x10,
        Unhold = 0x11,
    }
);

/// What a full frame is (RFC 5456, 8.2). Formats are the RFC's bits (8.7): one of them is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A digit, as ASCII.
    Dtmf(u8),
    /// Sound in a format.
    Voice(u32),
    /// Pictures that move, in a format.
    Video(u32),
    /// A control frame.
    Control(Control),
    /// Nothing; it is passed over.
    Null,
    /// An IAX control frame.
    Iax(Iax),
    /// Text.
    Text,
    /// A picture in a format.
    Image(u32),
    /// A part of a page, by its subclass.
    Html(u8),
    /// Silence, at a level in -dBov.
    ComfortNoise(u8),
    /// A type or a subclass that the RFC does not give.
    Other(u8, u8),
}

impl Kind {
    /// Type and subclass on the wire.
    fn codes(self) -> (u8, u8) {
        match self {
            Kind::Dtmf(digit) => (1, digit),
            Kind::Voice(format) => (2, subclass_of(format)),
            Kind::Video(format) => (3, subclass_of(format)),
            Kind::Control(control) => (4, control.code()),
            Kind::Null => (5, 0),
            Kind::Iax(iax) => (6, iax.code()),
            Kind::Text => (7, 0),
            Kind::Image(format) => (8, subclass_of(format)),
            Kind::Html(part) => (9, part),
            Kind::ComfortNoise(level) => (10, level),
            Kind::Other(kind, subclass) => (kind, subclass),
        }
    }

    /// What type and subclass stand for.
    fn of(kind: u8, subclass: u8) -> Kind {
        let other = Kind::Other(kind, subclass);
        let plain = subclass < POWER;
        match (kind, value_of(subclass)) {
            (1, _) if plain => Kind::Dtmf(subclass),
            (2, Some(format)) => Kind::Voice(format),
            (3, Some(format)) => Kind::Video(format),
            (4, _) if plain => Kind::Control(Control::of(subclass)),
            (5, Some(0)) => Kind::Null,
            (6, _) if plain => Kind::Iax(Iax::of(subclass)),
            (7, Some(0)) => Kind::Text,
            (8, Some(format)) => Kind::Image(format),
            (9, _) if plain => Kind::Html(subclass),
            (10, _) if plain => Kind::ComfortNoise(subclass),
            _ => other,
        }
    }

    /// Whether it takes a sequence number of its own (RFC 5456, 7.1: these do not).
    pub fn takes_sequence_number(self) -> bool {
        use Iax::{Ack, CallToken, Inval, TxAcc, TxCnt, Vnak};
        !matches!(self, Kind::Iax(Ack | Inval | Vnak | TxCnt | TxAcc | CallToken))
    }

    /// Whether it is what a call is for, not how it is set up.
    pub fn is_media(self) -> bool {
        use Kind::{ComfortNoise, Dtmf, Html, Image, Text, Video, Voice};
        matches!(self, Dtmf(_) | Voice(_) | Video(_) | Text | Image(_) | Html(_) | ComfortNoise(_))
    }
}

/// What an UNSUPPORT says to an IAX control frame on a leg; none where nothing is to be said: those that belong to every
/// leg are dealt with before, and answers to what was never asked are passed over (RFC 5456, 6.9.4).
pub fn unsupport_reply(iax: Iax) -> Option<Elements> {
    use Iax::{Accept, Ack, AuthReq, Hangup, Inval, LagRp, New, Pong, Reject, Unsupport, Vnak};
    let answers = matches!(
        iax,
        Accept | Ack | AuthReq | Hangup | Inval | LagRp | New | Pong | Reject | Unsupport | Vnak
    );
    (!answers).then(|| Elements::default().with(ie::IAX_UNKNOWN, &[iax.code()]))
}

/// The C bit: the subclass is the exponent of a power of two (RFC 5456, 8.1.1).
const POWER: u8 = 0x80;

/// A subclass on the wire for a value: itself where it fits, else the exponent of a power of two.
fn subclass_of(value: u32) -> u8 {
    match u8::try_from(value) {
        Ok(small) if small < POWER => small,
        _ => POWER | (31_u32.saturating_sub(value.leading_zeros()) as u8),
    }
}

/// The value of a subclass; none where the exponent is too large for one.
fn value_of(subclass: u8) -> Option<u32> {
    if subclass < POWER {
        return Some(subclass.into());
    }
    1_u32.checked_shl(u32::from(subclass & !POWER))
}

macro_rules! elements {
    ($($(#[$doc:meta])* $name:ident = $code:literal),* $(,)?) => {
        /// Information elements (RFC 5456, 8.6), and those that exchanges use beside them.
        pub mod ie {
            $($(#[$doc])* pub const $name: u8 = $code;)*
            /// Its name, for people.
            pub fn name(element: u8) -> Option<&'static str> {
                match element { $($code => Some(stringify!($name)),)* _ => None }
            }
        }
    };
}

elements! {
    /// The number called.
    CALLED_NUMBER = 0x01,
    /// Who calls.
    CALLING_NUMBER = 0x02,
    /// Who calls, as the line is billed.
    CALLING_ANI = 0x03,
    /// Who calls, by name.
    CALLING_NAME = 0x04,
    /// Where it is called: the class.
    CALLED_CONTEXT = 0x05,
    /// Who asks.
    USERNAME = 0x06,
    /// A secret as it is.
    PASSWORD = 0x07,
    /// Formats that the caller can do.
    CAPABILITY = 0x08,
    /// The format chosen or wanted.
    FORMAT = 0x09,
    /// The language wanted.
    LANGUAGE = 0x0a,
    /// Protocol version: 2.
    VERSION = 0x0b,
    /// Of displays.
    ADSICPE = 0x0c,
    /// The number first called.
    DNID = 0x0d,
    /// Ways to authenticate: 1 plain text, 2 MD5, 4 RSA.
    AUTHMETHODS = 0x0e,
    /// What MD5 and RSA are done on.
    CHALLENGE = 0x0f,
    /// MD5 of challenge and secret, as hex.
    MD5_RESULT = 0x10,
    /// RSA signature of the challenge, as base64.
    RSA_RESULT = 0x11,
    /// Where the receiver sees the sender.
    APPARENT_ADDR = 0x12,
    /// Seconds until a registration must be renewed.
    REFRESH = 0x13,
    /// What is known of a number that is being dialled.
    DPSTATUS = 0x14,
    /// A call number of a transfer.
    CALLNO = 0x15,
    /// Why a call ended, as text.
    CAUSE = 0x16,
    /// The subclass that is not supported.
    IAX_UNKNOWN = 0x17,
    /// Messages that wait.
    MSGCOUNT = 0x18,
    /// Answer by itself.
    AUTOANSWER = 0x19,
    /// Music on hold.
    MUSICONHOLD = 0x1a,
    /// Of a transfer.
    TRANSFERID = 0x1b,
    /// The number that sent the call on.
    RDNIS = 0x1c,
    /// Local time.
    DATETIME = 0x1f,
    /// Whether the calling number may be shown.
    CALLINGPRES = 0x26,
    /// Type of the calling number.
    CALLINGTON = 0x27,
    /// Network of the calling number.
    CALLINGTNS = 0x28,
    /// Samples a second.
    SAMPLINGRATE = 0x29,
    /// Why a call ended, as a Q.850 code.
    CAUSE_CODE = 0x2a,
    /// Ways to encrypt: 1 AES-128.
    ENCRYPTION = 0x2b,
    /// A key.
    ENCKEY = 0x2c,
    /// Formats in order of preference.
    CODEC_PREFS = 0x2d,
    /// Receiver report: jitter.
    RR_JITTER = 0x2e,
    /// Receiver report: loss.
    RR_LOSS = 0x2f,
    /// Receiver report: frames.
    RR_PKTS = 0x30,
    /// Receiver report: delay.
    RR_DELAY = 0x31,
    /// Receiver report: dropped.
    RR_DROPPED = 0x32,
    /// Receiver report: out of order.
    RR_OOO = 0x33,
    /// `name=value`, the channel variable that IAX2 exchanges carry beside the RFC's elements.
    VARIABLE = 0x34,
    /// A token of the Open Settlement Protocol.
    OSPTOKEN = 0x35,
    /// A call token; empty to ask for one.
    CALLTOKEN = 0x36,
}

/// Information elements in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Elements(pub Vec<(u8, Vec<u8>)>);

impl Elements {
    /// With one more.
    #[must_use]
    pub fn with(mut self, element: u8, value: &[u8]) -> Self {
        self.0.push((element, value[..value.len().min(255)].to_vec()));
        self
    }
    /// With a variable; a long value goes into several of the same name, in order.
    #[must_use]
    pub fn with_variable(mut self, name: &str, value: &str) -> Self {
        let room = 254 - name.len().min(100);
        let bytes = value.as_bytes();
        let mut chunks: Vec<&[u8]> = bytes.chunks(room).collect();
        if chunks.is_empty() {
            chunks.push(b"");
        }
        for chunk in chunks {
            let mut pair = format!("{name}=").into_bytes();
            pair.extend_from_slice(chunk);
            self.0.push((ie::VARIABLE, pair));
        }
        self
    }
    /// The first of a kind.
    pub fn get(&self, element: u8) -> Option<&[u8]> {
        self.0.iter().find(|(e, _)| *e == element).map(|(_, value)| value.as_slice())
    }
    /// The first of a kind, as text.
    pub fn text(&self, element: u8) -> Option<&str> {
        std::str::from_utf8(self.get(element)?).ok()
    }
    /// The first of a kind, as a number of whatever width.
    pub fn number(&self, element: u8) -> Option<u32> {
        let bytes = self.get(element)?;
        (1..=4).contains(&bytes.len()).then(|| bytes.iter().fold(0, |n, byte| n << 8 | u32::from(*byte)))
    }
    /// A variable, its parts put together.
    pub fn variable(&self, name: &str) -> Option<String> {
        let mut whole: Option<Vec<u8>> = None;
        for (_, value) in self.0.iter().filter(|(e, _)| *e == ie::VARIABLE) {
            let part = value.strip_prefix(name.as_bytes()).and_then(|rest| rest.strip_prefix(b"="));
            if let Some(part) = part {
                whole.get_or_insert_with(Vec::new).extend_from_slice(part);
            }
        }
        String::from_utf8(whole?).ok()
    }
}

/// A full frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The sender's call number.
    pub source: u16,
    /// The receiver's call number; 0 if not yet known.
    pub dest: u16,
    /// Whether it was sent before.
    pub retransmitted: bool,
    /// Milliseconds of the sender's leg.
    pub timestamp: u32,
    /// The frame's own sequence number.
    pub oseq: u8,
    /// The sequence number that the sender expects next.
    pub iseq: u8,
    /// What it is.
    pub kind: Kind,
    /// Its information elements; only IAX control frames have any.
    pub elements: Elements,
    /// What any other frame carries.
    pub data: Vec<u8>,
}

/// A part of a trunk frame: the media of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrunkEntry {
    /// The sender's call number.
    pub source: u16,
    /// The low half of the sender's time, where the trunk carries one for each call.
    pub timestamp: Option<u16>,
    /// Sound, in the format that the call's last full voice frame named.
    pub data: Vec<u8>,
}

/// A datagram, read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Datagram {
    /// A full frame.
    Full(Frame),
    /// A mini frame (8.1.2): sound with the low half of the sender's time.
    Mini {
        /// The sender's call number.
        source: u16,
        /// The low 16 bits of milliseconds of the sender's leg.
        timestamp: u16,
        /// Sound, in the format that the call's last full voice frame named.
        data: Vec<u8>,
    },
    /// A meta video frame (8.1.3.1).
    Video {
        /// The sender's call number.
        source: u16,
        /// The mark that ends a picture.
        mark: bool,
        /// The low 15 bits of milliseconds of the sender's leg.
        timestamp: u16,
        /// Pictures, in the format that the call's last full video frame named.
        data: Vec<u8>,
    },
    /// A meta trunk frame (8.1.3.2).
    Trunk {
        /// Milliseconds of the trunk.
        timestamp: u32,
        /// The calls.
        entries: Vec<TrunkEntry>,
    },
}

/// A frame that cannot be read. It costs itself alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Too few bytes for its header.
    #[error("a frame of {0} bytes is cut short")]
    TooShort(usize),
    /// Too many bytes.
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// An information element runs past the end.
    #[error("information element {0:#04x} runs past the end")]
    TruncatedElement(u8),
    /// A frame needs a call number.
    #[error("a frame without a call number")]
    NoCallNumber,
    /// A meta frame whose command is not the RFC's.
    #[error("meta command {0:#04x} is not known")]
    UnknownMetaCommand(u8),
}

/// Reads a datagram.
pub fn parse(bytes: &[u8]) -> Result<Datagram, FrameError> {
    if bytes.len() < 4 {
        return Err(FrameError::TooShort(bytes.len()));
    }
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(FrameError::TooLong(bytes.len()));
    }
    let word = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    match word(0) {
        0 => return meta(bytes),
        source if source & FULL == 0 => {
            return Ok(Datagram::Mini { source, timestamp: word(2), data: bytes[4..].to_vec() });
        }
        _ => {}
    }
    if bytes.len() < HEADER {
        return Err(FrameError::TooShort(bytes.len()));
    }
    let source = word(0) & MAX_CALL_NUMBER;
    // Who does not know a call whose number was not yet told has no number of its own to give: an INVAL to the HANGUP of
    // a lost NEW comes without one (RFC 5456, 6.9.2).
    if source == 0 && bytes[10..12] != [6, Iax::Inval.code()] {
        return Err(FrameError::NoCallNumber);
    }
    let kind = Kind::of(bytes[10], bytes[11]);
    let rest = &bytes[HEADER..];
    // Only IAX control frames carry elements; what follows other headers is their own.
    let (elements, data) = match kind {
        Kind::Iax(_) => (elements(rest)?, Vec::new()),
        _ => (Elements::default(), rest.to_vec()),
    };
    Ok(Datagram::Full(Frame {
        source,
        dest: word(2) & MAX_CALL_NUMBER,
        retransmitted: word(2) & FULL != 0,
        timestamp: u32::from_be_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]),
        oseq: bytes[8],
        iseq: bytes[9],
        kind,
        elements,
        data,
    }))
}

/// Reads a meta frame.
fn meta(bytes: &[u8]) -> Result<Datagram, FrameError> {
    let short = || FrameError::TooShort(bytes.len());
    let word = |at: usize| Some(u16::from_be_bytes([*bytes.get(at)?, *bytes.get(at + 1)?]));
    let second = word(2).ok_or_else(short)?;
    if second & FULL != 0 {
        let (source, time) = (second & MAX_CALL_NUMBER, word(4).ok_or_else(short)?);
        if source == 0 {
            return Err(FrameError::NoCallNumber);
        }
        let (mark, timestamp) = (time & FULL != 0, time & !FULL);
        return Ok(Datagram::Video { source, mark, timestamp, data: bytes[6..].to_vec() });
    }
    let timed = match bytes[2..4] {
        [TRUNK, 0] => false,
        [TRUNK, 1] => true,
        [TRUNK, other] | [other, _] => return Err(FrameError::UnknownMetaCommand(other)),
        _ => return Err(short()),
    };
    let timestamp = bytes.get(4..8).and_then(|four| four.try_into().ok()).map(u32::from_be_bytes);
    let timestamp = timestamp.ok_or_else(short)?;
    let (mut entries, mut at) = (Vec::new(), 8);
    while at < bytes.len() {
        let head = if timed { 6 } else { 4 };
        let (first, second) = (word(at).ok_or_else(short)?, word(at + 2).ok_or_else(short)?);
        let (length, source) = if timed { (first, second) } else { (second, first) };
        let timestamp = if timed { Some(word(at + 4).ok_or_else(short)?) } else { None };
        let end = at + head + usize::from(length);
        let data = bytes.get(at + head..end).ok_or_else(short)?.to_vec();
        let source = source & MAX_CALL_NUMBER;
        if source == 0 {
            return Err(FrameError::NoCallNumber);
        }
        entries.push(TrunkEntry { source, timestamp, data });
        at = end;
    }
    Ok(Datagram::Trunk { timestamp, entries })
}

impl Datagram {
    /// Its bytes. Entries of a trunk carry times if the first does.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        match self {
            Datagram::Full(frame) => return frame.bytes(),
            Datagram::Mini { source, timestamp, data } => {
                bytes.extend((source & MAX_CALL_NUMBER).to_be_bytes());
                bytes.extend(timestamp.to_be_bytes());
                bytes.extend(data);
            }
            Datagram::Video { source, mark, timestamp, data } => {
                bytes.extend([0, 0]);
                bytes.extend((source | FULL).to_be_bytes());
                bytes.extend(((timestamp & !FULL) | if *mark { FULL } else { 0 }).to_be_bytes());
                bytes.extend(data);
            }
            Datagram::Trunk { timestamp, entries } => {
                let timed = entries.first().is_some_and(|entry| entry.timestamp.is_some());
                bytes.extend([0, 0, TRUNK, u8::from(timed)]);
                bytes.extend(timestamp.to_be_bytes());
                for TrunkEntry { source, timestamp, data } in entries {
                    let length = u16::try_from(data.len()).unwrap_or(u16::MAX);
                    let (source, length) = ((source & MAX_CALL_NUMBER).to_be_bytes(), length.to_be_bytes());
                    if timed {
                        bytes.extend(length);
                        bytes.extend(source);
                        bytes.extend(timestamp.unwrap_or(0).to_be_bytes());
                    } else {
                        bytes.extend(source);
                        bytes.extend(length);
                    }
                    bytes.extend(&data[..data.len().min(usize::from(u16::MAX))]);
                }
            }
        }
        bytes
    }
}

/// A sender's whole time from its low bits, by the last whole time that was seen: the one that is nearest. Frames may
/// come out of order across the wrap. `bits`: 16 for mini frames, 15 for meta video.
pub fn full_timestamp(last: u32, low: u16, bits: u32) -> u32 {
    let span = 1_u32 << bits;
    let ahead = u32::from(low).wrapping_sub(last) & (span - 1);
    // Up to half a span ahead is later; the rest is earlier.
    if ahead < span / 2 {
        last.wrapping_add(ahead)
    } else {
        last.wrapping_add(ahead).wrapping_sub(span)
    }
}

fn elements(mut bytes: &[u8]) -> Result<Elements, FrameError> {
    let mut elements = Elements::default();
    while let [element, rest @ ..] = bytes {
        let [length, rest @ ..] = rest else { return Err(FrameError::TruncatedElement(*element)) };
        let value = rest.get(..usize::from(*length)).ok_or(FrameError::TruncatedElement(*element))?;
        elements.0.push((*element, value.to_vec()));
        bytes = &rest[usize::from(*length)..];
    }
    Ok(elements)
}

impl Frame {
    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let (kind, subclass) = self.kind.codes();
        let mut bytes = Vec::with_capacity(HEADER + 64);
        bytes.extend((self.source | 0x8000).to_be_bytes());
        bytes.extend((self.dest | if self.retransmitted { 0x8000 } else { 0 }).to_be_bytes());
        bytes.extend(self.timestamp.to_be_bytes());
        bytes.extend([self.oseq, self.iseq, kind, subclass]);
        for (element, value) in &self.elements.0 {
            let length = u8::try_from(value.len()).unwrap_or(u8::MAX);
            bytes.extend([*element, length]);
            bytes.extend(&value[..usize::from(length)]);
        }
        bytes.extend(&self.data);
        bytes
    }

    /// The answer to a frame of a call that is not known here.
    pub fn inval(&self) -> Frame {
        Frame {
            source: self.dest,
            dest: self.source,
            retransmitted: false,
            timestamp: self.timestamp,
            oseq: self.iseq,
            iseq: self.oseq.wrapping_add(1),
            kind: Kind::Iax(Iax::Inval),
            elements: Elements::default(),
            data: Vec::new(),
        }
    }
}
