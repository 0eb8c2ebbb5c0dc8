//! Points in time and spans between them, in whole microseconds; the two can't be mixed up.

use std::ops::{Add, Mul, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Point(i64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Point {
    pub fn at(seconds: f64) -> Self {
        Point((seconds * 1e6).round() as i64)
    }

    /// Which turn of the given length this moment falls in, counted from the clock's zero.
    pub fn turn(self, length: Span) -> i64 {
        self.0.div_euclid(length.0.max(1))
    }

    /// How far into its turn of the given length this moment is.
    pub fn into_turn(self, length: Span) -> Span {
        Span(self.0.rem_euclid(length.0.max(1)))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn of_millis(millis: i64) -> Self {
        Span(millis * 1000)
    }

    pub fn of(seconds: f64) -> Self {
        Span((seconds * 1e6).round() as i64)
    }

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
