//! Early admission: finds requests for a session in the bytes of a connection, so that they can be rejected before
//! the HTTP stack parses them. Only a request that arrives whole, with nothing before or after it, is decided here;
//! anything unclear is forwarded to the HTTP stack.

use lemontide_wire::hint::{self, RequestHint};

/// Highest number of headers; a request with more is left to the HTTP stack.
const MAX_HEADERS: usize = 48;
const SESSIONS_PATH: &str = "/v1/subscriptions";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Everything received is answered: the next byte begins a request.
    BetweenRequests,
    /// The HTTP stack has a request, of which this many bytes have not arrived yet.
    InRequest { remaining: usize },
    /// The bounds of requests are no longer known: all further bytes are forwarded to the HTTP stack.
    Unclear,
}

/// What to do with received bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum EarlyDecision<R> {
    /// Forward them to the HTTP stack.
    Forward,
    /// They are one whole request that was admitted by its hint: forward them.
    Admit(RequestHint),
    /// They are one whole request that is rejected here and not forwarded.
    Reject(R),
}

/// The state of one connection with regard to early admission.
#[derive(Debug)]
pub struct EarlyAdmission {
    state: State,
}

impl Default for EarlyAdmission {
    fn default() -> EarlyAdmission {
        EarlyAdmission { state: State::BetweenRequests }
    }
}

/// Head of a request.
struct RequestHead {
    head_bytes: usize,
    body_bytes: usize,
    /// Hint of a request for a session; none for any other request.
    hint: Option<RequestHint>,
}

/// Parses the head of a request. None where it is incomplete, or the length of the body is not clear from it.
fn parse_head(bytes: &[u8]) -> Option<RequestHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head_bytes)) = request.parse(bytes) else { return None };
    let (mut content_length, mut hint) = (None, None);
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = std::str::from_utf8(header.value).ok()?.trim().parse().ok()?;
            // Two lengths allow request smuggling: the HTTP stack refuses them.
            if content_length.replace(length).is_some() {
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
    let is_session_request =
        request.method == Some("POST") && request.path == Some(SESSIONS_PATH) && request.version == Some(1);
    let body_bytes = content_length.unwrap_or(0);
    Some(RequestHead { head_bytes, body_bytes, hint: hint.filter(|_| is_session_request) })
}

impl EarlyAdmission {
    /// Decides on received bytes. `reject` returns the rejection of a whole request with this hint, or none to admit
    /// it.
    pub fn bytes_received<R>(
        &mut self,
        bytes: &[u8],
        reject: impl FnOnce(&RequestHint) -> Option<R>,
    ) -> EarlyDecision<R> {
        match self.state {
            State::BetweenRequests => {}
            State::InRequest { remaining } if bytes.len() <= remaining => {
                self.state = State::InRequest { remaining: remaining - bytes.len() };
                return EarlyDecision::Forward;
            }
            State::InRequest { .. } | State::Unclear => {
                self.state = State::Unclear;
                return EarlyDecision::Forward;
            }
        }
        let Some(head) = parse_head(bytes) else {
            self.state = State::Unclear;
            return EarlyDecision::Forward;
        };
        let request_bytes = head.head_bytes.checked_add(head.body_bytes);
        let Some(remaining) = request_bytes.and_then(|length| length.checked_sub(bytes.len())) else {
            // There are more bytes than this request has.
            self.state = State::Unclear;
            return EarlyDecision::Forward;
        };
        let hint = head.hint.filter(|_| remaining == 0);
        if let Some(rejection) = hint.as_ref().and_then(reject) {
            return EarlyDecision::Reject(rejection);
        }
        self.state = State::InRequest { remaining };
        hint.map_or(EarlyDecision::Forward, EarlyDecision::Admit)
    }

