//! Responses whose status is none of a final response: out of range, interim, or no number at all.

use std::time::Duration;

use balsamjunction_lab::standin::platform::ScriptedServer;

use crate::{
    common::{plain_engine_options, wait_until, TestSite},
    faulty_refusals::{assert_unknown, script, Call, ONCE_ROUTES, REPEATABLE_ROUTES},
};

/// Time in which a gateway becomes ready if its store responds.
const READY_TIME: Duration = Duration::from_millis(1_500);
/// Statuses of three digits that no final response has, as the parsers of responses accept them.
const PARSED: [&str; 4] = ["101", "600", "777", "999"];
/// Statuses that the parsers refuse.
const REFUSED: [&str; 9] = ["000", "001", "099", "1000", "20", "abc", "200OK", "+20", ""];

/// A whole response with the signature of its engine, whose status line is odd.
fn response(status: &str) -> String {
    format!(
        "HTTP/1.1 {status} Odd\r\nBalsamjunction-Attempt-Id: {{id}}\r\n\
         Balsamjunction-Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
    )
}

// Guards against an answer with the status 101, 600, 777 or 999 that reaches its caller as if it were one (MIXED).
#[actix_rt::test]
async fn a_status_out_of_range_is_no_answer() {
    for status in PARSED {
        assert_unknown(ONCE_ROUTES, &script(response(status))).await;
        assert_unknown(REPEATABLE_ROUTES, &script(response(status))).await;
    }
}

// Guards against an answer with the status 000, or with none that is a number, that reaches its caller (MIXED).
#[actix_rt::test]
async fn a_status_that_is_no_number_of_three_digits_is_no_answer() {
    for status in REFUSED {
        assert_unknown(
            [ONCE_ROUTES[0], REPEATABLE_ROUTES[0]],
            &script(response(status)),
        )
        .await;
    }
}

// Guards against an odd answer of which the statement is believed that its request has not run.
#[actix_rt::test]
async fn an_odd_answer_does_not_show_that_its_request_has_not_run() {
    for status in PARSED {
        let stated =
            response(status).replace("Content", "Balsamjunction-Not-Executed: 1\r\nContent");

        assert_unknown(ONCE_ROUTES, &script(stated)).await;
    }
}

// Guards against final statuses that are refused with the odd ones.
#[actix_rt::test]
async fn final_statuses_reach_the_caller() {
    for status in ["200", "302", "404", "429", "500", "599"] {
        let call = Call::send(ONCE_ROUTES[0], &script(response(status))).await;

        assert_eq!(call.response.status.to_string(), status);
        assert_eq!(call.response.signature.as_deref(), Some("s"));
        assert_eq!(call.receivers(), 1);
    }
}

// Guards against requests that count as the cause of a crash, and are refused, since an engine in trouble sent them odd
// answers.
#[actix_rt::test]
async fn requests_with_odd_answers_are_not_taken_for_crashing_ones() {
    for status in ["000", "777"] {
        let mut site = TestSite::start().await;
        let odd = script(response(status));
        let odd = site
            .start_scripted_server(plain_engine_options("odd"), odd)
            .await;
        let gateway = site.start_gateway("g1", &[]);
        gateway.wait_until_ready().await;

        for n in 0..8 {
            let got = gateway.call("GET", "/stock/1", &format!("a{n}")).await;
            assert!([502, 503].contains(&got.status), "{status}: {got:?}");
        }
        let received = odd.requests();
        site.start_engine(plain_engine_options("sound")).await;
        site.store.delete("servers/odd");

        assert!(
            received >= 3,
            "{status}: the engine got {received} requests"
        );
        wait_until("the request to be served", async || {
            gateway.call("GET", "/stock/1", "a9").await.status == 200
        })
        .await;
        assert!(site.log_lines("g1", "suspected-request").is_empty());
    }
}

// Guards against a store whose odd answer is taken for a listing.
#[actix_rt::test]
async fn an_odd_answer_of_the_store_is_no_listing() {
    let listing = r#"{"entries":[{"key":"op/config","value":"e30=","revision":1}],"at":1}"#;
    for status in ["000", "101", "600", "999"] {
        let odd = format!(
            "HTTP/1.1 {status} Odd\r\nContent-Length: {}\r\n\r\n{listing}",
            listing.len()
        );
        let store = ScriptedServer::start(script(odd)).await;
        let store = store.expect("start the store");
        let mut site = TestSite::start().await;
        let gateway = site.start_gateway_with_store("g1", &[], store.address);

        wait_until("the store to be read", async || store.requests() > 0).await;
        actix_rt::time::sleep(READY_TIME).await;

        assert!(!gateway.is_ready().await, "{status}");
        assert!(site.log_lines("g1", "belief").is_empty(), "{status}");
    }
}
