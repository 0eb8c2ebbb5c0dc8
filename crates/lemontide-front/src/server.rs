//! Starts a controller and runs its deciding thread. The tasks of the runtime do the I/O. The deciding thread
//! gets events and new requests from them over two bounded queues, and carries out the effects of the driver.

use crate::connections::ConnectionRegistry;
use crate::core::{seconds, Driver, Effect, QueuedMessage, SubmitError};
use crate::events::{ControllerState, Event, NewRequest, PlayerResponse};
use crate::gossip::{self, Observation};
use crate::http;
use crate::link::{self, LinkContext, LinkTarget};
use crate::list_source::{ListFile, ListSource};
use crate::overload_control::OverloadControl;
use crate::request_queue::SharedRequestQueue;
use crate::settings::Settings;
use lemontide::clock::Point;
use lemontide_shed::memory;
use lemontide_shed::request_queue::{Dequeued, QueueDiscipline};
use lemontide_wire::clock::Clock;
use lemontide_wire::play::SessionEvent;
use lemontide_wire::tap::{Tap, TapEvent};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

/// Maximum number of queued events. New requests have a queue of their own.
const MAX_QUEUED_EVENTS: usize = 8192;
/// Maximum number of events that are processed between two ticks of the driver, and of new requests.
const EVENTS_PER_ROUND: usize = 1024;
const REQUESTS_PER_ROUND: usize = 64;
/// Maximum number of session events that wait for a slow listener before it is disconnected.
const MAX_QUEUED_SESSION_EVENTS: usize = 64;
/// Maximum number of batches that wait for the task of a link.
const MAX_QUEUED_BATCHES: usize = 2;
/// Time that the last messages and responses have before the controller stops.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(200);

/// A running controller.
pub struct ControllerServer {
    /// The address that it listens on for players.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    deciding_thread: std::thread::JoinHandle<()>,
}

