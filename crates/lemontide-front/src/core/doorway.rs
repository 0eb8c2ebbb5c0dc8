//! Where a connection stands between requests, judged by the bytes that come: only a wish that is there whole, with
//! nothing before or behind it, may be answered at the doorway. Whatever is not clear goes on to the HTTP stack.

use lemontide_wire::hint::{self, RequestHint};

/// Headers of a request that are looked at; one with more is the HTTP stack's.
const HEADERS_MOST: usize = 48;
const TARGET: &str = "/v1/subscriptions";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// All that came is answered: the next byte begins a request.
    Between,
    /// A request is with the HTTP stack; so many bytes of its body are still to come.
    Within { left: usize },
    /// Requests can't be told from each other any more: for good all goes to the HTTP stack.
    Unclear,
}

/// What to do with bytes that came.
#[derive(Clone, Debug, PartialEq)]
pub enum Pass<W> {
    Through,
    /// They are one whole wish that was let in by its hint.
    LetIn(RequestHint),
    /// They are one whole wish that is to be answered here and goes no further.
    TurnBack(W),
}

#[derive(Debug)]
pub struct Doorway {
    state: State,
}

impl Default for Doorway {
    fn default() -> Doorway {
        Doorway { state: State::Between }
    }
}

struct Head {
    bytes: usize,
    body: usize,
    hint: Option<RequestHint>,
}

/// The head of a request. None where it is not there whole, or its length can't be told from it.
fn head(bytes: &[u8]) -> Option<Head> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(length)) = request.parse(bytes) else { return None };
    let (mut body, mut hint) = (None, None);
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let said = std::str::from_utf8(header.value).ok()?.trim().parse().ok()?;
            // Two lengths are a way to smuggle: the HTTP stack refuses them.
            if body.replace(said).is_some() {
                return None;
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding")
            || header.name.eq_ignore_ascii_case("expect")
            || header.name.eq_ignore_ascii_case("upgrade")
            || header.name.eq_ignore_ascii_case("connection")
        {
            return None;
        } else if header.name.eq_ignore_ascii_case(hint::HEADER_NAME) {
            hint = RequestHint::parse(header.value);
        }
    }
    let ours = request.method == Some("POST") && request.path == Some(TARGET) && request.version == Some(1);
    Some(Head { bytes: length, body: body.unwrap_or(0), hint: hint.filter(|_| ours) })
}

impl Doorway {
    /// Bytes came. `judge` says of a whole wish with a hint whether it is turned back here.
    pub fn came<W>(&mut self, bytes: &[u8], judge: impl FnOnce(&RequestHint) -> Option<W>) -> Pass<W> {
        match self.state {
            State::Between => {}
            State::Within { left } if bytes.len() <= left => {
                self.state = State::Within { left: left - bytes.len() };
                return Pass::Through;
            }
            State::Within { .. } | State::Unclear => {
                self.state = State::Unclear;
                return Pass::Through;
            }
        }
        let Some(head) = head(bytes) else {
            self.state = State::Unclear;
            return Pass::Through;
        };
        let Some(left) = head.bytes.checked_add(head.body).and_then(|all| all.checked_sub(bytes.len()))
        else {
            // More came than this request.
            self.state = State::Unclear;
            return Pass::Through;
        };
        let hint = head.hint.filter(|_| left == 0);
        if let Some(word) = hint.as_ref().and_then(judge) {
            return Pass::TurnBack(word);
        }
        self.state = State::Within { left };
        hint.map_or(Pass::Through, Pass::LetIn)
    }

