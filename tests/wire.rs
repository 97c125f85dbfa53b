//! Tests of the simulator protocol's codec on hand-made frames.

use lockpoint::interface::*;
use lockpoint::wire::{parse_settings, read_frame, Decoder, Record, Reply, WireError};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap();
    digits.chunks(2).map(pair).collect()
}

fn frame(count: u32, records: &str) -> Vec<u8> {
    let body = hex(records);
    let mut frame = 0x0080_5c5a_u64.to_be_bytes().to_vec();
    frame.extend((body.len() as u32 + 4).to_be_bytes());
    frame.extend(count.to_be_bytes());
    frame.extend(body);
    frame
}

fn decode_error(count: u32, records: &str) -> WireError {
    Decoder::default().decode(&frame(count, records)).expect_err("a malformed frame")
}

const SETTINGS: &str = r#"{"balancers": 3, "surprise": [1], "classes": [{"goal-time-us": 1500000, "worth": 3.0,
    "late-worth": 0.25, "semantics": "guarded", "dedup-scope": "zone", "window-us": 7}],
    "bounds": {"max-attempts": 5, "cancel": true, "retry-after": true, "max-retry-after-us": 2000000},
    "rules": {"cold-share": 0.28, "cold-us": 15000000, "overload-factor": 4.0, "tip-after-us": 2000000}, "report": {"names": ["idle", "svc_ms", "new"]},
    "extra": {"shape": "skills", "class-cells": [[0, 2]], "clear-wait-us": 500000, "this-node": -1},
    "discovery": "ask", "granularity-us": 5000}"#;

#[test]
fn an_empty_batch_and_an_empty_reply() {
    let batch = Decoder::default().decode(&frame(0, "")).unwrap();
    assert_eq!((batch.clock, batch.records.len()), (Time(0x80_5c5a), 0));
    assert_eq!(Reply::default().finish(), vec![0; 8]);
}

#[test]
fn all_records_of_a_batch_are_decoded() {
    let records = "
        0a 02 00000002 0000 0000 3f800000 0000000000000000 01 0a124a07 1b5b 0000
                       0001 0000 3fc00000 00000000005d1420 02 0a9011f2 1b84 0001
        0b 00000003
        01 02 0000000000000029 02
        02 5d3a91c4 01 00000000 91f03b7c55d20a64 00000000008405da 00002ee0 3f800000 3f800000 bf800000 02
        03 5d3a91c4 00002422 0a124a07 1b5b 0001
        04 5d3a91c4 00001f43 00004844 0002 0008 00 0a124a07 1b5b 02 3ecccccd 7fc00000
        05 0e6f2b19
        06 0000004d
        07 0a9011f2 1b84 0000 00000578 00
        08 0002 0004 68692037
        09
        01 00 0000000000000030 03";
    let mut decoder = Decoder::default();
    let batch = decoder.decode(&frame(12, records)).unwrap();
    assert!(batch.records.iter().all(|(instance, _)| *instance == 3));
    let server = ServerId { address: 0x0a12_4a07, port: 7003 };
    let mut records = batch.records.into_iter().map(|(_, record)| record);
    match records.next() {
        Some(Record::Event(Event::List { kind: ListKind::Cached, entries })) => {
            assert_eq!(entries.len(), 2);
            assert_eq!(entries[0].server, server);
            assert_eq!((entries[1].cell, entries[1].zone), (Cell(1), 1));
            assert_eq!((entries[1].state, entries[1].started), (ServerState::Draining, Time(0x5d_1420)));
        }
        other => panic!("{other:?}"),
    }
    match records.next() {
        Some(Record::Event(Event::Call(call))) => {
            assert_eq!((call.call, call.class, call.first_choice), (CallId(0x5d3a_91c4), 1, Some(Cell(1))));
            assert_eq!(call.valid_until, Time(0x84_05da));
            assert!(call.redialled && !call.in_transit);
        }
        other => panic!("{other:?}"),
    }
    let established =
        Event::Established { call: CallId(0x5d3a_91c4), attempt: Attempt(1), server, took: Span(0x2422) };
    assert_eq!(records.next(), Some(Record::Event(established)));
    match records.next() {
        Some(Record::Event(Event::Ended(end))) => {
            assert_eq!((end.outcome, end.closed), (Outcome::Full, false));
            assert_eq!(end.cause, Cause::ProcessorFullFor(Span::from_millis(500)));
            assert!(end.load.0[0] == 0.4 && end.load.0[1].is_nan());
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(records.next(), Some(Record::Event(Event::HungUp(CallId(0x0e6f_2b19)))));
    assert_eq!(records.next(), Some(Record::Event(Event::Timer(TimerToken(0x4d)))));
    assert!(matches!(records.next(), Some(Record::Event(Event::Load { .. }))));
    assert_eq!(records.next(), Some(Record::Event(Event::PeerMessage { from: 2, data: b"hi 7".to_vec() })));
    assert_eq!(records.next(), Some(Record::Killed));
    assert!(matches!(records.next(), Some(Record::Event(Event::List { kind: ListKind::Failed, .. }))));
    // A directory stays valid after its batch, and a new one replaces it within a batch.
    let later = "0b 00000001 01 02 000000000000002a 01 0a 02 00000000 01 02 000000000000002b 01";
    let batch = decoder.decode(&frame(4, later)).unwrap();
    let length = |(_, record): &(u32, Record)| match record {
        Record::Event(Event::List { entries, .. }) => entries.len(),
        other => panic!("{other:?}"),
    };
    assert_eq!(batch.records.iter().map(length).collect::<Vec<_>>(), [2, 0]);
}

#[test]
fn actions_are_encoded_as_the_protocol_specifies() {
    let mut reply = Reply::default();
    let call = CallId(0x5d3a_91c4);
    let server = ServerId { address: 0x0a12_4a07, port: 7003 };
    reply.push(3, &Action::Send { call, server, timeout: Some(Span(80_000)) });
    reply.push(3, &Action::Timer { after: Span(500_000), token: TimerToken(0x4d) });
    reply.push(5, &Action::Log("two servers unknown".to_owned()));
    let expected = "00000005 00000036 4c00000003 40 5d3a91c4 0a124a07 1b5b 00013880 44 0007a120 0000004d
        4c00000005 48 0013 74776f2073657276657273 20 756e6b6e6f776e";
    let bytes = reply.finish();
    assert_eq!(bytes[8..], hex(expected)[8..]);
    assert_eq!(bytes[..4], hex("00000005"));
    assert_eq!(u32::from_be_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]) as usize, bytes.len() - 8);
    let one = |action: &Action| {
        let mut reply = Reply::default();
        reply.push(3, action);
        reply.finish().split_off(13)
    };
    assert_eq!(one(&Action::Send { call, server, timeout: None })[11..], hex("00000000"));
    assert_eq!(one(&Action::Refuse { call, retry_after: Span(250_000) }), hex("415d3a91c40003d090"));
    assert_eq!(one(&Action::Fail { call }), hex("425d3a91c4"));
    assert_eq!(one(&Action::Cancel { call, attempt: Attempt(2) }), hex("435d3a91c40002"));
    assert_eq!(one(&Action::Probe { server }), hex("450a124a071b5b"));
    assert_eq!(one(&Action::CloseIdle { server }), hex("460a124a071b5b"));
    assert_eq!(one(&Action::SendToPeers { to: None, data: b"hi 7".to_vec() }), hex("47ffff000468692037"));
    assert_eq!(one(&Action::SubscribeList(true)), hex("4a01"));
    assert_eq!(one(&Action::FetchList), hex("4b"));
}

