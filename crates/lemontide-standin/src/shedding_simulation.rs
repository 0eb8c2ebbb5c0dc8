//! Simulation of load shedding by many controllers in virtual time: the load shedders of `lemontide-shed` in front of
//! simple servers, and viewers who retry rejected requests. Shows whether requests that one controller sheds become bursts
//! at the others.

use lemontide::clock::{Point, Span};
use lemontide_shed::admission::{Class, Decision};
use lemontide_shed::load_level::Resource;
use lemontide_shed::request_queue::{Dequeued, Enqueued, QueueDiscipline, RequestQueue};
use lemontide_shed::shedder::{IncomingRequest, LoadShedder, LoadShedderSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of controllers.
    pub controllers: usize,
    /// Set-ups per second that one controller can process.
    pub set_ups_per_s: f64,
    /// Cost of a rejection relative to a set-up.
    pub rejection_cost: f64,
    /// Arrival rate of new viewers at all controllers over their total capacity, for each second of the run.
    pub load: Vec<f64>,
    /// Part of the viewers in the paid class.
    pub paid: f64,
    /// Gain of a paid session over that of another.
    pub gain: f64,
    /// Most retries of a viewer.
    pub max_retries: u32,
    /// Viewers wait as long as the load shedder says, which spreads them; otherwise all wait the longest time.
    pub spreads_retries: bool,
    /// Without load shedding, each controller accepts all requests.
    pub sheds: bool,
    /// Longest time to wait before a retry.
    pub max_retry_after_s: f64,
    /// Viewers give up after this time.
    pub deadline_s: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            controllers: 50,
            set_ups_per_s: 200.0,
            rejection_cost: 0.06,
            load: [vec![0.7; 5], vec![3.0; 8], vec![0.7; 10]].concat(),
            paid: 0.2,
            gain: 4.0,
            max_retries: 1,
            spreads_retries: true,
            sheds: true,
            max_retry_after_s: 2.0,
            deadline_s: 2.0,
            seed: 1,
        }
    }
}

/// Result of a simulation, summed over all controllers.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// Number of viewers.
    pub viewers: u64,
    /// Number of requests, with retries.
    pub requests: u64,
    /// Requests that led to a playing session.
    pub plays: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that were answered after the deadline.
    pub late: u64,
    /// Gain that was earned over the most that the total capacity could earn.
    pub gain: f64,
    /// Most requests in a tenth of a second over the mean of the second around it, after the first rejection and not near a
    /// step of the load.
    pub peak_ratio: f64,
    /// Arrival rate of requests, with retries, over capacity in each second.
    pub offered_load: Vec<f64>,
    /// Time from the end of the burst to the last rejection.
    pub recovery_s: f64,
    /// Part of the paid viewers who play in the end.
    pub paid_served: f64,
}

struct Server {
    shedder: LoadShedder,
    /// Admitted requests that wait: class, retries, and time of arrival.
    queue: RequestQueue<(usize, u32, f64)>,
    /// Work beyond the capacity of the last steps, in set-ups; it reduces the capacity of the next step.
    excess_work: f64,
    /// CPU utilization since the last measurement.
    utilization: f64,
}

/// Step of the virtual time.
const STEP_S: f64 = 0.01;

