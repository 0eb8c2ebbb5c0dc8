//! Players: viewers who send requests, wait, watch, leave and retry, over HTTP connections.

mod raw;

use crate::day::{Day, FaultKind};
use crate::streamer::{Defect, Fleet, DEFECT_INTERVAL};
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

/// Maximum number of requests of one viewer.
const MAX_REQUESTS: u32 = 8;
/// Timeout of connecting to a controller, and of ending a session.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A viewer, drawn at random from the day.
#[derive(Clone, Debug, PartialEq)]
pub struct Viewer {
    pub number: usize,
    pub at_s: f64,
    pub zone: usize,
    pub class: usize,
    pub tenant: Option<usize>,
    pub title: String,
    pub watch_s: f64,
    pub max_rung: usize,
    pub leaves_early: bool,
    pub impatient: bool,
    pub seed: u64,
    /// What it does to the connection of its request.
    pub connection_use: ConnectionUse,
}

/// What a viewer does to the connection of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    Normal,
    ClosesHalf,
    Resets,
}

/// Drawn from the viewer's own seed, so that this changes no other draw of the day.
fn draw_connection_use(day: &Day, seed: u64) -> ConnectionUse {
    let drawn = StdRng::seed_from_u64(!seed).random::<f64>();
    let (close_half, reset) = (day.viewers.close_half, day.viewers.reset);
    match drawn {
        drawn if drawn < close_half => ConnectionUse::ClosesHalf,
        drawn if drawn < close_half + reset => ConnectionUse::Resets,
        _ => ConnectionUse::Normal,
    }
}

/// All viewers of a day, in the order of their arrival. The same day always gives the same viewers.
pub fn draw_viewers(day: &Day) -> Vec<Viewer> {
    let mut rng = StdRng::seed_from_u64(day.seed);
    let mut viewers = Vec::new();
    let mut at_s = 0.0;
    let weights: Vec<(&String, f64)> = day.titles.iter().map(|(name, title)| (name, title.share)).collect();
    loop {
        at_s += -(1.0 - rng.random::<f64>()).ln() / day.viewers.per_s.max(1e-3);
        if at_s >= day.length_s {
            return viewers;
        }
        let class = pick(&mut rng, day.classes.iter().map(|class| class.share));
        let mut title = weights[pick(&mut rng, weights.iter().map(|w| w.1))].0.clone();
        for fault in &day.faults {
            if let FaultKind::Crowd { titles, share } = &fault.kind {
                let is_active = (fault.at_s..fault.at_s + fault.duration_s).contains(&at_s);
                if is_active && !titles.is_empty() && rng.random::<f64>() < *share {
                    title = titles[rng.random_range(0..titles.len())].clone();
                }
            }
        }
        let (min_s, max_s) = day.classes[class].watched_s;
        let top_rung = day.ladder.rates_kb_per_s.len() - 1;
        let small_screen = rng.random::<f64>() < day.viewers.small_screens;
        let max_rung = day.classes[class].class.max_rung.unwrap_or(top_rung).min(top_rung);
        let (leaves_early, impatient) =
            (rng.random::<f64>() < day.viewers.leave_early, rng.random::<f64>() < day.viewers.impatient);
        let seed = rng.random();
        viewers.push(Viewer {
            number: viewers.len(),
            at_s,
            zone: rng.random_range(0..day.zones.len()),
            class,
            tenant: (!day.tenants.is_empty()).then(|| pick(&mut rng, day.tenants.iter().map(|t| t.share))),
            title,
            watch_s: min_s + (max_s - min_s).max(0.0) * rng.random::<f64>(),
            max_rung: if small_screen {
                max_rung.saturating_sub(2).max(day.classes[class].class.min_rung)
            } else {
                max_rung
            },
            leaves_early,
            impatient,
            seed,
            connection_use: draw_connection_use(day, seed),
        });
    }
}

/// Draws an index with the probabilities given by the weights.
fn pick(rng: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = rng.random::<f64>() * weights.clone().sum::<f64>();
    let count = weights.clone().count();
    weights.take_while(|weight| (left -= weight, left >= 0.0).1).count().min(count.saturating_sub(1))
}

