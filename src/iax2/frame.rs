//! IAX2 frames and information elements: parsing and serialization.

use thiserror::Error;

/// The highest call number: it has 15 bits.
pub const MAX_CALL_NUMBER: u16 = 0x7fff;
/// The largest datagram accepted or sent.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// The top bit of a 16-bit header word: the F bit that marks a full frame, the R bit, or the mark of a video frame.
const TOP_BIT: u16 = 0x8000;
/// The meta command of a trunk frame.
const META_TRUNK: u8 = 1;
/// Bytes of the header of a full frame.
const HEADER_BYTES: usize = 12;

macro_rules! codes {
    ($(#[$doc:meta])* $name:ident { $($variant:ident = $code:literal),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[allow(missing_docs)] // the variants have the RFC's names
        pub enum $name {
            $($variant,)*
            /// A code that the RFC does not define.
            Other(u8),
        }
        impl $name {
            /// The code: the subclass on the wire.
            pub fn code(self) -> u8 {
                match self { $($name::$variant => $code,)* $name::Other(code) => code }
            }
            /// The value of a code.
            pub fn of(code: u8) -> Self {
                match code { $($code => $name::$variant,)* code => $name::Other(code) }
            }
            /// All values that the RFC defines.
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

/// The type and subclass of a full frame (RFC 5456, 8.2). A media format is one of the RFC's bits (8.7).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A DTMF digit, in ASCII.
    Dtmf(u8),
    /// Voice in a format.
    Voice(u32),
    /// Video in a format.
    Video(u32),
    /// A control frame.
    Control(Control),
    /// A null frame, which is ignored.
    Null,
    /// An IAX control frame.
    Iax(Iax),
    /// Text.
    Text,
    /// An image in a format.
    Image(u32),
    /// HTML, with its subclass.
    Html(u8),
    /// Comfort noise, at a level in -dBov.
    ComfortNoise(u8),
    /// A type or subclass that the RFC does not define.
    Other(u8, u8),
}

impl Kind {
    /// The type and subclass on the wire.
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

    /// The kind with this type and subclass on the wire.
    fn of(kind: u8, subclass: u8) -> Kind {
        let other = Kind::Other(kind, subclass);
        let plain = subclass < POWER_BIT;
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

    /// Whether a frame of this kind takes a sequence number (RFC 5456, 7.1, names those that do not).
    pub fn takes_sequence_number(self) -> bool {
        use Iax::{Ack, CallToken, Inval, TxAcc, TxCnt, Vnak};
        !matches!(self, Kind::Iax(Ack | Inval | Vnak | TxCnt | TxAcc | CallToken))
    }

    /// Whether a frame of this kind carries media, as opposed to signalling.
    pub fn is_media(self) -> bool {
        use Kind::{ComfortNoise, Dtmf, Html, Image, Text, Video, Voice};
        matches!(self, Dtmf(_) | Voice(_) | Video(_) | Text | Image(_) | Html(_) | ComfortNoise(_))
    }
}

/// The elements of the UNSUPPORT that answers an IAX control frame on a leg (RFC 5456, 6.9.4). `None` for frames that
/// every leg handles, and for replies that were not asked for, which are ignored.
pub fn unsupport_reply(iax: Iax) -> Option<Elements> {
    use Iax::{Accept, Ack, AuthReq, Hangup, Inval, LagRp, New, Pong, Reject, Unsupport, Vnak};
    let ignored = matches!(
        iax,
        Accept | Ack | AuthReq | Hangup | Inval | LagRp | New | Pong | Reject | Unsupport | Vnak
    );
    (!ignored).then(|| Elements::default().with(ie::IAX_UNKNOWN, &[iax.code()]))
}

/// The C bit: the subclass is the exponent of a power of two (RFC 5456, 8.1.1).
const POWER_BIT: u8 = 0x80;

/// The subclass on the wire of a value: the value itself where it fits, else the exponent of a power of two.
fn subclass_of(value: u32) -> u8 {
    match u8::try_from(value) {
        Ok(small) if small < POWER_BIT => small,
        _ => POWER_BIT | (31_u32.saturating_sub(value.leading_zeros()) as u8),
    }
}

/// The value of a subclass on the wire; `None` if the exponent is too large.
fn value_of(subclass: u8) -> Option<u32> {
    if subclass < POWER_BIT {
        return Some(subclass.into());
    }
    1_u32.checked_shl(u32::from(subclass & !POWER_BIT))
}

macro_rules! elements {
    ($($(#[$doc:meta])* $name:ident = $code:literal),* $(,)?) => {
        /// Information elements (RFC 5456, 8.6), and others in common use.
        pub mod ie {
            $($(#[$doc])* pub const $name: u8 = $code;)*
            /// The name of an element.
            pub fn name(element: u8) -> Option<&'static str> {
                match element { $($code => Some(stringify!($name)),)* _ => None }
            }
        }
    };
}

elements! {
    /// The number called.
    CALLED_NUMBER = 0x01,
    /// The number of the caller.
    CALLING_NUMBER = 0x02,
    /// The calling number for billing (ANI).
    CALLING_ANI = 0x03,
    /// The name of the caller.
    CALLING_NAME = 0x04,
    /// The context called: the class of the call.
    CALLED_CONTEXT = 0x05,
    /// The user name of the peer that calls or registers.
    USERNAME = 0x06,
    /// A secret in plain text.
    PASSWORD = 0x07,
    /// Media formats that the sender supports.
    CAPABILITY = 0x08,
    /// The media format chosen or preferred.
    FORMAT = 0x09,
    /// The preferred language.
    LANGUAGE = 0x0a,
    /// The protocol version: 2.
    VERSION = 0x0b,
    /// The ADSI capability of the sender.
    ADSICPE = 0x0c,
    /// The number originally dialled.
    DNID = 0x0d,
    /// Authentication methods: 1 plain text, 2 MD5, 4 RSA.
    AUTHMETHODS = 0x0e,
    /// The challenge for MD5 and RSA.
    CHALLENGE = 0x0f,
    /// The MD5 of challenge and secret, in hexadecimal.
    MD5_RESULT = 0x10,
    /// The RSA signature of the challenge, in base64.
    RSA_RESULT = 0x11,
    /// The address of the sender as the receiver sees it.
    APPARENT_ADDR = 0x12,
    /// Seconds within which a registration must be renewed.
    REFRESH = 0x13,
    /// The dial plan status of a number.
    DPSTATUS = 0x14,
    /// The call number of a transfer.
    CALLNO = 0x15,
    /// The reason why a call ended, as text.
    CAUSE = 0x16,
    /// The IAX control subclass that is not supported.
    IAX_UNKNOWN = 0x17,
    /// The number of waiting messages.
    MSGCOUNT = 0x18,
    /// A request for automatic answer.
    AUTOANSWER = 0x19,
    /// Music on hold.
    MUSICONHOLD = 0x1a,
    /// The identifier of a transfer.
    TRANSFERID = 0x1b,
    /// The number that redirected the call.
    RDNIS = 0x1c,
    /// The local date and time.
    DATETIME = 0x1f,
    /// Whether the calling number may be presented.
    CALLINGPRES = 0x26,
    /// The type of the calling number.
    CALLINGTON = 0x27,
    /// The transit network of the calling number.
    CALLINGTNS = 0x28,
    /// The sampling rate.
    SAMPLINGRATE = 0x29,
    /// The reason why a call ended, as a Q.850 code.
    CAUSE_CODE = 0x2a,
    /// Encryption methods: 1 AES-128.
    ENCRYPTION = 0x2b,
    /// An encryption key.
    ENCKEY = 0x2c,
    /// Media formats in order of preference.
    CODEC_PREFS = 0x2d,
    /// Receiver report: jitter.
    RR_JITTER = 0x2e,
    /// Receiver report: loss.
    RR_LOSS = 0x2f,
    /// Receiver report: frames.
    RR_PKTS = 0x30,
    /// Receiver report: delay.
    RR_DELAY = 0x31,
    /// Receiver report: dropped frames.
    RR_DROPPED = 0x32,
    /// Receiver report: frames out of order.
    RR_OOO = 0x33,
    /// A channel variable, `name=value`: an element in common use beside those of the RFC.
    VARIABLE = 0x34,
    /// A token of the Open Settlement Protocol.
    OSPTOKEN = 0x35,
    /// A call token; empty where the sender asks for one.
    CALLTOKEN = 0x36,
}

/// Information elements, in their order in the frame.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Elements(pub Vec<(u8, Vec<u8>)>);

impl Elements {
    /// Appends an element. A value is cut to 255 bytes.
    #[must_use]
    pub fn with(mut self, element: u8, value: &[u8]) -> Self {
        self.0.push((element, value[..value.len().min(255)].to_vec()));
        self
    }
    /// Appends a variable. A long value is split over several variables of the same name, in order.
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
    /// The value of the first such element.
    pub fn get(&self, element: u8) -> Option<&[u8]> {
        self.0.iter().find(|(e, _)| *e == element).map(|(_, value)| value.as_slice())
    }
    /// The value of the first such element, as text.
    pub fn text(&self, element: u8) -> Option<&str> {
        std::str::from_utf8(self.get(element)?).ok()
    }
    /// The value of the first such element, as a number of one to four bytes.
    pub fn number(&self, element: u8) -> Option<u32> {
        let bytes = self.get(element)?;
        (1..=4).contains(&bytes.len()).then(|| bytes.iter().fold(0, |n, byte| n << 8 | u32::from(*byte)))
    }
    /// The value of a variable, joined from its parts.
    pub fn variable(&self, name: &str) -> Option<String> {
        let mut joined: Option<Vec<u8>> = None;
        for (_, value) in self.0.iter().filter(|(e, _)| *e == ie::VARIABLE) {
            let part = value.strip_prefix(name.as_bytes()).and_then(|rest| rest.strip_prefix(b"="));
            if let Some(part) = part {
                joined.get_or_insert_with(Vec::new).extend_from_slice(part);
            }
        }
        String::from_utf8(joined?).ok()
    }
}

/// A full frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The sender's call number (source call number).
    pub source: u16,
    /// The receiver's call number (destination call number); 0 if not yet known.
    pub dest: u16,
    /// The R bit: whether this is a retransmission.
    pub retransmitted: bool,
    /// Milliseconds since the start of the sender's leg.
    pub timestamp: u32,
    /// The sequence number of this frame (OSeqno).
    pub oseq: u8,
    /// The sequence number that the sender expects next (ISeqno).
    pub iseq: u8,
    /// Its type and subclass.
    pub kind: Kind,
    /// Its information elements. Only IAX control frames have any.
    pub elements: Elements,
    /// The payload of any other frame.
    pub data: Vec<u8>,
}

/// An entry of a trunk frame: the media of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrunkEntry {
    /// The sender's call number.
    pub source: u16,
    /// The low 16 bits of the sender's timestamp, where the trunk frame has one for each call.
    pub timestamp: Option<u16>,
    /// Voice, in the format of the call's last full voice frame.
    pub data: Vec<u8>,
}

/// A parsed datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Datagram {
    /// A full frame.
    Full(Frame),
    /// A mini frame (8.1.2): voice with the low 16 bits of the sender's timestamp.
    Mini {
        /// The sender's call number.
        source: u16,
        /// The low 16 bits of the sender's timestamp.
        timestamp: u16,
        /// Voice, in the format of the call's last full voice frame.
        data: Vec<u8>,
    },
    /// A meta video frame (8.1.3.1).
    Video {
        /// The sender's call number.
        source: u16,
        /// Whether this frame ends a picture.
        mark: bool,
        /// The low 15 bits of the sender's timestamp.
        timestamp: u16,
        /// Video, in the format of the call's last full video frame.
        data: Vec<u8>,
    },
    /// A meta trunk frame (8.1.3.2).
    Trunk {
        /// The timestamp of the trunk, in milliseconds.
        timestamp: u32,
        /// The entries, one for each call.
        entries: Vec<TrunkEntry>,
    },
}

/// Why a datagram cannot be parsed. Only the datagram is dropped; its call is not affected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The header or a trunk entry is incomplete.
    #[error("frame of {0} bytes is truncated")]
    TooShort(usize),
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    /// An information element extends beyond the end of the frame.
    #[error("information element {0:#04x} extends beyond the end of the frame")]
    TruncatedElement(u8),
    /// The source call number is missing.
    #[error("frame without a source call number")]
    NoCallNumber,
    /// A meta frame with a command that the RFC does not define.
    #[error("unknown meta command {0:#04x}")]
    UnknownMetaCommand(u8),
}

/// Parses a datagram.
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
        source if source & TOP_BIT == 0 => {
            return Ok(Datagram::Mini { source, timestamp: word(2), data: bytes[4..].to_vec() });
        }
        _ => {}
    }
    if bytes.len() < HEADER_BYTES {
        return Err(FrameError::TooShort(bytes.len()));
    }
    let source = word(0) & MAX_CALL_NUMBER;
    // The INVAL that answers the HANGUP of a lost NEW has no source call number: the HANGUP had no destination call
    // number, and the peer has no leg for the call (RFC 5456, 6.9.2).
    if source == 0 && bytes[10..12] != [6, Iax::Inval.code()] {
        return Err(FrameError::NoCallNumber);
    }
    let kind = Kind::of(bytes[10], bytes[11]);
    let rest = &bytes[HEADER_BYTES..];
    // Only IAX control frames carry information elements. The payload of other frames is kept as it is.
    let (elements, data) = match kind {
        Kind::Iax(_) => (elements(rest)?, Vec::new()),
        _ => (Elements::default(), rest.to_vec()),
    };
    Ok(Datagram::Full(Frame {
        source,
        dest: word(2) & MAX_CALL_NUMBER,
        retransmitted: word(2) & TOP_BIT != 0,
        timestamp: u32::from_be_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]),
        oseq: bytes[8],
        iseq: bytes[9],
        kind,
        elements,
        data,
    }))
}

