//! Seeded days of `lemontide front`: sizes, viewers and troubles are drawn by the seed, the judge is that of days.

use crate::day::{Day, DayTenant, Trouble, What};
use crate::judge::{judge, Verdict};
use crate::run::{self, How};
use lemontide_wire::tap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::path::Path;

/// The day that is changed by the seed.
const BASE: &str = include_str!("../../../../days/short.json");
/// Controllers of a day, and of one in eight.
const CONTROLLERS: std::ops::RangeInclusive<usize> = 2..=5;
const LARGE_PART: f64 = 0.12;
const LARGE_CONTROLLERS: std::ops::RangeInclusive<usize> = 8..=16;
/// New viewers a second, over all controllers.
const VIEWERS_PER_S: std::ops::RangeInclusive<f64> = 8.0..=40.0;
const TROUBLES: std::ops::RangeInclusive<usize> = 2..=6;
/// Streamers of the base that are there from the start, and the spare one.
const STREAMERS: usize = 8;
const SPARE: usize = 8;
const RACKS: usize = 2;
/// Quiet time at the end of a day, in seconds.
const QUIET_END: f64 = 2.0;

/// How a day ended.
pub struct Outcome {
    pub seed: u64,
    /// One line on the day.
    pub summary: String,
    pub verdict: Verdict,
}

/// The day of a seed: viewers come for so many seconds.
pub fn draw(seed: u64, seconds: f64) -> io::Result<Day> {
    let mut day: Day = serde_json::from_str(BASE)?;
    let mut chance = StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x6672_6f6e);
    (day.name, day.about) = (format!("front-{seed}"), String::new());
    (day.seed, day.length_s) = (seed, seconds);
    let is_large = chance.random_bool(LARGE_PART);
    let controllers = chance.random_range(if is_large { LARGE_CONTROLLERS } else { CONTROLLERS });
    day.controllers = (0..controllers).map(|at| day.zones[at % day.zones.len()].clone()).collect();
    day.viewers.per_s = chance.random_range(VIEWERS_PER_S);
    let mut part = |most: f64| if chance.random_bool(0.6) { most * chance.random::<f64>() } else { 0.0 };
    day.viewers.impatient = part(0.1);
    day.viewers.close_half = part(0.2);
    day.viewers.reset = part(0.1);
    day.viewers.leave_early = part(0.3);
    let tenants = chance.random_range(0..=3);
    let tenant = |at: usize| DayTenant { name: format!("t{at}"), quota_per_s: 10.0, share: 1.0 };
    day.tenants = (0..tenants).map(tenant).collect();
    day.over_share_gain = if tenants > 0 { 0.2 } else { 0.0 };
    let count = chance.random_range(TROUBLES);
    let last = seconds - QUIET_END;
    day.troubles = (0..count).map(|at| trouble(&day, &mut chance, at, last)).collect();
    Ok(day)
}

/// One trouble; each kind at most once, by its place.
fn trouble(day: &Day, chance: &mut StdRng, place: usize, last: f64) -> Trouble {
    // Each is at streamers or controllers of its own: a trouble that ends takes no other with it.
    let on = vec![place % STREAMERS];
    let controller = vec![chance.random_range(0..day.controllers.len())];
    let part = |chance: &mut StdRng| chance.random_range(0.1..0.7);
    let what = match place {
        0 => match chance.random_range(0..3) {
            0 => What::KillControllers { on: controller, down_s: 0.6 },
            1 => What::PauseControllers { on: controller },
            _ => What::LeaveControllers { on: controller },
        },
        1 => What::AnswersLost { on, share: part(chance), reset: chance.random_bool(0.5) },
        2 => match chance.random_range(0..3) {
            0 => What::Hang { on },
            1 => What::Vanish { on },
            _ => What::Deaf { on },
        },
        3 => What::Removal { on, notice_s: 0.6, spares: vec![SPARE], spares_after_s: 0.8 },
        4 => match chance.random_range(0..2) {
            0 => What::QuickErrors { on, share: part(chance) },
            _ => What::WeakUplink { racks: vec![chance.random_range(0..RACKS)], times: 3.0 },
        },
        _ => What::Crowd { titles: day.titles.keys().take(2).cloned().collect(), share: part(chance) },
    };
    Trouble { at_s: chance.random_range(0.5..last), for_s: chance.random_range(0.5..3.0), what }
}

/// The kind of a trouble, as a day names it.
fn kind(trouble: &Trouble) -> String {
    let debug = format!("{:?}", trouble.what);
    debug.split_whitespace().next().unwrap_or_default().to_owned()
}

/// Plays the day of a seed.
pub async fn play(seed: u64, program: &Path, seconds: f64, folder: &Path) -> io::Result<Outcome> {
    let day = draw(seed, seconds)?;
    day.check().map_err(|(path, what)| io::Error::other(format!("seed {seed}: {path}: {what}")))?;
    let troubles: Vec<String> = day.troubles.iter().map(kind).collect();
    let controllers = day.controllers.len();
    let how = How { program: program.to_owned(), folder: folder.to_owned(), fault: None };
    let ran = run::run(day, how).await?;
    let mut lines = Vec::new();
    for file in ran.taps.iter().filter(|file| file.exists()) {
        lines.extend(tap::read_records(file)?);
    }
    let verdict = judge(&lines).ok_or_else(|| io::Error::other("the taps state no terms"))?;
    let word = if verdict.is_clean() { "no rule broken" } else { "a rule broken" };
    let summary = format!(
        "front seed {seed}: {controllers} controllers, {} viewers, {}: {word}",
        ran.viewers,
        troubles.join(", ")
    );
    Ok(Outcome { seed, summary, verdict })
}
