//! Requests of players that close their half of the connection or reset it, each over its own socket.

use super::BoxError;
use lemontide_wire::play::{PlayRequest, PlayResponse};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Maximum time between a request and the reset of its connection, in seconds.
const MAX_RESET_DELAY_S: f64 = 0.1;

async fn send(to: SocketAddr, request: &PlayRequest) -> Result<TcpStream, BoxError> {
    let body = serde_json::to_string(request)?;
    let head = format!(
        "POST /v1/subscriptions HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut socket = TcpStream::connect(to).await?;
    socket.write_all((head + &body).as_bytes()).await?;
    Ok(socket)
}

/// Sends a request, closes this end's half of the connection and waits for the response.
pub(super) async fn post_and_close_half(
    to: SocketAddr,
    request: &PlayRequest,
) -> Result<PlayResponse, BoxError> {
    let mut socket = send(to, request).await?;
    socket.shutdown().await?;
    let mut response = String::new();
    socket.read_to_string(&mut response).await?;
    parse_response(&response)
}

/// Sends a request and resets the connection after a part of the maximum delay, from 0 to 1.
pub(super) async fn post_and_reset(to: SocketAddr, request: &PlayRequest, part: f64) -> Result<(), BoxError> {
    let socket = send(to, request).await?;
    sleep(Duration::from_secs_f64(MAX_RESET_DELAY_S * part)).await;
    Ok(socket.set_zero_linger()?)
}

/// Parses the body of a response, after any interim responses. More than one final response is an error.
fn parse_response(response: &str) -> Result<PlayResponse, BoxError> {
    let mut parts = response.split("\r\n\r\n").skip_while(|part| part.starts_with("HTTP/1.1 1"));
    let (head, body) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    if !head.starts_with("HTTP/1.1 ") || parts.next().is_some() {
        return Err("not one response".into());
    }
    Ok(serde_json::from_str(body)?)
}
