//! Points in time and durations, in whole microseconds, as two types that can't be mixed up.

use std::ops::{Add, Mul, Sub};

/// A moment, in microseconds since the clock's zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Point(i64);

/// A duration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Point {
    /// The moment so many seconds after the clock's zero.
    pub fn at(seconds: f64) -> Self {
        Point((seconds * 1e6).round() as i64)
    }

    /// The number of the turn of the given length that contains this moment, counted from the clock's zero.
    pub fn turn(self, length: Span) -> i64 {
        self.0.div_euclid(length.0.max(1))
    }

    /// Time since the start of the turn of the given length that contains this moment.
    pub fn into_turn(self, length: Span) -> Span {
        Span(self.0.rem_euclid(length.0.max(1)))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// So many milliseconds.
    pub const fn of_millis(millis: i64) -> Self {
        Span(millis * 1000)
    }

    /// So many seconds, rounded to microseconds.
    pub fn of(seconds: f64) -> Self {
        Span((seconds * 1e6).round() as i64)
    }

    /// The duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Sub for Point {
    type Output = Span;
    fn sub(self, earlier: Point) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Point {
    type Output = Point;
    fn add(self, span: Span) -> Point {
        Point(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Point {
    type Output = Point;
    fn sub(self, span: Span) -> Point {
        Point(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as i64)
    }
}
