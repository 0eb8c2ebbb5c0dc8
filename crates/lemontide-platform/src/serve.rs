//! Ties the controller together on the platform: sockets, signals and the list come to one loop that owns the dispatcher,
//! on one thread; what the dispatcher wants done goes out to the tasks that own the sockets.

use crate::config::{Config, Environment, Hosts};
use crate::dispatcher::{Dispatcher, DispatcherSettings, Effect, OutboundMessage};
use crate::replies::Departure;
use crate::streamers::Close;
use crate::viewers::{Command, Outgoing};
use crate::{journal, streamers, viewers};
use futures::FutureExt;
use lemontide::clock::{Point, Span};
use lemontide::interface::{get_number, get_text, ControllerSettings};
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

/// Reports that wait for the loop; a connection whose report finds no room is not read on until it does.
const REPORTS_MOST: usize = 256;
/// Reports taken between two looks at the timers.
const ROUND: usize = 128;
/// Messages that wait for a viewers' connection before it is cut off, and batches for a streamer's.
const SAY_MOST: usize = 1024;
const ORDERS_MOST: usize = 4;
/// Descriptors that are neither viewers' nor streamers': the runtime's, the listener, the journal service, logs.
const OWN_SOCKETS: usize = 24;
/// Viewers' connections that are closed and still read for a moment: so many of the descriptors above, or this part of
/// all where that is more. Symptom: a crowd that says nothing is let go a few at a time, and who asks waits behind it.
const CLOSING_LEAST: usize = 8;
const CLOSING_PART: usize = 16;
/// Subscriptions and wishes in hand at most. Guards against memory filled by those who only ask.
const HELD_MOST: usize = 4096;
/// Seconds after which streamers close an idle connection, where the settings don't say, and the part of that after
/// which this end does.
const IDLE: f64 = 15.0;
const IDLE_PART: f64 = 0.8;
/// With nothing left in hand, a stopping process goes no sooner than this: new set-ups come for as long.
const STOP_LEAST: Span = Span::of_millis(1200);
/// What was said last gets so long to leave. Symptom: the last answer of a stopping process is lost, as the task that
/// writes it ends with the process.
const LAST_WORDS: Span = Span::of_millis(300);
/// A timer that fires so late says that this process stood still, and hears first what its sockets hold. The timer
/// fires ten times a second, so a stop that matters to anybody is seen.
const STOOD_STILL: Span = Span::of_millis(5);
/// After an accept that found no descriptor.
const ACCEPT_REST: Duration = Duration::from_millis(5);
/// A configuration that can't be read is read again after so long, so many times. Guards against one that is being
/// written when SIGHUP comes: nobody would tell of the new list otherwise.
const READ_AGAIN: Duration = Duration::from_millis(100);
const READ_AGAIN_MOST: u32 = 10;

/// What the dispatcher itself needs to know of the settings; an error names the one that can't be used.
pub fn terms(
    sheet: &ControllerSettings,
    settings: &serde_json::Value,
    sockets: usize,
) -> Result<DispatcherSettings, String> {
    let named = |list: &'static str| {
        (0..).map_while(move |i| Some((i, get_text(sheet, &format!("{list}.{i}.name"))?.to_owned())))
    };
    let cut_off = |i| Span::of(get_number(sheet, &format!("lanes.{i}.cut_off")).unwrap_or_default());
    let limit = |name: &str| {
        let value = settings.pointer(&format!("/policy_limits/{name}")).and_then(|v| v.as_f64());
        let above = value.filter(|value| *value > 0.0);
        above.ok_or_else(|| format!("policy_limits.{name}: missing or not usable; give a number above 0"))
    };
    Ok(DispatcherSettings {
        classes: named("lanes").map(|(i, name)| (name, cut_off(i))).collect(),
        tenants: named("tenants").map(|(_, name)| name).collect(),
        cells: get_number(sheet, "cells").unwrap_or(1.0).max(1.0) as usize,
        rungs: lemontide::interface::get_numbers(sheet, "ladder.kb").len().max(1),
        dial_timeout: Span::of(limit("dial_timeout")?),
        max_set_ups_per_link: limit("streams_per_conn")?.max(1.0) as usize,
        // Viewers hold a third of the descriptors at most; as many again are for the streamers.
        max_connections: sockets / 3,
        max_idle: Span::of(limit("conn_idle").unwrap_or(IDLE) * IDLE_PART),
        max_tracked: HELD_MOST,
    })
}

/// Runs one controller until the platform stops it.
pub fn run() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let environment = Environment::read()?;
    let mut config = Config::read(&environment.config)?;
    config.listen = environment.listen.unwrap_or(config.listen);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(config.listen).await.map_err(|e| {
            format!("{}: {e}; RELAY_LISTEN must be a free address of this machine", config.listen)
        })?;
        // A task like those of the connections: to wake the future that the runtime blocks on costs system calls, and
        // each message does.
        Ok(tokio::spawn(serve(listener, config, Some(environment.config))).await??)
    })
}

