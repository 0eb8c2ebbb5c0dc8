//! What measurements share: child processes of this program, a fleet of stand-ins without delays, `/proc`.

use crate::Outcome;
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

#[derive(Deserialize)]
struct Listening {
    listening: SocketAddr,
}

/// A child process of this program that listens; ended when dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
}

type Failed = Box<dyn std::error::Error + Send + Sync>;

impl Process {
    /// Starts this program with these arguments and waits for the line that says where it listens.
    pub fn start(args: &[&str]) -> Result<Process, Failed> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        match serde_json::from_str::<Listening>(&line) {
            Ok(said) => Ok(Process { child, address: said.listening }),
            Err(_) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(format!("`lemontide {}` did not say where it listens", args.join(" ")).into())
            }
        }
    }

    pub fn id(&self) -> i32 {
        self.child.id() as i32
    }

    /// Resident memory in bytes, and CPU seconds spent so far.
    pub fn usage(&self) -> Result<(f64, f64), Failed> {
        let stat = procfs::process::Process::new(self.id())?.stat()?;
        let ticks = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
        Ok(((stat.rss * procfs::page_size()) as f64, ticks))
    }

    /// A controller's own figures.
    pub fn state(&self) -> Result<ControllerState, Failed> {
        get(self.address, "/v1/state")
    }
}

/// What a controller says under a path.
pub fn get<T: serde::de::DeserializeOwned>(from: SocketAddr, path: &str) -> Result<T, Failed> {
    let mut socket = TcpStream::connect(from)?;
    socket.set_read_timeout(Some(Duration::from_secs(10)))?;
    socket.write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    socket.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no answer in HTTP")?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(format!("{from}{path}: {}", head.lines().next().unwrap_or("")).into());
    }
    Ok(serde_json::from_str(body)?)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fleet whose set-ups take no time and whose links hold all that is asked.
pub fn roomy_day(controllers: usize, streamers: usize) -> Result<Day, Failed> {
    let streamer =
        |i: usize| json!({"name": format!("s{i}"), "zone": "here", "cell": i, "weight": 1, "link_kb": 1e9});
    let day = json!({
        "name": "roomy", "seed": 1, "length_s": 1, "zones": ["here"],
        "controllers": vec!["here"; controllers],
        "streamers": (0..streamers).map(streamer).collect::<Vec<_>>(),
        "uplinks_kb": [1e9, 1e9], "kind": "std", "places": 100_000, "kb_per_weight": 1e9, "cells": streamers,
        "titles": (0..streamers * 5)
            .map(|i| (format!("t{i}"), json!({"home": i % streamers, "copies": 3.min(streamers), "share": 1})))
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

/// Writes the list of a running fleet.
pub fn write_list(day: &Day, fleet: &Fleet, file: &Path) -> Result<(), Failed> {
    let list = day.first_list(&fleet.addresses);
    Ok(replace(file, &serde_json::to_vec(&list)?)?)
}

/// Serves the same answer to every wish, by the controller's own HTTP stack, until it is ended.
pub fn constant() -> Outcome {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", json!({"listening": listener.local_addr()?}));
        let said = || PlayResponse::Plays {
            request_id: "a".into(),
            session: 1,
            streamer: "s0".into(),
            address: "127.0.0.1:1".into(),
            rung: 0,
            rate_kb: 200.0,
        };
        let routes = Router::new()
            .route("/v1/subscriptions", post(move |_: axum::body::Bytes| async move { Json(said()) }))
            .route("/v1/subscriptions/{id}", delete(|| async { axum::http::StatusCode::NO_CONTENT }));
        let bounds = ConnectionLimits {
            max_connections: 10_000,
            max_per_network: 10_000,
            prefix_bits_v4: 24,
            prefix_bits_v6: 56,
        };
        let long = Duration::from_secs(60);
        let limits = HttpLimits {
            connections: bounds,
            request_timeout: Duration::from_secs(5),
            idle_timeout: long,
            write_timeout: long,
        };
        accept_loop(
            listener,
            routes,
            limits,
            Arc::new(ConnectionRegistry::new(Clock::start(), bounds)),
            None,
        )
        .await;
        Ok(ExitCode::SUCCESS)
    })
}
