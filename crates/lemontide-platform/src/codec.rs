//! The platform's binary messages. All of the platform's outer names and numbers are here and in `config`; behind
//! this file there are typed messages only. Pure: bytes in, messages out, and back.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use lemontide::interface::Load;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// What follows the length field of a message: the type, the session and the parameters.
pub const MESSAGE_MOST: usize = 16 * 1024;
const HEAD: usize = 9;

mod kind {
    pub const SET_UP: u8 = 1;
    pub const PROGRESS: u8 = 6;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const HEARD: u8 = 16;
    pub const NOTE: u8 = 44;
    pub const MOVE: u8 = 51;
    pub const TEST: u8 = 52;
    pub const TESTED: u8 = 53;
    pub const RUNG: u8 = 60;
}

mod code {
    pub const LANE: u8 = 64;
    pub const WAIT: u8 = 66;
    pub const TENANT: u8 = 68;
    pub const RETRY: u8 = 70;
    pub const TITLE: u8 = 72;
    pub const FIGURES: u8 = 74;
    pub const STAY_AWAY: u8 = 76;
    pub const NOTE: u8 = 78;
    pub const LOAD: u8 = 82;
    pub const RUNG: u8 = 86;
    pub const FIGURE: u8 = 88;
    pub const CAUSE: u8 = 92;
    pub const DESCRIPTION: u8 = 94;
}

/// Why something ended, as the platform numbers it.
pub mod cause {
    /// It came to its end, or was given up.
    pub const NORMAL: u8 = 16;
    /// Moved, or ended by its viewer.
    pub const CANCELLED: u8 = 31;
    /// Full: it never ran.
    pub const FULL: u8 = 34;
    /// It broke: on its way, or while it stood.
    pub const BROKEN: u8 = 41;
    /// Turned back: to try again is harmless.
    pub const TURNED_BACK: u8 = 42;
    pub const ERROR: u8 = 47;
    /// It never left.
    pub const MOOT: u8 = 102;
    /// Not usable as it was sent.
    pub const UNUSABLE: u8 = 111;

    /// Whether a streamer that gives this cause refuses or fails a set-up. Any other may also end what stands, and be
    /// said again on another connection.
    pub fn ends_a_set_up(cause: u8) -> bool {
        [FULL, ERROR, MOOT].contains(&cause)
    }
}

/// The figures of a viewer's wish.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    pub home: usize,
    pub copies: usize,
    pub top: usize,
    /// The viewer comes again.
    pub again: bool,
    /// The streamer at which it plays already.
    pub at: Option<String>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct SetUp {
    pub lane: String,
    pub tenant: String,
    pub title: String,
    pub wait_ms: u64,
    pub retry: bool,
    /// Told by viewers only.
    pub figures: Option<Figures>,
    /// Told to streamers only.
    pub rung: Option<usize>,
    pub description: Bytes,
}

impl SetUp {
    /// The streamer at which it plays already, where it is handed over.
    pub fn plays_at(&self) -> Option<&String> {
        self.figures.as_ref()?.at.as_ref()
    }
}

