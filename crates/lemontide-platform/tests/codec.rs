//! Encoding and decoding of the platform's messages, byte by byte as documented, and with malformed input.

use bytes::{BufMut, Bytes, BytesMut};
use lemontide::interface::Load;
use lemontide_platform::codec::{
    cause, Body, Codec, Message, RequestDetails, SessionReport, SetUp, MAX_MESSAGE_BYTES,
};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

/// The bytes of a message.
fn raw(message_type: u8, session: u64, parameters: &[(u8, &[u8])]) -> BytesMut {
    let mut body = BytesMut::new();
    body.put_u8(message_type);
    body.put_u64(session);
    for (code, value) in parameters {
        body.put_u8(*code);
        body.put_u16(value.len() as u16);
        body.put_slice(value);
    }
    let mut whole = BytesMut::new();
    whole.put_u16(body.len() as u16);
    whole.extend_from_slice(&body);
    whole
}

/// Decodes one message and expects no bytes behind it.
fn decode(mut bytes: BytesMut) -> Body {
    let message = Codec.decode(&mut bytes).expect("decodes").expect("complete");
    assert!(bytes.is_empty(), "all bytes are consumed");
    message.body
}

const SET_UP: &[(u8, &[u8])] = &[
    (64, b"paid"),
    (66, b"1500"),
    (68, b"acme"),
    (70, b"1"),
    (72, b"7f3a9c21e0b4d655"),
    (74, b"home:4;copies:3;top:4;viewer:00000000b4d65521;again:1"),
    (94, b"v=0\r\n\xff"),
];

#[test]
fn a_set_up_is_decoded_as_documented() {
    let Body::SetUp(set_up) = decode(raw(1, 7, SET_UP)) else { panic!("a set-up") };
    let details =
        RequestDetails { first_cell: 4, replicas: 3, max_rung: 4, is_retry: true, playing_at: None };
    assert_eq!(
        set_up,
        SetUp {
            class: "paid".into(),
            tenant: "acme".into(),
            title: "7f3a9c21e0b4d655".into(),
            wait_ms: 1500,
            is_retry: true,
            details: Some(details),
            rung: None,
            description: Bytes::from_static(b"v=0\r\n\xff"),
        }
    );
}

#[test]
fn an_invalid_set_up_is_decoded_as_invalid() {
    let with = |code: u8, value: &'static [u8]| {
        let mut parameters = SET_UP.to_vec();
        parameters.retain(|(own_code, _)| *own_code != code);
        parameters.push((code, value));
        raw(1, 7, &parameters)
    };
    let invalid: [(u8, &[u8]); 9] = [
        (66, b"-1"),
        (66, b"nan"),
        (66, b""),
        (66, b"99999999999999999999999"),
        (64, b"\xff\xfe"),
        (70, b"yes"),
        (74, b"home:-4;copies:3;top:4"),
        (74, b"home:4;copies:3"),
        (74, b"home:4;copies:3;top:1e9"),
    ];
    for (code, value) in invalid {
        assert!(matches!(decode(with(code, value)), Body::Invalid(_)), "{code}: {value:?}");
    }
    let without_description = &SET_UP[..SET_UP.len() - 1];
    assert!(matches!(decode(raw(1, 7, without_description)), Body::Invalid(_)), "no description");
}

#[test]
fn load_reports_and_session_reports_are_decoded_by_name() {
    let Body::Release { cause, load, retry_after_ms } =
        decode(raw(12, 7, &[(92, &[34]), (82, b"busy_reqs:12;x0:0.4;pending:3;x1:nan")]))
    else {
        panic!("a release")
    };
    assert_eq!((cause, retry_after_ms), (cause::FULL, None));
    assert_eq!(load, Load { streams: Some(12.0), link_utilization: Some(0.4), uplink_utilization: None });
    for (name, report) in [
        ("quality", SessionReport::RateShare(0.5)),
        ("nic", SessionReport::LinkUtilization(0.5)),
        ("tor", SessionReport::UplinkUtilization(0.5)),
    ] {
        assert_eq!(decode(raw(44, 7, &[(78, name.as_bytes()), (88, b"0.5")])), Body::SessionReport(report));
    }
    assert_eq!(
        decode(raw(44, 7, &[(78, b"profile"), (88, b"2")])),
        Body::SessionReport(SessionReport::Rung(2))
    );
    assert_eq!(decode(raw(44, 7, &[(78, b"mood"), (88, b"2")])), Body::UnknownReport);
}

