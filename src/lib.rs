//! lemontide: places video subscriptions on media servers and shapes their quality.
//! `control` holds every decision; `interface` the types of its calls, `books` the records it keeps;
//! `clock` and `chance` what it knows of time and luck.

mod books;
pub mod chance;
pub mod clock;
pub mod control;
pub mod interface;
