//! Stub services of the operators' platform for tests, on loopback: connections of viewers and streamers, and a journal
//! service. Every wait has a time limit.

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

/// Time limit of all waits, longer than anything should take.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Messages that are queued in each direction of a background connection.
const MESSAGE_QUEUE: usize = 256;

fn timed_out<T>(_: T) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "nothing was received within the time limit")
}

/// Encodes a message. A message that is too long gives no bytes.
pub fn encode_message(message: Message) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    match Codec.encode(message, &mut bytes) {
        Ok(()) => bytes.to_vec(),
        Err(_) => Vec::new(),
    }
}

/// One end of a connection with the platform's protocol.
pub struct PlatformConnection(Framed<TcpStream, Codec>);

impl PlatformConnection {
    /// Connects to a controller as a viewer does; retries until the controller listens.
    pub async fn connect(address: SocketAddr) -> io::Result<PlatformConnection> {
        let dial = async {
            loop {
                match TcpStream::connect(address).await {
                    Ok(socket) => return PlatformConnection(Framed::new(socket, Codec)),
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        };
        timeout(WAIT_TIMEOUT, dial).await.map_err(timed_out)
    }

    /// Accepts the next connection that a controller opens to a streamer.
    pub async fn accept(listener: &TcpListener) -> io::Result<PlatformConnection> {
        let (socket, _) = timeout(WAIT_TIMEOUT, listener.accept()).await.map_err(timed_out)??;
        Ok(PlatformConnection(Framed::new(socket, Codec)))
    }

    /// Uses an open socket.
    pub fn from_socket(socket: TcpStream) -> PlatformConnection {
        PlatformConnection(Framed::new(socket, Codec))
    }

    /// The socket; bytes that were read and not yet received as a message are lost.
    pub fn into_socket(self) -> TcpStream {
        self.0.into_inner()
    }

    /// Sends a message.
    pub async fn send(&mut self, session: u64, body: Body) -> io::Result<()> {
        self.0.send(Message { session, body }).await
    }

    /// Writes bytes, whether they are a message or not.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes).await
    }

    /// Receives the next message; an error if the other end closes or sends nothing within the time limit.
    pub async fn receive(&mut self) -> io::Result<Message> {
        match timeout(WAIT_TIMEOUT, self.0.next()).await.map_err(timed_out)? {
            Some(message) => message,
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// All whole messages that have arrived on the connection and were not received yet, without waiting for more. An error
    /// if the other end reset the connection or the messages can't be decoded.
    pub fn into_unread_messages(self) -> io::Result<Vec<Message>> {
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

    /// Hands the connection to a task that answers the protocol's test messages at once, even while the owner is busy.
    pub fn into_background(mut self) -> BackgroundConnection {
        let (incoming, received) = mpsc::channel(MESSAGE_QUEUE);
        let (outgoing, mut to_send) = mpsc::channel::<Vec<u8>>(MESSAGE_QUEUE);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    message = self.0.next() => match message {
                        Some(Ok(Message { session, body: Body::Test })) => {
                            if self.send(session, Body::TestResult { passed: true }).await.is_err() {
                                return;
                            }
                        }
                        Some(Ok(message)) => {
                            if incoming.send(message).await.is_err() {
                                return;
                            }
                        }
                        _ => return,
                    },
                    bytes = to_send.recv() => match bytes {
                        Some(bytes) if self.write(&bytes).await.is_ok() => {}
                        _ => return,
                    },
                }
            }
        });
        BackgroundConnection { received, outgoing }
    }

    /// Waits until the other end closes, skipping messages; false if none arrives within the time limit.
    pub async fn wait_for_close(&mut self) -> bool {
        loop {
            match self.receive().await {
                Ok(_) => {}
                Err(e) => return e.kind() != io::ErrorKind::TimedOut,
            }
        }
    }
}

/// A connection served by a task, which passes on all messages except the protocol's tests.
pub struct BackgroundConnection {
    received: mpsc::Receiver<Message>,
    outgoing: mpsc::Sender<Vec<u8>>,
}

impl BackgroundConnection {
    /// Receives the next message; an error if the connection ends or nothing arrives within the time limit.
    pub async fn receive(&mut self) -> io::Result<Message> {
        let message = timeout(WAIT_TIMEOUT, self.received.recv()).await.map_err(timed_out)?;
        message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// A message that has already arrived, if there is one.
    pub fn try_receive(&mut self) -> Option<Message> {
        self.received.try_recv().ok()
    }

    /// Sends a message.
    pub async fn send(&mut self, session: u64, body: Body) -> io::Result<()> {
        self.write(&encode_message(Message { session, body })).await
    }

    /// Whether the task has taken all bytes that were to be sent. It writes what it takes at once, in the same step.
    pub fn all_sent(&self) -> bool {
        self.outgoing.capacity() == self.outgoing.max_capacity()
    }

    /// Writes bytes, whether they are a message or not.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.outgoing.send(bytes.to_vec()).await.map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

/// A stub of the journal service; the test writes the events on each connection itself.
pub struct StubJournal(TcpListener);

impl StubJournal {
    /// Listens on a free port.
    pub async fn start() -> io::Result<StubJournal> {
        Ok(StubJournal(TcpListener::bind(("127.0.0.1", 0)).await?))
    }

    /// Listens on a given address.
    pub async fn bind(address: SocketAddr) -> io::Result<StubJournal> {
        Ok(StubJournal(TcpListener::bind(address).await?))
    }

    /// The address on which it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Accepts the next reader. Returns its socket and the position after which it requests events.
    pub async fn accept_reader(&self) -> io::Result<(TcpStream, u64)> {
        let (mut socket, _) = timeout(WAIT_TIMEOUT, self.0.accept()).await.map_err(timed_out)??;
        let mut request = Vec::new();
        while !request.ends_with(b"\n") {
            request.push(timeout(WAIT_TIMEOUT, socket.read_u8()).await.map_err(timed_out)??);
        }
        let request = String::from_utf8_lossy(&request);
        let last = request.trim_end().strip_prefix("tail ").and_then(|n| n.parse().ok());
        last.map(|last| (socket, last))
            .ok_or_else(|| io::Error::other(format!("not a journal request: {request}")))
    }
}

/// Settings in the platform's form: two classes, one kind of machine, and no warm-up, in the first half of which a new
/// controller would restrict itself.
pub fn settings() -> serde_json::Value {
    let class = |name: &str, effect: &str| json!({"name": name, "worth": 1, "aim": 30, "hard_limit": 60, "effect": effect});
    json!({
        "me": 0, "peers_total": 1, "zone": "a", "kinds": ["std"], "membership_mode": "pushed", "weight_source": "nominal",
        "classes": [class("free", "read_like"), class("paid", "non_idempotent")],
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
