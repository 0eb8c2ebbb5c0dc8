//! The controller's main loop on the platform. Sockets, signals and the list are served by tasks that report to one
//! loop, on one thread, which owns the dispatcher; the loop passes the dispatcher's effects on to the tasks that own
//! the sockets.

use crate::config::{Config, Environment, ListUpdate};
use crate::dispatcher::{Dispatcher, DispatcherSettings, Effect, OutboundMessage};
use crate::reader::ReadMemory;
use crate::replies::Departure;
use crate::streamers::Close;
use crate::viewers::{Command, Outgoing};
use crate::{journal, streamers, viewers};
use futures::FutureExt;
use lemontide::clock::{Point, Span};
use lemontide::interface::{get_number, get_text, ControllerSettings};
use lemontide::log_values::Logged;
use lemontide_front::core::{Connection, QueuedMessage};
use lemontide_wire::clock::Clock;
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Capacity of the channels that carry reports to the loop; a connection whose report finds no room is not read until
/// there is room again.
const REPORT_QUEUE_CAPACITY: usize = 256;
/// Reports handled from one source per turn of the loop, and requests that wait for a decision.
const MAX_REPORTS_PER_TURN: usize = 128;
/// Messages that can wait for a viewers' connection; one that would exceed this is dropped, as its client does not
/// read.
const VIEWER_QUEUE_CAPACITY: usize = 1024;
/// Batches that can wait for a streamer's connection.
const BATCH_QUEUE_CAPACITY: usize = 4;
/// Descriptors that belong to neither viewers nor streamers: those of the runtime, the listener, the journal service
/// and the logs.
const RESERVED_DESCRIPTORS: usize = 24;
/// How many viewers' connections can be closed and still read for a moment: this number, which is part of the
/// reserved descriptors, or the part of all descriptors below where that is more. With too few, a large number of
/// silent clients is closed only a few at a time, and clients with requests wait behind it.
const MIN_CLOSING_CONNECTIONS: usize = 8;
/// One in so many of all descriptors.
const CLOSING_DESCRIPTORS_DIVISOR: usize = 16;
/// Maximum number of sessions and open requests. Guards against memory filled by clients that only send requests.
const MAX_SESSIONS: usize = 4096;
/// Seconds after which streamers close an idle connection, if the settings don't contain it.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;
/// The part of that time after which this end closes an idle connection.
const OWN_IDLE_TIMEOUT_PART: f64 = 0.8;
/// A stopping process without requests or sessions ends no sooner than this: new set-ups can be received for as long.
const MIN_STOP_TIME: Span = Span::of_millis(1200);
/// Time for the last messages to be sent. Without it the last answer of a stopping process is lost, as the task that
/// writes it ends with the process.
const LAST_MESSAGES_TIME: Span = Span::of_millis(300);
/// A timer that fires this late shows that the process was stalled; it first reads what its sockets hold. The timer
/// fires ten times a second, so that every stall that matters is noticed.
const STALL_THRESHOLD: Span = Span::of_millis(5);
/// How often clients' messages are read again after a stall before any is decided.
const MAX_READS_AFTER_STALL: u32 = 32;
/// Pause after an accept that found no free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// A configuration that can't be read is read again after this time. Guards against a file that is being written when
/// SIGHUP is received: no other signal would follow, and the new list would be missed.
const CONFIG_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How often such a configuration is read again.
const MAX_CONFIG_RETRIES: u32 = 10;

