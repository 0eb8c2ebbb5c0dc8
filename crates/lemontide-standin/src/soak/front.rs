//! Seeded days of `lemontide front`: sizes, viewers and faults depend on the seed; the check of rules gives the
//! verdict.

use crate::day::{Day, DayTenant, FaultKind, FaultWindow};
use crate::judge::{check_rules, Verdict};
use crate::run::{self, RunOptions};
use lemontide_wire::tap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::path::Path;

/// The day that each seed changes.
const BASE_DAY: &str = include_str!("../../../../days/short.json");
/// The number of controllers of a day, and of a large day, which about one seed in eight has.
const CONTROLLERS: std::ops::RangeInclusive<usize> = 2..=5;
const LARGE_DAY_SHARE: f64 = 0.12;
const LARGE_DAY_CONTROLLERS: std::ops::RangeInclusive<usize> = 8..=16;
/// New viewers per second, over all controllers.
const VIEWERS_PER_S: std::ops::RangeInclusive<f64> = 8.0..=40.0;
/// The number of faults of a day.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 2..=6;
/// The number of streamers that the base day starts with, and the index of the spare one.
const STREAMER_COUNT: usize = 8;
const SPARE_STREAMER: usize = 8;
const RACK_COUNT: usize = 2;
/// No fault begins in the last part of a day.
const QUIET_END_S: f64 = 2.0;

/// The outcome of a day.
pub struct Outcome {
    pub seed: u64,
    /// A summary of the day in one line.
    pub summary: String,
    pub verdict: Verdict,
}

/// Generates the day of a seed. Viewers arrive for this many seconds.
pub fn generate_day(seed: u64, seconds: f64) -> io::Result<Day> {
    let mut day: Day = serde_json::from_str(BASE_DAY)?;
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x6672_6f6e);
    (day.name, day.about) = (format!("front-{seed}"), String::new());
    (day.seed, day.length_s) = (seed, seconds);
    let is_large = rng.random_bool(LARGE_DAY_SHARE);
    let controllers = rng.random_range(if is_large { LARGE_DAY_CONTROLLERS } else { CONTROLLERS });
    day.controllers = (0..controllers).map(|at| day.zones[at % day.zones.len()].clone()).collect();
    day.viewers.per_s = rng.random_range(VIEWERS_PER_S);
    let mut part = |max: f64| if rng.random_bool(0.6) { max * rng.random::<f64>() } else { 0.0 };
    day.viewers.impatient = part(0.1);
    day.viewers.close_half = part(0.2);
    day.viewers.reset = part(0.1);
    day.viewers.leave_early = part(0.3);
    let tenants = rng.random_range(0..=3);
    let tenant = |at: usize| DayTenant { name: format!("t{at}"), quota_per_s: 10.0, share: 1.0 };
    day.tenants = (0..tenants).map(tenant).collect();
    day.over_share_gain = if tenants > 0 { 0.2 } else { 0.0 };
    let count = rng.random_range(FAULT_COUNT);
    let latest = seconds - QUIET_END_S;
    day.faults = (0..count).map(|at| generate_fault(&day, &mut rng, at, latest)).collect();
    Ok(day)
}

/// Generates one fault. The number selects its kind, so that each kind occurs at most once.
fn generate_fault(day: &Day, rng: &mut StdRng, number: usize, latest: f64) -> FaultWindow {
    // Each fault has its own streamers or controllers, so that its end does not end another one.
    let on = vec![number % STREAMER_COUNT];
    let controller = vec![rng.random_range(0..day.controllers.len())];
    let part = |rng: &mut StdRng| rng.random_range(0.1..0.7);
    let what = match number {
        0 => match rng.random_range(0..3) {
            0 => FaultKind::KillControllers { on: controller, down_s: 0.6 },
            1 => FaultKind::PauseControllers { on: controller },
            _ => FaultKind::LeaveControllers { on: controller },
        },
        1 => FaultKind::AnswersLost { on, share: part(rng), reset: rng.random_bool(0.5) },
        2 => match rng.random_range(0..3) {
            0 => FaultKind::Hang { on },
            1 => FaultKind::Vanish { on },
            _ => FaultKind::Deaf { on },
        },
        3 => FaultKind::Removal { on, notice_s: 0.6, spares: vec![SPARE_STREAMER], spares_after_s: 0.8 },
        4 => match rng.random_range(0..2) {
            0 => FaultKind::QuickErrors { on, share: part(rng) },
            _ => FaultKind::WeakUplink { racks: vec![rng.random_range(0..RACK_COUNT)], times: 3.0 },
        },
        _ => FaultKind::Crowd { titles: day.titles.keys().take(2).cloned().collect(), share: part(rng) },
    };
    FaultWindow { at_s: rng.random_range(0.5..latest), duration_s: rng.random_range(0.5..3.0), kind: what }
}

/// The kind of a fault, as named in the type `FaultKind`.
fn fault_kind(fault: &FaultWindow) -> String {
    let debug = format!("{:?}", fault.kind);
    debug.split_whitespace().next().unwrap_or_default().to_owned()
}

/// Runs the day of a seed.
pub async fn run_seed(seed: u64, program: &Path, seconds: f64, folder: &Path) -> io::Result<Outcome> {
    let day = generate_day(seed, seconds)?;
    day.check().map_err(|(path, what)| io::Error::other(format!("seed {seed}: {path}: {what}")))?;
    let faults: Vec<String> = day.faults.iter().map(fault_kind).collect();
    let controllers = day.controllers.len();
    let how = RunOptions { program: program.to_owned(), folder: folder.to_owned(), defect: None };
    let finished = run::run(day, how).await?;
    let mut lines = Vec::new();
    for file in finished.taps.iter().filter(|file| file.exists()) {
        lines.extend(tap::read_records(file)?);
    }
    let verdict = check_rules(&lines)
        .ok_or_else(|| io::Error::other("the taps do not contain the rules of the day"))?;
    let result = if verdict.is_clean() { "no rule broken" } else { "a rule broken" };
    let summary = format!(
        "front seed {seed}: {controllers} controllers, {} viewers, {}: {result}",
        finished.viewers,
        faults.join(", ")
    );
    Ok(Outcome { seed, summary, verdict })
}
