//! The releases that are owed to clients. Each is kept here from the end of its session until a connection has carried
//! it to the client: this is the one place that knows whether a client still has to be told. A session that plays
//! belongs to no connection, so any connection from viewers can carry its release.
//!
//! A connection is certain to be a viewer's if it is that of the session itself, or if a session was set up on it. As
//! long as no certain one is open, a release is sent on every connection that may be a viewer's, once on each: clients
//! that are no viewers send tests and usable set-ups, too.

use super::*;

/// Maximum number of releases of sessions that are kept; the oldest is dropped beyond it.
const MAX_RELEASES: usize = 4096;
/// The same for sessions that only a client has named, so that these displace no others.
const MAX_CLAIM_RELEASES: usize = 1024;
/// Maximum number of connections that may be a viewer's on which one release is sent.
const MAX_POSSIBLE_CONNECTIONS: usize = 64;
/// How long a release is kept after a connection that is certain to be a viewer's got it: until then that connection
/// can report that it was not read.
const SENT_RELEASE_RETENTION: Span = Span::of_millis(8000);

/// What shows that a connection belongs to a viewer, the weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ViewerEvidence {
    /// Nothing valid was read on it.
    None,
    /// A valid message was read on it.
    Message,
    /// A usable set-up or hand-over was read on it.
    SetUp,
    /// A session was set up on it.
    Session,
}

/// The release of one session.
struct ClientRelease {
    message: Message,
    /// The connection of the session.
    own_connection_id: u64,
    /// Only a client has named the session: it was handed over and not kept.
    is_claimed: bool,
    /// When a connection that is certain to be a viewer's got it.
    certain_since: Option<Point>,
    /// The connections that carry it, in order.
    sent_on: Vec<u64>,
    /// The one of them that is certain to be a viewer's.
    certain: Option<u64>,
}

impl ClientRelease {
    fn is_expired(&self, now: Point) -> bool {
        self.certain_since.is_some_and(|since| now - since > SENT_RELEASE_RETENTION)
    }

    /// It is to be sent on this connection. Returns the effect, unless the connection carries it already.
    fn send_on(&mut self, now: Point, connection_id: u64, is_certain: bool) -> Option<Effect> {
        if is_certain {
            (self.certain, self.certain_since) = (Some(connection_id), Some(now));
        }
        if self.sent_on.contains(&connection_id) {
            return None;
        }
        self.sent_on.push(connection_id);
        let message = self.message.clone();
        let session = format!("{:016x}", message.session);
        tracing::debug!(target: "viewers", session, conn = connection_id, is_certain, "release");
        Some(Effect::SendToViewer {
            conn: connection_id,
            message,
            ends_session: true,
            reply: None,
            steps: None,
        })
    }
}

/// The releases that are owed to clients or were sent lately, the oldest first.
#[derive(Default)]
pub(super) struct ClientReleases {
    releases: VecDeque<ClientRelease>,
}

impl ClientReleases {
    fn add(&mut self, message: Message, own_connection_id: u64, is_claimed: bool) {
        self.remove(message.session);
        let limit = if is_claimed { MAX_CLAIM_RELEASES } else { MAX_RELEASES };
        let is_same_kind = |other: &ClientRelease| other.is_claimed == is_claimed;
        if self.releases.iter().filter(|other| is_same_kind(other)).count() >= limit {
            let oldest = self.releases.iter().position(is_same_kind);
            let dropped = oldest.and_then(|oldest| self.releases.remove(oldest));
            if let Some(unsent) = dropped.filter(|dropped| dropped.sent_on.is_empty()) {
                let session = format!("{:016x}", unsent.message.session);
                tracing::warn!(target: "viewers", session, "release dropped: too many wait");
            }
        }
        self.releases.push_back(ClientRelease {
            message,
            own_connection_id,
            is_claimed,
            certain_since: None,
            sent_on: Vec::new(),
            certain: None,
        });
    }

    /// The client of a session has no need to be told of its end any more.
    pub(super) fn remove(&mut self, session: u64) {
        self.releases.retain(|release| release.message.session != session);
    }

    /// Whether a release was sent on no connection yet, or came back from its connections.
    fn has_unsent(&self) -> bool {
        self.releases.iter().any(|release| release.sent_on.is_empty())
    }

    /// The release of a session came back from a connection. What other connections carry stays with them.
    fn take_back(&mut self, session: u64, connection_id: u64) {
        let Some(release) = self.releases.iter_mut().find(|release| release.message.session == session)
        else {
            return;
        };
        release.sent_on.retain(|sent_on| *sent_on != connection_id);
        if release.certain == Some(connection_id) {
            (release.certain, release.certain_since) = (None, None);
        }
    }
}

