//! Players: viewers who come, wait, watch, leave and come again, each over its own HTTP connections.

mod raw;

use crate::day::{Day, What};
use crate::streamer::{Fault, Fleet, FAULT_EVERY};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lemontide_front::settings::RepeatPolicy;
use lemontide_wire::clock::Clock;
use lemontide_wire::cmcd::Cmcd;
use lemontide_wire::play::{EndReason, PlayRequest, PlayResponse, SessionEvent};
use lemontide_wire::tap::{ResponseKind, Tap, TapEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Tries of one viewer at most.
const TRIES_MOST: u32 = 8;
/// A controller that does not take a connection by then is not there.
const CONNECT: Duration = Duration::from_millis(500);

/// One viewer as the day draws it.
#[derive(Clone, Debug, PartialEq)]
pub struct Viewer {
    pub number: usize,
    pub at_s: f64,
    pub zone: usize,
    pub lane: usize,
    pub tenant: Option<usize>,
    pub title: String,
    pub watches_s: f64,
    pub top: usize,
    pub leaves_early: bool,
    pub impatient: bool,
    pub seed: u64,
    /// What it does to the connection of its wish.
    pub habit: Habit,
}

/// What a viewer does to the connection of its wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    Keeps,
    ClosesHalf,
    Resets,
}

/// Drawn from the viewer's own seed, so that days without such viewers stay as they were.
fn habit(day: &Day, seed: u64) -> Habit {
    let drawn = StdRng::seed_from_u64(!seed).random::<f64>();
    let (close_half, reset) = (day.viewers.close_half, day.viewers.reset);
    match drawn {
        drawn if drawn < close_half => Habit::ClosesHalf,
        drawn if drawn < close_half + reset => Habit::Resets,
        _ => Habit::Keeps,
    }
}

/// All viewers of a day, in the order in which they come: the same for the same day.
pub fn draw(day: &Day) -> Vec<Viewer> {
    let mut chance = StdRng::seed_from_u64(day.seed);
    let mut viewers = Vec::new();
    let mut at_s = 0.0;
    let weights: Vec<(&String, f64)> = day.titles.iter().map(|(name, title)| (name, title.share)).collect();
    loop {
        at_s += -(1.0 - chance.random::<f64>()).ln() / day.viewers.per_s.max(1e-3);
        if at_s >= day.length_s {
            return viewers;
        }
        let lane = pick(&mut chance, day.lanes.iter().map(|lane| lane.share));
        let mut title = weights[pick(&mut chance, weights.iter().map(|w| w.1))].0.clone();
        for trouble in &day.troubles {
            if let What::Crowd { titles, share } = &trouble.what {
                let on = (trouble.at_s..trouble.at_s + trouble.for_s).contains(&at_s);
                if on && !titles.is_empty() && chance.random::<f64>() < *share {
                    title = titles[chance.random_range(0..titles.len())].clone();
                }
            }
        }
        let (least, most) = day.lanes[lane].watched_s;
        let highest = day.ladder.rates_kb_per_s.len() - 1;
        let small = chance.random::<f64>() < day.viewers.small_screens;
        let top = day.lanes[lane].lane.max_rung.unwrap_or(highest).min(highest);
        let (leaves_early, impatient) = (
            chance.random::<f64>() < day.viewers.leave_early,
            chance.random::<f64>() < day.viewers.impatient,
        );
        let seed = chance.random();
        viewers.push(Viewer {
            number: viewers.len(),
            at_s,
            zone: chance.random_range(0..day.zones.len()),
            lane,
            tenant: (!day.tenants.is_empty()).then(|| pick(&mut chance, day.tenants.iter().map(|t| t.share))),
            title,
            watches_s: least + (most - least).max(0.0) * chance.random::<f64>(),
            top: if small { top.saturating_sub(2).max(day.lanes[lane].lane.min_rung) } else { top },
            leaves_early,
            impatient,
            seed,
            habit: habit(day, seed),
        });
    }
}

fn pick(chance: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = chance.random::<f64>() * weights.clone().sum::<f64>();
    let count = weights.clone().count();
    weights.take_while(|weight| (left -= weight, left >= 0.0).1).count().min(count.saturating_sub(1))
}

