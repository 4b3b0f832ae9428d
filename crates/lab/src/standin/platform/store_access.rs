//! A further address of the store, for one client.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_util::FutureExt;

use super::{
    server::{build_response, serve},
    store::Store,
};
use crate::error::LabError;

/// The status of a call that exceeds the rate allowed for the client.
const TOO_MANY_REQUESTS: u16 = 429;

#[derive(Debug, Default)]
struct State {
    refused_until: Option<Instant>,
    call_times: Vec<Instant>,
    refused_calls: usize,
}

/// An address of the store whose calls are counted and can be refused; clones share its state.
#[derive(Clone)]
pub struct StoreAccess {
    /// The address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Opens a further address.
    pub async fn open_access(&self) -> Result<StoreAccess, LabError> {
        let state = Arc::<Mutex<State>>::default();
        let shared = (self.clone(), state.clone());
        let address = serve(move |req| {
            let (store, state) = shared.clone();
            async move {
                lock(&state).call_times.push(Instant::now());
                let response = store.handle(&req).await;
                // Watches that waited when the refusals began are refused as well.
                let mut state = lock(&state);
                match state.refused_until {
                    Some(until) if Instant::now() < until => {
                        state.refused_calls += 1;
                        Ok(build_response(TOO_MANY_REQUESTS, ""))
                    }
                    _ => response,
                }
            }
            .boxed_local()
        })
        .await?;
        Ok(StoreAccess { address, state })
    }
}

impl StoreAccess {
    /// Refuses all calls for `time` from now on, because of their rate.
    pub fn refuse_for(&self, time: Duration) {
        lock(&self.state).refused_until = Some(Instant::now() + time);
    }

    /// Number of calls that were refused.
    pub fn refused_calls(&self) -> usize {
        lock(&self.state).refused_calls
    }

    /// When each call arrived.
    pub fn call_times(&self) -> Vec<Instant> {
        lock(&self.state).call_times.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
