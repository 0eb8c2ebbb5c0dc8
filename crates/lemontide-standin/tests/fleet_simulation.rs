//! Small simulated fleets in virtual time: real drivers, decision modules and gossip together.

use lemontide_standin::fleet_simulation::{FleetSimulation, SimulationConfig, SimulationResult, ViewSource};

fn simulate(view_source: ViewSource, with_failures: bool) -> SimulationResult {
    let config = SimulationConfig {
        // Four of them crash; the other five are still a majority.
        controllers: 9,
        streamers: 20,
        view_source,
        requests_per_s: 30.0,
        imbalance: 1.0,
        duration_s: 120.0,
        with_failures,
        seed: 3,
    };
    FleetSimulation::new(config).run()
}

/// The turns of the crashed controllers are covered, each by one other controller, and returned to them; no streamer in its
/// warm-up gets more than it can take.
#[test]
fn turns_of_crashed_controllers_are_covered_by_one_other_each() {
    let result = simulate(ViewSource::Gossip, true);
    assert!(result.covered_turns > 0, "{result:?}");
    assert_eq!((result.doubly_covered_turns, result.warm_up_overloads), (0, 0), "{result:?}");
    assert_eq!(
        result.fully_agreed_after_s.len(),
        2,
        "all controllers agree after the crashes and after the returns: {result:?}"
    );
}

/// Dividing the streamers costs no gain and saves connections; with settings alone, a controller never covers the turns of
/// others.
#[test]
fn dividing_streamers_by_settings_saves_connections_and_costs_no_gain() {
    let (mesh, divided) = (simulate(ViewSource::FullMesh, false), simulate(ViewSource::Settings, false));
    assert!(divided.mean_connections < mesh.mean_connections, "{divided:?} and {mesh:?}");
    assert!(divided.gain > mesh.gain - 0.02, "{} and {}", divided.gain, mesh.gain);
    assert_eq!((divided.covered_turns, divided.requests), (0, mesh.requests));
    let again = simulate(ViewSource::Settings, false);
    assert_eq!(
        (again.plays, again.connections_opened, again.gain),
        (divided.plays, divided.connections_opened, divided.gain),
        "the same seed gives the same result"
    );
}
