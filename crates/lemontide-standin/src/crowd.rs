//! Many controllers that shed at once, in virtual time: the keepers of `lemontide-shed` before simple servers, and
//! viewers who come again where they were turned back. Shows whether what one sheds becomes another's burst.

use lemontide::clock::{Point, Span};
use lemontide_shed::admission::{Class, Decision};
use lemontide_shed::load_level::Resource;
use lemontide_shed::request_queue::{Dequeued, Enqueued, QueueDiscipline, RequestQueue};
use lemontide_shed::shedder::{IncomingRequest, LoadShedder, LoadShedderSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Debug)]
pub struct Plan {
    pub controllers: usize,
    /// Set-ups a second that one controller can do, and what a turn-back costs next to a set-up.
    pub capacity: f64,
    pub turn_back_cost: f64,
    /// Viewers a second over all controllers, over all their capacity, in each second of the run.
    pub load: Vec<f64>,
    /// Part of the best lane, and its gain over the other's.
    pub paid: f64,
    pub gain: f64,
    /// Viewers come again so many times at most.
    pub again: u32,
    /// Waits are spread as the keeper says them; otherwise all are told the longest.
    pub spread: bool,
    /// Without keepers each controller takes all that comes.
    pub sheds: bool,
    pub longest_s: f64,
    pub cut_off_s: f64,
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            controllers: 50,
            capacity: 200.0,
            turn_back_cost: 0.06,
            load: [vec![0.7; 5], vec![3.0; 8], vec![0.7; 10]].concat(),
            paid: 0.2,
            gain: 4.0,
            again: 1,
            spread: true,
            sheds: true,
            longest_s: 2.0,
            cut_off_s: 2.0,
            seed: 1,
        }
    }
}

/// What came of it, summed over all controllers.
#[derive(Clone, Debug, Default)]
pub struct Came {
    /// Viewers, and wishes with those who came again.
    pub viewers: u64,
    pub wishes: u64,
    pub plays: u64,
    pub turned_back: u64,
    /// Answered after the cut-off.
    pub late: u64,
    /// Gain that came over what the whole capacity could have earned at best.
    pub gain: f64,
    /// Most wishes in a tenth of a second over the mean of the second around it, after the first turn-back and
    /// not at a step of the load.
    pub peak: f64,
    /// Wishes over capacity in each second.
    pub offered: Vec<f64>,
    /// Seconds after the burst until nobody was turned back any more.
    pub recovered_s: f64,
    /// Part of the paid wishes that play, by their last try.
    pub paid_served: f64,
}

struct Server {
    keeper: LoadShedder,
    /// Wishes that were taken and wait: lane, tries, and when they came.
    room: RequestQueue<(usize, u32, f64)>,
    /// Work that was done in this tenth of a second beyond what time gave, in set-ups.
    owes: f64,
    busy: f64,
}

const STEP: f64 = 0.01;

