//! Encodes and decodes the platform's binary messages. All names and numbers of the platform's protocol are here and in
//! `config`; the rest of the crate sees typed messages only. Does no I/O: it turns bytes into messages and back.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use lemontide::interface::Load;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum length of a message after its length field: type, session and parameters.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Buffer space that is made at a time for the rest of a message.
const MAX_RESERVED_BYTES: usize = 2048;
/// Type and session of a message; the parameters follow.
const HEADER_BYTES: usize = 9;

/// Numbers of the message types.
mod message_type {
    pub const SET_UP: u8 = 1;
    pub const PROGRESS: u8 = 6;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const ACKNOWLEDGED: u8 = 16;
    pub const SESSION_REPORT: u8 = 44;
    pub const MOVE: u8 = 51;
    pub const TEST: u8 = 52;
    pub const TEST_RESULT: u8 = 53;
    pub const RUNG: u8 = 60;
}

/// Codes of the parameters.
mod code {
    pub const CLASS: u8 = 64;
    pub const WAIT_MS: u8 = 66;
    pub const TENANT: u8 = 68;
    pub const RETRY: u8 = 70;
    pub const TITLE: u8 = 72;
    pub const DETAILS: u8 = 74;
    pub const RETRY_AFTER_MS: u8 = 76;
    pub const REPORT_NAME: u8 = 78;
    pub const LOAD: u8 = 82;
    pub const RUNG: u8 = 86;
    pub const REPORT_VALUE: u8 = 88;
    pub const CAUSE: u8 = 92;
    pub const DESCRIPTION: u8 = 94;
}

/// Why a request or session ended, as the platform numbers it.
pub mod cause {
    /// The session ended normally, or the attempt was given up.
    pub const NORMAL: u8 = 16;
    /// The session was moved to another streamer, or its viewer ended it.
    pub const CANCELLED: u8 = 31;
    /// Refused for lack of capacity; the set-up did not run.
    pub const FULL: u8 = 34;
    /// The attempt failed on its way, or the session failed while it was playing.
    pub const FAILED: u8 = 41;
    /// The request was rejected; it is safe to repeat it.
    pub const REJECTED: u8 = 42;
    /// The streamer failed to set the session up.
    pub const ERROR: u8 = 47;
    /// The set-up was not sent on and did not run.
    pub const NOT_SENT: u8 = 102;
    /// The request is not valid.
    pub const INVALID: u8 = 111;

    /// Whether a streamer that gives this cause refuses or fails a set-up. Any other cause can also end an existing
    /// session, and can be repeated on another connection.
    pub fn ends_set_up(cause: u8) -> bool {
        [FULL, ERROR, NOT_SENT].contains(&cause)
    }
}

/// Details of a viewer's request that the decision needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestDetails {
    /// The first cell that holds the title.
    pub first_cell: usize,
    /// The number of cells in a row that hold the title.
    pub replicas: usize,
    /// The highest rung that the viewer can use.
    pub max_rung: usize,
    /// The viewer repeats a request that was rejected or failed before.
    pub is_retry: bool,
    /// The streamer at which the session plays already.
    pub playing_at: Option<String>,
}

/// A request to set up a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SetUp {
    /// Name of the request's class.
    pub class: String,
    /// Name of the tenant, empty where none is given.
    pub tenant: String,
    /// Id of the title.
    pub title: String,
    /// How long the sender waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// The retry flag of the message (parameter 70).
    pub is_retry: bool,
    /// Sent by viewers only.
    pub details: Option<RequestDetails>,
    /// Sent to streamers only.
    pub rung: Option<usize>,
    /// Opaque session description, passed on unchanged.
    pub description: Bytes,
}

impl SetUp {
    /// The streamer at which the session plays already, if another controller hands it over.
    pub fn plays_at(&self) -> Option<&String> {
        self.details.as_ref()?.playing_at.as_ref()
    }

    /// Size of what its client has chosen freely: names and description, in bytes.
    pub fn payload_bytes(&self) -> usize {
        self.class.len() + self.tenant.len() + self.title.len() + self.description.len()
    }

    /// Drops what no further attempt needs: the description and the name of the title, whose lengths its client chose.
    pub fn drop_payload(&mut self) {
        self.description = Bytes::new();
        self.title = String::new();
    }
}