/// All players of a day.
pub struct PlayerPool {
    pub day: Arc<Day>,
    pub clock: Clock,
    pub tap: Tap,
    pub fleet: Fleet,
    /// The address of each controller. It stays until players have noticed that the controller is gone.
    pub controllers: RwLock<Vec<Option<SocketAddr>>>,
    pub defect: Option<Defect>,
    response_count: AtomicU64,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// What a viewer does after a request.
enum NextStep {
    Finish,
    /// Retries, if at all, after at least this many seconds.
    Retry(f64),
}

impl PlayerPool {
    /// Players that know no controller yet.
    pub fn new(day: Arc<Day>, clock: Clock, tap: Tap, fleet: Fleet, defect: Option<Defect>) -> PlayerPool {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let controllers = RwLock::new(vec![None; day.controllers.len()]);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        PlayerPool { day, clock, tap, fleet, controllers, defect, response_count: AtomicU64::new(0), client }
    }

    /// Runs one viewer, from its first request to its last.
    pub async fn watch(self: Arc<Self>, viewer: Viewer) {
        let mut rng = StdRng::seed_from_u64(viewer.seed);
        let until = Instant::now() + Duration::from_secs_f64(viewer.watch_s);
        for number in 0..MAX_REQUESTS {
            let remaining_s = until.saturating_duration_since(Instant::now()).as_secs_f64();
            if remaining_s < 0.5 {
                return;
            }
            let NextStep::Retry(wait_s) = self.request(&viewer, number, remaining_s, &mut rng).await else {
                return;
            };
            if rng.random::<f64>() >= self.day.viewers.returns {
                return;
            }
            let rejoin_s = self.day.viewers.rejoin_s * (0.5 + rng.random::<f64>());
            sleep(Duration::from_secs_f64(rejoin_s.max(wait_s))).await;
        }
    }

    /// Picks a controller of the zone, or of any zone if this one has none known to run. Some are picked more often.
    fn pick_controller(&self, zone: usize, rng: &mut StdRng) -> usize {
        let day = &self.day;
        let addresses = self.controllers.read().unwrap_or_else(PoisonError::into_inner).clone();
        let in_zone = |number: &usize| day.controllers[*number] == day.zones[zone];
        // Controllers known to be gone are left out; if all are, any is picked.
        let is_known = |number: &usize| addresses.get(*number).is_some_and(Option::is_some);
        let mut candidates: Vec<usize> =
            (0..day.controllers.len()).filter(is_known).filter(in_zone).collect();
        if candidates.is_empty() {
            candidates = (0..day.controllers.len()).filter(is_known).collect();
        }
        if candidates.is_empty() {
            candidates = (0..day.controllers.len()).collect();
        }
        let weight = |place: usize| 1.0 / (1.0 + day.viewers.controller_bias * 3.0 * place as f64);
        candidates[pick(rng, (0..candidates.len()).map(weight))]
    }

