//! Refusals that are not this request's: copies of earlier ones, without an id, or before the true response.

use balsamjunction_lab::standin::platform::{Script, ScriptedServer};

use crate::common::{
    model_engine_options, plain_engine_options, CallerResponse, Gateway, TestSite, API_KEY,
};

/// Routes whose requests may run once at most: without a stream, and a stream that may not be resumed.
pub const ONCE_ROUTES: [&str; 2] = ["/order/new", "/once/now"];
/// Routes whose requests may run again, of which each attempt is allowed two runs.
pub const REPEATABLE_ROUTES: [&str; 2] = ["/stock/1", "/draft/now"];

/// A true response, with the id of the request that was received.
const TRUE_RESPONSE: &str = "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
    Balsamjunction-Server-Signature: s\r\nContent-Length: 20\r\n\r\nid: 1\ndata: word1\n\n\n";

/// The statuses that mean that a request has not run, with the header that says so where the status alone does not.
const REFUSALS: [&str; 3] = [
    "HTTP/1.1 503 Full\r\nBalsamjunction-Not-Executed: 1\r\n",
    "HTTP/1.1 429 Slow down\r\nBalsamjunction-Not-Executed: 1\r\n",
    "HTTP/1.1 421 Misdirected\r\n",
];
const OWN_ID: &str = "Balsamjunction-Attempt-Id: {id}\r\n";
const OTHER_ID: &str = "Balsamjunction-Attempt-Id: another\r\n";
const NO_BODY: &str = "Content-Length: 0\r\n\r\n";

/// A call to a service with two engines that follow the same script.
pub struct Call {
    pub response: CallerResponse,
    engines: [ScriptedServer; 2],
    _site: TestSite,
}

impl Call {
    pub async fn send(path: &str, script: &Script) -> Self {
        let mut site = TestSite::start().await;
        let options = |id| match path.starts_with("/order/") || path.starts_with("/stock/") {
            true => plain_engine_options(id),
            false => model_engine_options(id, 1, 10),
        };
        let engines = [
            site.start_scripted_server(options("e1"), script.clone())
                .await,
            site.start_scripted_server(options("e2"), script.clone())
                .await,
        ];
        let gateway = site.start_gateway("g1", &[]);
        gateway.wait_until_ready().await;
        Self {
            response: send(&gateway, path).await,
            engines,
            _site: site,
        }
    }

    /// Number of engines that received the request.
    pub fn receivers(&self) -> usize {
        self.engines.iter().map(ScriptedServer::requests).sum()
    }
}

async fn send(gateway: &Gateway, path: &str) -> CallerResponse {
    match path.starts_with("/stock/") {
        true => gateway.call("GET", path, "a1").await,
        false => gateway.generate_on(path, "a1").await,
    }
}

pub fn script(opening: String) -> Script {
    Script {
        opening,
        keep_open: true,
        ..Script::default()
    }
}

/// Asserts that callers are not told that their requests have not run, and that no request that may run once reaches a
/// second engine.
pub async fn assert_unknown(routes: [&str; 2], script: &Script) {
    for path in routes {
        let call = Call::send(path, script).await;

        let once = ONCE_ROUTES.contains(&path);
        assert_eq!(call.response.status, 502, "{path} {script:?}");
        assert_eq!(call.response.signature, None, "{path} {script:?}");
        let runs = if once { 1 } else { 2 };
        assert_eq!(call.receivers(), runs, "{path} {script:?}");
    }
}

// Guards against a late copy of another request's refusal that counts as this request's.
#[actix_rt::test]
async fn a_refusal_with_the_id_of_another_request_leaves_the_outcome_unknown() {
    for refusal in REFUSALS {
        for routes in [ONCE_ROUTES, REPEATABLE_ROUTES] {
            let copy = script(format!("{refusal}{OTHER_ID}{NO_BODY}"));
            assert_unknown(routes, &copy).await;
        }
    }
}

// Guards against the same where the true response follows on the connection.
#[actix_rt::test]
async fn a_refusal_of_another_request_before_the_true_response_leaves_the_outcome_unknown() {
    for refusal in REFUSALS {
        let two = script(format!("{refusal}{OTHER_ID}{NO_BODY}{TRUE_RESPONSE}"));
        assert_unknown(ONCE_ROUTES, &two).await;
    }
}

