//! Ties the controller together: one thread decides, the runtime's tasks do the I/O. All that happens comes to
//! the deciding thread over two bounded queues, and what it decides goes out as effects.

use crate::connections::Hall;
use crate::core::{seconds, Driver, Effect, QueuedMessage, SubmitError};
use crate::events::{Asked, Happened, Said, State};
use crate::gossip::{self, Heard};
use crate::guard::Guard;
use crate::http;
use crate::link::{self, Dial, Links};
use crate::list::{ListFile, Source};
use crate::settings::Settings;
use crate::waiting::Waiting;
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

/// Events of what is in hand that wait for the deciding thread; new wishes wait in a room of their own.
const REPORTS_MOST: usize = 8192;
/// Events taken between two looks at the timers, and new wishes among them.
const ROUND: usize = 1024;
const WISHES_A_ROUND: usize = 64;
/// Lines of news that wait for a listener before it is cut off.
const NEWS_MOST: usize = 64;

/// A running controller.
pub struct Front {
    /// Where it serves players.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    decides: std::thread::JoinHandle<()>,
}

impl Front {
    /// Starts all of it on the runtime that this is called on. Errors: the address is taken, the tap can't be
    /// written, or no thread is to be had.
    pub async fn start(settings: Settings) -> io::Result<Front> {
        let clock = Clock::start();
        let tap = match &settings.tap {
            Some(path) => Tap::open(path, clock, &format!("controller:{}", settings.me))?,
            None => Tap::disabled(clock),
        };
        tap.record(TapEvent::ControllerStarted { controller: settings.me });
        let listener = http::listen(settings.listen)?;
        let address = listener.local_addr()?;
        let seed = settings.seed.unwrap_or_else(rand::random);
        let (reports, reported) = mpsc::channel(REPORTS_MOST);
        let guard = Guard::new(&settings, clock, seed).map(Arc::new);
        let order = if guard.is_some() { QueueDiscipline::ByRank } else { QueueDiscipline::Fifo };
        let most = settings.limits.waiting;
        let lane_most = settings.shedding.as_ref().and_then(|limits| limits.lane_waiting).unwrap_or(most);
        let room = Arc::new(Waiting::new(order, most, lane_most, settings.lanes.len()));
        let hall = Arc::new(Hall::new(clock, http::stack(&settings).bounds));
        let (stop, stopped) = watch::channel(false);
        let mut source = ListFile::new(settings.list.clone());
        let lists = reports.clone();
        tokio::spawn(async move {
            loop {
                let list = source.next().await;
                if lists.send(Happened::List(list)).await.is_err() {
                    return;
                }
            }
        });
        let links = Links {
            clock,
            tap: tap.clone(),
            me: settings.me as u32,
            run: rand::random(),
            dial_timeout: Duration::from_secs_f64(settings.links.dial_timeout_s),
            reports: reports.clone(),
        };
        let (heard, asked_of_gossip) = match &settings.gossip {
            Some(terms) => {
                let number = settings.together.as_ref().map(|_| settings.me as u32);
                let (heard, views) =
                    gossip::start(terms, clock, tap.clone(), seed, number, stopped.clone(), reports.clone())
                        .await?;
                (Some(heard), Some(views))
            }
            None => (None, None),
        };
        if let Some(guard) = &guard {
            let hall = hall.clone();
            let close_idle =
                move || hall.close_idle(memory::IDLE_CONNECTION_AGE, memory::MAX_CLOSED_PER_PASS);
            tokio::spawn(guard.clone().keep(room.clone(), close_idle, reports.clone()));
        }
        let before = http::Before { clock, room: room.clone(), guard: guard.clone(), hall };
        http::serve(listener, &settings, before, reports, stopped.clone(), asked_of_gossip);
        // Streamers' links have a thread of their own: however many players press, what was decided leaves in time.
        let links_run = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("links")
            .enable_all()
            .build()?;
        let runtime = links_run.handle().clone();
        let stop_within = settings.limits.stop_s;
        let decides = std::thread::Builder::new().name("decides".into()).spawn(move || {
            let Ok(own) = tokio::runtime::Builder::new_current_thread().enable_time().build() else {
                return tracing::error!("no timers for the deciding thread");
            };
            let driver =
                Driver::new(Point::at(clock.now()), seed, &settings.controller_settings(), settings.terms());
            let mut decider = Decider {
                driver,
                links,
                runtime,
                replies: HashMap::new(),
                listeners: HashMap::new(),
                wires: HashMap::new(),
                heard,
                guard,
                room,
                late: 0,
                spent: Duration::ZERO,
            };
            own.block_on(decider.run(reported, stopped, stop_within));
            links_run.shutdown_background();
        })?;
        Ok(Front { address, stop, decides })
    }