/// Runs a simulation. The same configuration gives the same result.
pub fn simulate(config: &SimulationConfig) -> SimulationResult {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let point = |s: f64| Point::at(1000.0 + s);
    let class = |gain: f64| Class { gain, mean_cost: 1.0, reserved_share: 0.0 };
    let settings = LoadShedderSettings {
        classes: vec![class(config.gain), class(1.0)],
        tenant_quotas: Vec::new(),
        max_retry_after: Span::of(config.max_retry_after_s),
        max_hold: Span::ZERO,
        max_delay: Span::of_millis(100),
    };
    let server = |i: usize| Server {
        shedder: LoadShedder::new(point(0.0), settings.clone(), config.seed.wrapping_mul(1000) + i as u64),
        queue: RequestQueue::new(
            if config.sheds { QueueDiscipline::ByRank } else { QueueDiscipline::Fifo },
            4096,
            4096,
            2,
        ),
        excess_work: 0.0,
        utilization: 0.0,
    };
    let mut servers: Vec<Server> = (0..config.controllers).map(server).collect();
    let mut result = SimulationResult::default();
    // Retries to come: their time in microseconds, a serial number, class, and number of the retry.
    let mut retries: BinaryHeap<Reverse<(u64, u64, usize, u32)>> = BinaryHeap::new();
    let duration_s = config.load.len() as f64;
    let steps = (duration_s / STEP_S) as usize;
    let mut requests_by_tenth = vec![0.0; (duration_s * 10.0) as usize + 1];
    let (mut due_viewers, mut retry_number) = (0.0, 0u64);
    let (mut first_rejection, mut last_rejection) = (f64::INFINITY, 0.0);
    let (mut earned_gain, mut paid, mut paid_plays) = (0.0, 0u64, 0u64);
    for step in 0..steps {
        let now = step as f64 * STEP_S;
        due_viewers += config.load[step / 100] * config.set_ups_per_s * config.controllers as f64 * STEP_S;
        let (mut requests, mut rejected) = (Vec::new(), Vec::new());
        while due_viewers >= 1.0 {
            due_viewers -= 1.0;
            result.viewers += 1;
            let class = usize::from(rng.random::<f64>() >= config.paid);
            paid += u64::from(class == 0);
            requests.push((class, 0));
        }
        while let Some(Reverse((due_us, _, class, retry))) = retries.peek().copied() {
            if due_us as f64 / 1e6 > now {
                break;
            }
            retries.pop();
            requests.push((class, retry));
        }
        for (class, retry) in requests {
            result.requests += 1;
            requests_by_tenth[step / 10] += 1.0;
            // A retry is sent to any controller, too.
            let index = rng.random_range(0..servers.len());
            let server = &mut servers[index];
            let decision = if config.sheds {
                let time_left = Span::of(config.deadline_s);
                let request = IncomingRequest {
                    class,
                    tenant: "",
                    is_retry: retry > 0,
                    time_left,
                    was_held: false,
                    decide_now: true,
                };
                server.shedder.decide(point(now), request)
            } else {
                Decision::Admit
            };
            let mut rejection = None;
            match decision {
                Decision::Admit | Decision::Hold { .. } => {
                    // Without shedding, requests stay in the queue after their deadline and are processed.
                    let deadline = if config.sheds { now + config.deadline_s } else { f64::MAX / 1e300 };
                    match server.queue.push(class, point(deadline), (class, retry, now)) {
                        Enqueued::Waiting => {}
                        Enqueued::Displaced((class, retry, _)) | Enqueued::Rejected((class, retry, _)) => {
                            rejection = Some((class, retry, server.shedder.retry_after(point(now))));
                        }
                    }
                }
                Decision::Reject { retry_after } => rejection = Some((class, retry, retry_after)),
            }
            if let Some(rejection) = rejection {
                rejected.push((index, rejection));
            }
        }
        let measures_load = step % 5 == 4;
        for (index, server) in servers.iter_mut().enumerate() {
            let mut capacity_left = config.set_ups_per_s * STEP_S - server.excess_work;
            let capacity = config.set_ups_per_s * STEP_S;
            let oldest_wait_s = server.queue.heads().map(|(_, _, since)| now - since).fold(0.0, f64::max);
            while capacity_left > 0.0 {
                match server.queue.pop(point(now)) {
                    None => break,
                    Some(Dequeued::Expired((class, retry, _))) => {
                        let retry_after = server.shedder.retry_after(point(now));
                        rejected.push((index, (class, retry, retry_after)));
                    }
                    Some(Dequeued::Ready((class, _, since))) => {
                        capacity_left -= 1.0;
                        server.shedder.request_started();
                        if now - since > config.deadline_s {
                            result.late += 1;
                        } else {
                            result.plays += 1;
                            earned_gain += if class == 0 { config.gain } else { 1.0 };
                            paid_plays += u64::from(class == 0);
                        }
                    }
                }
            }
            // Unused capacity can't be saved; excess work is subtracted from the next step.
            server.excess_work = (-capacity_left).max(0.0);
            server.utilization += (capacity - capacity_left.max(0.0)).min(capacity) / capacity / 5.0;
            if measures_load {
                server.shedder.observe(point(now), Resource::Cpu, std::mem::take(&mut server.utilization));
                server.shedder.observe(point(now), Resource::QueueDelay, oldest_wait_s / 0.1);
                server.shedder.tick(point(now));
                let (ranks, shares) = server.shedder.ranks_and_shares();
                server.queue.set_ranks(ranks, &shares);
            }
        }
        for (index, (class, retry, retry_after)) in rejected {
            servers[index].excess_work += config.rejection_cost;
            result.rejected += 1;
            first_rejection = now.min(first_rejection);
            last_rejection = now;
            if retry < config.max_retries {
                let wait_s =
                    if config.spreads_retries { retry_after.seconds() } else { config.max_retry_after_s };
                retry_number += 1;
                retries.push(Reverse((((now + wait_s) * 1e6) as u64, retry_number, class, retry + 1)));
            }
        }
    }
    let total_capacity = config.set_ups_per_s * config.controllers as f64;
    result.offered_load = requests_by_tenth
        .chunks(10)
        .take(config.load.len())
        .map(|second| second.iter().sum::<f64>() / total_capacity)
        .collect();
    // Peaks near the steps of the load itself don't count.
    let is_steady = |tenth: usize| {
        let load = |tenth: usize| config.load.get(tenth / 10).copied().unwrap_or(0.0);
        (tenth.saturating_sub(12)..tenth + 7).all(|other| load(other) == load(tenth))
    };
    let first_tenth = ((first_rejection.min(duration_s) * 10.0) as usize).max(12);
    for tenth in first_tenth..requests_by_tenth.len().saturating_sub(6) {
        if is_steady(tenth) {
            let mean = requests_by_tenth[tenth.saturating_sub(5)..tenth + 5].iter().sum::<f64>() / 10.0;
            result.peak_ratio = result.peak_ratio.max(requests_by_tenth[tenth] / mean.max(1.0));
        }
    }
    let burst_end = config.load.iter().rposition(|load| *load > 1.0).map_or(0.0, |last| last as f64 + 1.0);
    result.recovery_s = (last_rejection - burst_end).max(0.0);
    // The most that can be earned: in each second all paid viewers, and others with the capacity that is left.
    let best_gain: f64 = config
        .load
        .iter()
        .map(|load| {
            let paid = (load * config.paid).min(1.0);
            paid * config.gain + (load * (1.0 - config.paid)).min(1.0 - paid)
        })
        .sum();
    result.gain = earned_gain / (best_gain * total_capacity);
    result.paid_served = paid_plays as f64 / paid.max(1) as f64;
    result
}