/// A streamer's report on a session that plays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionReport {
    /// The share of its rate that a session gets on this streamer.
    RateShare(f64),
    /// The rung at which the session plays.
    Rung(usize),
    /// Demand over capacity of the streamer's link.
    LinkUtilization(f64),
    /// Demand over capacity of the uplink of the streamer's rack.
    UplinkUtilization(f64),
}

/// The type and content of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    SetUp(SetUp),
    /// A set-up that can be decoded but is not valid, with the reason.
    Invalid(&'static str),
    /// Only shows that the sender is alive.
    Progress,
    /// The session plays.
    Answer {
        description: Bytes,
        load: Load,
    },
    /// The end of a request or session.
    Release {
        cause: u8,
        retry_after_ms: Option<u64>,
        load: Load,
    },
    /// The streamer has read a release.
    Acknowledged,
    /// Requests a `TestResult` with the same session number from the receiver.
    Test,
    TestResult {
        passed: bool,
    },
    SessionReport(SessionReport),
    /// A session report with an unknown name; it is ignored.
    UnknownReport,
    /// The streamer requests a move of the session to another one.
    Move,
    /// The session's new rung.
    Rung(usize),
}

impl Body {
    /// A release with this cause and without a load report.
    pub fn release(cause: u8) -> Body {
        Body::Release { cause, retry_after_ms: None, load: Load::default() }
    }
}

/// A message of the platform's protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Number of the session, or of the test.
    pub session: u64,
    pub body: Body,
}

/// Encodes and decodes the messages of one connection. After bytes that can't be a message it returns an error, as the
/// bytes behind them can't be decoded either.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

impl Codec {
    /// The length of the message that these bytes begin with, as it states it, without the length field.
    pub fn message_length(bytes: &[u8]) -> Option<usize> {
        let head = bytes.get(..2)?;
        Some(usize::from(u16::from_be_bytes([head[0], head[1]])))
    }
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The parameters of one message. If a code occurs more than once, the first parameter counts.
struct Parameters(Vec<(u8, Bytes)>);

impl Parameters {
    fn read(mut bytes: Bytes) -> io::Result<Parameters> {
        let mut all = Vec::new();
        while bytes.has_remaining() {
            if bytes.remaining() < 3 {
                return Err(invalid_data("a parameter is truncated"));
            }
            let (code, length) = (bytes.get_u8(), usize::from(bytes.get_u16()));
            if bytes.remaining() < length {
                return Err(invalid_data("a parameter is longer than its message"));
            }
            all.push((code, bytes.split_to(length)));
        }
        Ok(Parameters(all))
    }

    fn bytes(&self, code: u8) -> Option<&Bytes> {
        self.0.iter().find(|(own_code, _)| *own_code == code).map(|(_, value)| value)
    }

    fn text(&self, code: u8) -> Option<&str> {
        self.bytes(code).and_then(|value| std::str::from_utf8(value).ok())
    }

    fn whole_number(&self, code: u8) -> Option<u64> {
        self.text(code).and_then(parse_whole_number)
    }

    fn cause(&self) -> io::Result<u8> {
        match self.bytes(code::CAUSE).map(|value| &value[..]) {
            Some([cause]) => Ok(*cause),
            _ => Err(invalid_data("a cause of one byte is missing")),
        }
    }

    /// The load report, `name:value` pairs; values that are not finite or are negative are left out.
    fn load(&self) -> Load {
        let mut load = Load::default();
        for (name, value) in self.text(code::LOAD).into_iter().flat_map(named_values) {
            let value = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
            lemontide_settings::read_load_field(&mut load, name, value);
        }
        load
    }

    /// A set-up, or why it is not valid. The reason is the value of the log field `why`; log readers match it.
    fn set_up(&self) -> Result<SetUp, &'static str> {
        let text = |code, missing| self.text(code).map(str::to_owned).ok_or(missing);
        let details = match self.bytes(code::DETAILS) {
            Some(_) => Some(parse_details(self.text(code::DETAILS).ok_or("figures are no text")?)?),
            None => None,
        };
        let rung = match self.bytes(code::RUNG) {
            Some(_) => Some(self.whole_number(code::RUNG).ok_or("the rung is no number")? as usize),
            None => None,
        };
        let is_retry = match self.bytes(code::RETRY).map(|value| &value[..]) {
            None | Some(b"0") => false,
            Some(b"1") => true,
            Some(_) => return Err("the mark of a retry is neither 0 nor 1"),
        };
        Ok(SetUp {
            class: text(code::CLASS, "no lane")?,
            tenant: self.text(code::TENANT).unwrap_or_default().to_owned(),
            title: text(code::TITLE, "no title")?,
            wait_ms: self.whole_number(code::WAIT_MS).ok_or("no wait in milliseconds")?,
            is_retry,
            details,
            rung,
            // A copy: a part of the read buffer would keep all of it.
            description: self
                .bytes(code::DESCRIPTION)
                .map(|d| Bytes::copy_from_slice(d))
                .ok_or("no description")?,
        })
    }