    /// Takes no new wishes, lets subscriptions end by themselves for the time that the settings give, ends the
    /// rest and returns. Blocks.
    pub fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.decides.join();
    }
}

struct Decider {
    driver: Driver,
    links: Links,
    runtime: Handle,
    replies: HashMap<u32, oneshot::Sender<Result<Said, SubmitError>>>,
    listeners: HashMap<u32, mpsc::Sender<SessionEvent>>,
    wires: HashMap<usize, (mpsc::Sender<Vec<QueuedMessage>>, AbortHandle)>,
    /// Where those who gossip hear what was seen here.
    heard: Option<mpsc::Sender<Heard>>,
    /// What keeps this controller from falling behind, where the settings ask for it.
    guard: Option<Arc<Guard>>,
    room: Arc<Waiting>,
    late: u64,
    spent: Duration,
}

impl Decider {
    async fn run(
        &mut self,
        mut reported: mpsc::Receiver<Happened>,
        mut stopped: watch::Receiver<bool>,
        stop_within: f64,
    ) {
        let mut closes_at = None;
        let mut more = false;
        let room = self.room.clone();
        loop {
            // Wishes that wait already are not waited for, but what came of those in hand is looked at first.
            let next = if more { self.now() } else { self.driver.next_tick_at() };
            let next = self.links.clock.instant(seconds(next));
            let mut round = Vec::new();
            let _ = timeout_at(next.into(), async {
                tokio::select! {
                    biased;
                    _ = stopped.changed(), if closes_at.is_none() => {}
                    n = reported.recv_many(&mut round, ROUND) => { let _ = n; }
                    () = room.came() => {}
                }
            })
            .await;
            let began = std::time::Instant::now();
            // What concerns subscriptions in hand goes before new wishes.
            while round.len() < ROUND {
                let Ok(happened) = reported.try_recv() else { break };
                round.push(happened);
            }
            for happened in round {
                self.happened(happened);
                self.perform();
            }
            let turns;
            (turns, more) = room.take(self.now(), WISHES_A_ROUND);
            for turn in turns {
                self.asked(turn);
                self.perform();
            }
            self.driver.tick(self.now());
            self.perform();
            if let Some(guard) = &self.guard {
                guard.in_hand(self.driver.session_count());
            }
            self.spent += began.elapsed();
            if *stopped.borrow() {
                let now = self.links.clock.now();
                let closes_at = *closes_at.get_or_insert(now + stop_within);
                self.driver.stop_accepting();
                if self.driver.session_count() == 0 || now >= closes_at {
                    break;
                }
            }
        }
        room.close();
        self.driver.end_all(self.now());
        self.perform();
        // What was ordered last, and the last answers, get a moment to leave.
        tokio::time::sleep(Duration::from_millis(200)).await;
        for (_, (_, wire)) in self.wires.drain() {
            wire.abort();
        }
    }

    fn now(&self) -> Point {
        Point::at(self.links.clock.now())
    }

