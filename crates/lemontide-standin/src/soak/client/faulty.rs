//! Faulty clients: some send invalid input, some reuse a request id, some open connections and send nothing.

use super::*;

/// A node must respond to invalid input within this time; the client waits somewhat longer.
pub const FAULTY_CLIENT_TIMEOUT_S: f64 = 3.0;
const FAULTY_CLIENT_INTERVAL: Duration = Duration::from_millis(400);

/// Starts clients that send invalid input, one after the other.
pub async fn run_faulty(context: Arc<ClientContext>) {
    let mut number = 0;
    while context.recorder.now() < context.last_request_at {
        sleep(FAULTY_CLIENT_INTERVAL).await;
        if *context.node.status.borrow() != NodeStatus::Up {
            continue;
        }
        number += 1;
        tokio::spawn(run_faulty_client(context.clone(), number));
    }
}

/// What a faulty client sends, and its name in reports.
fn invalid_input(context: &ClientContext, number: u64) -> (&'static str, Vec<u8>) {
    let plan = &context.plan;
    let id = 0xbad0_0000_0000_0000 | ((context.node.index as u64) << 32) | number;
    let message = |session, set_up| encode_message(Message { session, body: Body::SetUp(set_up) });
    let valid = set_up(plan, CLASSES[1].name, 3000, 1);
    match number % 8 {
        0 => ("garbage", (0..200u32).map(|n| (n * 37 % 251) as u8).collect()),
        1 => ("a message that never ends", vec![63, 255, 1, 0, 0]),
        2 => ("a message of length 0", vec![0, 0, 0, 0]),
        3 => ("an unknown class", message(id, SetUp { class: "none".into(), ..valid })),
        4 => ("unknown cells", message(id, SetUp { details: Some(RequestDetails::default()), ..valid })),
        5 => ("no id", message(0, valid)),
        6 => ("no title", message(id, SetUp { title: String::new(), ..valid })),
        _ => ("an unexpected message", encode_message(Message { session: id, body: Body::Move })),
    }
}

/// Sends invalid input on a connection of its own and logs the response.
async fn run_faulty_client(context: Arc<ClientContext>, number: u64) {
    let connected_at = context.recorder.now();
    let (name, bytes) = invalid_input(&context, number);
    let Ok(Ok(mut socket)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(context.node.listen_address)).await
    else {
        return;
    };
    let mut client = FaultyClient {
        node: context.node.index,
        input: name,
        connected_at,
        responded_at: None,
        was_served: false,
        is_excused: socket.write_all(&bytes).await.is_err(),
    };
    let mut received = [0; 512];
    let wait = Duration::from_secs_f64(FAULTY_CLIENT_TIMEOUT_S + 0.5);
    if let Ok(read) = timeout(wait, socket.read(&mut received)).await {
        client.responded_at = Some(context.recorder.now());
        let mut input = BytesMut::from(&received[..read.unwrap_or(0)]);
        let answer = Codec.decode(&mut input);
        client.was_served = matches!(answer, Ok(Some(Message { body: Body::Answer { .. }, .. })));
    }
    let mut event_log = context.recorder.event_log();
    client.is_excused |= event_log.stopped_after(context.node.index, connected_at);
    event_log.faulty_clients.push(client);
}

/// Opens connections to a node on which nothing is ever sent, up to the number in the scenario.
pub async fn run_idle(context: Arc<ClientContext>) {
    let mut open = Vec::new();
    while context.recorder.now() < context.run_until {
        if *context.node.status.borrow() != NodeStatus::Up {
            open.clear();
        } else if open.len() < context.plan.idle_connections_per_node {
            if let Ok(Ok(socket)) =
                timeout(CONNECT_TIMEOUT, TcpStream::connect(context.node.listen_address)).await
            {
                open.push(socket);
                continue;
            }
        }
        sleep(CONNECT_INTERVAL).await;
    }
}

/// Sends one request after the other, each of them three times with the same id, soon after it was cancelled, answered
/// or left.
pub async fn run_repeating(context: Arc<ClientContext>) {
    let mut number = 0;
    while context.recorder.now() < context.last_request_at {
        sleep(FAULTY_CLIENT_INTERVAL / 2).await;
        if *context.node.status.borrow() == NodeStatus::Up {
            number += 1;
            tokio::spawn(repeat_request(context.clone(), number));
        }
    }
}

/// Sends one request three times, each on a new connection.
async fn repeat_request(context: Arc<ClientContext>, number: u64) {
    let id = 0x4e9e_0000_0000_0000 | ((context.node.index as u64) << 32) | number;
    let class = CLASSES[1];
    let now = context.recorder.now();
    let request = Request {
        id,
        class,
        node: context.node.index,
        connection: ClientConnection::default(),
        sent_at: now,
        client_timeout_s: class.deadline_s,
        reuses_id: true,
        is_first_on_connection: true,
        left_at: None,
        answers: Vec::new(),
        connection_closed_at: None,
        is_resent: true,
        ended_at: None,
    };
    {
        let mut event_log = context.recorder.event_log();
        let at = event_log.requests.len();
        event_log.request_index_by_id.insert(id, at);
        event_log.requests.push(request);
    }
    let set_up = set_up(&context.plan, class.name, (class.deadline_s * 1e3) as u64, id);
    let bytes = encode_message(Message { session: id, body: Body::SetUp(set_up) });
    for repetition in 0..3 {
        let Ok(Ok(mut socket)) =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(context.node.listen_address)).await
        else {
            return;
        };
        if socket.write_all(&bytes).await.is_err() {
            return;
        }
        let mut answer = [0; 64];
        let wait = 0.8 * seeded_fraction(context.plan.seed, id, repetition);
        let _ = timeout(Duration::from_secs_f64(wait), socket.read(&mut answer)).await;
        if number.is_multiple_of(2) {
            let cancel = encode_message(Message { session: id, body: Body::release(cause::NORMAL) });
            let _ = socket.write_all(&cancel).await;
        }
    }
}