    fn session_report(&self) -> io::Result<Body> {
        let name =
            self.text(code::REPORT_NAME).ok_or_else(|| invalid_data("a session report without a name"))?;
        let value: f64 =
            self.text(code::REPORT_VALUE).and_then(|value| value.parse().ok()).unwrap_or(f64::NAN);
        if !value.is_finite() || value < 0.0 {
            return Err(invalid_data("a session report without a finite value of at least 0"));
        }
        Ok(match name {
            "quality" => Body::SessionReport(SessionReport::RateShare(value)),
            "profile" => Body::SessionReport(SessionReport::Rung(value as usize)),
            "nic" => Body::SessionReport(SessionReport::LinkUtilization(value)),
            "tor" => Body::SessionReport(SessionReport::UplinkUtilization(value)),
            _ => Body::UnknownReport,
        })
    }
}

/// Parses a number of decimal digits only; none if there is a sign or a blank, or if it does not fit.
fn parse_whole_number(text: &str) -> Option<u64> {
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    is_plain.then(|| text.parse().ok()).flatten()
}

/// The pairs of `name:value;name:value`.
fn named_values(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(';').filter_map(|pair| pair.split_once(':'))
}

/// The details of a request, or why they are not valid. The reason is the value of the log field `why`; log readers
/// match it.
fn parse_details(text: &str) -> Result<RequestDetails, &'static str> {
    let mut details = RequestDetails::default();
    // One bit for each required name that was found.
    let mut found = 0;
    for (name, value) in named_values(text) {
        let number =
            || parse_whole_number(value).and_then(|n| usize::try_from(n).ok()).ok_or("a figure is no number");
        match name {
            "home" => (details.first_cell, found) = (number()?, found | 1),
            "copies" => (details.replicas, found) = (number()?, found | 2),
            "top" => (details.max_rung, found) = (number()?, found | 4),
            "again" => details.is_retry = number()? == 1,
            "at" => details.playing_at = Some(value.to_owned()),
            _ => {}
        }
    }
    if found == 7 {
        Ok(details)
    } else {
        Err("home, copies or top is missing")
    }
}

impl Decoder for Codec {
    type Item = Message;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Message>> {
        let Some(length) = Codec::message_length(from) else { return Ok(None) };
        if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(invalid_data("the length of a message is out of range"));
        }
        if from.len() < 2 + length {
            // No more than a part at a time: the length is what the other end says, and may never come.
            from.reserve((2 + length - from.len()).min(MAX_RESERVED_BYTES));
            return Ok(None);
        }
        from.advance(2);
        let mut bytes = from.split_to(length).freeze();
        let (message_type, session) = (bytes.get_u8(), bytes.get_u64());
        let parameters = Parameters::read(bytes)?;
        let body = match message_type {
            message_type::SET_UP => parameters.set_up().map_or_else(Body::Invalid, Body::SetUp),
            message_type::PROGRESS => Body::Progress,
            message_type::ANSWER => {
                let description = parameters.bytes(code::DESCRIPTION).cloned();
                let description =
                    description.ok_or_else(|| invalid_data("an answer without a description"))?;
                Body::Answer { description, load: parameters.load() }
            }
            message_type::RELEASE => Body::Release {
                cause: parameters.cause()?,
                retry_after_ms: parameters.whole_number(code::RETRY_AFTER_MS),
                load: parameters.load(),
            },
            message_type::ACKNOWLEDGED => Body::Acknowledged,
            message_type::TEST => Body::Test,
            message_type::TEST_RESULT => Body::TestResult { passed: parameters.cause()? == 1 },
            message_type::SESSION_REPORT => parameters.session_report()?,
            message_type::MOVE => Body::Move,
            message_type::RUNG => match parameters.whole_number(code::RUNG) {
                Some(rung) => Body::Rung(rung as usize),
                None => return Err(invalid_data("a rung change without a rung")),
            },
            _ => return Err(invalid_data("unknown message type")),
        };
        Ok(Some(Message { session, body }))
    }
}

