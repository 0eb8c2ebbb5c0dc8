//! lemontide: places video sessions on media servers and sets their quality.
//! `control` makes every decision; `interface` has the types of its calls, `records` the state it keeps,
//! `clock` points in time and durations, `random` a pseudo-random generator.

pub mod clock;
pub mod control;
pub mod interface;
pub mod log_values;
pub mod random;
mod records;