    /// Sends one request and plays the session that it gets, if any.
    async fn request(&self, viewer: &Viewer, number: u32, remaining_s: f64, rng: &mut StdRng) -> NextStep {
        let controller = self.pick_controller(viewer.zone, rng);
        let class = &self.day.classes[viewer.class];
        let request_id = format!("v{}.{number}", viewer.number);
        let now = self.clock.now();
        let deadline = now + class.class.deadline_s;
        self.fleet.with_model(|model, _| model.set_viewing_time(&request_id, remaining_s));
        self.tap.record_at(
            now,
            TapEvent::RequestSent {
                request_id: request_id.clone(),
                viewer: format!("v{}", viewer.number),
                controller,
                class: class.class.name.clone(),
                title: viewer.title.clone(),
                latency_goal: now + class.class.latency_goal_s,
                deadline,
                max_rung: viewer.max_rung,
                wanted_s: remaining_s,
            },
        );
        let address = self.controllers.read().unwrap_or_else(PoisonError::into_inner)[controller];
        let Some(address) = address else {
            self.tap.record(TapEvent::ResponseReceived { request_id, kind: ResponseKind::NoResponse });
            return NextStep::Retry(0.0);
        };
        let request = PlayRequest {
            title: viewer.title.clone(),
            class: class.class.name.clone(),
            tenant: viewer.tenant.map_or_else(String::new, |t| self.day.tenants[t].name.clone()),
            request_id: request_id.clone(),
            give_up_in_s: Some(class.class.deadline_s),
            max_rung: Some(viewer.max_rung),
            is_retry: number > 0,
            expected_duration_s: Some(remaining_s),
            cmcd: None,
        };
        let patience_s = if viewer.impatient {
            class.class.deadline_s * (0.1 + 0.5 * rng.random::<f64>())
        } else {
            class.class.deadline_s + self.day.rules.answer_slack_s
        };
        let give_up_at = Instant::now() + Duration::from_secs_f64(patience_s);
        // On timeout the request is dropped, which closes the connection, so that the controller notices.
        let result = match viewer.connection_use {
            ConnectionUse::Normal => timeout_at(give_up_at, self.post(address, viewer, &request)).await,
            ConnectionUse::ClosesHalf => {
                timeout_at(give_up_at, raw::post_and_close_half(address, &request)).await
            }
            ConnectionUse::Resets => {
                let _ = timeout_at(give_up_at, raw::post_and_reset(address, &request, rng.random())).await;
                self.tap.record(TapEvent::ViewerLeft { request_id });
                return NextStep::Finish;
            }
        };
        let Ok(result) = result else {
            self.tap.record(TapEvent::ViewerLeft { request_id });
            return NextStep::Finish;
        };
        let response = result.ok();
        let kind = match &response {
            Some(PlayResponse::Plays { .. }) => ResponseKind::Plays,
            Some(PlayResponse::Rejected { .. }) => ResponseKind::Rejected,
            Some(PlayResponse::Failed { .. }) => ResponseKind::Failed,
            Some(PlayResponse::NotAccepted { .. }) => ResponseKind::NotAccepted,
            None => ResponseKind::NoResponse,
        };
        let count = self.response_count.fetch_add(1, Ordering::Relaxed) + 1;
        if self.defect != Some(Defect::LostResponses) || !count.is_multiple_of(DEFECT_INTERVAL) {
            self.tap.record(TapEvent::ResponseReceived { request_id, kind });
        }
        match response {
            Some(PlayResponse::Plays { session, .. }) => {
                let leave_after_s = viewer.leaves_early.then_some(remaining_s / 2.0);
                self.play(address, session, remaining_s, leave_after_s).await
            }
            Some(
                PlayResponse::Rejected { retry_after_s, .. }
                | PlayResponse::NotAccepted { retry_after_s, .. },
            ) => NextStep::Retry(retry_after_s.unwrap_or(0.0)),
            Some(PlayResponse::Failed { .. }) if class.class.repeat_policy == RepeatPolicy::AtMostOnce => {
                NextStep::Finish
            }
            Some(PlayResponse::Failed { .. }) | None => NextStep::Retry(0.0),
        }
    }

    async fn post(
        &self,
        to: SocketAddr,
        viewer: &Viewer,
        request: &PlayRequest,
    ) -> Result<PlayResponse, BoxError> {
        let cmcd =
            Cmcd { session_id: Some(format!("v{}", viewer.number)), is_startup: true, ..Cmcd::default() };
        let mut builder =
            Request::builder().method(Method::POST).uri(format!("http://{to}/v1/subscriptions"));
        for (name, value) in cmcd.to_headers() {
            builder = builder.header(name, value);
        }
        let http_request = builder.body(Full::new(Bytes::from(serde_json::to_vec(request)?)))?;
        let response = self.client.request(http_request).await?;
        Ok(serde_json::from_slice(&response.into_body().collect().await?.to_bytes())?)
    }

    async fn call(&self, to: SocketAddr, method: Method, path: &str) -> Result<Response<Incoming>, BoxError> {
        let uri = format!("http://{to}{path}");
        Ok(self.client.request(Request::builder().method(method).uri(uri).body(Full::default())?).await?)
    }

    /// Follows the events of a session until it ends, or ends it earlier if the viewer leaves.
    async fn play(
        &self,
        to: SocketAddr,
        session: u32,
        remaining_s: f64,
        leave_after_s: Option<f64>,
    ) -> NextStep {
        let path = format!("/v1/subscriptions/{session}");
        let follow = async {
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
                    if let Ok(SessionEvent::Ended { reason }) = serde_json::from_slice(&line) {
                        return Some(reason);
                    }
                }
            }
            // The connection ended without an end event: the controller is gone.
            None
        };
        let time_limit = Duration::from_secs_f64(leave_after_s.unwrap_or(remaining_s + 10.0));
        match timeout(time_limit, follow).await {
            Ok(Some(EndReason::Served | EndReason::ViewerLeft)) => NextStep::Finish,
            Ok(Some(EndReason::ConnectionLost | EndReason::Moved | EndReason::Stopped) | None) => {
                NextStep::Retry(0.0)
            }
            Err(_) => {
                let _ = timeout(CONNECT_TIMEOUT, self.call(to, Method::DELETE, &path)).await;
                NextStep::Finish
            }
        }
    }
}

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
