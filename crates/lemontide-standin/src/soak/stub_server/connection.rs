//! The connections of a stand-in server with the network before them: what comes is delayed and held, what leaves is
//! written late or in pieces, and each ends as it was drawn.

use super::*;
use bytes::BytesMut;
use lemontide_platform::codec::Codec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep_until;
use tokio_util::codec::Decoder;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Bytes of an answer that is sent in pieces, and the time between them.
const PIECE: usize = 5;
const BETWEEN_PIECES: Duration = Duration::from_millis(2);

/// Accepts the connections of one node while the process lives.
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
                    if let Ok((socket, _)) = accepted {
                        tokio::spawn(serve(server.clone(), node, socket));
                    }
                }
                _ = mode.wait_for(|mode| *mode == Mode::Dead) => break,
            }
        }
    }
}

/// Listens at an address, as soon as it is free.
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

/// Runs one connection until either end closes it, or the process dies.
async fn serve(server: Arc<StubServer>, node: usize, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let probabilities = &server.plan.probabilities;
    let number = {
        let mut state = server.state();
        state.connections += 1;
        state.connections
    };
    let connection = (number << 8) | server.index as u64;
    let place = (server.index * 64 + node) as u64;
    let fraction = |what: u64| seeded_fraction(server.plan.seed, place + 0xc000, number * 8 + what);
    let opened = server.recorder.now();
    let delay = server.plan.max_network_delay_s * fraction(0);
    let ready = if fraction(1) < probabilities.late_connection { opened + fraction(2) } else { opened };
    let closes =
        (fraction(3) < probabilities.early_connection_close).then(|| opened + 0.2 + 3.0 * fraction(4));
    let in_pieces = fraction(5) < probabilities.fragmented_writes;
    let (out, outs) = mpsc::unbounded_channel();
    {
        let mut state = server.state();
        let again: Vec<_> = state.released.iter().filter(|released| released.1 == node).copied().collect();
        for (_, _, session, attempt) in again.into_iter().filter(|again| opened - again.0 < RELEASE_AGAIN) {
            let release = Message { session, body: Body::release(cause::NORMAL) };
            let mark = Mark::Released(attempt);
            let _ = out.send(Out::Bytes { at: ready + delay, bytes: bytes_of(release), mark });
        }
        state.links.push(Link { connection, node, delay, out });
    }
    let (arrivals, arrived) = mpsc::unbounded_channel();
    let (read, write) = socket.into_split();
    let mut process = server.process.subscribe();
    let lives = *process.borrow_and_update();
    let mut writer = Writer { server: server.clone(), connection, socket: write, in_pieces };
    let reset = tokio::select! {
        reset = writer.run(outs) => reset,
        () = read_all(&server, node, read, arrivals, |now: f64| now.max(ready) + delay) => true,
        () = deliver(&server, node, connection, arrived) => false,
        () = close_at(&server, closes) => fraction(6) < 0.5,
        _ = process.wait_for(|process| *process != lives) => true,
    };
    server.close(connection, AttemptEnd::ConnectionClosed);
    server.release_again(connection);
    if reset {
        let _ = writer.socket.as_ref().set_zero_linger();
    }
}

async fn close_at(server: &StubServer, closes: Option<f64>) {
    match closes {
        Some(at) => sleep_until(server.recorder.instant(at)).await,
        None => std::future::pending().await,
    }
}

/// Reads what a node writes, and passes it on as the network delivers it. Ends only where nothing more arrives.
async fn read_all(
    server: &StubServer,
    node: usize,
    mut socket: OwnedReadHalf,
    arrivals: mpsc::UnboundedSender<(f64, Arrival)>,
    delivered: impl Fn(f64) -> f64,
) {
    let mut bytes = BytesMut::new();
    let mut first_byte_at = None;
    loop {
        let read = socket.read_buf(&mut bytes).await;
        let now = server.recorder.now();
        if !matches!(read, Ok(1..)) {
            let _ = arrivals.send((delivered(now), Arrival::End));
            return std::future::pending().await;
        }
        let mut began = *first_byte_at.get_or_insert(now);
        loop {
            match Codec.decode(&mut bytes) {
                Ok(Some(message)) => {
                    let attempt = record_attempt(server, node, &message, began, now);
                    let arrival = Arrival::Message(Box::new(message), attempt);
                    let _ = arrivals.send((delivered(now), arrival));
                    began = now;
                }
                Ok(None) => break,
                // A node never says what can't be read.
                Err(_) => return,
            }
        }
        first_byte_at = (!bytes.is_empty()).then_some(began);
    }
}

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
        class: set_up.lane.clone(),
        first_byte_at,
        last_byte_at,
        arrived_at: None,
        answered_at: None,
        ended: None,
        release_written: None,
    });
    Some(event_log.attempts.len() - 1)
}

/// Hands over what arrives, in order and in its time.
async fn deliver(
    server: &Arc<StubServer>,
    node: usize,
    connection: u64,
    mut arrivals: mpsc::UnboundedReceiver<(f64, Arrival)>,
) {
    while let Some((at, arrival)) = arrivals.recv().await {
        sleep_until(server.recorder.instant(at)).await;
        server.passes().await;
        match arrival {
            Arrival::Message(message, attempt) => server.take(node, connection, *message, attempt),
            Arrival::End => {
                server.close(connection, AttemptEnd::Abandoned);
                return;
            }
        }
    }
}

struct Writer {
    server: Arc<StubServer>,
    connection: u64,
    socket: OwnedWriteHalf,
    in_pieces: bool,
}

impl Writer {
    /// Writes what is to be said until the connection is to be closed; whether by a reset.
    async fn run(&mut self, mut outs: mpsc::UnboundedReceiver<Out>) -> bool {
        while let Some(out) = outs.recv().await {
            match out {
                Out::Close { reset } => return reset,
                Out::Bytes { at, bytes, mark } => {
                    sleep_until(self.server.recorder.instant(at)).await;
                    self.server.passes().await;
                    if self.write(&bytes, mark).await.is_err() {
                        // The reading half tells of the end.
                        return std::future::pending().await;
                    }
                }
            }
        }
        std::future::pending().await
    }

    /// Writes a message, and marks it before its last bytes leave: the node may act on them at once.
    async fn write(&mut self, bytes: &[u8], mark: Mark) -> std::io::Result<()> {
        let piece = if self.in_pieces { PIECE } else { bytes.len() };
        let last = bytes.len().saturating_sub(1) / piece.max(1) * piece;
        for piece in bytes[..last].chunks(piece.max(1)) {
            self.socket.write_all(piece).await?;
            sleep(BETWEEN_PIECES).await;
        }
        self.mark(mark);
        self.socket.write_all(&bytes[last..]).await
    }

    fn mark(&self, mark: Mark) {
        let now = self.server.recorder.now();
        if let Mark::Ended(attempt, _) = mark {
            self.server.forget(attempt);
        }
        let mut event_log = self.server.recorder.event_log();
        match mark {
            Mark::Nothing => {}
            Mark::Answered(attempt) => event_log.attempts[attempt].answered_at = Some(now),
            Mark::Ended(attempt, end) => {
                event_log.attempts[attempt].ended.get_or_insert((now, end));
            }
            Mark::Released(attempt) => {
                event_log.attempts[attempt].release_written.get_or_insert((now, self.connection));
            }
        }
    }
}