/// A streamer's connection: where batches for it go, and what closes it, at the latest when dropped.
struct Orders {
    batches: mpsc::Sender<Vec<QueuedMessage<OutboundMessage>>>,
    close: oneshot::Sender<Close>,
}

/// The tasks that own the sockets, by what the dispatcher calls them.
struct Sockets {
    clock: Clock,
    dial_timeout: Duration,
    viewers: HashMap<u64, mpsc::Sender<Command>>,
    /// The tasks of viewers' connections: they outlast the loop until the last answer is out.
    writing: JoinSet<()>,
    links: HashMap<Connection, Orders>,
    from_viewers: mpsc::Sender<viewers::Report>,
    from_streamers: mpsc::Sender<streamers::Report>,
}

impl Sockets {
    /// Does what the dispatcher left to be done; whether anything was handed to a viewers' connection.
    fn carry_out(&mut self, now: Point, dispatcher: &mut Dispatcher) -> bool {
        let mut handed = false;
        while !dispatcher.effects.is_empty() {
            for effect in std::mem::take(&mut dispatcher.effects) {
                match effect {
                    Effect::SendToViewer { conn, message, ends_session: stood, reply, steps } => {
                        let said = Box::new(Outgoing { message, stood, reply, steps });
                        let (full, said) = match self.viewers.get(&conn) {
                            None => (false, said),
                            Some(commands) => match commands.try_send(Command::Say(said)) {
                                Ok(()) => {
                                    handed = true;
                                    continue;
                                }
                                Err(mpsc::error::TrySendError::Full(Command::Say(said))) => (true, said),
                                Err(mpsc::error::TrySendError::Closed(Command::Say(said))) => (false, said),
                                Err(_) => continue,
                            },
                        };
                        if full {
                            // It does not read what is said to it.
                            self.viewers.remove(&conn);
                        }
                        let why = if full { Departure::NotReading } else { Departure::Closed };
                        dispatcher.on_viewer_gone(now, conn, why);
                        dispatcher.on_unsent(now, vec![*said]);
                    }
                    Effect::CloseIfIdle { conn, messages_read: heard } => {
                        // One that does not read is not idle, and ends by itself.
                        if let Some(commands) = self.viewers.get(&conn) {
                            let _ = commands.try_send(Command::Retire { heard });
                        }
                    }
                    Effect::Drain { conn } => {
                        if let Some(commands) = self.viewers.get(&conn) {
                            let _ = commands.try_send(Command::Drain);
                        }
                    }
                    Effect::Dial { on, address } => self.dial(on, address),
                    Effect::Write { on, messages: orders } => {
                        // The dispatcher hands over one batch at a time: there is always room, or nobody is left.
                        let _ = self.links.get(&on).map(|wire| wire.batches.try_send(orders));
                    }
                    Effect::Close { on, awaits_close } => {
                        if let Some(wire) = self.links.remove(&on) {
                            let how = if awaits_close { Close::AwaitStreamer } else { Close::AtOnce };
                            let _ = wire.close.send(how);
                        }
                    }
                }
            }
        }
        handed
    }

    fn dial(&mut self, on: Connection, address: String) {
        let (batches, ordered) = mpsc::channel(ORDERS_MOST);
        let (close, closed) = oneshot::channel();
        self.links.insert(on, Orders { batches, close });
        let to = streamers::Dial { on, address, timeout: self.dial_timeout };
        tokio::spawn(streamers::run(self.clock, to, ordered, closed, self.from_streamers.clone()));
    }

    fn of_viewer(&mut self, now: Point, dispatcher: &mut Dispatcher, report: viewers::Report) {
        match report {
            viewers::Report::Received(heard) => dispatcher.on_viewer_message(now, *heard),
            viewers::Report::InputOver { conn, why } => dispatcher.on_input_end(now, conn, why),
            viewers::Report::Gone { conn, why, unsaid } => {
                self.viewers.remove(&conn);
                dispatcher.on_viewer_gone(now, conn, why);
                dispatcher.on_unsent(now, unsaid);
            }
            viewers::Report::Unread { unread } => dispatcher.on_unsent(now, unread),
        }
    }

    fn viewer_comes(&mut self, now: Point, dispatcher: &mut Dispatcher, conn: u64, socket: TcpStream) {
        let (commands, said) = mpsc::channel(SAY_MOST);
        self.viewers.insert(conn, commands);
        dispatcher.on_viewer_connected(now, conn);
        let (reports, replies) = (self.from_viewers.clone(), dispatcher.replies().clone());
        self.writing.spawn(viewers::run(self.clock, conn, socket, said, reports, replies));
    }