impl Dispatcher {
    /// A session is over and its client is owed this message. `own_connection_id` is the connection of the session.
    pub(super) fn owe_release(&mut self, now: Point, own_connection_id: u64, session: u64, body: Body) {
        self.add_release(now, Message { session, body }, own_connection_id, false);
    }

    /// The same for a session that a client has handed over and that is not kept here.
    pub(super) fn owe_claim_release(&mut self, now: Point, connection_id: u64, session: u64, body: Body) {
        self.add_release(now, Message { session, body }, connection_id, true);
    }

    fn add_release(&mut self, now: Point, message: Message, own_connection_id: u64, is_claimed: bool) {
        let session = message.session;
        self.client_releases.add(message, own_connection_id, is_claimed);
        self.send_client_releases(now);
        if self.client_releases.releases.back().is_some_and(|release| release.sent_on.is_empty()) {
            let open = self.viewer_connections.len();
            let session = format!("{session:016x}");
            tracing::info!(target: "viewers", session, open, "release waits for a connection");
        }
    }

    /// Whether a client is owed a release that no connection has carried yet.
    pub fn owes_release(&self) -> bool {
        self.client_releases.has_unsent()
    }

    /// Sends each release that no certain connection carries on its own connection or another certain one, or
    /// otherwise on all that may be a viewer's.
    fn send_client_releases(&mut self, now: Point) {
        let waits = |release: &ClientRelease| release.certain.is_none();
        if !self.client_releases.releases.iter().any(waits) {
            return;
        }
        let certain = self.certain_viewer_connection();
        let possible = if certain.is_none() { self.possible_viewer_connections() } else { Vec::new() };
        for release in self.client_releases.releases.iter_mut().filter(|release| waits(release)) {
            let own = self.viewer_connections.get(&release.own_connection_id);
            let own = own.filter(|own| !own.is_draining).map(|_| release.own_connection_id);
            if let Some(connection_id) = own.or(certain) {
                self.effects.extend(release.send_on(now, connection_id, true));
                continue;
            }
            for connection_id in &possible {
                if release.sent_on.len() < MAX_POSSIBLE_CONNECTIONS {
                    self.effects.extend(release.send_on(now, *connection_id, false));
                }
            }
        }
    }

    /// The connection on which a session was set up and that was used last.
    fn certain_viewer_connection(&self) -> Option<u64> {
        let is_certain = |connection: &ViewerConnection| {
            connection.evidence == ViewerEvidence::Session && !connection.is_draining
        };
        let certain = self.viewer_connections.iter().filter(|(_, connection)| is_certain(connection));
        let latest = certain.max_by_key(|(_, connection)| connection.last_message_at);
        latest.map(|(connection_id, _)| *connection_id)
    }

    /// The connections that may be a viewer's, the likeliest first. Those that take no more input are used only if there
    /// are no others: their clients may have closed them.
    fn possible_viewer_connections(&self) -> Vec<u64> {
        let is_possible = |connection: &ViewerConnection| connection.evidence > ViewerEvidence::None;
        let possible = self.viewer_connections.iter().filter(|(_, connection)| is_possible(connection));
        let (mut draining, mut open): (Vec<_>, Vec<_>) =
            possible.partition(|(_, connection)| connection.is_draining);
        let chosen = if open.is_empty() { &mut draining } else { &mut open };
        chosen.sort_by_key(|(_, connection)| Reverse((connection.evidence, connection.last_message_at)));
        chosen.iter().map(|(connection_id, _)| **connection_id).collect()
    }

    /// A connection has shown that it belongs to a viewer: releases that wait for one like it are sent on it.
    pub(super) fn add_viewer_evidence(&mut self, now: Point, connection_id: u64, evidence: ViewerEvidence) {
        let Some(connection) = self.viewer_connections.get_mut(&connection_id) else { return };
        if evidence > connection.evidence {
            connection.evidence = evidence;
            self.send_client_releases(now);
        }
    }

    /// A connection has ended and did not carry this release to its client.
    pub(super) fn on_release_unsent(&mut self, now: Point, connection_id: u64, session: u64) {
        self.client_releases.take_back(session, connection_id);
        self.send_client_releases(now);
    }

    /// Forgets releases that were sent long ago.
    pub(super) fn forget_sent_releases(&mut self, now: Point) {
        self.client_releases.releases.retain(|release| !release.is_expired(now));
    }
}