// Guards against a refusal that bears two ids and counts by the first.
#[actix_rt::test]
async fn a_refusal_with_two_ids_leaves_the_outcome_unknown() {
    for refusal in REFUSALS {
        let mixed = script(format!("{refusal}{OWN_ID}{OTHER_ID}{NO_BODY}"));
        assert_unknown(ONCE_ROUTES, &mixed).await;
    }
    let mixed = script(format!("{}{OWN_ID}{OTHER_ID}{NO_BODY}", REFUSALS[0]));
    assert_unknown(REPEATABLE_ROUTES, &mixed).await;
}

// Guards against a refusal whose id cannot be read and counts as one without an id.
#[actix_rt::test]
async fn a_refusal_with_an_unreadable_id_leaves_the_outcome_unknown() {
    let id = "Balsamjunction-Attempt-Id: \u{e9}\r\n";
    let unreadable = script(format!("{}{id}{NO_BODY}", REFUSALS[0]));

    for routes in [ONCE_ROUTES, REPEATABLE_ROUTES] {
        assert_unknown(routes, &unreadable).await;
    }
}

// Guards against a refusal that nothing ties to a request which may run once only, and which an engine then runs.
#[actix_rt::test]
async fn a_refusal_without_id_leaves_it_unknown_whether_a_request_that_may_run_once_has_run() {
    for refusal in REFUSALS {
        let copy = script(format!("{refusal}{NO_BODY}"));
        assert_unknown(ONCE_ROUTES, &copy).await;
        let two = script(format!("{refusal}{NO_BODY}{TRUE_RESPONSE}"));
        assert_unknown(ONCE_ROUTES, &two).await;
    }
}

// Guards against requests that may run again and are given up where another engine may serve them.
#[actix_rt::test]
async fn a_refusal_without_id_sends_a_request_that_may_run_again_elsewhere() {
    for path in REPEATABLE_ROUTES {
        let refusal = script(format!("{}{NO_BODY}", REFUSALS[0]));
        let call = Call::send(path, &refusal).await;

        assert_eq!(call.response.status, 503, "{path}");
        assert_eq!(call.receivers(), 2, "{path}");
    }
}

// Guards against refusals that are true and no longer count.
#[actix_rt::test]
async fn a_refusal_with_the_id_of_the_request_is_believed() {
    for path in ONCE_ROUTES.into_iter().chain(REPEATABLE_ROUTES) {
        for informational in ["", "HTTP/1.1 103 Early Hints\r\n\r\n"] {
            let refusal = script(format!("{informational}{}{OWN_ID}{NO_BODY}", REFUSALS[0]));
            let call = Call::send(path, &refusal).await;

            assert_eq!(call.response.status, 503, "{path}");
            assert_eq!(call.receivers(), 2, "{path}");
        }
    }
}

// Guards against an informational head that counts as the response.
#[actix_rt::test]
async fn an_informational_head_with_the_headers_of_a_refusal_is_no_refusal() {
    let head = "HTTP/1.1 103 Early Hints\r\nBalsamjunction-Not-Executed: 1\r\n\r\n";

    for path in ONCE_ROUTES.into_iter().chain(REPEATABLE_ROUTES) {
        for informational in [head.to_owned(), head.repeat(3)] {
            let call = Call::send(path, &script(format!("{informational}{TRUE_RESPONSE}"))).await;

            assert_eq!(call.response.status, 200, "{path}");
            assert_eq!(call.receivers(), 1, "{path}");
        }
    }
}

// Guards against a refusal that was written before the request and counts as its response.
#[actix_rt::test]
async fn a_refusal_that_precedes_the_request_is_not_its_response() {
    for id in ["", OTHER_ID] {
        for path in ONCE_ROUTES {
            let early = Script {
                greeting: format!("{}{id}{NO_BODY}", REFUSALS[0]),
                ..script(TRUE_RESPONSE.to_owned())
            };
            let call = Call::send(path, &early).await;

            assert_eq!(call.response.status, 502, "{path} {id}");
            // The request may not have been written, but it reaches no second engine.
            assert!(call.receivers() <= 1, "{path} {id}");
        }
    }
}

// Guards against a caller that sends no id and whose refused requests count as run.
#[actix_rt::test]
async fn a_refusal_without_id_of_a_request_without_id_is_believed() {
    let mut site = TestSite::start().await;
    let refusal = script(format!("{}{NO_BODY}", REFUSALS[0]));
    site.start_scripted_server(plain_engine_options("e1"), refusal)
        .await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let url = format!("http://{}/order/new", gateway.callers);
    let request = crate::common::new_client()
        .post(url)
        .insert_header(("host", "floor.example"))
        .insert_header(("authorization", format!("Bearer {API_KEY}")));
    let response = request.send_body("x").await.expect("the gateway responds");

    assert_eq!(response.status(), 503);
}