    /// Closes every viewers' connection, with an answer to each request that was read on it by then.
    async fn drain(&mut self, dispatcher: &mut Dispatcher, reports: &mut mpsc::Receiver<viewers::Report>) {
        for commands in self.viewers.values() {
            let _ = commands.try_send(Command::Drain);
        }
        while !self.viewers.is_empty() {
            let Some(report) = reports.recv().await else { break };
            let now = Point::at(self.clock.now());
            self.of_viewer(now, dispatcher, report);
            while dispatcher.decide_next(now) {}
            self.carry_out(now, dispatcher);
        }
        while self.writing.join_next().await.is_some() {}
    }

    fn of_streamer(&mut self, now: Point, dispatcher: &mut Dispatcher, report: streamers::Report) {
        match report {
            streamers::Report::Linked { on } => dispatcher.on_connected(now, on),
            streamers::Report::Wrote { on, unsent } => dispatcher.on_batch_written(now, on, unsent),
            streamers::Report::Told { on, message } => dispatcher.on_streamer_message(now, on, message),
            streamers::Report::Lost { on, loss } => dispatcher.on_connection_lost(now, on, loss),
            streamers::Report::Closed { on, by_streamer } => {
                self.links.remove(&on);
                dispatcher.on_connection_closed(now, on, by_streamer);
            }
        }
    }
}

