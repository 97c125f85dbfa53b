//! Table tests of the parsers: complete, split, joined, oversized and malformed input.

use std::path::Path;

use lockpoint::config::{parse_operator, parse_platform, Limits};
use lockpoint::core::{Refusal, Sid};
use lockpoint::directory::bulletin::{parse_page, parse_response};
use lockpoint::front::jsonl::{self, Line};
use lockpoint::iax2::frame::{self, Control, Datagram, Elements, Frame, FrameError, Iax, Kind, TrunkEntry};
use lockpoint::interface::{Cause, Cell, LoadField, ServerState, Span};
use lockpoint::upstream::sip::message::{self, Message, SipError, StartLine};
use proptest::prelude::*;
use rstest::rstest;

// ---- JSON lines ------------------------------------------------------------------------------------------

const OPEN: &str = r#"{"msg":"open","sid":"9b1f03aa5c7e2d41","attrs":{"class":"voice","left":"1500","key":"7f3a","extras":"dest:2;width:1;via:-1"},"text":"a\r\nb"}"#;

#[test]
fn set_up_fields_are_parsed() {
    let Ok(Line::Open(open)) = jsonl::parse(OPEN.as_bytes()) else { panic!("not a set-up") };
    assert_eq!((open.sid.as_str(), &*open.class, &*open.number), ("9b1f03aa5c7e2d41", "voice", "7f3a"));
    assert_eq!((open.left, open.dest), (Span::from_millis(1500), Some(Cell(2))));
    assert_eq!(&*open.body, "a\r\nb");
}

#[rstest]
#[case::left_as_a_number(OPEN.replace(r#""1500""#, "1500"), true)]
#[case::unknown_fields(OPEN.replace(r#""msg""#, r#""new":{"a":[1]},"msg""#), true)]
#[case::no_destination(OPEN.replace("dest:2", "dest:-1"), true)]
#[case::no_class(OPEN.replace("class", "klass"), false)]
#[case::no_number(OPEN.replace("\"key\"", "\"kay\""), false)]
#[case::number_that_alters_the_request_line(OPEN.replace("7f3a", "7f@x SIP/2.0\\r\\n"), false)]
#[case::time_not_a_number(OPEN.replace("1500", "soon"), false)]
#[case::no_description(OPEN.replace("\"text\"", "\"test\""), false)]
#[case::short_name(OPEN.replace("9b1f03aa5c7e2d41", "9b1f"), false)]
#[case::name_not_hex(OPEN.replace("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4z"), false)]
#[case::cut_short(OPEN[..60].to_owned(), false)]
#[case::not_an_object("[1]".to_owned(), false)]
#[case::empty(String::new(), false)]
fn set_ups_are_accepted_or_rejected(#[case] line: String, #[case] accepted: bool) {
    assert_eq!(matches!(jsonl::parse(line.as_bytes()), Ok(Line::Open(_))), accepted);
}

#[rstest]
#[case(r#"{"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":34}"#, "Close")]
#[case(r#"{"msg":"closed","sid":"9b1f03aa5c7e2d41"}"#, "Closed")]
#[case(r#"{"msg":"probe","sid":"0","code":0}"#, "Probe")]
#[case(r#"{"msg":"trying","sid":"9b1f03aa5c7e2d41"}"#, "Other")]
fn other_lines_are_recognized(#[case] line: &str, #[case] kind: &str) {
    let read = format!("{:?}", jsonl::parse(line.as_bytes()).expect("valid"));
    assert!(read.starts_with(kind), "{read}");
}

// ---- Limits ---------------------------------------------------------------------------------------------

/// The shares of memory and descriptors must follow the limits.
#[rstest]
#[case(256, 32)]
#[case(384, 48)]
#[case(1_024, 192)]
fn shares_of_memory_and_descriptors_follow_the_limits(#[case] sockets: usize, #[case] memory_mb: usize) {
    let limits = Limits { sockets, memory_mb };
    // Well-behaved callers hold at most a third; the rest of their share absorbs those that hold more.
    assert!(
        limits.client_connections() > sockets / 3
            && limits.client_connections() + limits.extra_server_connections() < sockets
    );
    // With many call servers callers get fewer, and all shares together leave some for the program itself.
    for servers in [0, 24, 40] {
        let callers = limits.client_connections_beside(servers);
        assert!(callers > sockets / 3 && callers <= limits.client_connections());
        assert!(
            callers + servers + limits.extra_server_connections() + limits.console_connections()
                < sockets - 8
        );
    }
    // Four such shares: buffers, descriptions, and the write queues of either side.
    assert!(
        4 * limits.memory_share() <= (memory_mb << 20) / 2
            && (limits.client_buffers().max + limits.server_buffers().max) * 16_640 <= limits.memory_share()
    );
    assert!(limits.pending_calls(20_000) * 1_024 <= limits.memory_share() && limits.pending_calls(10) == 10);
}

