//! Configurations that this process hands out in parts, and the one that it is receiving.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use balsamjunction_directory::{
    Declaration, DeclarationId, Digest, DocumentError, Download, Encoding, Part, Progress,
};
use balsamjunction_policy::Moment;
use balsamjunction_protocol::{
    mesh::{PartRequest, PartResponse},
    PROTOCOL_VERSION,
};
use log::warn;
use tokio::sync::watch;

use super::ClusterView;
use crate::sync::lock;

/// Encodings that are kept for peers which need the same one.
const MAX_ENCODINGS: usize = 4;
/// Time for which a request waits for a part that this process is about to receive.
const PART_WAIT: Duration = Duration::from_millis(100);

/// The configurations of this process, in the form in which they are transferred; shared by its threads.
pub struct Documents {
    cluster_view: Arc<ClusterView>,
    state: Mutex<State>,
    /// Notified when a part or a configuration has been received.
    received: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    encodings: VecDeque<Arc<Encoding>>,
    incoming: Option<Incoming>,
}

impl State {
    fn download_of(&self, id: DeclarationId) -> Option<&Download> {
        let download = &self.incoming.as_ref()?.download;
        (download.id() == id).then_some(download)
    }
}

/// The configuration that is being received.
struct Incoming {
    download: Download,
    /// The most bytes that the download ever had. One that begins anew makes progress only beyond them.
    furthest: u32,
    /// When it began, or last received bytes beyond [`Self::furthest`].
    progress_at: Moment,
}

impl Documents {
    /// Creates the documents of a process with this view.
    pub fn new(cluster_view: Arc<ClusterView>) -> Self {
        Self {
            cluster_view,
            state: Mutex::default(),
            received: watch::channel(0).0,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Begins to receive a configuration, or continues it.
    pub fn begin(&self, id: DeclarationId) {
        let mut state = self.state();
        if state.download_of(id).is_none() {
            state.incoming = Some(Incoming {
                download: Download::new(id),
                furthest: 0,
                progress_at: self.cluster_view.clock.now(),
            });
            self.received.send_modify(|n| *n += 1);
        }
    }

    /// Returns the time since the download began or last made progress; `None` if there is none.
    pub fn stalled_for(&self) -> Option<Duration> {
        let progress_at = self.state().incoming.as_ref()?.progress_at;
        Some(self.cluster_view.clock.now().saturating_sub(progress_at))
    }

    /// Returns the request for the next part of at most `max_bytes`; none if no configuration is being received.
    pub fn next_request(&self, max_bytes: usize) -> Option<PartRequest> {
        let held = self.cluster_view.held_declarations();
        let state = self.state();
        let download = &state.incoming.as_ref()?.download;
        Some(PartRequest {
            v: PROTOCOL_VERSION,
            id: download.id(),
            held,
            checksum: download.checksum(),
            offset: download.offset(),
            max_bytes: max_bytes as u32,
        })
    }

    /// Takes in a part. Returns the configuration once it is complete.
    ///
    /// A part of another encoding, as a peer of another build has it, begins the download anew.
    pub fn accept(&self, part: Part) -> Result<Option<Arc<Declaration>>, DocumentError> {
        let mut state = self.state();
        let Some(incoming) = &mut state.incoming else {
            return Ok(None);
        };
        let download = &mut incoming.download;
        if download
            .checksum()
            .is_some_and(|known| known != part.checksum)
        {
            download.restart();
        }
        let progress = download.accept(part)?;
        if download.offset() > incoming.furthest {
            incoming.furthest = download.offset();
            incoming.progress_at = self.cluster_view.clock.now();
        }
        self.received.send_modify(|n| *n += 1);
        if progress == Progress::Partial {
            return Ok(None);
        }
        let base = download
            .base()
            .and_then(|digest| self.cluster_view.declaration(digest));
        let finished = download.finish(base.as_deref());
        match finished {
            Ok(declaration) => Ok(Some(Arc::new(declaration))),
            Err(e) => {
                download.restart();
                Err(e)
            }
        }
    }

    /// Ends the download, since the configuration is there or no longer wanted.
    pub fn end(&self) {
        self.state().incoming = None;
        self.received.send_modify(|n| *n += 1);
    }

    /// Responds to a peer's request; waits for a moment if the part is about to be received.
    pub async fn serve(&self, request: &PartRequest) -> PartResponse {
        let started = self.cluster_view.clock.now();
        let mut received = self.received.subscribe();
        let wait = async {
            loop {
                received.mark_unchanged();
                if let Some(part) = self.find_part(request) {
                    return Some(part);
                }
                if self.state().download_of(request.id).is_none()
                    || received.changed().await.is_err()
                {
                    return None;
                }
            }
        };
        let part = tokio::time::timeout(PART_WAIT, wait).await;
        let waited = self.cluster_view.clock.now().saturating_sub(started);
        PartResponse {
            part: part.ok().flatten(),
            waited_ms: waited.as_millis() as u64,
        }
    }

    fn find_part(&self, request: &PartRequest) -> Option<Part> {
        let max_bytes = request.max_bytes as usize;
        if let Some(declaration) = self.cluster_view.declaration(request.id.digest) {
            let encoding = self.encode(request, &declaration)?;
            let same = request.checksum.is_none_or(|c| c == encoding.checksum);
            return encoding.part(if same { request.offset } else { 0 }, max_bytes);
        }
        let state = self.state();
        let download = state.download_of(request.id)?;
        let suits = match request.checksum {
            Some(checksum) => download.checksum() == Some(checksum),
            None => download
                .base()
                .is_none_or(|base| request.held.contains(&base)),
        };
        suits.then(|| download.part(request.offset, max_bytes))?
    }

    /// The encoding that the peer has begun to receive, or else the shortest that it can use.
    fn encode(&self, request: &PartRequest, declaration: &Declaration) -> Option<Arc<Encoding>> {
        let own = self.cluster_view.held_declarations();
        let mut bases = own.iter().filter(|base| request.held.contains(base));
        let base = bases.find(|base| **base != request.id.digest).copied();
        let mut state = self.state();
        let of_id = state.encodings.iter().filter(|e| e.id == request.id);
        let known = of_id.clone().find(|e| Some(e.checksum) == request.checksum);
        let known = known.or_else(|| of_id.clone().find(|e| e.base == base));
        if let Some(encoding) = known {
            return Some(encoding.clone());
        }
        let encoding = match self.encode_from(base, declaration) {
            Ok(encoding) => Arc::new(encoding),
            Err(e) => {
                warn!(
                    "configuration {} cannot be encoded: {e}",
                    request.id.version
                );
                return None;
            }
        };
        state.encodings.push_back(encoding.clone());
        if state.encodings.len() > MAX_ENCODINGS {
            state.encodings.pop_front();
        }
        Some(encoding)
    }

    fn encode_from(
        &self,
        base: Option<Digest>,
        declaration: &Declaration,
    ) -> Result<Encoding, DocumentError> {
        let base = base.and_then(|digest| Some((self.cluster_view.declaration(digest)?, digest)));
        if let Some((base, digest)) = base {
            match Encoding::difference((&base, digest), declaration) {
                Err(DocumentError::TooManyItems) => {}
                encoded => return encoded,
            }
        }
        Encoding::whole(declaration)
    }
}