/// What a streamer notes about a subscription that stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The share of their rates that subscriptions get there.
    Share(f64),
    Rung(usize),
    /// What is asked of its link, or its rack's uplink, over what that gives.
    Link(f64),
    Rack(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    SetUp(SetUp),
    /// A set-up that can be read and not be used, with the reason.
    Unusable(&'static str),
    Progress,
    Answer {
        description: Bytes,
        load: Load,
    },
    Release {
        cause: u8,
        stay_away_ms: Option<u64>,
        load: Load,
    },
    Heard,
    Test,
    Tested {
        passed: bool,
    },
    Note(Note),
    /// A note of a kind that is not known: it means nothing.
    OtherNote,
    Move,
    Rung(usize),
}

impl Body {
    pub fn release(cause: u8) -> Body {
        Body::Release { cause, stay_away_ms: None, load: Load::default() }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub session: u64,
    pub body: Body,
}

/// Reads and writes messages on one connection. Bytes that can't be a message are an error: nothing behind them
/// can be read either.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The parameters of one message; later ones of a code are not looked at.
struct Parameters(Vec<(u8, Bytes)>);

impl Parameters {
    fn read(mut bytes: Bytes) -> io::Result<Parameters> {
        let mut all = Vec::new();
        while bytes.has_remaining() {
            if bytes.remaining() < 3 {
                return Err(bad("a parameter is cut off"));
            }
            let (code, length) = (bytes.get_u8(), usize::from(bytes.get_u16()));
            if bytes.remaining() < length {
                return Err(bad("a parameter is longer than its message"));
            }
            all.push((code, bytes.split_to(length)));
        }
        Ok(Parameters(all))
    }

    fn bytes(&self, code: u8) -> Option<&Bytes> {
        self.0.iter().find(|(of, _)| *of == code).map(|(_, value)| value)
    }

    fn text(&self, code: u8) -> Option<&str> {
        self.bytes(code).and_then(|value| std::str::from_utf8(value).ok())
    }

    fn whole(&self, code: u8) -> Option<u64> {
        self.text(code).and_then(whole)
    }

    fn cause(&self) -> io::Result<u8> {
        match self.bytes(code::CAUSE).map(|value| &value[..]) {
            Some([cause]) => Ok(*cause),
            _ => Err(bad("no cause of one byte")),
        }
    }

    /// A report names its own figures; what is not a sane number is left out.
    fn load(&self) -> Load {
        let mut load = Load::default();
        for (name, value) in self.text(code::LOAD).into_iter().flat_map(pairs) {
            let value = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
            lemontide_settings::read_load_field(&mut load, name, value);
        }
        load
    }

    fn set_up(&self) -> Result<SetUp, &'static str> {
        let text = |code, missing| self.text(code).map(str::to_owned).ok_or(missing);
        let figures = match self.bytes(code::FIGURES) {
            Some(_) => Some(figures(self.text(code::FIGURES).ok_or("figures are no text")?)?),
            None => None,
        };
        let rung = match self.bytes(code::RUNG) {
            Some(_) => Some(self.whole(code::RUNG).ok_or("the rung is no number")? as usize),
            None => None,
        };
        let retry = match self.bytes(code::RETRY).map(|value| &value[..]) {
            None | Some(b"0") => false,
            Some(b"1") => true,
            Some(_) => return Err("the mark of a retry is neither 0 nor 1"),
        };
        Ok(SetUp {
            lane: text(code::LANE, "no lane")?,
            tenant: self.text(code::TENANT).unwrap_or_default().to_owned(),
            title: text(code::TITLE, "no title")?,
            wait_ms: self.whole(code::WAIT).ok_or("no wait in milliseconds")?,
            retry,
            figures,
            rung,
            description: self.bytes(code::DESCRIPTION).cloned().ok_or("no description")?,
        })
    }

    fn note(&self) -> io::Result<Body> {
        let what = self.text(code::NOTE).ok_or_else(|| bad("a note without a name"))?;
        let figure: f64 = self.text(code::FIGURE).and_then(|f| f.parse().ok()).unwrap_or(f64::NAN);
        if !figure.is_finite() || figure < 0.0 {
            return Err(bad("a note without a sane figure"));
        }
        Ok(match what {
            "quality" => Body::Note(Note::Share(figure)),
            "profile" => Body::Note(Note::Rung(figure as usize)),
            "nic" => Body::Note(Note::Link(figure)),
            "tor" => Body::Note(Note::Rack(figure)),
            _ => Body::OtherNote,
        })
    }
}

/// A whole number in plain digits; signs, blanks and what does not fit are none.
fn whole(text: &str) -> Option<u64> {
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    plain.then(|| text.parse().ok()).flatten()
}

/// `name:value;name:value`.
fn pairs(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(';').filter_map(|pair| pair.split_once(':'))
}

fn figures(text: &str) -> Result<Figures, &'static str> {
    let mut all = Figures::default();
    let mut told = 0;
    for (name, value) in pairs(text) {
        let number = || whole(value).and_then(|n| usize::try_from(n).ok()).ok_or("a figure is no number");
        match name {
            "home" => (all.home, told) = (number()?, told | 1),
            "copies" => (all.copies, told) = (number()?, told | 2),
            "top" => (all.top, told) = (number()?, told | 4),
            "again" => all.again = number()? == 1,
            "at" => all.at = Some(value.to_owned()),
            _ => {}
        }
    }
    if told == 7 {
        Ok(all)
    } else {
        Err("home, copies or top is missing")
    }
}