// ---- SIP -------------------------------------------------------------------------------------------------

const RESPONSE: &str = "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nP-Report: x0:12;x1:40;queue:3;new:1;util\r\nContent-Length: 4\r\n\r\na\r\nb";

fn parse_sip(bytes: &[u8]) -> Result<Option<(Message, usize)>, SipError> {
    message::parse(bytes)
}

#[test]
fn sip_messages_are_parsed_when_split_or_joined() {
    for cut in 0..RESPONSE.len() {
        assert_eq!(parse_sip(&RESPONSE.as_bytes()[..cut]), Ok(None), "cut at {cut}");
    }
    let two = format!("{RESPONSE}{RESPONSE}");
    let (message, used) = parse_sip(two.as_bytes()).expect("valid").expect("complete");
    assert_eq!((message.start, used), (StartLine::Response(200), RESPONSE.len()));
    assert_eq!((message.call_id.as_str(), message.cseq), ("9b1f03aa5c7e2d41", (1, "INVITE".to_owned())));
    let values = [(LoadField::Idle, 12.0), (LoadField::Circuits, 40.0), (LoadField::Pending, 3.0)];
    assert_eq!((message.report, message.body), (values.to_vec(), b"a\r\nb".to_vec()));
}

/// The answer to an INVITE with this description and `Content-Length`.
fn answer_of_length(description: &str, length: usize) -> String {
    format!("SIP/2.0 200 OK\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nContent-Length: {length}\r\n\r\n{description}")
}

/// Guards against a description that is taken for whole although the bytes read with it show that its length does not fit.
#[test]
fn a_length_that_the_bytes_around_the_end_contradict_leaves_no_description() {
    let description = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
    let next =
        "BYE sip:7f@net SIP/2.0\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n";
    let parse = |text: &str| parse_sip(text.as_bytes()).expect("valid").expect("complete").0;
    let whole = answer_of_length(description, description.len());
    assert_eq!(parse(&whole).description(), Some(description));
    for length in (0..description.len()).filter(|length| !description[*length..].starts_with("\r\n")) {
        let cut = parse(&answer_of_length(description, length));
        // A rest that begins a line and could be a method whose end has not come yet tells nothing.
        assert_eq!(cut.description(), None, "{:?} was cut off", &description[length..]);
    }
    for length in description.len() + 1..description.len() + next.len() {
        let text = answer_of_length(&format!("{description}{next}"), length);
        assert_eq!(parse(&text).description(), None, "{} bytes too many", length - description.len());
    }
    let both = answer_of_length(&format!("{description}{next}"), description.len() + next.len());
    assert_eq!(parse(&both).description(), None, "with all of the next message");
}

/// Guards against sound answers that are thrown away because of what follows them: any part of a message, or keep-alives.
#[rstest]
fn a_sound_answer_is_accepted_whatever_part_of_the_next_message_follows(
    #[values("", "x", "y\r\n", "BYE", "SIP/2.0")] description: &str,
    #[values(
        "BYE sip:7f@net SIP/2.0\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n",
        "NOTIFY sips:peer@net SIP/2.0\r\nContent-Length: 0\r\n\r\n",
        "SIP/2.0 503 Full\r\nContent-Length: 0\r\n\r\n"
    )]
    next: &str,
    #[values(false, true)] keep_alive: bool,
) {
    // After a description that ends within a line, a line end may belong to it: its length may be too small.
    let keep_alive =
        if keep_alive && (description.is_empty() || description.ends_with('\n')) { "\r\n\r\n" } else { "" };
    for cut in 0..=next.len() {
        let text = answer_of_length(&format!("{description}{keep_alive}{}", &next[..cut]), description.len());
        let (message, _) = parse_sip(text.as_bytes()).expect("valid").expect("complete");
        assert_eq!(message.description(), Some(description), "followed by {:?}", &next[..cut]);
    }
}