    fn asked(&mut self, turn: Dequeued<Asked>) {
        let late = matches!(turn, Dequeued::Expired(_));
        let (Dequeued::Ready(wish) | Dequeued::Expired(wish)) = turn;
        let Asked { id, asked, wish, cmcd, reply } = wish;
        // The player may be gone before its wish was looked at: then nothing is set up.
        if reply.is_closed() {
            return;
        }
        if let Some(guard) = &self.guard {
            guard.waited(self.links.clock.now() - asked);
            if late {
                self.late += 1;
                let _ = reply.send(Err(SubmitError::Overloaded { retry_after: guard.wait() }));
                return;
            }
        }
        self.replies.insert(id, reply);
        if let Err(refusal) = self.driver.submit(self.now(), Point::at(asked), id, &wish, &cmcd) {
            if let Some(reply) = self.replies.remove(&id) {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn happened(&mut self, happened: Happened) {
        let now = self.now();
        match happened {
            Happened::Linked { at, dial, started } => self.driver.link_connected(now, at, dial, started),
            Happened::Lost { at, dial, by_streamer } => self.driver.link_lost(now, at, dial, by_streamer),
            Happened::Wrote { at, dial, unsent } => self.driver.batch_written(now, at, dial, unsent),
            Happened::Told { at, dial, told } => self.driver.message_received(now, at, dial, told),
            Happened::List(list) => {
                tracing::info!(target: "list", version = list.version, streamers = list.streamers.len(), "read");
                self.driver.update_list(now, &list);
            }
            Happened::Left { id } => {
                self.replies.remove(&id);
                self.driver.viewer_left(now, id);
            }
            Happened::Leave { id, done } => {
                let _ = done.send(self.driver.stop_playing(now, id));
            }
            Happened::Listen { id, news } => {
                let listens = self.driver.current_rung(id).map(|first| {
                    let (tell, hear) = mpsc::channel(NEWS_MOST);
                    let _ = tell.try_send(first);
                    self.listeners.insert(id, tell);
                    hear
                });
                let _ = news.send(listens);
            }
            Happened::Relieve { history } => self.driver.free_memory(history),
            Happened::Fleet(numbers) => self.driver.update_membership(now, &numbers),
            Happened::Doubts(weights) => self.driver.update_peer_suspicions(now, &weights),
            Happened::State(reply) => {
                let [plays, turned_back, scrapped] = self.driver.response_counts;
                let _ = reply.send(State {
                    taken: self.driver.accepted_count,
                    plays,
                    turned_back,
                    scrapped,
                    in_hand: self.driver.session_count(),
                    playing: self.driver.playing_count(),
                    streamers: self.driver.streamer_count(),
                    links_up: self.driver.links_up(),
                    stopping: self.driver.is_stopping(),
                    late: self.late,
                    flights: self.driver.set_ups_in_flight(),
                    together: self.driver.fleet_status(now),
                    deciding_s: self.spent.as_secs_f64(),
                    // The rest is filled in where it is known.
                    ..State::default()
                });
            }
        }
    }

    /// Does what the driver wants done, until nothing is left: a player found gone may free more.
    fn perform(&mut self) {
        while !self.driver.effects.is_empty() {
            for effect in std::mem::take(&mut self.driver.effects) {
                match effect {
                    Effect::Tap(what) => self.links.tap.record(what),
                    Effect::StreamerObserved { streamer, succeeded: good } => {
                        // Evidence that finds the queue full is left out: gossip is a help, never a duty.
                        if let Some(heard) = &self.heard {
                            let _ = heard.try_send(Heard { streamer, good });
                        }
                    }
                    Effect::Response {
                        id,
                        response: answer,
                        suggested_kbps,
                        duress,
                        class: lane,
                        attempts: shots,
                    } => {
                        if let Some(guard) = &self.guard {
                            guard.cost(lane, shots);
                        }
                        let Some(reply) = self.replies.remove(&id) else { continue };
                        if reply.send(Ok(Said { answer, suggested_kbps, duress })).is_err() {
                            // Gone without a word: what was set up for it is ended.
                            self.driver.viewer_left(self.now(), id);
                        }
                    }
                    Effect::SessionEvent { id, event: news } => {
                        let over = matches!(news, SessionEvent::Ended { .. });
                        let slow = self.listeners.get(&id).is_some_and(|tell| tell.try_send(news).is_err());
                        // A listener that does not read loses its news, nothing else.
                        if over || slow {
                            self.listeners.remove(&id);
                        }
                    }
                    Effect::Dial { streamer_index: at, dial, streamer, address } => {
                        let (orders, ordered) = mpsc::channel(2);
                        let to = Dial { at, dial, streamer, address };
                        let task = self.runtime.spawn(link::run(self.links.clone(), to, ordered));
                        if let Some((_, old)) = self.wires.insert(at, (orders, task.abort_handle())) {
                            old.abort();
                        }
                    }
                    Effect::Write { streamer_index: at, dial, messages: orders } => {
                        let wire = self.wires.get(&at);
                        if wire.is_none_or(|(wire, _)| wire.try_send(orders).is_err()) {
                            // The task is gone; its own report may still be on the way.
                            self.driver.link_lost(self.now(), at, dial, false);
                        }
                    }
                    Effect::CloseConnection { streamer_index: at, .. } => {
                        if let Some((_, wire)) = self.wires.remove(&at) {
                            wire.abort();
                        }
                    }
                }
            }
        }
    }
}
