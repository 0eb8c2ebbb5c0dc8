//! Ends of sessions that are not tracked here: they may arrive before the hand-over of their session. Those that clients
//! report have a place of their own, so that clients can't displace what streamers have reported.

use std::collections::VecDeque;

/// Maximum number of ends of each kind that are remembered.
const MAX_ENDS: usize = 1024;

/// How a session ended that this controller did not track.
#[derive(Clone, Copy)]
pub(super) enum UntrackedEnd {
    /// Its streamer released it, with this cause.
    ByStreamer(u8),
    /// Its viewer ended it.
    ByViewer,
}

/// The last ends, the oldest first. If there are too many, the oldest is removed.
#[derive(Default)]
pub(super) struct UntrackedEnds {
    by_streamers: VecDeque<(u64, u8)>,
    by_viewers: VecDeque<u64>,
}

impl UntrackedEnds {
    pub(super) fn insert(&mut self, session: u64, end: UntrackedEnd) {
        match end {
            UntrackedEnd::ByStreamer(cause) => push_within_limit(&mut self.by_streamers, (session, cause)),
            UntrackedEnd::ByViewer => push_within_limit(&mut self.by_viewers, session),
        }
    }

    /// How a session ended. What its streamer reported counts first.
    pub(super) fn find(&self, session: u64) -> Option<UntrackedEnd> {
        let by_streamer = self.by_streamers.iter().rev().find(|(of, _)| *of == session);
        let by_viewer = || self.by_viewers.contains(&session).then_some(UntrackedEnd::ByViewer);
        by_streamer.map(|(_, cause)| UntrackedEnd::ByStreamer(*cause)).or_else(by_viewer)
    }
}

fn push_within_limit<T>(ends: &mut VecDeque<T>, end: T) {
    if ends.len() >= MAX_ENDS {
        ends.pop_front();
    }
    ends.push_back(end);
}
