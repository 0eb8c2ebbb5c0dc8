//! What the soak's discovery counts as told to a node.

use lemontide_standin::soak::discovery::{list_event, Discovery};
use lemontide_standin::soak::record::{ListState, Record};
use std::sync::Arc;

const NODES: usize = 1;

fn tell(record: &Record, discovery: &Discovery, state: ListState) {
    let position = record.book().list.len() as u64 + 1;
    let event = list_event(record, NODES, 0, state, position);
    record.book().list.push(event);
    discovery.tell(false, Vec::new());
}

#[tokio::test]
async fn a_start_does_not_count_as_told_what_came_after_its_configuration() {
    let record = Arc::new(Record::start());
    let discovery = Discovery::start(0, record.clone(), Vec::new());
    tell(&record, &discovery, ListState::Ready);
    let (position, known) = discovery.known();
    tell(&record, &discovery, ListState::Draining);
    discovery.mark_known(position);
    let is_told: Vec<bool> = record.book().list.iter().map(|event| event.written[0].is_some()).collect();
    assert_eq!((known["pos"].as_u64(), is_told), (Some(1), vec![true, false]));
}