#[rstest]
#[case::lower_case_and_short(RESPONSE.replace("Call-ID", "i").replace("Content-Length", "l"), "complete")]
#[case::no_length(RESPONSE.replace("Content-Length: 4", "X: 4"), "framing")]
#[case::length_not_a_number(RESPONSE.replace("Length: 4", "Length: four"), "framing")]
#[case::too_long(RESPONSE.replace("Length: 4", "Length: 16385"), "framing")]
#[case::header_without_colon(RESPONSE.replace("Via: ", "Via "), "framing")]
#[case::headers_without_end("A: b\r\n".repeat(3_000), "framing")]
#[case::code_out_of_range(RESPONSE.replace("200 OK", "42 OK"), "message")]
#[case::not_sip(RESPONSE.replace("SIP/2.0 200 OK", "NOISE"), "message")]
#[case::other_version(RESPONSE.replace("SIP/2.0 200 OK", "BYE sip:a@b SIP/3.0"), "message")]
fn malformed_sip_costs_the_message_or_the_connection(#[case] text: String, #[case] expected: &str) {
    let got = match parse_sip(text.as_bytes()) {
        Ok(Some(_)) => "complete",
        Ok(None) => "incomplete",
        Err(SipError::Framing(_)) => "framing",
        Err(SipError::Message { length, .. }) => {
            assert_eq!(length, text.len());
            "message"
        }
    };
    assert_eq!(got, expected);
}

#[rstest]
#[case(503, "P-Reason: no_path\r\n", Refusal::Full, Cause::NoCircuit)]
#[case(
    503,
    "P-Reason: queue_long\r\nP-Line-Ms: 250\r\n",
    Refusal::Full,
    Cause::ProcessorFullFor(Span(250_000))
)]
#[case(503, "P-Reason: queue_long\r\nP-Line-Ms: x\r\n", Refusal::Full, Cause::ProcessorFull)]
#[case(486, "P-Reason: line_taken\r\n", Refusal::Error, Cause::NumberBusy)]
#[case(500, "", Refusal::Error, Cause::None)]
#[case(480, "", Refusal::NotSent, Cause::None)]
#[case(504, "", Refusal::Reset, Cause::None)]
#[case(302, "P-Reason: else\r\n", Refusal::Error, Cause::None)]
fn sip_refusals_are_classified(
    #[case] code: u16,
    #[case] headers: &str,
    #[case] refusal: Refusal,
    #[case] cause: Cause,
) {
    let text = format!("SIP/2.0 {code} X\r\nCSeq: 1 INVITE\r\n{headers}Content-Length: 0\r\n\r\n");
    let (message, _) = parse_sip(text.as_bytes()).expect("valid").expect("complete");
    assert_eq!(message::refusal_from_response(&message, code), (refusal, cause));
}

#[test]
fn written_sip_requests_can_be_parsed() {
    let sid = Sid::parse("9b1f03aa5c7e2d41").expect("a valid name");
    let extra = "Reason: Q.850;cause=41\r\n";
    let bytes = message::request("BYE", "7f3a", sid, (2, "BYE"), extra, "\u{e9}");
    let (message, used) = parse_sip(&bytes).expect("valid").expect("complete");
    assert_eq!((used, message.number.as_str(), message.cause), (bytes.len(), "7f3a", Some(41)));
    assert_eq!(message.body, "\u{e9}".as_bytes());
}

// ---- The bulletin ----------------------------------------------------------------------------------------

const PAGE: &str = r#"{"no":41,"items":[{"no":40,"recall":{}},{"no":41,"roster":{"seq":7,"whole":false,"hosts":[
    {"host":"s-00c41f7a","dial":"10.1.0.9:2905","site":"east","class":"std","block":2,"health":"draining","share":4,"born_ms":5},
    {"host":"bad","dial":"nowhere","health":"ready"},{"host":"worse","dial":"10.1.0.9:1","health":"tired"}]}},"what"]}"#;

#[test]
fn malformed_parts_of_a_page_do_not_affect_the_others() {
    let page = parse_page(PAGE.as_bytes(), &["west".to_owned(), "east".to_owned()]).expect("valid");
    assert_eq!((page.no, page.malformed, page.changes.len()), (41, 3, 1));
    let line = &page.changes[0].hosts[0];
    assert_eq!((line.host.as_str(), line.cell, line.zone, line.started_ms), ("s-00c41f7a", Cell(2), 1, 5));
    assert_eq!(line.state, ServerState::Draining);
    assert!(parse_page(b"{\"items\":[]}", &[]).is_err());
}