impl ControllerServer {
    /// Starts the controller on the current runtime. It fails if the address is in use, the tap can't be
    /// written, or a thread can't be started.
    pub async fn start(settings: Settings) -> io::Result<ControllerServer> {
        let clock = Clock::start();
        let tap = match &settings.tap {
            Some(path) => Tap::open(path, clock, &format!("controller:{}", settings.own_number))?,
            None => Tap::disabled(clock),
        };
        tap.record(TapEvent::ControllerStarted { controller: settings.own_number });
        let listener = http::listen(settings.listen)?;
        let address = listener.local_addr()?;
        let rng_seed = settings.rng_seed.unwrap_or_else(rand::random);
        let (events, event_queue) = mpsc::channel(MAX_QUEUED_EVENTS);
        let overload = OverloadControl::new(&settings, clock, rng_seed).map(Arc::new);
        let discipline = if overload.is_some() { QueueDiscipline::ByRank } else { QueueDiscipline::Fifo };
        let max_waiting = settings.limits.max_waiting_requests;
        let max_waiting_per_class =
            settings.shedding.as_ref().and_then(|limits| limits.max_waiting_per_class).unwrap_or(max_waiting);
        let queue =
            SharedRequestQueue::new(discipline, max_waiting, max_waiting_per_class, settings.classes.len());
        let queue = Arc::new(queue);
        let connections = Arc::new(ConnectionRegistry::new(clock, http::http_limits(&settings).connections));
        let (stop, stopped) = watch::channel(false);
        let mut list_source = ListFile::new(settings.list.clone());
        let list_events = events.clone();
        tokio::spawn(async move {
            loop {
                let list = list_source.next().await;
                if list_events.send(Event::ListChanged(list)).await.is_err() {
                    return;
                }
            }
        });
        let link_context = LinkContext {
            clock,
            tap: tap.clone(),
            controller: settings.own_number as u32,
            run_id: rand::random(),
            dial_timeout: Duration::from_secs_f64(settings.links.dial_timeout_s),
            events: events.clone(),
        };
        let (observations, gossip_views) = match &settings.gossip {
            Some(gossip_settings) => {
                let number = settings.coordination.as_ref().map(|_| settings.own_number as u32);
                let (observations, view_requests) = gossip::start(
                    gossip_settings,
                    clock,
                    tap.clone(),
                    rng_seed,
                    number,
                    stopped.clone(),
                    events.clone(),
                )
                .await?;
                (Some(observations), Some(view_requests))
            }
            None => (None, None),
        };
        if let Some(overload) = &overload {
            let connections = connections.clone();
            let close_idle =
                move || connections.close_idle(memory::IDLE_CONNECTION_AGE, memory::MAX_CLOSED_PER_PASS);
            tokio::spawn(overload.clone().run(queue.clone(), close_idle, events.clone()));
        }
        let path = http::RequestPath { clock, queue: queue.clone(), overload: overload.clone(), connections };
        http::serve(listener, &settings, path, events, stopped.clone(), gossip_views);
        // The links have a thread of their own, so that messages to streamers are written in time under any
        // load of players.
        let link_runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("links")
            .enable_all()
            .build()?;
        let link_handle = link_runtime.handle().clone();
        let stop_timeout_s = settings.limits.stop_timeout_s;
        let deciding_thread = std::thread::Builder::new().name("decides".into()).spawn(move || {
            let Ok(timers) = tokio::runtime::Builder::new_current_thread().enable_time().build() else {
                // The target is an outer name, which the module's name doesn't follow.
                return tracing::error!(
                    target: "lemontide_front::front",
                    "the deciding thread could not start its timers"
                );
            };
            let driver = Driver::new(
                Point::at(clock.now()),
                rng_seed,
                &settings.controller_settings(),
                settings.driver_settings(),
            );
            let mut event_loop = DecisionLoop {
                driver,
                link_context,
                link_handle,
                pending_replies: HashMap::new(),
                listeners: HashMap::new(),
                link_tasks: HashMap::new(),
                observations,
                overload,
                queue,
                expired_requests: 0,
                deciding_time: Duration::ZERO,
            };
            timers.block_on(event_loop.run(event_queue, stopped, stop_timeout_s));
            link_runtime.shutdown_background();
        })?;
        Ok(ControllerServer { address, stop, deciding_thread })
    }

    /// Accepts no new requests, waits for sessions to end within the time of the settings, ends the remaining
    /// ones and returns. Blocks.
    pub fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.deciding_thread.join();
    }
}

/// The event loop of the deciding thread.
struct DecisionLoop {
    driver: Driver,
    link_context: LinkContext,
    link_handle: Handle,
    pending_replies: HashMap<u32, oneshot::Sender<Result<PlayerResponse, SubmitError>>>,
    /// Players that listen to the events of their session.
    listeners: HashMap<u32, mpsc::Sender<SessionEvent>>,
    /// For each streamer, the channel for batches to the task of its link, and the task.
    link_tasks: HashMap<usize, (mpsc::Sender<Vec<QueuedMessage>>, AbortHandle)>,
    /// Observations of streamers for gossip, if it is on.
    observations: Option<mpsc::Sender<Observation>>,
    /// None without load shedding.
    overload: Option<Arc<OverloadControl>>,
    queue: Arc<SharedRequestQueue>,
    expired_requests: u64,
    deciding_time: Duration,
}