/// What all players of a day share.
pub struct Audience {
    pub day: Arc<Day>,
    pub clock: Clock,
    pub tap: Tap,
    pub fleet: Fleet,
    /// Where each controller listens; the old address while nobody has noticed that it is gone.
    pub controllers: RwLock<Vec<Option<SocketAddr>>>,
    pub fault: Option<Fault>,
    answers: AtomicU64,
    client: Client<HttpConnector, Full<Bytes>>,
}

enum Ended {
    Done,
    /// Comes again, if at all, after this wait at least.
    Again(f64),
}

impl Audience {
    pub fn new(day: Arc<Day>, clock: Clock, tap: Tap, fleet: Fleet, fault: Option<Fault>) -> Audience {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT));
        let controllers = RwLock::new(vec![None; day.controllers.len()]);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Audience { day, clock, tap, fleet, controllers, fault, answers: AtomicU64::new(0), client }
    }

    /// One viewer, from its first try to its last.
    pub async fn watch(self: Arc<Self>, viewer: Viewer) {
        let mut chance = StdRng::seed_from_u64(viewer.seed);
        let until = Instant::now() + Duration::from_secs_f64(viewer.watches_s);
        for number in 0..TRIES_MOST {
            let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
            if left < 0.5 {
                return;
            }
            let Ended::Again(wait) = self.attempt(&viewer, number, left, &mut chance).await else { return };
            if chance.random::<f64>() >= self.day.viewers.returns {
                return;
            }
            let rejoin = self.day.viewers.rejoin_s * (0.5 + chance.random::<f64>());
            sleep(Duration::from_secs_f64(rejoin.max(wait))).await;
        }
    }

    /// A controller of the zone, or of any where the zone has none; viewers lean to some.
    fn controller(&self, zone: usize, chance: &mut StdRng) -> usize {
        let day = &self.day;
        let there = self.controllers.read().unwrap_or_else(PoisonError::into_inner).clone();
        let near = |number: &usize| day.controllers[*number] == day.zones[zone];
        // Who is known to be gone is not asked; where all are, somebody is.
        let known = |number: &usize| there.get(*number).is_some_and(Option::is_some);
        let mut all: Vec<usize> = (0..day.controllers.len()).filter(known).filter(near).collect();
        if all.is_empty() {
            all = (0..day.controllers.len()).filter(known).collect();
        }
        if all.is_empty() {
            all = (0..day.controllers.len()).collect();
        }
        let weight = |place: usize| 1.0 / (1.0 + day.viewers.lean * 3.0 * place as f64);
        all[pick(chance, (0..all.len()).map(weight))]
    }

    async fn attempt(&self, viewer: &Viewer, number: u32, left: f64, chance: &mut StdRng) -> Ended {
        let controller = self.controller(viewer.zone, chance);
        let lane = &self.day.lanes[viewer.lane];
        let ask = format!("v{}.{number}", viewer.number);
        let now = self.clock.now();
        let cut_off = now + lane.lane.deadline_s;
        self.fleet.with(|model, _| model.set_viewing_time(&ask, left));
        self.tap.record_at(
            now,
            TapEvent::RequestSent {
                request_id: ask.clone(),
                viewer: format!("v{}", viewer.number),
                controller,
                class: lane.lane.name.clone(),
                title: viewer.title.clone(),
                latency_goal: now + lane.lane.latency_goal_s,
                deadline: cut_off,
                max_rung: viewer.top,
                wanted_s: left,
            },
        );
        let address = self.controllers.read().unwrap_or_else(PoisonError::into_inner)[controller];
        let Some(address) = address else {
            self.tap.record(TapEvent::ResponseReceived { request_id: ask, kind: ResponseKind::NoResponse });
            return Ended::Again(0.0);
        };
        let wish = PlayRequest {
            title: viewer.title.clone(),
            class: lane.lane.name.clone(),
            tenant: viewer.tenant.map_or_else(String::new, |t| self.day.tenants[t].name.clone()),
            request_id: ask.clone(),
            give_up_in_s: Some(lane.lane.deadline_s),
            max_rung: Some(viewer.top),
            is_retry: number > 0,
            expected_duration_s: Some(left),
            cmcd: None,
        };
        let patience = if viewer.impatient {
            lane.lane.deadline_s * (0.1 + 0.5 * chance.random::<f64>())
        } else {
            lane.lane.deadline_s + self.day.rules.answer_slack_s
        };
        let wait = Instant::now() + Duration::from_secs_f64(patience);
        // To go away is to drop the request: the connection closes, and the controller hears it.
        let answer = match viewer.habit {
            Habit::Keeps => timeout_at(wait, self.post(address, viewer, &wish)).await,
            Habit::ClosesHalf => timeout_at(wait, raw::post_and_close_half(address, &wish)).await,
            Habit::Resets => {
                let _ = timeout_at(wait, raw::post_and_reset(address, &wish, chance.random())).await;
                self.tap.record(TapEvent::ViewerLeft { request_id: ask });
                return Ended::Done;
            }
        };
        let Ok(answer) = answer else {
            self.tap.record(TapEvent::ViewerLeft { request_id: ask });
            return Ended::Done;
        };
        let said = answer.ok();
        let kind = match &said {
            Some(PlayResponse::Plays { .. }) => ResponseKind::Plays,
            Some(PlayResponse::Rejected { .. }) => ResponseKind::Rejected,
            Some(PlayResponse::Failed { .. }) => ResponseKind::Failed,
            Some(PlayResponse::NotAccepted { .. }) => ResponseKind::NotAccepted,
            None => ResponseKind::NoResponse,
        };
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        if self.fault != Some(Fault::Swallows) || !count.is_multiple_of(FAULT_EVERY) {
            self.tap.record(TapEvent::ResponseReceived { request_id: ask, kind });
        }
        match said {
            Some(PlayResponse::Plays { session: subscription, .. }) => {
                let leaves = viewer.leaves_early.then_some(left / 2.0);
                self.play(address, subscription, left, leaves).await
            }
            Some(
                PlayResponse::Rejected { retry_after_s, .. }
                | PlayResponse::NotAccepted { retry_after_s, .. },
            ) => Ended::Again(retry_after_s.unwrap_or(0.0)),
            Some(PlayResponse::Failed { .. }) if lane.lane.repeat_policy == RepeatPolicy::AtMostOnce => {
                Ended::Done
            }
            Some(PlayResponse::Failed { .. }) | None => Ended::Again(0.0),
        }
    }

    async fn post(
        &self,
        to: SocketAddr,
        viewer: &Viewer,
        wish: &PlayRequest,
    ) -> Result<PlayResponse, BoxError> {
        let hints =
            Cmcd { session_id: Some(format!("v{}", viewer.number)), is_startup: true, ..Cmcd::default() };
        let mut request =
            Request::builder().method(Method::POST).uri(format!("http://{to}/v1/subscriptions"));
        for (name, value) in hints.to_headers() {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(serde_json::to_vec(wish)?)))?;
        let response = self.client.request(request).await?;
        Ok(serde_json::from_slice(&response.into_body().collect().await?.to_bytes())?)
    }

    async fn call(&self, to: SocketAddr, method: Method, path: &str) -> Result<Response<Incoming>, BoxError> {
        let uri = format!("http://{to}{path}");
        Ok(self.client.request(Request::builder().method(method).uri(uri).body(Full::default())?).await?)
    }

    /// Listens to the news of a subscription until it is over; leaves it before, where the viewer does.
    async fn play(&self, to: SocketAddr, subscription: u32, left: f64, leaves: Option<f64>) -> Ended {
        let path = format!("/v1/subscriptions/{subscription}");
        let listens = async {
            let response = self.call(to, Method::GET, &format!("{path}/news")).await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let mut body = response.into_body();
            let mut text = Vec::new();
            while let Some(Ok(frame)) = body.frame().await {
                text.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                    let line: Vec<u8> = text.drain(..=end).collect();
                    if let Ok(SessionEvent::Ended { reason: why }) = serde_json::from_slice(&line) {
                        return Some(why);
                    }
                }
            }
            // The controller is gone.
            None
        };
        let most = Duration::from_secs_f64(leaves.unwrap_or(left + 10.0));
        match timeout(most, listens).await {
            Ok(Some(EndReason::Served | EndReason::ViewerLeft)) => Ended::Done,
            Ok(Some(EndReason::ConnectionLost | EndReason::Moved | EndReason::Stopped) | None) => {
                Ended::Again(0.0)
            }
            Err(_) => {
                let _ = timeout(CONNECT, self.call(to, Method::DELETE, &path)).await;
                Ended::Done
            }
        }
    }
}

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
