//! Shared parts of the measurements: child processes of this program with their usage from `/proc`, a simulated fleet
//! without delays, and the server of a constant response.

use crate::{BoxError, CommandResult};
use axum::routing::{delete, post};
use axum::{Json, Router};
use lemontide_front::connections::{accept_loop, ConnectionRegistry, HttpLimits};
use lemontide_front::events::ControllerState;
use lemontide_shed::connection_limits::ConnectionLimits;
use lemontide_standin::day::Day;
use lemontide_standin::run::replace;
use lemontide_standin::streamer::Fleet;
use lemontide_wire::clock::Clock;
use lemontide_wire::play::PlayResponse;
use serde::Deserialize;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// The line that a controller prints once it listens.
#[derive(Deserialize)]
struct ListeningLine {
    listening: SocketAddr,
}

/// A child process of this program that listens; it is killed when dropped.
pub struct Process {
    child: Child,
    /// The address that it listens on.
    pub address: SocketAddr,
}

impl Process {
    /// Starts this program with these arguments and waits for the line with the address that it listens on.
    pub fn start(args: &[&str]) -> Result<Process, BoxError> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        match serde_json::from_str::<ListeningLine>(&line) {
            Ok(printed) => Ok(Process { child, address: printed.listening }),
            Err(_) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(format!("`lemontide {}` did not print the address that it listens on", args.join(" "))
                    .into())
            }
        }
    }

    /// The process id.
    pub fn id(&self) -> i32 {
        self.child.id() as i32
    }

    /// Resident memory in bytes, and CPU seconds used so far.
    pub fn usage(&self) -> Result<(f64, f64), BoxError> {
        let stat = procfs::process::Process::new(self.id())?.stat()?;
        let cpu_s = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
        Ok(((stat.rss * procfs::page_size()) as f64, cpu_s))
    }

    /// The state that the controller reports.
    pub fn state(&self) -> Result<ControllerState, BoxError> {
        get_json(self.address, "/v1/state")
    }
}

/// Fetches the JSON that a controller serves under a path.
pub fn get_json<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, BoxError> {
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(Duration::from_secs(10)))?;
    socket.write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes())?;
    let mut response = String::new();
    socket.read_to_string(&mut response)?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or("the answer is not HTTP")?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(format!("{address}{path}: {}", head.lines().next().unwrap_or("")).into());
    }
    Ok(serde_json::from_str(body)?)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A day whose streamers set up sessions without delay and have links with more capacity than any load needs.
pub fn unlimited_capacity_day(controllers: usize, streamers: usize) -> Result<Day, BoxError> {
    let streamer = |index: usize| json!({"name": format!("s{index}"), "zone": "here", "cell": index, "weight": 1, "link_kb": 1e9});
    let day = json!({
        "name": "roomy", "seed": 1, "length_s": 1, "zones": ["here"],
        "controllers": vec!["here"; controllers],
        "streamers": (0..streamers).map(streamer).collect::<Vec<_>>(),
        "uplinks_kb": [1e9, 1e9], "kind": "std", "places": 100_000, "kb_per_weight": 1e9, "cells": streamers,
        "titles": (0..streamers * 5)
            .map(|index| (format!("t{index}"), json!({"home": index % streamers, "copies": 3.min(streamers), "share": 1})))
            .collect::<serde_json::Map<_, _>>(),
        "lanes": [{"name": "paid", "gain": 1, "latency_goal_s": 1, "cut_off_s": 5, "repeat": "paid", "share": 1,
                   "watched_s": [600, 600], "set_up_s": 0}],
        "ladder": {"kb": [200, 400, 800], "gain": [0.3, 0.6, 1.0]}, "shortfall_cost": 7,
        "viewers": {"per_s": 1, "returns": 0, "rejoin_s": 1},
        "reports": {"age_s": 0.5, "every_s": 3},
        "news": {"ended_s": 1, "silent_s": 5, "started_s": 1}, "shots": {"most": 3},
        "retry_after": {"allowed": true, "longest_s": 0.5},
        "cold": {"span_s": 0, "from": 1, "multiple": 2, "window_s": 1},
        "links": {"dial_timeout_s": 0.25}, "rules": {"answer_slack_s": 0.5, "drain_grace_s": 0.5}
    });
    Ok(serde_json::from_value(day)?)
}

/// Writes the list of the streamers of a running fleet.
pub fn write_list(day: &Day, fleet: &Fleet, file: &Path) -> Result<(), BoxError> {
    let list = day.first_list(&fleet.addresses);
    Ok(replace(file, &serde_json::to_vec(&list)?)?)
}

/// Serves the same response to every request, with the controller's own HTTP stack, until it is killed.
pub fn serve_constant_response() -> CommandResult {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", json!({"listening": listener.local_addr()?}));
        let response = || PlayResponse::Plays {
            request_id: "a".into(),
            session: 1,
            streamer: "s0".into(),
            address: "127.0.0.1:1".into(),
            rung: 0,
            rate_kb: 200.0,
        };
        let routes = Router::new()
            .route("/v1/subscriptions", post(move |_: axum::body::Bytes| async move { Json(response()) }))
            .route("/v1/subscriptions/{id}", delete(|| async { axum::http::StatusCode::NO_CONTENT }));
        let limits = ConnectionLimits {
            max_connections: 10_000,
            max_per_network: 10_000,
            prefix_bits_v4: 24,
            prefix_bits_v6: 56,
        };
        let connection_timeout = Duration::from_secs(60);
        let http_limits = HttpLimits {
            connections: limits,
            request_timeout: Duration::from_secs(5),
            idle_timeout: connection_timeout,
            write_timeout: connection_timeout,
        };
        accept_loop(
            listener,
            routes,
            http_limits,
            Arc::new(ConnectionRegistry::new(Clock::start(), limits)),
            None,
        )
        .await;
        Ok(ExitCode::SUCCESS)
    })
}