#[rstest]
#[case::content_length("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP", false, Some(("abc", 41)))]
#[case::chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", false, Some(("abc", 65)))]
#[case::until_the_end("HTTP/1.1 200 OK\r\n\r\nabc", true, Some(("abc", 22)))]
#[case::incomplete("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false, None)]
#[case::incomplete_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na", false, None)]
#[case::incomplete_head("HTTP/1.1 200", false, None)]
fn http_responses_are_parsed(#[case] text: &str, #[case] ended: bool, #[case] body: Option<(&str, usize)>) {
    let got = parse_response(text.as_bytes(), ended).expect("valid");
    assert_eq!(got, body.map(|(body, used)| (body.as_bytes().to_vec(), used)));
}

#[rstest]
#[case::not_http("NOISE\r\n\r\n")]
#[case::an_error("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")]
#[case::too_long("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")]
#[case::no_length("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")]
#[case::no_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
#[case::cut_short("HTTP/1.1 2")]
fn malformed_http_is_rejected(#[case] text: &str) {
    assert!(parse_response(text.as_bytes(), true).is_err());
}

// ---- IAX2 ------------------------------------------------------------------------------------------------

fn new_frame() -> Frame {
    let elements = Elements::default()
        .with(frame::ie::CALLED_NUMBER, b"7f3a")
        .with(frame::ie::FORMAT, &4u32.to_be_bytes())
        .with_variable("desc", &"d".repeat(700))
        .with_variable("left", "1500");
    let kind = Kind::Iax(Iax::New);
    let data = Vec::new();
    Frame { source: 5, dest: 0, retransmitted: false, timestamp: 7, oseq: 0, iseq: 0, kind, elements, data }
}

#[test]
fn a_full_frame_is_parsed_and_written_as_in_the_rfc() {
    // F and source 1, R and destination 2, timestamp 3, OSeqno 4, ISeqno 5, IAX HANGUP, cause code 16.
    let bytes = [0x80, 1, 0x80, 2, 0, 0, 0, 3, 4, 5, 6, 5, 0x2a, 1, 16];
    let Ok(Datagram::Full(frame)) = frame::parse(&bytes) else { panic!("not a full frame") };
    assert_eq!((frame.source, frame.dest, frame.retransmitted, frame.timestamp), (1, 2, true, 3));
    assert_eq!((frame.oseq, frame.iseq, frame.kind), (4, 5, Kind::Iax(Iax::Hangup)));
    assert_eq!(frame.elements.number(frame::ie::CAUSE_CODE), Some(16));
    assert_eq!(frame.bytes(), bytes);
}

#[test]
fn long_variables_are_split_and_joined_again() {
    let frame = new_frame();
    assert!(frame.elements.0.len() > 5);
    assert_eq!(frame::parse(&frame.bytes()), Ok(Datagram::Full(frame.clone())));
    assert_eq!(frame.elements.variable("desc"), Some("d".repeat(700)));
    assert_eq!(
        (frame.elements.variable("left").as_deref(), frame.elements.variable("lef")),
        (Some("1500"), None)
    );
}

#[test]
fn a_truncated_frame_is_an_error_or_a_frame_with_fewer_elements() {
    let bytes = new_frame().bytes();
    for cut in 0..bytes.len() {
        match frame::parse(&bytes[..cut]) {
            Ok(Datagram::Full(short)) => {
                assert!(cut >= 12 && short.elements.0.len() < new_frame().elements.0.len())
            }
            Ok(other) => panic!("cut at {cut} it is {other:?}"),
            Err(_) => {}
        }
    }
}

/// Bytes as laid out in RFC 5456, 8.1, and what they mean.
#[rstest]
#[case::mini(&[0x00, 5, 0x12, 0x34, 9, 9], Ok(Datagram::Mini { source: 5, timestamp: 0x1234, data: vec![9, 9] }))]
#[case::video(&[0, 0, 0x80, 7, 0x80, 3, 8], Ok(Datagram::Video { source: 7, mark: true, timestamp: 3, data: vec![8] }))]
#[case::trunk(&[0, 0, 1, 0, 0, 0, 1, 0, 0, 5, 0, 2, 8, 9, 0, 6, 0, 0], Ok(Datagram::Trunk { timestamp: 256, entries: vec![
    TrunkEntry { source: 5, timestamp: None, data: vec![8, 9] }, TrunkEntry { source: 6, timestamp: None, data: vec![] }] }))]
#[case::trunk_with_times(&[0, 0, 1, 1, 0, 0, 0, 9, 0, 1, 0, 5, 0, 7, 8], Ok(Datagram::Trunk { timestamp: 9, entries: vec![
    TrunkEntry { source: 5, timestamp: Some(7), data: vec![8] }] }))]