/// The settings that the dispatcher itself needs. An error names the setting that is not valid.
pub fn dispatcher_settings(
    controller_settings: &ControllerSettings,
    settings: &serde_json::Value,
    sockets: usize,
) -> Result<DispatcherSettings, String> {
    let names = |list: &'static str| {
        (0..).map_while(move |i| {
            Some((i, get_text(controller_settings, &format!("{list}.{i}.name"))?.to_owned()))
        })
    };
    let deadline =
        |i| Span::of(get_number(controller_settings, &format!("lanes.{i}.cut_off")).unwrap_or_default());
    let limit = |name: &str| {
        let value = settings.pointer(&format!("/policy_limits/{name}")).and_then(|v| v.as_f64());
        let positive = value.filter(|value| *value > 0.0);
        positive.ok_or_else(|| format!("policy_limits.{name}: missing or not valid; give a number above 0"))
    };
    Ok(DispatcherSettings {
        classes: names("lanes").map(|(i, name)| (name, deadline(i))).collect(),
        tenants: names("tenants").map(|(_, name)| name).collect(),
        cells: get_number(controller_settings, "cells").unwrap_or(1.0).max(1.0) as usize,
        rungs: lemontide::interface::get_numbers(controller_settings, "ladder.kb").len().max(1),
        dial_timeout: Span::of(limit("dial_timeout")?),
        max_set_ups_per_link: limit("streams_per_conn")?.max(1.0) as usize,
        // A third of the descriptors is for connections to streamers.
        max_connections: sockets / 3,
        max_idle: Span::of(limit("conn_idle").unwrap_or(DEFAULT_IDLE_TIMEOUT_S) * OWN_IDLE_TIMEOUT_PART),
        max_tracked: MAX_SESSIONS,
    })
}

/// Runs a controller until the platform stops it.
pub fn run() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let environment = Environment::read()?;
    let mut config = Config::read(&environment.config_path)?;
    config.listen = environment.listen.unwrap_or(config.listen);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(config.listen).await.map_err(|e| {
            format!("{}: {e}; RELAY_LISTEN must be a free address of this machine", config.listen)
        })?;
        // The loop is a spawned task like those of the connections: each message wakes it, and waking the future that
        // the runtime blocks on costs system calls.
        Ok(tokio::spawn(serve(listener, config, Some(environment.config_path))).await??)
    })
}

/// The channels to the task of a streamer's connection. The connection closes at the latest when they are dropped.
struct StreamerConnection {
    batches: mpsc::Sender<Vec<QueuedMessage<OutboundMessage>>>,
    close: oneshot::Sender<Close>,
}

/// The channels to the tasks that own the sockets, by the ids that the dispatcher uses.
struct Sockets {
    clock: Clock,
    dial_timeout: Duration,
    viewers: HashMap<u64, mpsc::Sender<Command>>,
    /// The tasks of viewers' connections; they run on after the loop until the last answer is written.
    viewer_tasks: JoinSet<()>,
    streamers: HashMap<Connection, StreamerConnection>,
    viewer_reports: mpsc::Sender<viewers::Report>,
    streamer_reports: mpsc::Sender<streamers::Report>,
    read_memory: ReadMemory,
}

