//! The releases that are owed to clients. Each is kept here from the end of its session until a connection has carried
//! it: this is the one place that knows whether a client still has to be told. A session that plays belongs to no
//! connection, so any connection from viewers can carry its release.
//!
//! Not every connection belongs to a viewer that can use it. The connection of the session itself does, and so does one
//! on which a session was set up. If there is none, the release is sent on the best other one, and once more when a
//! better one appears.

use super::*;

/// Maximum number of releases that are kept; the oldest is dropped beyond it.
const MAX_RELEASES: usize = 4096;
/// How long a release is kept after it was sent: until then its connection can report that it was not read, and a
/// better one can appear.
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

/// The connection that a release was sent on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SentOn {
    connection_id: u64,
    evidence: ViewerEvidence,
    at: Point,
}

/// The release of one session.
struct ClientRelease {
    message: Message,
    /// The connection of the session.
    own_connection_id: u64,
    sent: Option<SentOn>,
}

impl ClientRelease {
    fn evidence(&self) -> ViewerEvidence {
        self.sent.map_or(ViewerEvidence::None, |sent| sent.evidence)
    }

    fn is_expired(&self, now: Point) -> bool {
        self.sent.is_some_and(|sent| now - sent.at > SENT_RELEASE_RETENTION)
    }
}

/// The releases that are owed to clients or were sent lately, the oldest first.
#[derive(Default)]
pub(super) struct ClientReleases {
    releases: VecDeque<ClientRelease>,
}

impl ClientReleases {
    fn add(&mut self, message: Message, own_connection_id: u64) {
        self.remove(message.session);
        if self.releases.len() >= MAX_RELEASES {
            let dropped = self.releases.pop_front();
            if let Some(unsent) = dropped.filter(|dropped| dropped.sent.is_none()) {
                let session = format!("{:016x}", unsent.message.session);
                tracing::warn!(target: "viewers", session, "release dropped: too many wait");
            }
        }
        self.releases.push_back(ClientRelease { message, own_connection_id, sent: None });
    }

    /// The client of a session has no need to be told of its end any more.
    pub(super) fn remove(&mut self, session: u64) {
        self.releases.retain(|release| release.message.session != session);
    }

    /// Whether a release was sent on no connection yet, or came back from its connection.
    fn has_unsent(&self) -> bool {
        self.releases.iter().any(|release| release.sent.is_none())
    }

    /// The release of a session came back from a connection. Nothing changes if it was sent on another one since.
    fn take_back(&mut self, session: u64, connection_id: u64) {
        let sent_there = |release: &&mut ClientRelease| {
            release.message.session == session
                && release.sent.is_some_and(|sent| sent.connection_id == connection_id)
        };
        if let Some(release) = self.releases.iter_mut().find(sent_there) {
            release.sent = None;
        }
    }
}

impl Dispatcher {
    /// A session is over and its client is owed this message. `own_connection_id` is the connection of the session.
    pub(super) fn owe_release(&mut self, now: Point, own_connection_id: u64, session: u64, body: Body) {
        self.client_releases.add(Message { session, body }, own_connection_id);
        self.send_client_releases(now);
        if self.client_releases.releases.back().is_some_and(|release| release.sent.is_none()) {
            let open = self.viewer_connections.len();
            let session = format!("{session:016x}");
            tracing::info!(target: "viewers", session, open, "release waits for a connection");
        }
    }

    /// Whether a client is owed a release that no connection has carried yet.
    pub fn owes_release(&self) -> bool {
        self.client_releases.has_unsent()
    }

    /// Sends each release on the best connection for it, unless it was sent on one as good.
    pub(super) fn send_client_releases(&mut self, now: Point) {
        let Some(best) = self.best_viewer_connection() else { return };
        for release in &mut self.client_releases.releases {
            if release.evidence() == ViewerEvidence::Session {
                continue;
            }
            let own = self.viewer_connections.get(&release.own_connection_id);
            let has_own = own.is_some_and(|connection| !connection.is_draining);
            let (connection_id, evidence) =
                if has_own { (release.own_connection_id, ViewerEvidence::Session) } else { best };
            if evidence <= release.evidence() {
                continue;
            }
            let is_on_it = release.sent.is_some_and(|sent| sent.connection_id == connection_id);
            release.sent = Some(SentOn { connection_id, evidence, at: now });
            if is_on_it {
                continue;
            }
            let message = release.message.clone();
            let session = format!("{:016x}", message.session);
            tracing::debug!(target: "viewers", session, conn = connection_id, ?evidence, "release");
            self.effects.push(Effect::SendToViewer {
                conn: connection_id,
                message,
                ends_session: true,
                reply: None,
                steps: None,
            });
        }
    }

    /// The connection that most likely belongs to a viewer, and what shows it. One that takes no more input is used
    /// only if there is no other: its client may have closed it.
    fn best_viewer_connection(&self) -> Option<(u64, ViewerEvidence)> {
        let is_known = |connection: &ViewerConnection| connection.evidence > ViewerEvidence::None;
        let known = self.viewer_connections.iter().filter(|(_, connection)| is_known(connection));
        let (connection_id, connection) = known.max_by_key(|(_, connection)| {
            (!connection.is_draining, connection.evidence, connection.last_message_at)
        })?;
        let evidence = if connection.is_draining { ViewerEvidence::Message } else { connection.evidence };
        Some((*connection_id, evidence))
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