#[case::trunk_cut_short(&[0, 0, 1, 0, 0, 0, 1, 0, 0, 5, 0, 9, 8], Err(FrameError::TooShort(13)))]
#[case::trunk_without_time(&[0, 0, 1, 0, 0], Err(FrameError::TooShort(5)))]
#[case::meta_unknown(&[0, 0, 2, 0, 0, 0, 0, 0], Err(FrameError::UnknownMetaCommand(2)))]
#[case::video_cut_short(&[0, 0, 0x80, 7, 1], Err(FrameError::TooShort(5)))]
#[case::video_of_nobody(&[0, 0, 0x80, 0, 1, 1], Err(FrameError::NoCallNumber))]
#[case::no_number(&[0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 6, 1], Err(FrameError::NoCallNumber))]
#[case::element_past_the_end(&[0x80, 1, 0, 0, 0, 0, 0, 0, 0, 0, 6, 1, 0x01, 4, b'7'], Err(FrameError::TruncatedElement(1)))]
#[case::element_without_length(&[0x80, 1, 0, 0, 0, 0, 0, 0, 0, 0, 6, 1, 0x01], Err(FrameError::TruncatedElement(1)))]
#[case::oversized(&[0xff; 20_000], Err(FrameError::TooLong(20_000)))]
fn datagrams_are_parsed_and_written(#[case] bytes: &[u8], #[case] expected: Result<Datagram, FrameError>) {
    assert_eq!(frame::parse(bytes), expected);
    if let Ok(datagram) = expected {
        assert_eq!(datagram.bytes(), bytes);
    }
}

/// Type and subclass of full frames (RFC 5456, 8.2 to 8.4, 8.7), with the C bit.
#[rstest]
#[case(1, b'5', Kind::Dtmf(b'5'))]
#[case(2, 4, Kind::Voice(4))]
#[case(2, 0x82, Kind::Voice(4))]
#[case(2, 0x89, Kind::Voice(1 << 9))]
#[case(3, 0x93, Kind::Video(1 << 19))]
#[case(4, 0x10, Kind::Control(Control::Hold))]
#[case(5, 0, Kind::Null)]
#[case(6, 0x28, Kind::Iax(Iax::CallToken))]
#[case(7, 0, Kind::Text)]
#[case(8, 0x90, Kind::Image(1 << 16))]
#[case(9, 2, Kind::Html(2))]
#[case(10, 40, Kind::ComfortNoise(40))]
#[case(2, 0xa0, Kind::Other(2, 0xa0))]
#[case(6, 0x81, Kind::Other(6, 0x81))]
#[case(99, 1, Kind::Other(99, 1))]
fn frame_types_are_parsed_and_written(#[case] code: u8, #[case] subclass: u8, #[case] kind: Kind) {
    let bytes = [0x80, 5, 0, 6, 0, 0, 0, 1, 2, 3, code, subclass];
    let Ok(Datagram::Full(frame)) = frame::parse(&bytes) else { panic!("not a full frame") };
    assert_eq!(frame.kind, kind);
    assert_eq!(frame::parse(&frame.bytes()), Ok(Datagram::Full(frame)));
}

fn kind() -> impl Strategy<Value = Kind> {
    let format = (0..32_u32).prop_map(|bit| 1 << bit);
    prop_oneof![
        proptest::sample::select(Iax::ALL).prop_map(Kind::Iax),
        proptest::sample::select(Control::ALL).prop_map(Kind::Control),
        format.clone().prop_map(Kind::Voice),
        format.clone().prop_map(Kind::Video),
        format.prop_map(Kind::Image),
        (0..0x80_u8).prop_map(Kind::Dtmf),
        (0..0x80_u8).prop_map(Kind::Html),
        (0..0x80_u8).prop_map(Kind::ComfortNoise),
        Just(Kind::Text),
        Just(Kind::Null),
    ]
}