impl Sockets {
    /// Carries out the dispatcher's effects; returns whether a message was passed to a viewers' connection.
    fn carry_out(&mut self, now: Point, dispatcher: &mut Dispatcher) -> bool {
        let mut is_passed_on = false;
        while !dispatcher.effects.is_empty() {
            for effect in std::mem::take(&mut dispatcher.effects) {
                match effect {
                    Effect::SendToViewer { conn: connection_id, message, ends_session, reply, steps } => {
                        let outgoing = Box::new(Outgoing { message, ends_session, reply, steps });
                        let (is_full, unsent) = match self.viewers.get(&connection_id) {
                            None => (false, outgoing),
                            Some(commands) => match commands.try_send(Command::Send(outgoing)) {
                                Ok(()) => {
                                    is_passed_on = true;
                                    continue;
                                }
                                Err(mpsc::error::TrySendError::Full(Command::Send(unsent))) => (true, unsent),
                                Err(mpsc::error::TrySendError::Closed(Command::Send(unsent))) => {
                                    (false, unsent)
                                }
                                Err(_) => continue,
                            },
                        };
                        if is_full {
                            // The client does not read its messages.
                            self.viewers.remove(&connection_id);
                        }
                        let departure = if is_full { Departure::NotReading } else { Departure::Closed };
                        dispatcher.on_viewer_gone(now, connection_id, departure);
                        dispatcher.on_unsent(now, connection_id, vec![*unsent]);
                    }
                    Effect::CloseIfIdle { conn: connection_id, messages_read } => {
                        // If the channel is full, the client does not read: the connection is not idle, and ends by
                        // itself.
                        if let Some(commands) = self.viewers.get(&connection_id) {
                            let _ = commands.try_send(Command::CloseIdle { received: messages_read });
                        }
                    }
                    Effect::Drain { conn: connection_id } => {
                        if let Some(commands) = self.viewers.get(&connection_id) {
                            let _ = commands.try_send(Command::Drain);
                        }
                    }
                    Effect::Dial { on, address } => self.dial(on, address),
                    Effect::Write { on, messages: orders } => {
                        // The dispatcher passes on one batch at a time, so the channel has room or is closed.
                        let _ = self.streamers.get(&on).map(|streamer| streamer.batches.try_send(orders));
                    }
                    Effect::Close { on, awaits_close } => {
                        if let Some(streamer) = self.streamers.remove(&on) {
                            let close = if awaits_close { Close::AwaitStreamer } else { Close::AtOnce };
                            let _ = streamer.close.send(close);
                        }
                    }
                }
            }
        }
        is_passed_on
    }

    fn dial(&mut self, connection: Connection, address: String) {
        let (batches, batch_receiver) = mpsc::channel(BATCH_QUEUE_CAPACITY);
        let (close, close_receiver) = oneshot::channel();
        self.streamers.insert(connection, StreamerConnection { batches, close });
        let dial = streamers::Dial { connection, address, timeout: self.dial_timeout };
        let reports = self.streamer_reports.clone();
        tokio::spawn(streamers::run(self.clock, dial, batch_receiver, close_receiver, reports));
    }

    fn handle_viewer_report(&mut self, now: Point, dispatcher: &mut Dispatcher, report: viewers::Report) {
        match report {
            viewers::Report::Received(message) => dispatcher.on_viewer_message(now, *message),
            viewers::Report::InputEnded { connection_id, reason } => {
                dispatcher.on_input_end(now, connection_id, reason)
            }
            viewers::Report::Closed { connection_id, departure, unwritten } => {
                self.viewers.remove(&connection_id);
                dispatcher.on_viewer_gone(now, connection_id, departure);
                dispatcher.on_unsent(now, connection_id, unwritten);
            }
            viewers::Report::Unread { connection_id, unread } => {
                dispatcher.on_unsent(now, connection_id, unread)
            }
        }
    }

    /// Handles what clients sent while this process did not run, as far as there is room, before any of it is decided.
    /// A client may have left meanwhile: where its socket is full, its close is received only behind what it sent.
    async fn read_after_stall(
        &mut self,
        now: Point,
        dispatcher: &mut Dispatcher,
        first: Option<viewers::Report>,
        reports: &mut mpsc::Receiver<viewers::Report>,
    ) {
        let mut next = first;
        for _ in 0..MAX_READS_AFTER_STALL {
            let mut is_empty = true;
            while dispatcher.undecided_count() < MAX_REPORTS_PER_TURN {
                let Some(report) = next.take().or_else(|| reports.try_recv().ok()) else { break };
                self.handle_viewer_report(now, dispatcher, report);
                is_empty = false;
            }
            dispatcher.end_closed_inputs(now);
            if is_empty {
                break;
            }
            tokio::task::yield_now().await;
        }
        if let Some(report) = next {
            self.handle_viewer_report(now, dispatcher, report);
        }
    }

