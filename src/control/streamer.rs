//! Health of one streamer, by a sequential test of its outcomes, and its slow start over all controllers.

use super::*;

impl Streamer {
    /// One step of the sequential test; the log odds never fall below zero.
    pub(super) fn add_evidence(&mut self, now: Point, log_odds: f64) {
        self.failure_log_odds =
            (self.failure_log_odds_now(now) + log_odds).clamp(0.0, 2.0 * EXCLUDED_LOG_ODDS);
        self.failure_log_odds_at = now;
        // Own successes outweigh reports of others: otherwise a streamer that serves is used last for as long as
        // one controller reports falsely that it fails.
        if log_odds < 0.0 {
            self.peer_log_odds *= 0.5;
        }
    }

    /// Log odds from reports of other controllers, decayed until now.
    pub(super) fn peer_log_odds_now(&self, now: Point) -> f64 {
        (self.peer_log_odds - LOG_ODDS_DECAY_PER_S * (now - self.peer_log_odds_at).seconds()).max(0.0)
    }

    /// Log odds from own outcomes, decayed until now.
    pub(super) fn failure_log_odds_now(&self, now: Point) -> f64 {
        (self.failure_log_odds - LOG_ODDS_DECAY_PER_S * (now - self.failure_log_odds_at).seconds()).max(0.0)
    }

    /// Whether this controller can send to the streamer now. Controllers take turns at a cold streamer by number:
    /// otherwise all of them overload a streamer that came back. A turn is two windows long and only its first
    /// half allows sends, so that every window overlaps one turn at most; the sends of a whole turn stay below
    /// the budget of the streamer at its coldest.
    pub(super) fn turn_allows_send(&self, policy: &Policy, now: Point) -> bool {
        // A controller that restarted itself has an old list: for a while, any streamer can be cold.
        let is_cold = self.is_cold(policy, now);
        if !is_cold && now - policy.started_at >= get_span(&policy.settings, "cold.span") * 0.5 {
            return true;
        }
        let sends_per_s = self.max_streams / policy.number_or("cold.span", 0.0).max(1e-3)
            * policy.number_or("cold.from", 1.0);
        let window = get_span(&policy.settings, "cold.window");
        let budget = sends_per_s * policy.number_or("cold.multiple", 1.0) * window.seconds();
        let (own_budget, turn) = (budget * OWN_TURN_BUDGET_RATIO, now.turn(window * 2.0));
        let sent = if self.sends_in_turn.0 == turn { self.sends_in_turn.1 } else { 0 };
        // As many controllers share a turn as the budget allows sends: otherwise a round of all turns takes
        // longer than the warm-up.
        let sharing = own_budget.floor().clamp(1.0, policy.controller_count());
        let turns_in_round = (policy.controller_count() / sharing).ceil() as i64;
        // Sends that are written late, clocks that are ahead, and a controller that restarted within its turn and
        // no longer knows what it sent would put the sends of two turns into one window.
        let margin = get_span(&policy.settings, "clocks.apart") + get_span(&policy.settings, "dial.timeout");
        let is_open =
            now.into_turn(window * 2.0) < window - margin && policy.started_at.turn(window * 2.0) < turn;
        let has_turn =
            |number: f64| is_open && turn.rem_euclid(turns_in_round) as f64 == (number / sharing).floor();
        let own_sends = (own_budget / sharing).floor();
        let is_own_turn = has_turn(policy.number_or("me", 0.0)) && !policy.covered_turns.own_turns_lost;
        // What is left of the whole budget after the own turns is divided among the turns of missing controllers.
        let (spare_sends, round) =
            ((budget - sharing * own_sends).floor(), turn.div_euclid(turns_in_round) as f64);
        let part_of_spare =
            |number: f64| ((spare_sends + (number + round).rem_euclid(sharing)) / sharing).floor().max(0.0);
        let missing = policy.covered_turns.missing_controllers.iter().map(|number| f64::from(*number));
        let covered_sends: f64 = missing
            .filter(|number| now <= policy.covered_turns.until && has_turn(*number))
            .map(part_of_spare)
            .sum();
        let limit = if is_own_turn { own_sends + covered_sends } else { covered_sends };
        let limit = if is_cold { limit } else { (own_budget / 2.0).max(1.0) };
        f64::from(sent) + 1.0 <= limit
    }

    /// Counts a send in the present turn.
    pub(super) fn count_send_in_turn(&mut self, policy: &Policy, now: Point) {
        let turn = now.turn(get_span(&policy.settings, "cold.window") * 2.0);
        self.sends_in_turn = (turn, if self.sends_in_turn.0 == turn { self.sends_in_turn.1 + 1 } else { 1 });
    }
}