#[test]
fn malformed_messages_are_errors_and_truncated_ones_wait_for_more_bytes() {
    let mut truncated = raw(1, 7, SET_UP);
    truncated.truncate(truncated.len() - 1);
    assert!(matches!(Codec.decode(&mut truncated), Ok(None)));
    let lengths = [0u16, 8, MAX_MESSAGE_BYTES as u16 + 1, u16::MAX];
    for length in lengths {
        let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
        assert!(Codec.decode(&mut bytes).is_err(), "length {length}");
    }
    let mut parameter_too_long = raw(12, 7, &[(92, &[16])]);
    let length_byte = parameter_too_long.len() - 2;
    parameter_too_long[length_byte] = 200;
    let malformed = [
        parameter_too_long,
        raw(99, 7, &[]),
        raw(12, 7, &[]),
        raw(9, 7, &[]),
        raw(44, 7, &[(78, b"nic"), (88, b"-1")]),
    ];
    for (i, mut bytes) in malformed.into_iter().enumerate() {
        assert!(Codec.decode(&mut bytes).is_err(), "case {i}");
    }
    let too_long = Body::Answer { description: vec![0; MAX_MESSAGE_BYTES].into(), load: Load::default() };
    assert!(Codec.encode(Message { session: 1, body: too_long }, &mut BytesMut::new()).is_err());
}

/// Any body that can be encoded.
fn any_body() -> impl Strategy<Value = Body> {
    let text = "[a-z0-9:._-]{1,20}";
    let bytes = || proptest::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from);
    let load = || {
        let part = || proptest::option::of((0u32..5000).prop_map(|n| f64::from(n) / 1000.0));
        (part(), part(), part()).prop_map(|(streams, link_utilization, uplink_utilization)| Load {
            streams,
            link_utilization,
            uplink_utilization,
        })
    };
    let details = (0..99usize, 0..99usize, 0..9usize, any::<bool>(), proptest::option::of("s-[0-9a-f]{8}"))
        .prop_map(|(first_cell, replicas, max_rung, is_retry, playing_at)| RequestDetails {
            first_cell,
            replicas,
            max_rung,
            is_retry,
            playing_at,
        });
    let set_up = (text, text, text, any::<u64>(), any::<bool>(), proptest::option::of(details), bytes());
    prop_oneof![
        (set_up, proptest::option::of(0..9usize)).prop_map(|(set_up, rung)| {
            let (class, tenant, title, wait_ms, is_retry, details, description) = set_up;
            Body::SetUp(SetUp { class, tenant, title, wait_ms, is_retry, details, rung, description })
        }),
        (bytes(), load()).prop_map(|(description, load)| Body::Answer { description, load }),
        (any::<u8>(), proptest::option::of(any::<u64>()), load())
            .prop_map(|(cause, retry_after_ms, load)| Body::Release { cause, retry_after_ms, load }),
        any::<bool>().prop_map(|passed| Body::TestResult { passed }),
        Just(Body::Test),
        Just(Body::Progress),
        Just(Body::Acknowledged),
        Just(Body::Move),
        (0..9usize).prop_map(Body::Rung),
        (0..9usize).prop_map(|rung| Body::SessionReport(SessionReport::Rung(rung))),
    ]
}

proptest! {
    #[test]
    fn an_encoded_message_is_decoded_the_same_from_pieces_of_any_size(
        session in any::<u64>(), body in any_body(), piece_bytes in 1..40usize
    ) {
        let message = Message { session, body };
        let mut bytes = BytesMut::new();
        Codec.encode(message.clone(), &mut bytes).expect("encodes");
        let mut received = BytesMut::new();
        let mut decoded = None;
        for piece in bytes.chunks(piece_bytes) {
            prop_assert!(decoded.is_none(), "not before it is complete");
            received.extend_from_slice(piece);
            decoded = Codec.decode(&mut received).expect("decodes");
        }
        prop_assert_eq!(decoded, Some(message));
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = Codec.decode(&mut bytes) {}
    }
}
