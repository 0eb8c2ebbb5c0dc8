//! The connections of a stub server and the simulated network in front of them: incoming messages are delayed or held
//! back, outgoing ones are written late or in fragments, and each connection ends as its seed determines.

use super::*;
use bytes::BytesMut;
use lemontide_platform::codec::Codec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep_until;
use tokio_util::codec::Decoder;

/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The size of fragments and the time between them, on connections that write in fragments.
const FRAGMENT_BYTES: usize = 5;
const FRAGMENT_INTERVAL: Duration = Duration::from_millis(2);

/// Accepts the connections of one node while the server's process is alive.
pub(super) async fn listen(server: Arc<StubServer>, node: usize) {
    let mut mode = server.mode.subscribe();
    loop {
        if mode.wait_for(|mode| *mode != Mode::Dead).await.is_err() {
            return;
        }
        let Some(listener) = bind(server.addresses[node]).await else { return };
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((socket, _)) = accepted else { continue };
                    let generation = server.process_generation.subscribe();
                    if *server.mode.borrow() == Mode::Dead {
                        // The process has died, though this task has not noticed: nobody serves the connection.
                        let _ = socket.set_zero_linger();
                        break;
                    }
                    tokio::spawn(serve(server.clone(), node, socket, generation));
                }
                _ = mode.wait_for(|mode| *mode == Mode::Dead) => break,
            }
        }
    }
}

/// Listens on an address as soon as it is free; gives up after 200 tries.
pub async fn bind(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..200 {
        let socket = TcpSocket::new_v4().ok()?;
        let _ = socket.set_reuseaddr(true);
        if socket.bind(address).is_ok() {
            return socket.listen(BACKLOG).ok();
        }
        sleep(Duration::from_millis(10)).await;
    }
    None
}

/// Runs one connection until either end closes it, or the process that accepted it ends.
async fn serve(
    server: Arc<StubServer>,
    node: usize,
    socket: TcpStream,
    mut process_generation: watch::Receiver<u64>,
) {
    let _ = socket.set_nodelay(true);
    let probabilities = &server.plan.probabilities;
    let number = {
        let mut state = server.state();
        state.connection_count += 1;
        state.connection_count
    };
    let connection = (number << 8) | server.index as u64;
    let hash_key = (server.index * 64 + node) as u64;
    let fraction = |purpose: u64| seeded_fraction(server.plan.seed, hash_key + 0xc000, number * 8 + purpose);
    let opened_at = server.recorder.now();
    let delay_s = server.plan.max_network_delay_s * fraction(0);
    let ready_at =
        if fraction(1) < probabilities.late_connection { opened_at + fraction(2) } else { opened_at };
    let closes_at =
        (fraction(3) < probabilities.early_connection_close).then(|| opened_at + 0.2 + 3.0 * fraction(4));
    let writes_fragments = fraction(5) < probabilities.fragmented_writes;
    let (outgoing, outgoing_messages) = mpsc::unbounded_channel();
    {
        let mut state = server.state();
        let recent: Vec<_> = state.released.iter().filter(|released| released.1 == node).copied().collect();
        for (_, _, session, attempt) in
            recent.into_iter().filter(|recent| opened_at - recent.0 < REPEAT_RELEASE_FOR_S)
        {
            let release = Message { session, body: Body::release(cause::NORMAL) };
            let log_entry = LogEntry::Released(attempt);
            let _ = outgoing.send(Outgoing::Bytes {
                at: ready_at + delay_s,
                bytes: encode_message(release),
                log_entry,
            });
        }
        state.node_connections.push(NodeConnection { id: connection, node, delay_s, outgoing });
    }
    let (incoming, delivered) = mpsc::unbounded_channel();
    let (read, write) = socket.into_split();
    let mut writer = Writer { server: server.clone(), connection, socket: write, writes_fragments };
    let reset = tokio::select! {
        reset = writer.run(outgoing_messages) => reset,
        () = read_all(&server, node, read, incoming, |now: f64| now.max(ready_at) + delay_s) => true,
        () = deliver(&server, node, connection, delivered) => false,
        () = close_at(&server, closes_at) => fraction(6) < 0.5,
        _ = process_generation.changed() => true,
    };
    server.remove_connection(connection, AttemptEnd::ConnectionClosed);
    server.repeat_unread_releases(connection);
    if reset {
        let _ = writer.socket.as_ref().set_zero_linger();
    }
}

/// Waits for the time at which the connection is to be closed, if any.
async fn close_at(server: &StubServer, closes_at: Option<f64>) {
    match closes_at {
        Some(at) => sleep_until(server.recorder.instant(at)).await,
        None => std::future::pending().await,
    }
}