    /// The HTTP stack has sent the whole response to its request.
    pub fn response_sent(&mut self) {
        self.state = match self.state {
            State::InRequest { remaining: 0 } | State::BetweenRequests => State::BetweenRequests,
            State::InRequest { .. } | State::Unclear => State::Unclear,
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn session_request(class: &str, body: &str) -> Vec<u8> {
        format!(
            "POST /v1/subscriptions HTTP/1.1\r\nhost: x\r\nLemontide-Wish: lane={class}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    fn reject_all(_: &RequestHint) -> Option<()> {
        Some(())
    }

    #[test]
    fn a_whole_request_is_decided_and_can_be_sent_again() {
        let mut admission = EarlyAdmission::default();
        for _ in 0..3 {
            assert_eq!(
                admission.bytes_received(&session_request("free", "{}"), reject_all),
                EarlyDecision::Reject(())
            );
        }
        let admitted = admission.bytes_received(&session_request("free", "{}"), |_| None::<()>);
        assert!(matches!(admitted, EarlyDecision::Admit(hint) if hint.class == "free"));
        admission.response_sent();
        assert_eq!(
            admission.bytes_received(&session_request("free", "{}"), reject_all),
            EarlyDecision::Reject(())
        );
        // A request for something else is forwarded, and the next request for a session is decided again.
        assert_eq!(
            admission.bytes_received(b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n", reject_all),
            EarlyDecision::Forward
        );
        admission.response_sent();
        assert_eq!(
            admission.bytes_received(&session_request("free", "{}"), reject_all),
            EarlyDecision::Reject(())
        );
    }

    #[test]
    fn unclear_bytes_leave_the_connection_to_the_http_stack_for_good() {
        let pipelined = [session_request("free", "{}"), session_request("free", "{}")].concat();
        let partial = session_request("free", "{}")[..20].to_vec();
        let chunked = b"POST /v1/subscriptions HTTP/1.1\r\nlemontide-wish: lane=a\r\ntransfer-encoding: chunked\r\n\r\n";
        let two_lengths = b"POST /v1/subscriptions HTTP/1.1\r\nlemontide-wish: lane=a\r\ncontent-length: 0\r\ncontent-length: 0\r\n\r\n";
        let close_after =
            b"POST /v1/subscriptions HTTP/1.1\r\nlemontide-wish: lane=a\r\nconnection: close\r\n\r\n";
        for bytes in
            [&pipelined[..], &partial, b"\x16\x03\x01 no HTTP at all", chunked, two_lengths, close_after]
        {
            let mut admission = EarlyAdmission::default();
            assert_eq!(admission.bytes_received(bytes, reject_all), EarlyDecision::Forward);
            admission.response_sent();
            assert_eq!(
                admission.bytes_received(&session_request("free", "{}"), reject_all),
                EarlyDecision::Forward
            );
        }
    }

    #[test]
    fn a_body_that_looks_like_a_request_is_a_body() {
        let mut admission = EarlyAdmission::default();
        let inner = session_request("free", "");
        let outer = session_request("free", &String::from_utf8(inner.clone()).expect("text"));
        let head = outer.len() - inner.len();
        assert_eq!(admission.bytes_received(&outer[..head], reject_all), EarlyDecision::Forward);
        assert_eq!(admission.bytes_received(&outer[head..], reject_all), EarlyDecision::Forward);
        admission.response_sent();
        assert_eq!(
            admission.bytes_received(&session_request("free", "{}"), reject_all),
            EarlyDecision::Reject(())
        );
        // After a response that precedes the end of the body, the rest of the body is unclear.
        assert_eq!(admission.bytes_received(&outer[..head + 3], reject_all), EarlyDecision::Forward);
        admission.response_sent();
        assert_eq!(admission.bytes_received(&outer[head + 3..], reject_all), EarlyDecision::Forward);
    }

    proptest! {
        /// However a player's bytes are split, only whole requests are decided early, and each request is answered
        /// once: here, or by an HTTP stack that receives the others as one unbroken stream of whole requests.
        #[test]
        fn the_stack_receives_whole_requests_however_bytes_are_split(
            kinds in proptest::collection::vec(0u8..3, 1..12),
            split_sizes in proptest::collection::vec(1usize..400, 1..40),
            pipelined in proptest::bool::ANY,
        ) {
            let requests: Vec<Vec<u8>> = kinds.iter().map(|kind| match kind {
                0 => session_request("free", "{\"a\":1}"),
                1 => session_request("paid", ""),
                _ => b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            }).collect();
            let mut admission = EarlyAdmission::default();
            let mut stack_input: Vec<u8> = Vec::new();
            let (mut rejected_early, mut answered_by_stack) = (0, 0);
            let mut split_sizes = split_sizes.iter().cycle();
            // A player that waits for each response, or one that sends all requests at once.
            let rounds: Vec<Vec<u8>> = if pipelined { vec![requests.concat()] } else { requests.clone() };
            for round in rounds {
                let mut rest = &round[..];
                while !rest.is_empty() {
                    let (now, later) = rest.split_at((*split_sizes.next().expect("cycled")).min(rest.len()));
                    rest = later;
                    match admission.bytes_received(now, |hint| (hint.class == "free").then_some(())) {
                        EarlyDecision::Reject(()) => rejected_early += 1,
                        EarlyDecision::Forward | EarlyDecision::Admit(_) => stack_input.extend_from_slice(now),
                    }
                    // The stack answers each request that it has received whole.
                    while let Some(head) = parse_head(&stack_input).filter(|head| stack_input.len() >= head.head_bytes + head.body_bytes) {
                        stack_input.drain(..head.head_bytes + head.body_bytes);
                        answered_by_stack += 1;
                        if stack_input.is_empty() {
                            admission.response_sent();
                        }
                    }
                }
            }
            prop_assert_eq!(rejected_early + answered_by_stack, requests.len());
            prop_assert!(stack_input.is_empty());
        }
    }
}
