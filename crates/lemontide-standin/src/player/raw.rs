//! Wishes over sockets of their own, by players that close their half of the connection or reset it.

use super::BoxError;
use lemontide_wire::play::{PlayRequest, PlayResponse};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A connection is reset this soon behind its wish at the latest, in seconds.
const RESET_WITHIN: f64 = 0.1;

async fn send(to: SocketAddr, wish: &PlayRequest) -> Result<TcpStream, BoxError> {
    let body = serde_json::to_string(wish)?;
    let head = format!(
        "POST /v1/subscriptions HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut socket = TcpStream::connect(to).await?;
    socket.write_all((head + &body).as_bytes()).await?;
    Ok(socket)
}

/// Sends a wish, closes the own half of the connection and waits for the answer.
pub(super) async fn post_and_close_half(
    to: SocketAddr,
    wish: &PlayRequest,
) -> Result<PlayResponse, BoxError> {
    let mut socket = send(to, wish).await?;
    socket.shutdown().await?;
    let mut response = String::new();
    socket.read_to_string(&mut response).await?;
    answer(&response)
}

/// Sends a wish and resets the connection after a part of the time in which that happens.
pub(super) async fn post_and_reset(to: SocketAddr, wish: &PlayRequest, part: f64) -> Result<(), BoxError> {
    let socket = send(to, wish).await?;
    sleep(Duration::from_secs_f64(RESET_WITHIN * part)).await;
    Ok(socket.set_zero_linger()?)
}

/// The answer in a whole response, behind what is interim. An error where there is more than one response.
fn answer(response: &str) -> Result<PlayResponse, BoxError> {
    let mut parts = response.split("\r\n\r\n").skip_while(|part| part.starts_with("HTTP/1.1 1"));
    let (head, body) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    if !head.starts_with("HTTP/1.1 ") || parts.next().is_some() {
        return Err("not one response".into());
    }
    Ok(serde_json::from_str(body)?)
}
