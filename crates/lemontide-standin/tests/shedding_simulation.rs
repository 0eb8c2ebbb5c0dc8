//! Simulation of load shedding by many controllers at the same time.

use lemontide_standin::shedding_simulation::{simulate, SimulationConfig};

#[test]
fn fifty_controllers_that_shed_keep_their_gain_and_cause_no_bursts_at_each_other() {
    let result = simulate(&SimulationConfig::default());
    assert_eq!(result.late, 0, "{result:?}");
    assert!(result.paid_served > 0.9, "{result:?}");
    assert!(result.gain > 0.85, "{result:?}");
    assert!(result.peak_ratio < 1.5, "retries are spread: {result:?}");
    // Each viewer sends two requests at most; the total stays below that and falls when the burst ends.
    assert!(result.requests < 2 * result.viewers, "{result:?}");
    assert!(result.recovery_s < 8.0, "{result:?}");
    assert!(result.offered_load[18..].iter().all(|offered| *offered < 0.85), "{result:?}");
}

#[test]
fn without_shedding_the_same_burst_is_answered_late() {
    let result = simulate(&SimulationConfig { sheds: false, ..SimulationConfig::default() });
    assert!(result.late > result.viewers / 10 && result.paid_served < 0.8, "{result:?}");
}

#[test]
fn an_overload_with_three_retries_for_each_viewer_ends_by_itself() {
    // Viewers retry three times, at a load of 1.3 times the capacity.
    let load = [vec![0.8; 5], vec![1.3; 10], vec![0.8; 25]].concat();
    let result = simulate(&SimulationConfig { load, max_retries: 3, ..SimulationConfig::default() });
    assert_eq!(result.late, 0, "{result:?}");
    assert!(
        result.offered_load[35..].iter().all(|offered| *offered < 0.9),
        "the overload ends by itself: {result:?}"
    );
    assert!(result.paid_served > 0.97, "{result:?}");
}

#[test]
fn the_same_configuration_gives_the_same_result() {
    let config = SimulationConfig { controllers: 10, ..SimulationConfig::default() };
    assert_eq!(format!("{:?}", simulate(&config)), format!("{:?}", simulate(&config)));
}