fn full_frame() -> impl Strategy<Value = Datagram> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..40);
    let elements = proptest::collection::vec((any::<u8>(), bytes()), 0..6).prop_map(Elements);
    let head = (1..=0x7fff_u16, 0..=0x7fff_u16, any::<bool>(), any::<u32>(), any::<u8>(), any::<u8>());
    (head, kind(), elements, bytes()).prop_map(
        |((source, dest, retransmitted, timestamp, oseq, iseq), kind, elements, data)| {
            let signal = matches!(kind, Kind::Iax(_));
            let elements = if signal { elements } else { Elements::default() };
            let data = if signal { Vec::new() } else { data };
            Datagram::Full(Frame { source, dest, retransmitted, timestamp, oseq, iseq, kind, elements, data })
        },
    )
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..40);
    let entry = move || (1..=0x7fff_u16, any::<u16>(), bytes());
    let trunk = (any::<u32>(), any::<bool>(), proptest::collection::vec(entry(), 0..5));
    prop_oneof![
        full_frame(),
        (1..=0x7fff_u16, any::<u16>(), bytes()).prop_map(|(source, timestamp, data)| Datagram::Mini {
            source,
            timestamp,
            data
        }),
        (1..=0x7fff_u16, any::<bool>(), 0..0x8000_u16, bytes())
            .prop_map(|(source, mark, timestamp, data)| Datagram::Video { source, mark, timestamp, data }),
        trunk.prop_map(|(timestamp, timed, entries)| {
            let entry = |(source, timestamp, data)| TrunkEntry {
                source,
                timestamp: timed.then_some(timestamp),
                data,
            };
            Datagram::Trunk { timestamp, entries: entries.into_iter().map(entry).collect() }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn written_datagrams_are_parsed_back(datagram in datagram()) {
        prop_assert_eq!(frame::parse(&datagram.bytes()), Ok(datagram));
    }

    #[test]
    fn random_bytes_are_rejected_or_parsed_to_a_stable_datagram(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), first in any::<u8>(), kind in 0..12_u8,
    ) {
        // Random bytes seldom pass as a header, so half of the cases get a valid start.
        let mut bytes = bytes;
        if first & 1 == 1 && bytes.len() > 11 {
            (bytes[0], bytes[10]) = (first | 0x80, kind);
        }
        if let Ok(datagram) = frame::parse(&bytes) {
            prop_assert_eq!(frame::parse(&datagram.bytes()), Ok(datagram));
        }
    }

    /// Timestamps must not jump by a minute where their low half wraps.
    #[test]
    fn full_timestamps_are_restored_across_a_wrap(last in any::<u32>(), step in -16_000..16_000_i32) {
        let full = last.wrapping_add_signed(step);
        prop_assert_eq!(frame::full_timestamp(last, full as u16, 16), full);
        prop_assert_eq!(frame::full_timestamp(last, full as u16 & 0x7fff, 15), full);
    }
}

// ---- Configuration ---------------------------------------------------------------------------------------

const OPERATOR: &str = include_str!("../deploy/agent.toml");

#[test]
fn the_example_file_is_valid() {
    let config = parse_operator(Path::new("agent.toml"), OPERATOR).expect("valid");
    assert!(config.instances.len() >= 2 && config.instances.iter().any(|i| i.dns_sd.is_some()));
}

#[rstest]
#[case::not_toml(OPERATOR.replacen("control =", "control", 1), "line ")]
#[case::no_control(OPERATOR.replacen("control =", "kontrol =", 1), "control")]
#[case::no_address(OPERATOR.replacen("listen = \"", "listen = \"x", 1), "instance[0].listen")]
#[case::twice(OPERATOR.replace("name = \"judges\"", "name = \"desks\""), "instance[1].name")]
#[case::no_worth(OPERATOR.replacen("worth = 1.0", "wirth = 1.0", 1), "instance[0].settings")]
#[case::no_instance("control = \"a\"".to_owned(), "'instance'")]
fn operator_file_errors_name_file_and_key(#[case] text: String, #[case] key: &str) {
    let error = parse_operator(Path::new("agent.toml"), &text).expect_err("invalid").to_string();
    assert!(error.contains("agent.toml") && error.contains(key) && !error.contains('\n'), "{error}");
}

#[rstest]
#[case::not_json("{", "config.json")]
#[case::no_bulletin(r#"{"settings":{}}"#, "bulletin")]
#[case::bad_address(r#"{"bulletin":"x","settings":{}}"#, "bulletin")]
#[case::no_settings(r#"{"bulletin":"127.0.0.1:1"}"#, "settings")]
#[case::settings_lack(r#"{"bulletin":"127.0.0.1:1","settings":{"balancers":1}}"#, "settings")]
fn platform_file_errors_name_file_and_key(#[case] text: &str, #[case] key: &str) {
    let error = parse_platform(Path::new("config.json"), text.as_bytes()).expect_err("invalid").to_string();
    assert!(error.contains("config.json") && error.contains(key), "{error}");
}
