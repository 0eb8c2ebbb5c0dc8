//! Scripted ends of the operators' platform for tests, on loopback: viewers, a streamer, and a journal service.
//! Every wait ends.

use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use lemontide_platform::codec::{Body, Codec, Message};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Longer than anything should take, so that a wait that fails says so.
pub const SOON: Duration = Duration::from_secs(10);

/// Words that wait for the test.
const WORDS_MOST: usize = 256;

fn late<T>(_: T) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "nothing came in time")
}

/// A message as it is written. What stand-ins say fits into one; what does not is nothing.
pub fn bytes_of(message: Message) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    match Codec.encode(message, &mut bytes) {
        Ok(()) => bytes.to_vec(),
        Err(_) => Vec::new(),
    }
}

/// One end of a connection that speaks the platform's messages.
pub struct End(Framed<TcpStream, Codec>);

impl End {
    /// A viewer's connection to a controller; it is tried until the controller listens.
    pub async fn viewer(at: SocketAddr) -> io::Result<End> {
        let dial = async {
            loop {
                match TcpStream::connect(at).await {
                    Ok(socket) => return End(Framed::new(socket, Codec)),
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        };
        timeout(SOON, dial).await.map_err(late)
    }

    /// The next connection that a controller opens to this streamer.
    pub async fn streamer(at: &TcpListener) -> io::Result<End> {
        let (socket, _) = timeout(SOON, at.accept()).await.map_err(late)??;
        Ok(End(Framed::new(socket, Codec)))
    }

    /// The end of a connection that is there already.
    pub fn of(socket: TcpStream) -> End {
        End(Framed::new(socket, Codec))
    }

    /// The connection itself; what was read and not heard is lost.
    pub fn into_socket(self) -> TcpStream {
        self.0.into_inner()
    }

    pub async fn say(&mut self, session: u64, body: Body) -> io::Result<()> {
        self.0.send(Message { session, body }).await
    }

    /// Bytes as they are, be they a message or not.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes).await
    }

    /// The next message; an error where the other end closes, or says nothing.
    pub async fn hear(&mut self) -> io::Result<Message> {
        match timeout(SOON, self.0.next()).await.map_err(late)? {
            Some(message) => message,
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// All whole messages that this machine has received on the connection by now and nobody has read, without waiting
    /// for more. An error where the other end reset it or they can't be read.
    pub fn unread(self) -> io::Result<Vec<Message>> {
        let mut parts = self.0.into_parts();
        let mut received = Vec::new();
        let mut socket = parts.io.into_std()?;
        match std::io::Read::read_to_end(&mut socket, &mut received) {
            Err(e) if e.kind() != io::ErrorKind::WouldBlock => return Err(e),
            _ => {}
        }
        parts.read_buf.extend_from_slice(&received);
        std::iter::from_fn(|| parts.codec.decode(&mut parts.read_buf).transpose()).collect()
    }

    /// Leaves the connection to a task that passes tests at once, however long the test that owns it takes.
    pub fn attend(mut self) -> Attended {
        let (tell, told) = mpsc::channel(WORDS_MOST);
        let (say, mut said) = mpsc::channel::<Vec<u8>>(WORDS_MOST);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    came = self.0.next() => match came {
                        Some(Ok(Message { session, body: Body::Test })) => {
                            if self.say(session, Body::TestResult { passed: true }).await.is_err() {
                                return;
                            }
                        }
                        Some(Ok(message)) => {
                            if tell.send(message).await.is_err() {
                                return;
                            }
                        }
                        _ => return,
                    },
                    bytes = said.recv() => match bytes {
                        Some(bytes) if self.write(&bytes).await.is_ok() => {}
                        _ => return,
                    },
                }
            }
        });
        Attended { told, say }
    }

    /// Whether the other end closes, whatever it says before.
    pub async fn closes(&mut self) -> bool {
        loop {
            match self.hear().await {
                Ok(_) => {}
                Err(e) => return e.kind() != io::ErrorKind::TimedOut,
            }
        }
    }
}

/// A connection that a task attends to: what is no test comes here.
pub struct Attended {
    told: mpsc::Receiver<Message>,
    say: mpsc::Sender<Vec<u8>>,
}

impl Attended {
    pub async fn news(&mut self) -> io::Result<Message> {
        let message = timeout(SOON, self.told.recv()).await.map_err(late)?;
        message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// What came already, if anything did.
    pub fn try_news(&mut self) -> Option<Message> {
        self.told.try_recv().ok()
    }

    pub async fn say(&mut self, session: u64, body: Body) -> io::Result<()> {
        self.write(&bytes_of(Message { session, body })).await
    }

    /// Whether the task has taken all that was to be said. It writes what it takes at once, in the same step.
    pub fn is_said(&self) -> bool {
        self.say.capacity() == self.say.max_capacity()
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.say.send(bytes.to_vec()).await.map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

/// A journal service: the test says what is told on each connection.
pub struct Journal(TcpListener);

impl Journal {
    pub async fn start() -> io::Result<Journal> {
        Ok(Journal(TcpListener::bind(("127.0.0.1", 0)).await?))
    }

    /// The same at an address that is free.
    pub async fn listen(at: SocketAddr) -> io::Result<Journal> {
        Ok(Journal(TcpListener::bind(at).await?))
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next reader, and the number after which it asks.
    pub async fn reader(&self) -> io::Result<(TcpStream, u64)> {
        let (mut socket, _) = timeout(SOON, self.0.accept()).await.map_err(late)??;
        let mut ask = Vec::new();
        while !ask.ends_with(b"\n") {
            ask.push(timeout(SOON, socket.read_u8()).await.map_err(late)??);
        }
        let ask = String::from_utf8_lossy(&ask);
        let last = ask.trim_end().strip_prefix("tail ").and_then(|n| n.parse().ok());
        last.map(|last| (socket, last)).ok_or_else(|| io::Error::other(format!("not an ask: {ask}")))
    }
}

/// Settings as the platform hands them out: two lanes, one kind of machine, and no warm-up, in the first half of
/// which a new controller would hold back.
pub fn settings() -> serde_json::Value {
    let lane = |name: &str, effect: &str| json!({"name": name, "worth": 1, "aim": 30, "hard_limit": 60, "effect": effect});
    json!({
        "me": 0, "peers_total": 1, "zone": "a", "kinds": ["std"], "membership_mode": "pushed", "weight_source": "nominal",
        "classes": [lane("free", "read_like"), lane("paid", "non_idempotent")],
        "family_info": {"kind_slots": [300], "positions": 1, "lowest_rung": [0, 0], "top_by_class": [1, 1],
            "class_scale": [1, 1], "class_seats": [0, 0], "live": [false, false], "join": 1, "rung_kb": [100, 200],
            "worth_by_rung": [0.5, 1], "kb_per_weight": 1e6, "racks": 1, "rack_link_kb": 1e6, "seen_after": 1,
            "told_every": 3},
        "policy_limits": {"try_limit": 2, "retry_after": true, "max_retry_after": 0.5, "dial_timeout": 0.25,
            "streams_per_conn": 32},
        "report": {"how": "answers", "names": ["x0"]},
        "rules": {"cold": 0, "cold_from": 1, "fall_multiple": 2, "fall": 1}
    })
}