impl DecisionLoop {
    async fn run(
        &mut self,
        mut event_queue: mpsc::Receiver<Event>,
        mut stopped: watch::Receiver<bool>,
        stop_timeout_s: f64,
    ) {
        let mut closes_at_s = None;
        let mut has_more_requests = false;
        let queue = self.queue.clone();
        loop {
            // With requests in the queue the loop does not wait, but events of existing sessions are still
            // received first.
            let wake_at = if has_more_requests { self.now() } else { self.driver.next_tick_at() };
            let wake_at = self.link_context.clock.instant(seconds(wake_at));
            let mut events = Vec::new();
            let _ = timeout_at(wake_at.into(), async {
                tokio::select! {
                    biased;
                    _ = stopped.changed(), if closes_at_s.is_none() => {}
                    _count = event_queue.recv_many(&mut events, EVENTS_PER_ROUND) => {}
                    () = queue.request_arrived() => {}
                }
            })
            .await;
            let round_start = std::time::Instant::now();
            // Events of existing sessions are processed before new requests.
            while events.len() < EVENTS_PER_ROUND {
                let Ok(event) = event_queue.try_recv() else { break };
                events.push(event);
            }
            for event in events {
                self.handle_event(event);
                self.carry_out_effects();
            }
            let requests;
            (requests, has_more_requests) = queue.pop_batch(self.now(), REQUESTS_PER_ROUND);
            for request in requests {
                self.handle_request(request);
                self.carry_out_effects();
            }
            self.driver.tick(self.now());
            self.carry_out_effects();
            if let Some(overload) = &self.overload {
                overload.set_session_count(self.driver.session_count());
            }
            self.deciding_time += round_start.elapsed();
            if *stopped.borrow() {
                let now_s = self.link_context.clock.now();
                let closes_at_s = *closes_at_s.get_or_insert(now_s + stop_timeout_s);
                self.driver.stop_accepting();
                if self.driver.session_count() == 0 || now_s >= closes_at_s {
                    break;
                }
            }
        }
        queue.close();
        self.driver.end_all(self.now());
        self.carry_out_effects();
        tokio::time::sleep(FINAL_WRITE_TIME).await;
        for (_, (_, task)) in self.link_tasks.drain() {
            task.abort();
        }
    }

    fn now(&self) -> Point {
        Point::at(self.link_context.clock.now())
    }

