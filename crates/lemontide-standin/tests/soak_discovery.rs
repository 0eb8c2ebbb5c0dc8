//! Which list changes the stub discovery of the soak test logs as sent to a node.

use lemontide_standin::soak::event_log::{ListState, Recorder};
use lemontide_standin::soak::stub_discovery::{new_list_change, StubDiscovery};
use std::sync::Arc;

const NODES: usize = 1;

fn publish_change(recorder: &Recorder, discovery: &StubDiscovery, state: ListState) {
    let position = recorder.event_log().list_changes.len() as u64 + 1;
    let change = new_list_change(recorder, NODES, 0, state, position);
    recorder.event_log().list_changes.push(change);
    discovery.publish(false, Vec::new());
}

#[tokio::test]
async fn a_start_marks_only_the_changes_in_its_configuration_as_sent() {
    let recorder = Arc::new(Recorder::start());
    let discovery = StubDiscovery::start(0, recorder.clone(), Vec::new());
    publish_change(&recorder, &discovery, ListState::Ready);
    let (position, known) = discovery.snapshot();
    publish_change(&recorder, &discovery, ListState::Draining);
    discovery.mark_sent_up_to(position);
    let is_sent: Vec<bool> =
        recorder.event_log().list_changes.iter().map(|change| change.sent_to_node_at[0].is_some()).collect();
    assert_eq!((known["pos"].as_u64(), is_sent), (Some(1), vec![true, false]));
}