/// Parses a meta frame.
fn meta(bytes: &[u8]) -> Result<Datagram, FrameError> {
    let short = || FrameError::TooShort(bytes.len());
    let word = |at: usize| Some(u16::from_be_bytes([*bytes.get(at)?, *bytes.get(at + 1)?]));
    let second = word(2).ok_or_else(short)?;
    if second & TOP_BIT != 0 {
        let (source, last_word) = (second & MAX_CALL_NUMBER, word(4).ok_or_else(short)?);
        if source == 0 {
            return Err(FrameError::NoCallNumber);
        }
        let (mark, timestamp) = (last_word & TOP_BIT != 0, last_word & !TOP_BIT);
        return Ok(Datagram::Video { source, mark, timestamp, data: bytes[6..].to_vec() });
    }
    let with_timestamps = match bytes[2..4] {
        [META_TRUNK, 0] => false,
        [META_TRUNK, 1] => true,
        [META_TRUNK, other] | [other, _] => return Err(FrameError::UnknownMetaCommand(other)),
        _ => return Err(short()),
    };
    let timestamp = bytes.get(4..8).and_then(|four| four.try_into().ok()).map(u32::from_be_bytes);
    let timestamp = timestamp.ok_or_else(short)?;
    let (mut entries, mut at) = (Vec::new(), 8);
    while at < bytes.len() {
        let head = if with_timestamps { 6 } else { 4 };
        let (first, second) = (word(at).ok_or_else(short)?, word(at + 2).ok_or_else(short)?);
        let (length, source) = if with_timestamps { (first, second) } else { (second, first) };
        let timestamp = if with_timestamps { Some(word(at + 4).ok_or_else(short)?) } else { None };
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
    /// The datagram as bytes. All entries of a trunk frame have timestamps if the first one has.
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
                bytes.extend((source | TOP_BIT).to_be_bytes());
                bytes.extend(((timestamp & !TOP_BIT) | if *mark { TOP_BIT } else { 0 }).to_be_bytes());
                bytes.extend(data);
            }
            Datagram::Trunk { timestamp, entries } => {
                let with_timestamps = entries.first().is_some_and(|entry| entry.timestamp.is_some());
                bytes.extend([0, 0, META_TRUNK, u8::from(with_timestamps)]);
                bytes.extend(timestamp.to_be_bytes());
                for TrunkEntry { source, timestamp, data } in entries {
                    let length = u16::try_from(data.len()).unwrap_or(u16::MAX);
                    let (source, length) = ((source & MAX_CALL_NUMBER).to_be_bytes(), length.to_be_bytes());
                    if with_timestamps {
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

/// The full timestamp that has these low bits and is nearest to `last`, the last full timestamp seen. Frames may
/// arrive out of order across the wrap. `bits`: 16 for mini frames, 15 for meta video frames.
pub fn full_timestamp(last: u32, low: u16, bits: u32) -> u32 {
    let range = 1_u32 << bits;
    let ahead = u32::from(low).wrapping_sub(last) & (range - 1);
    // Up to half the range ahead is later; the rest is earlier.
    if ahead < range / 2 {
        last.wrapping_add(ahead)
    } else {
        last.wrapping_add(ahead).wrapping_sub(range)
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
    /// The frame as bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let (kind, subclass) = self.kind.codes();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + 64);
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

    /// The INVAL that answers this frame when its call is not known here.
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
