//! Health of one streamer, by a sequential test of its outcomes, and its slow start over all controllers.

use super::*;

impl Streamer {
    /// One step of the sequential test; the odds never fall below even.
    pub(super) fn add_evidence(&mut self, now: Point, step: f64) {
        self.failure_log_odds = (self.failure_log_odds_now(now) + step).clamp(0.0, 2.0 * CONDEMNED);
        self.failure_log_odds_at = now;
        // Own successes outweigh what others say. Symptom: a liar's streamer stays last although it serves.
        if step < 0.0 {
            self.peer_log_odds *= 0.5;
        }
    }

    pub(super) fn peer_log_odds_now(&self, now: Point) -> f64 {
        (self.peer_log_odds - FADE * (now - self.peer_log_odds_at).seconds()).max(0.0)
    }

    pub(super) fn failure_log_odds_now(&self, now: Point) -> f64 {
        (self.failure_log_odds - FADE * (now - self.failure_log_odds_at).seconds()).max(0.0)
    }

    /// Controllers take turns at a cold streamer by number. A turn is two windows long and only its first
    /// half may send, so that every window meets one turn at most; a whole turn holds less than the budget
    /// of the streamer at its coldest. Symptom: all controllers at once pour into a streamer that came back.
    pub(super) fn turn_allows_send(&self, rules: &Policy, now: Point) -> bool {
        // A controller that came back itself has an old list: to it every streamer may be cold for a while.
        let cold = self.is_cold(rules, now);
        if !cold && now - rules.started_at >= get_span(&rules.settings, "cold.span") * 0.5 {
            return true;
        }
        let pace = self.max_streams / rules.number_or("cold.span", 0.0).max(1e-3)
            * rules.number_or("cold.from", 1.0);
        let window = get_span(&rules.settings, "cold.window");
        let whole = pace * rules.number_or("cold.multiple", 1.0) * window.seconds();
        let (budget, turn) = (whole * OWN_PART, now.turn(window * 2.0));
        let spent = if self.sends_in_turn.0 == turn { self.sends_in_turn.1 } else { 0 };
        // As many numbers share a turn as the budget holds sends. Symptom: the round outlasts the warm-up.
        let sharing = budget.floor().clamp(1.0, rules.controller_count());
        let round = (rules.controller_count() / sharing).ceil() as i64;
        // Symptom: late sends, clocks ahead, or who came back in its turn and forgot it: two turns in one.
        let apart = get_span(&rules.settings, "clocks.apart") + get_span(&rules.settings, "dial.timeout");
        let open = now.into_turn(window * 2.0) < window - apart && rules.started_at.turn(window * 2.0) < turn;
        let has = |number: f64| open && turn.rem_euclid(round) as f64 == (number / sharing).floor();
        let (each, mine) = (
            (budget / sharing).floor(),
            has(rules.number_or("me", 0.0)) && !rules.covered_turns.own_turns_lost,
        );
        // What own turns leave of the whole budget is dealt out among the turns of who is missing.
        let (spare, cycle) = ((whole - sharing * each).floor(), turn.div_euclid(round) as f64);
        let part = |n: f64| ((spare + (n + cycle).rem_euclid(sharing)) / sharing).floor().max(0.0);
        let missing = rules.covered_turns.missing_controllers.iter().map(|n| f64::from(*n));
        let stood: f64 = missing.filter(|n| now <= rules.covered_turns.until && has(*n)).map(part).sum();
        let limit = if mine { each + stood } else { stood };
        let limit = if cold { limit } else { (budget / 2.0).max(1.0) };
        f64::from(spent) + 1.0 <= limit
    }

    pub(super) fn count_send_in_turn(&mut self, rules: &Policy, now: Point) {
        let turn = now.turn(get_span(&rules.settings, "cold.window") * 2.0);
        self.sends_in_turn = (turn, if self.sends_in_turn.0 == turn { self.sends_in_turn.1 + 1 } else { 1 });
    }
}
