//! The platform's messages: what the page says byte by byte, and what odd bytes do.

use bytes::{BufMut, Bytes, BytesMut};
use lemontide::interface::Load;
use lemontide_platform::codec::{cause, Body, Codec, Figures, Message, Note, SetUp, MESSAGE_MOST};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

fn raw(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> BytesMut {
    let mut body = BytesMut::new();
    body.put_u8(kind);
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

fn read(mut bytes: BytesMut) -> Body {
    let message = Codec.decode(&mut bytes).expect("it can be read").expect("it is whole");
    assert!(bytes.is_empty(), "nothing is left over");
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
fn a_set_up_reads_as_the_page_says() {
    let Body::SetUp(set_up) = read(raw(1, 7, SET_UP)) else { panic!("a set-up") };
    let figures = Figures { home: 4, copies: 3, top: 4, again: true, at: None };
    assert_eq!(
        set_up,
        SetUp {
            lane: "paid".into(),
            tenant: "acme".into(),
            title: "7f3a9c21e0b4d655".into(),
            wait_ms: 1500,
            retry: true,
            figures: Some(figures),
            rung: None,
            description: Bytes::from_static(b"v=0\r\n\xff"),
        }
    );
}

#[test]
fn a_set_up_that_makes_no_sense_is_known_by_its_number() {
    let with = |code: u8, value: &'static [u8]| {
        let mut parameters = SET_UP.to_vec();
        parameters.retain(|(of, _)| *of != code);
        parameters.push((code, value));
        raw(1, 7, &parameters)
    };
    let odd: [(u8, &[u8]); 9] = [
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
    for (code, value) in odd {
        assert!(matches!(read(with(code, value)), Body::Unusable(_)), "{code}: {value:?}");
    }
    let without = &SET_UP[..SET_UP.len() - 1];
    assert!(matches!(read(raw(1, 7, without)), Body::Unusable(_)), "no description");
}

#[test]
fn reports_and_notes_are_read_by_name() {
    let Body::Release { cause, load, stay_away_ms } =
        read(raw(12, 7, &[(92, &[34]), (82, b"busy_reqs:12;x0:0.4;pending:3;x1:nan")]))
    else {
        panic!("a release")
    };
    assert_eq!((cause, stay_away_ms), (cause::FULL, None));
    assert_eq!(load, Load { streams: Some(12.0), link_utilization: Some(0.4), uplink_utilization: None });
    for (name, note) in [("quality", Note::Share(0.5)), ("nic", Note::Link(0.5)), ("tor", Note::Rack(0.5))] {
        assert_eq!(read(raw(44, 7, &[(78, name.as_bytes()), (88, b"0.5")])), Body::Note(note));
    }
    assert_eq!(read(raw(44, 7, &[(78, b"profile"), (88, b"2")])), Body::Note(Note::Rung(2)));
    assert_eq!(read(raw(44, 7, &[(78, b"mood"), (88, b"2")])), Body::OtherNote);
}

#[test]
fn what_can_not_be_a_message_is_an_error_and_what_is_cut_off_is_waited_for() {
    let mut cut = raw(1, 7, SET_UP);
    cut.truncate(cut.len() - 1);
    assert!(matches!(Codec.decode(&mut cut), Ok(None)));
    let lengths = [0u16, 8, MESSAGE_MOST as u16 + 1, u16::MAX];
    for length in lengths {
        let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
        assert!(Codec.decode(&mut bytes).is_err(), "length {length}");
    }
    let mut longer = raw(12, 7, &[(92, &[16])]);
    let at = longer.len() - 2;
    longer[at] = 200;
    let odd =
        [longer, raw(99, 7, &[]), raw(12, 7, &[]), raw(9, 7, &[]), raw(44, 7, &[(78, b"nic"), (88, b"-1")])];
    for (i, mut bytes) in odd.into_iter().enumerate() {
        assert!(Codec.decode(&mut bytes).is_err(), "case {i}");
    }
    let long = Body::Answer { description: vec![0; MESSAGE_MOST].into(), load: Load::default() };
    assert!(Codec.encode(Message { session: 1, body: long }, &mut BytesMut::new()).is_err());
}

fn body() -> impl Strategy<Value = Body> {
    let text = "[a-z0-9:._-]{1,20}";
    let bytes = || proptest::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from);
    let load = || {
        let part = || proptest::option::of((0u32..5000).prop_map(|n| f64::from(n) / 1000.0));
        (part(), part(), part()).prop_map(|(streams, link, rack)| Load {
            streams,
            link_utilization: link,
            uplink_utilization: rack,
        })
    };
    let figures = (0..99usize, 0..99usize, 0..9usize, any::<bool>(), proptest::option::of("s-[0-9a-f]{8}"))
        .prop_map(|(home, copies, top, again, at)| Figures { home, copies, top, again, at });
    let set_up = (text, text, text, any::<u64>(), any::<bool>(), proptest::option::of(figures), bytes());
    prop_oneof![
        (set_up, proptest::option::of(0..9usize)).prop_map(|(s, rung)| {
            let (lane, tenant, title, wait_ms, retry, figures, description) = s;
            Body::SetUp(SetUp { lane, tenant, title, wait_ms, retry, figures, rung, description })
        }),
        (bytes(), load()).prop_map(|(description, load)| Body::Answer { description, load }),
        (any::<u8>(), proptest::option::of(any::<u64>()), load())
            .prop_map(|(cause, stay_away_ms, load)| Body::Release { cause, stay_away_ms, load }),
        any::<bool>().prop_map(|passed| Body::Tested { passed }),
        Just(Body::Test),
        Just(Body::Progress),
        Just(Body::Heard),
        Just(Body::Move),
        (0..9usize).prop_map(Body::Rung),
        (0..9usize).prop_map(|rung| Body::Note(Note::Rung(rung))),
    ]
}

proptest! {
    #[test]
    fn what_is_written_reads_the_same_however_it_is_cut(
        session in any::<u64>(), body in body(), piece in 1..40usize
    ) {
        let message = Message { session, body };
        let mut bytes = BytesMut::new();
        Codec.encode(message.clone(), &mut bytes).expect("it fits");
        let mut came = BytesMut::new();
        let mut read = None;
        for piece in bytes.chunks(piece) {
            prop_assert!(read.is_none(), "not before it is whole");
            came.extend_from_slice(piece);
            read = Codec.decode(&mut came).expect("it can be read");
        }
        prop_assert_eq!(read, Some(message));
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = Codec.decode(&mut bytes) {}
    }
}