impl Encoder<Message> for Codec {
    type Error = io::Error;

    fn encode(&mut self, message: Message, into: &mut BytesMut) -> io::Result<()> {
        let mut out = Vec::new();
        let mut put = |code: u8, value: &[u8]| out.push((code, Bytes::copy_from_slice(value)));
        let message_type = match &message.body {
            Body::SetUp(set_up) => {
                put(code::CLASS, set_up.class.as_bytes());
                put(code::WAIT_MS, set_up.wait_ms.to_string().as_bytes());
                if !set_up.tenant.is_empty() {
                    put(code::TENANT, set_up.tenant.as_bytes());
                }
                if set_up.is_retry {
                    put(code::RETRY, b"1");
                }
                put(code::TITLE, set_up.title.as_bytes());
                if let Some(details) = &set_up.details {
                    let RequestDetails { first_cell, replicas, max_rung, is_retry, playing_at } = details;
                    let mut text = format!("home:{first_cell};copies:{replicas};top:{max_rung}");
                    if *is_retry {
                        text += ";again:1";
                    }
                    if let Some(streamer) = playing_at {
                        text += &format!(";at:{streamer}");
                    }
                    put(code::DETAILS, text.as_bytes());
                }
                if let Some(rung) = set_up.rung {
                    put(code::RUNG, rung.to_string().as_bytes());
                }
                put(code::DESCRIPTION, &set_up.description);
                message_type::SET_UP
            }
            Body::Progress => message_type::PROGRESS,
            Body::Answer { description, load } => {
                put_load(&mut put, load);
                put(code::DESCRIPTION, description);
                message_type::ANSWER
            }
            Body::Release { cause, retry_after_ms, load } => {
                put(code::CAUSE, &[*cause]);
                if let Some(ms) = retry_after_ms {
                    put(code::RETRY_AFTER_MS, ms.to_string().as_bytes());
                }
                put_load(&mut put, load);
                message_type::RELEASE
            }
            Body::Acknowledged => message_type::ACKNOWLEDGED,
            Body::Test => {
                put(code::CAUSE, &[0]);
                message_type::TEST
            }
            Body::TestResult { passed } => {
                put(code::CAUSE, &[u8::from(*passed)]);
                message_type::TEST_RESULT
            }
            Body::SessionReport(report) => {
                let (name, value) = match report {
                    SessionReport::RateShare(share) => ("quality", *share),
                    SessionReport::Rung(rung) => ("profile", *rung as f64),
                    SessionReport::LinkUtilization(utilization) => ("nic", *utilization),
                    SessionReport::UplinkUtilization(utilization) => ("tor", *utilization),
                };
                put(code::REPORT_NAME, name.as_bytes());
                put(code::REPORT_VALUE, value.to_string().as_bytes());
                message_type::SESSION_REPORT
            }
            Body::Move => message_type::MOVE,
            Body::Rung(rung) => {
                put(code::RUNG, rung.to_string().as_bytes());
                message_type::RUNG
            }
            Body::Invalid(_) | Body::UnknownReport => {
                return Err(invalid_data("this kind of message is never sent"))
            }
        };
        let length = HEADER_BYTES + out.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
        if length > MAX_MESSAGE_BYTES {
            return Err(invalid_data("the message is too long"));
        }
        into.reserve(2 + length);
        into.put_u16(length as u16);
        into.put_u8(message_type);
        into.put_u64(message.session);
        for (code, value) in out {
            into.put_u8(code);
            into.put_u16(value.len() as u16);
            into.put_slice(&value);
        }
        Ok(())
    }
}

fn put_load(put: &mut impl FnMut(u8, &[u8]), load: &Load) {
    let named = [("busy_reqs", load.streams), ("x0", load.link_utilization), ("x1", load.uplink_utilization)];
    let present = named.iter().filter_map(|(name, value)| Some(format!("{name}:{}", (*value)?)));
    let text = present.collect::<Vec<_>>().join(";");
    if !text.is_empty() {
        put(code::LOAD, text.as_bytes());
    }
}
