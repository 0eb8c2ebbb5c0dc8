//! Source of the list of streamers, which yields the complete list after each change.

use lemontide_wire::list::StreamerList;
use std::future::Future;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// How often the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a list; a larger file is ignored.
const MAX_LIST_BYTES: u64 = 16 << 20;

/// A source of lists. It lasts as long as the controller and handles its errors itself: while it has an error
/// the list does not change.
pub trait ListSource: Send + 'static {
    /// The next list that differs from the last one.
    fn next(&mut self) -> impl Future<Output = StreamerList> + Send;
}

/// A JSON file that is replaced or rewritten when the list changes. While it can't be parsed, for example
/// because it is only partly written, the last list remains in use.
pub struct ListFile {
    path: PathBuf,
    /// Modification time and size of the file when it was last parsed.
    last_version: Option<(SystemTime, u64)>,
    last_list: Option<StreamerList>,
}

impl ListFile {
    pub fn new(path: PathBuf) -> ListFile {
        ListFile { path, last_version: None, last_list: None }
    }

    async fn read_if_changed(&mut self) -> Option<StreamerList> {
        let metadata = tokio::fs::metadata(&self.path).await.ok()?;
        let version = (metadata.modified().ok()?, metadata.len());
        if self.last_version == Some(version) || version.1 > MAX_LIST_BYTES {
            return None;
        }
        let text = tokio::fs::read(&self.path).await.ok()?;
        let list: StreamerList = match serde_json::from_slice(&text) {
            Ok(list) => list,
            Err(e) => {
                tracing::warn!(target: "list", file = %self.path.display(), error = %e, "list is not valid; keeping the last one");
                return None;
            }
        };
        // The version is only stored after the list was parsed, so a partly written file is read again.
        self.last_version = Some(version);
        if self.last_list.as_ref() == Some(&list) {
            return None;
        }
        self.last_list = Some(list.clone());
        Some(list)
    }
}

impl ListSource for ListFile {
    async fn next(&mut self) -> StreamerList {
        loop {
            if let Some(list) = self.read_if_changed().await {
                return list;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