/// Serves on a listener until SIGTERM; `file` is read again on SIGHUP.
pub async fn serve(listener: TcpListener, config: Config, file: Option<PathBuf>) -> io::Result<()> {
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let clock = Clock::start();
    let now = || Point::at(clock.now());
    let unusable = |e: String| {
        let file = file.as_deref().unwrap_or_else(|| "configuration".as_ref()).display();
        io::Error::new(io::ErrorKind::InvalidData, format!("{file}: at settings.{e}"))
    };
    let sheet = lemontide_settings::parse_settings(&config.settings).map_err(unusable)?;
    let terms = terms(&sheet, &config.settings, config.limits.sockets).map_err(unusable)?;
    let closing_most = (config.limits.sockets / CLOSING_PART).max(CLOSING_LEAST);
    let others_most = OWN_SOCKETS + terms.max_connections + closing_most - CLOSING_LEAST;
    let viewers_most = config.limits.sockets.saturating_sub(others_most).max(1);
    // By then every set-up that was taken before the last call has its answer.
    let stop_most = terms.classes.iter().map(|lane| lane.1).fold(STOP_LEAST, Span::max) + STOP_LEAST;
    let (from_viewers, mut viewers_said) = mpsc::channel(REPORTS_MOST);
    let (from_streamers, mut streamers_said) = mpsc::channel(REPORTS_MOST);
    let (news, mut list) = mpsc::channel::<Hosts>(REPORTS_MOST);
    let mut sockets = Sockets {
        clock,
        dial_timeout: Duration::from_secs_f64(terms.dial_timeout.seconds()),
        viewers: HashMap::new(),
        writing: JoinSet::new(),
        links: HashMap::new(),
        from_viewers,
        from_streamers,
    };
    let mut dispatcher = Dispatcher::new(now(), config.seed(), &sheet, terms);
    for event in &config.known.entries {
        dispatcher.update_list(now(), &event.hosts);
    }
    let (address, moved) = watch::channel(config.journal.clone());
    let journal = tokio::spawn(journal::follow(moved, config.known.pos, news));
    tracing::debug!(target: "config", settings = %config.settings, known = ?config.known);
    tracing::info!(listen = %config.listen, streamers = dispatcher.streamer_count(), "serves");
    let mut next_conn = 0;
    // Accepted, and waiting for another to make room.
    let mut doorway: Option<TcpStream> = None;
    // No more are accepted until then.
    let mut no_descriptor: Option<Instant> = None;
    // The configuration is to be read again then, and so many more times where it can't be read.
    let mut read_again: Option<(Instant, u32)> = None;
    let mut stops: Option<Point> = None;
    // Since when nothing is in hand.
    let mut empty: Option<Point> = None;
    loop {
        sockets.carry_out(now(), &mut dispatcher);
        while sockets.writing.try_join_next().is_some() {}
        empty = (dispatcher.tracked_count() == 0).then(|| empty.unwrap_or(now()));
        if let Some(since) = stops {
            let gone = now() - since;
            let said = empty.is_some_and(|since| now() - since >= LAST_WORDS);
            let owes_nothing = dispatcher.replies().open_count() == 0;
            if owes_nothing && (gone >= STOP_LEAST && said || gone >= stop_most) {
                break;
            }
        }
        let awake = now();
        let due = Instant::from_std(clock.instant(lemontide_front::core::seconds(dispatcher.next_tick())));
        let again = read_again.map_or(due, |(at, _)| at.min(due));
        let open = doorway.is_none() && no_descriptor.is_none_or(|until| Instant::now() >= until);
        let (mut said, mut told, mut hosts, mut accepted) = (None, None, None, None);
        tokio::select! {
            biased;
            Some(()) = terminate.recv() => {
                tracing::info!(in_hand = dispatcher.tracked_count(), "stops");
                stops.get_or_insert(now());
                dispatcher.stop(now());
            }
            Some(()) = hang_up.recv() => read_again = Some((Instant::now(), READ_AGAIN_MOST)),
            Some(report) = viewers_said.recv(), if dispatcher.undecided_count() < ROUND => said = Some(report),
            Some(report) = streamers_said.recv() => told = Some(report),
            Some(news) = list.recv() => hosts = Some(news),
            came = listener.accept(), if open => accepted = Some(came),
            // What else there is to hear is heard before the next request is decided.
            () = tokio::task::yield_now(), if dispatcher.undecided_count() > 0 => {}
            () = sleep_until(again) => {}
        }
        let late = Some(now() - dispatcher.next_tick().max(awake)).filter(|late| *late >= STOOD_STILL);
        if late.is_some() {
            // What came meanwhile is heard before anything is decided: a viewer that left, the end of an attempt, a
            // drain. The first turn of the runtime sees what the sockets hold, the second lets their tasks report it.
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
        }
        dispatcher.set_read_delay(late.unwrap_or(Span::ZERO));
        let mut handed = false;
        // Each source has its share of every turn, so that a flood from one keeps none of the others waiting.
        // Viewers come first, as they may leave what would else be sent on; the timer comes last, as what it would
        // call late may have been told.
        for _ in 0..ROUND {
            // Whoever asks for more than is decided waits in its own connection.
            let more = dispatcher.undecided_count() < ROUND;
            let next = said.take().or_else(|| more.then(|| viewers_said.try_recv().ok()).flatten());
            let Some(report) = next else { break };
            sockets.of_viewer(now(), &mut dispatcher, report);
        }
        for _ in 0..ROUND {
            let Some(news) = hosts.take().or_else(|| list.try_recv().ok()) else { break };
            dispatcher.update_list(now(), &news);
        }
        for _ in 0..ROUND {
            let Some(report) = told.take().or_else(|| streamers_said.try_recv().ok()) else { break };
            sockets.of_streamer(now(), &mut dispatcher, report);
            handed |= sockets.carry_out(now(), &mut dispatcher);
        }
        dispatcher.set_read_delay(Span::ZERO);
        if now() >= dispatcher.next_tick() {
            dispatcher.tick(now());
        }
        // An answer in hand leaves before a request is decided, and one request is decided a turn. Guards against
        // answers that wait in a full turn: a viewer may leave meanwhile, and its time runs.
        if dispatcher.undecided_count() > 0 {
            if sockets.carry_out(now(), &mut dispatcher) || handed {
                tokio::task::yield_now().await;
            }
            dispatcher.decide_next(now());
        }
        for _ in 0..ROUND {
            if let Some(socket) = doorway.take() {
                let (held, closing) = (sockets.viewers.len(), sockets.writing.len());
                if held >= viewers_most || closing >= viewers_most + closing_most {
                    // Nobody is turned away while another has room to make, and nobody who is owed an answer is cut.
                    if held >= viewers_most {
                        dispatcher.close_idle_connection();
                    }
                    doorway = Some(socket);
                    break;
                }
                next_conn += 1;
                sockets.viewer_comes(now(), &mut dispatcher, next_conn, socket);
            }
            match accepted.take().or_else(|| listener.accept().now_or_never()) {
                Some(Ok((socket, _))) => doorway = Some(socket),
                Some(Err(e)) => {
                    // Out of descriptors: one that is idle makes room, and others get time to end.
                    tracing::warn!(error = %e, "can't accept");
                    dispatcher.close_idle_connection();
                    no_descriptor = Some(Instant::now() + ACCEPT_REST);
                    break;
                }
                None => break,
            }
        }
        if let (Some((at, left)), Some(file)) = (read_again, &file) {
            if Instant::now() >= at {
                read_again = match Config::read(file) {
                    Ok(again) => {
                        tracing::info!(journal = again.journal, "configuration read again");
                        let _ = address.send(again.journal);
                        None
                    }
                    Err(e) => {
                        tracing::error!(error = e, "the configuration stays as it was");
                        (left > 0).then(|| (Instant::now() + READ_AGAIN, left - 1))
                    }
                };
            }
        }
    }
    journal.abort();
    drop(listener);
    let _ =
        tokio::time::timeout(viewers::WRITE_TIMEOUT, sockets.drain(&mut dispatcher, &mut viewers_said)).await;
    Ok(())
}