    fn start_viewer(
        &mut self,
        now: Point,
        dispatcher: &mut Dispatcher,
        connection_id: u64,
        socket: TcpStream,
    ) {
        let (commands, command_receiver) = mpsc::channel(VIEWER_QUEUE_CAPACITY);
        self.viewers.insert(connection_id, commands);
        dispatcher.on_viewer_connected(now, connection_id);
        let (reports, replies) = (self.viewer_reports.clone(), dispatcher.replies().clone());
        self.viewer_tasks.spawn(viewers::run(
            self.clock,
            connection_id,
            socket,
            command_receiver,
            reports,
            replies,
            self.read_memory.clone(),
        ));
    }

    /// Closes every viewers' connection, after an answer to each request that was read on it by then.
    async fn drain(&mut self, dispatcher: &mut Dispatcher, reports: &mut mpsc::Receiver<viewers::Report>) {
        for commands in self.viewers.values() {
            let _ = commands.try_send(Command::Drain);
        }
        while !self.viewers.is_empty() {
            let Some(report) = reports.recv().await else { break };
            let now = Point::at(self.clock.now());
            self.handle_viewer_report(now, dispatcher, report);
            while dispatcher.decide_next(now) {}
            self.carry_out(now, dispatcher);
        }
        while self.viewer_tasks.join_next().await.is_some() {}
    }

    fn handle_streamer_report(&mut self, now: Point, dispatcher: &mut Dispatcher, report: streamers::Report) {
        match report {
            streamers::Report::Connected { connection } => dispatcher.on_connected(now, connection),
            streamers::Report::Written { connection, unsent } => {
                dispatcher.on_batch_written(now, connection, unsent)
            }
            streamers::Report::Received { connection, message } => {
                dispatcher.on_streamer_message(now, connection, message)
            }
            streamers::Report::Lost { connection, loss } => {
                dispatcher.on_connection_lost(now, connection, loss)
            }
            streamers::Report::Closed { connection, by_streamer } => {
                self.streamers.remove(&connection);
                dispatcher.on_connection_closed(now, connection, by_streamer);
            }
        }
    }
}