/// Reads what a node writes and passes it on with the time of its delivery. Returns only after unreadable input.
async fn read_all(
    server: &StubServer,
    node: usize,
    mut socket: OwnedReadHalf,
    incoming: mpsc::UnboundedSender<(f64, Incoming)>,
    delivered: impl Fn(f64) -> f64,
) {
    let mut bytes = BytesMut::new();
    let mut first_byte_at = None;
    loop {
        let read = socket.read_buf(&mut bytes).await;
        let now = server.recorder.now();
        if !matches!(read, Ok(1..)) {
            let _ = incoming.send((delivered(now), Incoming::End));
            return std::future::pending().await;
        }
        let mut began_at = *first_byte_at.get_or_insert(now);
        loop {
            match Codec.decode(&mut bytes) {
                Ok(Some(message)) => {
                    let attempt = record_attempt(server, node, &message, began_at, now);
                    let message_or_end = Incoming::Message(Box::new(message), attempt);
                    let _ = incoming.send((delivered(now), message_or_end));
                    began_at = now;
                }
                Ok(None) => break,
                // Nodes never send unreadable bytes.
                Err(_) => return,
            }
        }
        first_byte_at = (!bytes.is_empty()).then_some(began_at);
    }
}

/// Logs a set-up that was read as a new attempt and returns its index.
fn record_attempt(
    server: &StubServer,
    node: usize,
    message: &Message,
    first_byte_at: f64,
    last_byte_at: f64,
) -> Option<usize> {
    let Body::SetUp(set_up) = &message.body else { return None };
    let mut event_log = server.recorder.event_log();
    event_log.attempts.push(Attempt {
        id: message.session,
        server: server.index,
        node,
        class: set_up.class.clone(),
        first_byte_at,
        last_byte_at,
        arrived_at: None,
        answered_at: None,
        ended: None,
        release_written: None,
    });
    Some(event_log.attempts.len() - 1)
}

/// Delivers messages in order, each at its time. Returns when the node has closed the connection.
async fn deliver(
    server: &Arc<StubServer>,
    node: usize,
    connection: u64,
    mut incoming: mpsc::UnboundedReceiver<(f64, Incoming)>,
) {
    while let Some((at, message_or_end)) = incoming.recv().await {
        sleep_until(server.recorder.instant(at)).await;
        server.wait_while_silent().await;
        match message_or_end {
            Incoming::Message(message, attempt) => server.receive(node, connection, *message, attempt),
            Incoming::End => {
                server.remove_connection(connection, AttemptEnd::Abandoned);
                return;
            }
        }
    }
}

/// The writing half of a connection.
struct Writer {
    server: Arc<StubServer>,
    connection: u64,
    socket: OwnedWriteHalf,
    writes_fragments: bool,
}

impl Writer {
    /// Writes messages until the connection is to be closed. Returns whether by a reset.
    async fn run(&mut self, mut outgoing_messages: mpsc::UnboundedReceiver<Outgoing>) -> bool {
        while let Some(outgoing) = outgoing_messages.recv().await {
            match outgoing {
                Outgoing::Close { reset } => return reset,
                Outgoing::Bytes { at, bytes, log_entry } => {
                    sleep_until(self.server.recorder.instant(at)).await;
                    self.server.wait_while_silent().await;
                    if self.write(&bytes, log_entry).await.is_err() {
                        // The reading half detects the end of the connection.
                        return std::future::pending().await;
                    }
                }
            }
        }
        std::future::pending().await
    }

    /// Writes a message. The log entry is made before the last bytes are written, as the node may act on them at once.
    async fn write(&mut self, bytes: &[u8], log_entry: LogEntry) -> std::io::Result<()> {
        let fragment_size = if self.writes_fragments { FRAGMENT_BYTES } else { bytes.len() };
        let last = bytes.len().saturating_sub(1) / fragment_size.max(1) * fragment_size;
        for fragment in bytes[..last].chunks(fragment_size.max(1)) {
            self.socket.write_all(fragment).await?;
            sleep(FRAGMENT_INTERVAL).await;
        }
        self.make_log_entry(log_entry);
        self.socket.write_all(&bytes[last..]).await
    }

    /// Makes the log entry of a written message.
    fn make_log_entry(&self, log_entry: LogEntry) {
        let now = self.server.recorder.now();
        if let LogEntry::Ended(attempt, _) = log_entry {
            self.server.remove_session(attempt);
        }
        let mut event_log = self.server.recorder.event_log();
        match log_entry {
            LogEntry::Nothing => {}
            LogEntry::Answered(attempt) => event_log.attempts[attempt].answered_at = Some(now),
            LogEntry::Ended(attempt, end) => {
                event_log.attempts[attempt].ended.get_or_insert((now, end));
            }
            LogEntry::Released(attempt) => {
                event_log.attempts[attempt].release_written.get_or_insert((now, self.connection));
            }
        }
    }
}