    /// The answer of the request that is with the HTTP stack left whole.
    pub fn answered(&mut self) {
        self.state = match self.state {
            State::Within { left: 0 } | State::Between => State::Between,
            State::Within { .. } | State::Unclear => State::Unclear,
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn wish(lane: &str, body: &str) -> Vec<u8> {
        format!(
            "POST /v1/subscriptions HTTP/1.1\r\nhost: x\r\nLemontide-Wish: lane={lane}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    fn all(_: &RequestHint) -> Option<()> {
        Some(())
    }

    #[test]
    fn a_whole_wish_is_judged_and_may_come_again() {
        let mut doorway = Doorway::default();
        for _ in 0..3 {
            assert_eq!(doorway.came(&wish("free", "{}"), all), Pass::TurnBack(()));
        }
        let let_in = doorway.came(&wish("free", "{}"), |_| None::<()>);
        assert!(matches!(let_in, Pass::LetIn(hint) if hint.class == "free"));
        doorway.answered();
        assert_eq!(doorway.came(&wish("free", "{}"), all), Pass::TurnBack(()));
        // Another request that is no wish goes through, and the next wish is judged again.
        assert_eq!(doorway.came(b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n", all), Pass::Through);
        doorway.answered();
        assert_eq!(doorway.came(&wish("free", "{}"), all), Pass::TurnBack(()));
    }

    #[test]
    fn what_is_not_clear_is_the_http_stacks_for_good() {
        let two = [wish("free", "{}"), wish("free", "{}")].concat();
        let half = wish("free", "{}")[..20].to_vec();
        let chunked = b"POST /v1/subscriptions HTTP/1.1\r\nlemontide-wish: lane=a\r\ntransfer-encoding: chunked\r\n\r\n";
        let lengths = b"POST /v1/subscriptions HTTP/1.1\r\nlemontide-wish: lane=a\r\ncontent-length: 0\r\ncontent-length: 0\r\n\r\n";
        let close = b"POST /v1/subscriptions HTTP/1.1\r\nlemontide-wish: lane=a\r\nconnection: close\r\n\r\n";
        for bytes in [&two[..], &half, b"\x16\x03\x01 no HTTP at all", chunked, lengths, close] {
            let mut doorway = Doorway::default();
            assert_eq!(doorway.came(bytes, all), Pass::Through);
            doorway.answered();
            assert_eq!(doorway.came(&wish("free", "{}"), all), Pass::Through);
        }
    }

    #[test]
    fn a_body_that_looks_like_a_wish_is_a_body() {
        let mut doorway = Doorway::default();
        let inner = wish("free", "");
        let outer = wish("free", &String::from_utf8(inner.clone()).expect("text"));
        let head = outer.len() - inner.len();
        assert_eq!(doorway.came(&outer[..head], all), Pass::Through);
        assert_eq!(doorway.came(&outer[head..], all), Pass::Through);
        doorway.answered();
        assert_eq!(doorway.came(&wish("free", "{}"), all), Pass::TurnBack(()));
        // An answer before the body is all there leaves the rest of it in doubt.
        assert_eq!(doorway.came(&outer[..head + 3], all), Pass::Through);
        doorway.answered();
        assert_eq!(doorway.came(&outer[head + 3..], all), Pass::Through);
    }

    proptest! {
        /// However a player's bytes are cut, what is judged here is a whole request and each is answered once:
        /// here, or by an HTTP stack that gets the rest as one unbroken stream of whole requests.
        #[test]
        fn the_stack_sees_whole_requests_however_bytes_are_cut(
            kinds in proptest::collection::vec(0u8..3, 1..12),
            cuts in proptest::collection::vec(1usize..400, 1..40),
            pipelined in proptest::bool::ANY,
        ) {
            let requests: Vec<Vec<u8>> = kinds.iter().map(|kind| match kind {
                0 => wish("free", "{\"a\":1}"),
                1 => wish("paid", ""),
                _ => b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            }).collect();
            let mut doorway = Doorway::default();
            let mut stack: Vec<u8> = Vec::new();
            let (mut here, mut by_stack) = (0, 0);
            let mut cuts = cuts.iter().cycle();
            // A player that waits for each answer, or one that sends all at once.
            let rounds: Vec<Vec<u8>> = if pipelined { vec![requests.concat()] } else { requests.clone() };
            for round in rounds {
                let mut rest = &round[..];
                while !rest.is_empty() {
                    let (now, later) = rest.split_at((*cuts.next().expect("cycled")).min(rest.len()));
                    rest = later;
                    match doorway.came(now, |hint| (hint.class == "free").then_some(())) {
                        Pass::TurnBack(()) => here += 1,
                        Pass::Through | Pass::LetIn(_) => stack.extend_from_slice(now),
                    }
                    // The stack answers whatever it has whole.
                    while let Some(head) = head(&stack).filter(|head| stack.len() >= head.bytes + head.body) {
                        stack.drain(..head.bytes + head.body);
                        by_stack += 1;
                        if stack.is_empty() {
                            doorway.answered();
                        }
                    }
                }
            }
            prop_assert_eq!(here + by_stack, requests.len());
            prop_assert!(stack.is_empty());
        }
    }
}
