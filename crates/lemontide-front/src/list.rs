//! Following the list of streamers: a source tells the whole list each time that it changed.

use lemontide_wire::list::StreamerList;
use std::future::Future;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// How often a file is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// A list of more bytes is not read.
const LONGEST: u64 = 16 << 20;

/// Where lists come from. A source lasts as long as the controller; what goes wrong on the way is its own
/// matter, the list then simply does not change.
pub trait Source: Send + 'static {
    /// The next list that differs from the last one.
    fn next(&mut self) -> impl Future<Output = StreamerList> + Send;
}

/// A JSON file that is replaced or rewritten when the list changes. One that can't be read, half written as it
/// may be, leaves the last list in force.
pub struct ListFile {
    path: PathBuf,
    seen: Option<(SystemTime, u64)>,
    last: Option<StreamerList>,
}

impl ListFile {
    pub fn new(path: PathBuf) -> ListFile {
        ListFile { path, seen: None, last: None }
    }

    async fn changed(&mut self) -> Option<StreamerList> {
        let about = tokio::fs::metadata(&self.path).await.ok()?;
        let mark = (about.modified().ok()?, about.len());
        if self.seen == Some(mark) || mark.1 > LONGEST {
            return None;
        }
        let text = tokio::fs::read(&self.path).await.ok()?;
        let list: StreamerList = match serde_json::from_slice(&text) {
            Ok(list) => list,
            Err(e) => {
                tracing::warn!(target: "list", file = %self.path.display(), error = %e, "kept the last list");
                return None;
            }
        };
        // Only a list that could be read counts as seen: a half-written one is read again.
        self.seen = Some(mark);
        if self.last.as_ref() == Some(&list) {
            return None;
        }
        self.last = Some(list.clone());
        Some(list)
    }
}

impl Source for ListFile {
    async fn next(&mut self) -> StreamerList {
        loop {
            if let Some(list) = self.changed().await {
                return list;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