impl Decoder for Codec {
    type Item = Message;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Message>> {
        let Some(head) = from.get(..2) else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([head[0], head[1]]));
        if !(HEAD..=MESSAGE_MOST).contains(&length) {
            return Err(bad("a message of impossible length"));
        }
        if from.len() < 2 + length {
            from.reserve(2 + length - from.len());
            return Ok(None);
        }
        from.advance(2);
        let mut bytes = from.split_to(length).freeze();
        let (kind, session) = (bytes.get_u8(), bytes.get_u64());
        let parameters = Parameters::read(bytes)?;
        let body = match kind {
            kind::SET_UP => parameters.set_up().map_or_else(Body::Unusable, Body::SetUp),
            kind::PROGRESS => Body::Progress,
            kind::ANSWER => {
                let description = parameters.bytes(code::DESCRIPTION).cloned();
                let description = description.ok_or_else(|| bad("an answer without a description"))?;
                Body::Answer { description, load: parameters.load() }
            }
            kind::RELEASE => Body::Release {
                cause: parameters.cause()?,
                stay_away_ms: parameters.whole(code::STAY_AWAY),
                load: parameters.load(),
            },
            kind::HEARD => Body::Heard,
            kind::TEST => Body::Test,
            kind::TESTED => Body::Tested { passed: parameters.cause()? == 1 },
            kind::NOTE => parameters.note()?,
            kind::MOVE => Body::Move,
            kind::RUNG => match parameters.whole(code::RUNG) {
                Some(rung) => Body::Rung(rung as usize),
                None => return Err(bad("a new rung without its number")),
            },
            _ => return Err(bad("a message of unknown type")),
        };
        Ok(Some(Message { session, body }))
    }
}

impl Encoder<Message> for Codec {
    type Error = io::Error;

    fn encode(&mut self, message: Message, into: &mut BytesMut) -> io::Result<()> {
        let mut out = Vec::new();
        let mut put = |code: u8, value: &[u8]| out.push((code, Bytes::copy_from_slice(value)));
        let kind = match &message.body {
            Body::SetUp(set_up) => {
                put(code::LANE, set_up.lane.as_bytes());
                put(code::WAIT, set_up.wait_ms.to_string().as_bytes());
                if !set_up.tenant.is_empty() {
                    put(code::TENANT, set_up.tenant.as_bytes());
                }
                if set_up.retry {
                    put(code::RETRY, b"1");
                }
                put(code::TITLE, set_up.title.as_bytes());
                if let Some(figures) = &set_up.figures {
                    let Figures { home, copies, top, again, at } = figures;
                    let mut text = format!("home:{home};copies:{copies};top:{top}");
                    if *again {
                        text += ";again:1";
                    }
                    if let Some(at) = at {
                        text += &format!(";at:{at}");
                    }
                    put(code::FIGURES, text.as_bytes());
                }
                if let Some(rung) = set_up.rung {
                    put(code::RUNG, rung.to_string().as_bytes());
                }
                put(code::DESCRIPTION, &set_up.description);
                kind::SET_UP
            }
            Body::Progress => kind::PROGRESS,
            Body::Answer { description, load } => {
                put_load(&mut put, load);
                put(code::DESCRIPTION, description);
                kind::ANSWER
            }
            Body::Release { cause, stay_away_ms, load } => {
                put(code::CAUSE, &[*cause]);
                if let Some(ms) = stay_away_ms {
                    put(code::STAY_AWAY, ms.to_string().as_bytes());
                }
                put_load(&mut put, load);
                kind::RELEASE
            }
            Body::Heard => kind::HEARD,
            Body::Test => {
                put(code::CAUSE, &[0]);
                kind::TEST
            }
            Body::Tested { passed } => {
                put(code::CAUSE, &[u8::from(*passed)]);
                kind::TESTED
            }
            Body::Note(note) => {
                let (name, figure) = match note {
                    Note::Share(f) => ("quality", *f),
                    Note::Rung(rung) => ("profile", *rung as f64),
                    Note::Link(f) => ("nic", *f),
                    Note::Rack(f) => ("tor", *f),
                };
                put(code::NOTE, name.as_bytes());
                put(code::FIGURE, figure.to_string().as_bytes());
                kind::NOTE
            }
            Body::Move => kind::MOVE,
            Body::Rung(rung) => {
                put(code::RUNG, rung.to_string().as_bytes());
                kind::RUNG
            }
            Body::Unusable(_) | Body::OtherNote => return Err(bad("not a message to be sent")),
        };
        let length = HEAD + out.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
        if length > MESSAGE_MOST {
            return Err(bad("a message over the bound"));
        }
        into.reserve(2 + length);
        into.put_u16(length as u16);
        into.put_u8(kind);
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
    let told = named.iter().filter_map(|(name, value)| Some(format!("{name}:{}", (*value)?)));
    let text = told.collect::<Vec<_>>().join(";");
    if !text.is_empty() {
        put(code::LOAD, text.as_bytes());
    }
}
