//! A controller that knows its own limit. `gauge` smooths what is measured of the process, `level` makes one level
//! of load of it, `admit` says whom to take, to hold or to turn back at that level. No I/O: figures, time and
//! chance come as arguments.

pub mod admit;
pub mod gauge;
pub mod level;
