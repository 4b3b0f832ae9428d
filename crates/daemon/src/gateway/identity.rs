//! Decides by the id that upstreams echo to which request a response belongs.

use balsamjunction_platform::headers;

use super::{attempts::RequestAttempts, send::UpstreamResponse};

impl RequestAttempts {
    /// Whether a response echoes the id of another request, be it beside this request's id.
    pub fn answers_another_request(&self, response: &UpstreamResponse) -> bool {
        let sent = self.request.headers.get_all(headers::ATTEMPT_ID);
        let mut echoed = response
            .inner
            .headers()
            .get_all(headers::ATTEMPT_ID)
            .into_iter();
        echoed.any(|id| sent.iter().all(|sent| sent != id))
    }
}
