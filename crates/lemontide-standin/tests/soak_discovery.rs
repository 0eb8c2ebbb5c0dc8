//! What the soak's discovery counts as told to a node.

use lemontide_standin::soak::event_log::{ListState, Recorder};
use lemontide_standin::soak::stub_discovery::{new_list_change, StubDiscovery};
use std::sync::Arc;

const NODES: usize = 1;

fn tell(recorder: &Recorder, discovery: &StubDiscovery, state: ListState) {
    let position = recorder.event_log().list_changes.len() as u64 + 1;
    let event = new_list_change(recorder, NODES, 0, state, position);
    recorder.event_log().list_changes.push(event);
    discovery.publish(false, Vec::new());
}

#[tokio::test]
async fn a_start_does_not_count_as_told_what_came_after_its_configuration() {
    let recorder = Arc::new(Recorder::start());
    let discovery = StubDiscovery::start(0, recorder.clone(), Vec::new());
    tell(&recorder, &discovery, ListState::Ready);
    let (position, known) = discovery.snapshot();
    tell(&recorder, &discovery, ListState::Draining);
    discovery.mark_sent_up_to(position);
    let is_told: Vec<bool> =
        recorder.event_log().list_changes.iter().map(|event| event.sent_to_node_at[0].is_some()).collect();
    assert_eq!((known["pos"].as_u64(), is_told), (Some(1), vec![true, false]));
}