#[test]
fn errors_of_malformed_frames_name_record_and_position() {
    let error = decode_error(1, "63");
    assert_eq!((error.record, error.position), (Some(0), 16));
    assert_eq!(error.to_string(), "record 0 at byte 16: no event has the code 99");
    assert_eq!(decode_error(2, "0b 00000001 05 0e6f").record, Some(1)); // truncated field
    assert!(decode_error(1, "05 0e6f2b19").reason.contains("TO")); // no instance named
    assert!(decode_error(1, "0b 00000001 00").reason.contains("left")); // bytes left over
    assert!(decode_error(9, "0b 00000001").reason.contains("past the end")); // count too high
    assert!(decode_error(1, "0a 00 ffffffff 0000").reason.contains("members")); // a count that runs over
    assert!(decode_error(1, "0a 10 00000000").reason.contains("16")); // no such list
    assert!(decode_error(2, "0b 00000001 01 07 0000000000000029 01").reason.contains("list 7")); // never given
    assert!(decode_error(2, "0b 00000001 00 0000000000000001 ffffffff 7b7d").reason.contains("params"));
    let mut wrong = frame(0, "");
    wrong[11] = 9;
    assert!(Decoder::default().decode(&wrong).is_err());
}

#[test]
fn truncated_frames_are_errors() {
    let good = frame(1, "0b 00000001");
    let mut two = good.clone();
    two.extend(&good);
    let mut input = two.as_slice();
    assert_eq!(read_frame(&mut input).unwrap(), Some(good.clone()));
    assert_eq!(read_frame(&mut input).unwrap(), Some(good.clone()));
    assert_eq!(read_frame(&mut input).unwrap(), None);
    for cut in 1..good.len() {
        assert!(read_frame(&mut &good[..cut]).is_err(), "cut at {cut}");
    }
    // An announced length of 4 GiB is rejected.
    let mut huge = good.clone();
    huge[8..12].copy_from_slice(&[0xff; 4]);
    assert!(read_frame(&mut huge.as_slice()).is_err());
    huge[8..12].copy_from_slice(&[0, 0, 0, 3]);
    assert!(read_frame(&mut huge.as_slice()).is_err());
}

#[test]
fn settings_are_parsed_and_unknown_keys_ignored() {
    let settings = parse_settings(SETTINGS.as_bytes()).unwrap();
    assert_eq!((settings.controllers, settings.max_attempts), (3, 5));
    assert_eq!((settings.resend_delay, settings.tick), (Span::from_millis(500), Span::from_millis(5)));
    assert_eq!((settings.overload_factor, settings.overload_time), (4.0, Span::from_millis(2000)));
    assert_eq!(settings.classes[0].cells, Some(vec![Cell(0), Cell(2)]));
    assert_eq!(
        (settings.classes[0].repeats, settings.classes[0].dedup_scope),
        (Repeats::Guarded, DedupScope::Zone)
    );
    assert_eq!(settings.load_fields, [LoadField::Idle, LoadField::Wait, LoadField::Unknown]);
    assert!(settings.list_needs_subscription && settings.own_cell.is_none());
}

#[test]
fn errors_of_invalid_settings_name_the_key() {
    let wrong = |from: &str, to: &str| parse_settings(SETTINGS.replace(from, to).as_bytes()).unwrap_err();
    assert!(wrong("\"max-attempts\": 5", "\"max-attempts\": \"many\"").contains("bounds.max-attempts"));
    assert!(wrong("\"cold-share\": 0.28, ", "").contains("cold-share"));
    assert!(wrong("\"worth\": 3.0", "\"worth\": null").contains("classes[0].worth"));
    assert!(parse_settings(b"{").is_err());
    assert!(parse_settings(&[0xff, 0xfe]).is_err());
}