/// Serves on a listener until SIGTERM; the configuration file is read again on SIGHUP.
pub async fn serve(listener: TcpListener, config: Config, file: Option<PathBuf>) -> io::Result<()> {
    let mut reload = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let clock = Clock::start();
    let now = || Point::at(clock.now());
    let invalid_settings = |e: String| {
        let file = file.as_deref().unwrap_or_else(|| "configuration".as_ref()).display();
        io::Error::new(io::ErrorKind::InvalidData, format!("{file}: at settings.{e}"))
    };
    let controller_settings =
        lemontide_settings::parse_settings(&config.settings).map_err(invalid_settings)?;
    let settings = dispatcher_settings(&controller_settings, &config.settings, config.limits.sockets)
        .map_err(invalid_settings)?;
    let max_closing = (config.limits.sockets / CLOSING_DESCRIPTORS_DIVISOR).max(MIN_CLOSING_CONNECTIONS);
    let other_descriptors =
        RESERVED_DESCRIPTORS + settings.max_connections + max_closing - MIN_CLOSING_CONNECTIONS;
    let max_viewers = config.limits.sockets.saturating_sub(other_descriptors).max(1);
    // After this time every set-up that was accepted before the stop has its answer.
    let max_stop_time =
        settings.classes.iter().map(|class| class.1).fold(MIN_STOP_TIME, Span::max) + MIN_STOP_TIME;
    let (viewer_reports, mut viewer_report_receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let (streamer_reports, mut streamer_report_receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let (list_updates, mut list_update_receiver) = mpsc::channel::<ListUpdate>(REPORT_QUEUE_CAPACITY);
    let mut sockets = Sockets {
        clock,
        dial_timeout: Duration::from_secs_f64(settings.dial_timeout.seconds()),
        viewers: HashMap::new(),
        viewer_tasks: JoinSet::new(),
        streamers: HashMap::new(),
        viewer_reports,
        streamer_reports,
        read_memory: ReadMemory::default(),
    };
    let mut dispatcher = Dispatcher::new(now(), config.seed(), &controller_settings, settings);
    for event in &config.known.events {
        dispatcher.update_list(now(), &event.update);
    }
    let (journal_address, address_changes) = watch::channel(config.journal.clone());
    let journal = tokio::spawn(journal::follow(address_changes, config.known.position, list_updates));
    tracing::debug!(target: "config", settings = %config.settings, known = ?Logged(&config.known));
    tracing::info!(listen = %config.listen, streamers = dispatcher.streamer_count(), "serving");
    let mut last_connection_id = 0;
    // An accepted connection that waits for another one to close.
    let mut waiting_socket: Option<TcpStream> = None;
    // No connection is accepted until then.
    let mut accept_paused_until: Option<Instant> = None;
    // When the configuration is to be read again, and how many more times if it can't be read.
    let mut config_retry: Option<(Instant, u32)> = None;
    let mut stopping_since: Option<Point> = None;
    // Since when there has been no session and no request.
    let mut empty_since: Option<Point> = None;
    loop {
        sockets.carry_out(now(), &mut dispatcher);
        while sockets.viewer_tasks.try_join_next().is_some() {}
        empty_since = (dispatcher.tracked_count() == 0).then(|| empty_since.unwrap_or(now()));
        if let Some(since) = stopping_since {
            let stop_time = now() - since;
            // A release that waits for a connection would be lost with the process.
            let is_all_sent = !dispatcher.owes_release()
                && empty_since.is_some_and(|since| now() - since >= LAST_MESSAGES_TIME);
            let owes_nothing = dispatcher.replies().open_count() == 0;
            if owes_nothing && (stop_time >= MIN_STOP_TIME && is_all_sent || stop_time >= max_stop_time) {
                break;
            }
        }
        let wait_start = now();
        let next_tick =
            Instant::from_std(clock.instant(lemontide_front::core::seconds(dispatcher.next_tick())));
        let next_timer = config_retry.map_or(next_tick, |(at, _)| at.min(next_tick));
        let can_accept =
            waiting_socket.is_none() && accept_paused_until.is_none_or(|until| Instant::now() >= until);
        let mut viewer_report = None;
        let mut streamer_report = None;
        let mut list_update = None;
        let mut accepted = None;
        tokio::select! {
            biased;
            Some(()) = terminate.recv() => {
                tracing::info!(in_hand = dispatcher.tracked_count(), "stopping");
                stopping_since.get_or_insert(now());
                dispatcher.stop(now());
            }
            Some(()) = reload.recv() => config_retry = Some((Instant::now(), MAX_CONFIG_RETRIES)),
            Some(report) = viewer_report_receiver.recv(), if dispatcher.undecided_count() < MAX_REPORTS_PER_TURN => {
                viewer_report = Some(report)
            }
            Some(report) = streamer_report_receiver.recv() => streamer_report = Some(report),
            Some(update) = list_update_receiver.recv() => list_update = Some(update),
            result = listener.accept(), if can_accept => accepted = Some(result),
            // Everything that was received is handled before the next request is decided.
            () = tokio::task::yield_now(), if dispatcher.undecided_count() > 0 => {}
            () = sleep_until(next_timer) => {}
        }
        let stall =
            Some(now() - dispatcher.next_tick().max(wait_start)).filter(|stall| *stall >= STALL_THRESHOLD);
        if stall.is_some() {
            // Everything that was received during the stall is handled before anything is decided: a viewer that
            // left, the end of an attempt, a drain. In the first turn of the runtime the tasks of the sockets become
            // ready, in the second they report what they read.
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
        }
        dispatcher.set_read_delay(stall.unwrap_or(Span::ZERO));
        if stall.is_some() {
            let first = viewer_report.take();
            sockets.read_after_stall(now(), &mut dispatcher, first, &mut viewer_report_receiver).await;
        }
        let mut is_passed_on = false;
        // Each source has its share of every turn, so that a flood from one delays none of the others. Viewers are
        // served first, as a viewer that leaves ends a request that would otherwise be sent on. The timer is served
        // last, as something that it would find overdue may have been received.
        for _ in 0..MAX_REPORTS_PER_TURN {
            // Requests beyond those that can wait for a decision stay in their own connections.
            let has_room = dispatcher.undecided_count() < MAX_REPORTS_PER_TURN;
            let next = viewer_report
                .take()
                .or_else(|| has_room.then(|| viewer_report_receiver.try_recv().ok()).flatten());
            let Some(report) = next else { break };
            sockets.handle_viewer_report(now(), &mut dispatcher, report);
        }
        for _ in 0..MAX_REPORTS_PER_TURN {
            let next = list_update.take().or_else(|| list_update_receiver.try_recv().ok());
            let Some(update) = next else { break };
            dispatcher.update_list(now(), &update);
        }
        for _ in 0..MAX_REPORTS_PER_TURN {
            let next = streamer_report.take().or_else(|| streamer_report_receiver.try_recv().ok());
            let Some(report) = next else { break };
            sockets.handle_streamer_report(now(), &mut dispatcher, report);
            is_passed_on |= sockets.carry_out(now(), &mut dispatcher);
        }
        dispatcher.set_read_delay(Span::ZERO);
        if now() >= dispatcher.next_tick() {
            dispatcher.tick(now());
        }
        // Answers are sent before a request is decided, and one request is decided per turn. Guards against answers
        // that wait during a full turn, while their viewer can leave or its time can run out.
        if dispatcher.undecided_count() > 0 {
            if sockets.carry_out(now(), &mut dispatcher) || is_passed_on {
                tokio::task::yield_now().await;
            }
            dispatcher.decide_next(now());
        }
        for _ in 0..MAX_REPORTS_PER_TURN {
            if let Some(socket) = waiting_socket.take() {
                let (open, tasks) = (sockets.viewers.len(), sockets.viewer_tasks.len());
                if open >= max_viewers || tasks >= max_viewers + max_closing {
                    // No connection is refused while an idle one can be closed for it, and none on which an answer is
                    // owed is closed.
                    if open >= max_viewers {
                        dispatcher.close_idle_connection();
                    }
                    waiting_socket = Some(socket);
                    break;
                }
                last_connection_id += 1;
                sockets.start_viewer(now(), &mut dispatcher, last_connection_id, socket);
            }
            match accepted.take().or_else(|| listener.accept().now_or_never()) {
                Some(Ok((socket, _))) => waiting_socket = Some(socket),
                Some(Err(e)) => {
                    // Out of descriptors: an idle connection is closed, and others get time to end.
                    tracing::warn!(error = %e, "can't accept a connection");
                    dispatcher.close_idle_connection();
                    accept_paused_until = Some(Instant::now() + ACCEPT_PAUSE);
                    break;
                }
                None => break,
            }
        }
        if let (Some((at, retries_left)), Some(file)) = (config_retry, &file) {
            if Instant::now() >= at {
                config_retry = match Config::read(file) {
                    Ok(config) => {
                        tracing::info!(journal = config.journal, "configuration read again");
                        let _ = journal_address.send(config.journal);
                        None
                    }
                    Err(e) => {
                        tracing::error!(error = e, "can't read the configuration; it stays as it was");
                        (retries_left > 0).then(|| (Instant::now() + CONFIG_RETRY_INTERVAL, retries_left - 1))
                    }
                };
            }
        }
    }
    journal.abort();
    drop(listener);
    let _ = tokio::time::timeout(
        viewers::WRITE_TIMEOUT,
        sockets.drain(&mut dispatcher, &mut viewer_report_receiver),
    )
    .await;
    Ok(())
}