    fn handle_request(&mut self, dequeued: Dequeued<NewRequest>) {
        let is_expired = matches!(dequeued, Dequeued::Expired(_));
        let (Dequeued::Ready(new_request) | Dequeued::Expired(new_request)) = dequeued;
        let NewRequest { id, received_at_s, request, cmcd, reply } = new_request;
        // If the player has disconnected while its request was queued, nothing is set up.
        if reply.is_closed() {
            return;
        }
        if let Some(overload) = &self.overload {
            overload.request_started(self.link_context.clock.now() - received_at_s);
            if is_expired {
                self.expired_requests += 1;
                let _ = reply.send(Err(SubmitError::Overloaded { retry_after: overload.retry_after() }));
                return;
            }
        }
        self.pending_replies.insert(id, reply);
        if let Err(refusal) = self.driver.submit(self.now(), Point::at(received_at_s), id, &request, &cmcd) {
            if let Some(reply) = self.pending_replies.remove(&id) {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::LinkUp { streamer, dial, started_at_s } => {
                self.driver.link_connected(now, streamer, dial, started_at_s);
            }
            Event::LinkLost { streamer, dial, by_streamer } => {
                self.driver.link_lost(now, streamer, dial, by_streamer);
            }
            Event::BatchWritten { streamer, dial, unsent } => {
                self.driver.batch_written(now, streamer, dial, unsent)
            }
            Event::MessageReceived { streamer, dial, message } => {
                self.driver.message_received(now, streamer, dial, message);
            }
            Event::ListChanged(list) => {
                tracing::info!(target: "list", version = list.version, streamers = list.streamers.len(), "list read");
                self.driver.update_list(now, &list);
            }
            Event::PlayerLeft { id } => {
                self.pending_replies.remove(&id);
                self.driver.viewer_left(now, id);
            }
            Event::EndSession { id, reply } => {
                let _ = reply.send(self.driver.stop_playing(now, id));
            }
            Event::Listen { id, reply } => {
                let receiver = self.driver.current_rung(id).map(|first_event| {
                    let (sender, receiver) = mpsc::channel(MAX_QUEUED_SESSION_EVENTS);
                    let _ = sender.try_send(first_event);
                    self.listeners.insert(id, sender);
                    receiver
                });
                let _ = reply.send(receiver);
            }
            Event::ReleaseMemory { history } => self.driver.free_memory(history),
            Event::PeersChanged(numbers) => self.driver.update_membership(now, &numbers),
            Event::PeerSuspicions(scores) => self.driver.update_peer_suspicions(now, &scores),
            Event::GetState(reply) => {
                let [answered_playing, answered_rejected, answered_failed] = self.driver.response_counts;
                let _ = reply.send(ControllerState {
                    accepted: self.driver.accepted_count,
                    answered_playing,
                    answered_rejected,
                    answered_failed,
                    sessions: self.driver.session_count(),
                    playing: self.driver.playing_count(),
                    streamers: self.driver.streamer_count(),
                    links_up: self.driver.links_up(),
                    stopping: self.driver.is_stopping(),
                    expired: self.expired_requests,
                    setups_in_flight: self.driver.set_ups_in_flight(),
                    fleet_view: self.driver.fleet_status(now),
                    deciding_s: self.deciding_time.as_secs_f64(),
                    // The HTTP handler fills in the rest.
                    ..ControllerState::default()
                });
            }
        }
    }

    /// Carries out the driver's effects until none are left: an effect that fails can cause new ones.
    fn carry_out_effects(&mut self) {
        while !self.driver.effects.is_empty() {
            for effect in std::mem::take(&mut self.driver.effects) {
                match effect {
                    Effect::Tap(event) => self.link_context.tap.record(event),
                    Effect::StreamerObserved { streamer, succeeded: good } => {
                        // Observations are dropped when the queue is full, since gossip is optional.
                        if let Some(observations) = &self.observations {
                            let _ = observations.try_send(Observation { streamer, succeeded: good });
                        }
                    }
                    Effect::Response { id, response: answer, suggested_kbps, duress, class, attempts } => {
                        if let Some(overload) = &self.overload {
                            overload.record_cost(class, attempts);
                        }
                        let Some(reply) = self.pending_replies.remove(&id) else { continue };
                        if reply
                            .send(Ok(PlayerResponse { response: answer, suggested_kbps, duress }))
                            .is_err()
                        {
                            // The player has disconnected: its session is ended.
                            self.driver.viewer_left(self.now(), id);
                        }
                    }
                    Effect::SessionEvent { id, event } => {
                        let is_last = matches!(event, SessionEvent::Ended { .. });
                        let is_slow =
                            self.listeners.get(&id).is_some_and(|sender| sender.try_send(event).is_err());
                        // A listener that does not read loses its event stream; the session continues.
                        if is_last || is_slow {
                            self.listeners.remove(&id);
                        }
                    }
                    Effect::Dial { streamer_index: at, dial, streamer, address } => {
                        let (batches, batch_queue) = mpsc::channel(MAX_QUEUED_BATCHES);
                        let target = LinkTarget { streamer: at, dial, name: streamer, address };
                        let link = link::run(self.link_context.clone(), target, batch_queue);
                        let task = self.link_handle.spawn(link);
                        let previous = self.link_tasks.insert(at, (batches, task.abort_handle()));
                        if let Some((_, previous)) = previous {
                            previous.abort();
                        }
                    }
                    Effect::Write { streamer_index: at, dial, messages: orders } => {
                        let task = self.link_tasks.get(&at);
                        if task.is_none_or(|(batches, _)| batches.try_send(orders).is_err()) {
                            // The link's task has ended; its own event may not have arrived yet.
                            self.driver.link_lost(self.now(), at, dial, false);
                        }
                    }
                    Effect::CloseConnection { streamer_index: at, .. } => {
                        if let Some((_, task)) = self.link_tasks.remove(&at) {
                            task.abort();
                        }
                    }
                }
            }
        }
    }
}