/// Plays a plan. The same plan gives the same result.
pub fn play(plan: &Plan) -> Came {
    let mut chance = StdRng::seed_from_u64(plan.seed);
    let at = |s: f64| Point::at(1000.0 + s);
    let lane = |gain: f64| Class { gain, mean_cost: 1.0, reserved_share: 0.0 };
    let terms = LoadShedderSettings {
        classes: vec![lane(plan.gain), lane(1.0)],
        tenant_quotas: Vec::new(),
        max_retry_after: Span::of(plan.longest_s),
        max_hold: Span::ZERO,
        max_delay: Span::of_millis(100),
    };
    let server = |i: usize| Server {
        keeper: LoadShedder::new(at(0.0), terms.clone(), plan.seed.wrapping_mul(1000) + i as u64),
        room: RequestQueue::new(
            if plan.sheds { QueueDiscipline::ByRank } else { QueueDiscipline::Fifo },
            4096,
            4096,
            2,
        ),
        owes: 0.0,
        busy: 0.0,
    };
    let mut servers: Vec<Server> = (0..plan.controllers).map(server).collect();
    let mut came = Came::default();
    // Viewers who come again: when, in microseconds, lane and how often they asked.
    let mut returns: BinaryHeap<Reverse<(u64, u64, usize, u32)>> = BinaryHeap::new();
    let lasts = plan.load.len() as f64;
    let steps = (lasts / STEP) as usize;
    let mut tenths = vec![0.0; (lasts * 10.0) as usize + 1];
    let (mut due, mut number, mut first_back, mut last_back) = (0.0, 0u64, f64::INFINITY, 0.0);
    let (mut earned, mut paid, mut paid_plays) = (0.0, 0u64, 0u64);
    for step in 0..steps {
        let now = step as f64 * STEP;
        due += plan.load[step / 100] * plan.capacity * plan.controllers as f64 * STEP;
        let (mut wishes, mut turned) = (Vec::new(), Vec::new());
        while due >= 1.0 {
            due -= 1.0;
            came.viewers += 1;
            let lane = usize::from(chance.random::<f64>() >= plan.paid);
            paid += u64::from(lane == 0);
            wishes.push((lane, 0));
        }
        while let Some(Reverse((when, _, lane, tries))) = returns.peek().copied() {
            if when as f64 / 1e6 > now {
                break;
            }
            returns.pop();
            wishes.push((lane, tries));
        }
        for (lane, tries) in wishes {
            came.wishes += 1;
            tenths[step / 10] += 1.0;
            // Whoever comes again asks any controller.
            let to = chance.random_range(0..servers.len());
            let server = &mut servers[to];
            let word = if plan.sheds {
                let left = Span::of(plan.cut_off_s);
                let asked = IncomingRequest {
                    class: lane,
                    tenant: "",
                    is_retry: tries > 0,
                    time_left: left,
                    was_held: false,
                    decide_now: true,
                };
                server.keeper.decide(at(now), asked)
            } else {
                Decision::Admit
            };
            let mut back = None;
            match word {
                Decision::Admit | Decision::Hold { .. } => {
                    // Without shedding nobody looks whether it is too late before the work is done.
                    let until = if plan.sheds { now + plan.cut_off_s } else { f64::MAX / 1e300 };
                    match server.room.push(lane, at(until), (lane, tries, now)) {
                        Enqueued::Waiting => {}
                        Enqueued::Displaced((lane, tries, _)) | Enqueued::Rejected((lane, tries, _)) => {
                            back = Some((lane, tries, server.keeper.retry_after(at(now))));
                        }
                    }
                }
                Decision::Reject { retry_after: wait } => back = Some((lane, tries, wait)),
            }
            if let Some(back) = back {
                turned.push((to, back));
            }
        }
        let reads = step % 5 == 4;
        for (to, server) in servers.iter_mut().enumerate() {
            let mut room = plan.capacity * STEP - server.owes;
            let had = plan.capacity * STEP;
            let oldest = server.room.heads().map(|(_, _, since)| now - since).fold(0.0, f64::max);
            while room > 0.0 {
                match server.room.pop(at(now)) {
                    None => break,
                    Some(Dequeued::Expired((lane, tries, _))) => {
                        let wait = server.keeper.retry_after(at(now));
                        turned.push((to, (lane, tries, wait)));
                    }
                    Some(Dequeued::Ready((lane, _, since))) => {
                        room -= 1.0;
                        server.keeper.request_started();
                        if now - since > plan.cut_off_s {
                            came.late += 1;
                        } else {
                            came.plays += 1;
                            earned += if lane == 0 { plan.gain } else { 1.0 };
                            paid_plays += u64::from(lane == 0);
                        }
                    }
                }
            }
            // What was not used can't be saved up; what was done too much is owed.
            server.owes = (-room).max(0.0);
            server.busy += (had - room.max(0.0)).min(had) / had / 5.0;
            if reads {
                server.keeper.observe(at(now), Resource::Cpu, std::mem::take(&mut server.busy));
                server.keeper.observe(at(now), Resource::QueueDelay, oldest / 0.1);
                server.keeper.tick(at(now));
                let (rank, share) = server.keeper.ranks_and_shares();
                server.room.set_ranks(rank, &share);
            }
        }
        for (to, (lane, tries, wait)) in turned {
            servers[to].owes += plan.turn_back_cost;
            came.turned_back += 1;
            first_back = now.min(first_back);
            last_back = now;
            if tries < plan.again {
                let wait = if plan.spread { wait.seconds() } else { plan.longest_s };
                number += 1;
                returns.push(Reverse((((now + wait) * 1e6) as u64, number, lane, tries + 1)));
            }
        }
    }
    let whole = plan.capacity * plan.controllers as f64;
    came.offered = tenths.chunks(10).take(plan.load.len()).map(|s| s.iter().sum::<f64>() / whole).collect();
    // Not around the steps of the load itself.
    let steady = |tenth: usize| {
        let second = |tenth: usize| plan.load.get(tenth / 10).copied().unwrap_or(0.0);
        (tenth.saturating_sub(12)..tenth + 7).all(|other| second(other) == second(tenth))
    };
    for tenth in ((first_back.min(lasts) * 10.0) as usize).max(12)..tenths.len().saturating_sub(6) {
        if steady(tenth) {
            let mean = tenths[tenth.saturating_sub(5)..tenth + 5].iter().sum::<f64>() / 10.0;
            came.peak = came.peak.max(tenths[tenth] / mean.max(1.0));
        }
    }
    let burst_ends = plan.load.iter().rposition(|load| *load > 1.0).map_or(0.0, |last| last as f64 + 1.0);
    came.recovered_s = (last_back - burst_ends).max(0.0);
    // At best: in each second as many of the paid as there are, and others for what is left.
    let best: f64 = plan
        .load
        .iter()
        .map(|load| {
            let paid = (load * plan.paid).min(1.0);
            paid * plan.gain + (load * (1.0 - plan.paid)).min(1.0 - paid)
        })
        .sum();
    came.gain = earned / (best * whole);
    came.paid_served = paid_plays as f64 / paid.max(1) as f64;
    came
}
