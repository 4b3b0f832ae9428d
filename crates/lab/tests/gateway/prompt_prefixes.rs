//! Placement by the parts of prompts that callers state (gateway setting `prompt_cache`).

use serde_json::json;

use crate::common::{model_engine_options, wait_until, TestSite};

/// The `saved_tokens` of each request to one engine, in order; the requests share all but their last part.
async fn saved_tokens(site: &mut TestSite) -> (Vec<Option<u64>>, Option<f64>) {
    site.start_engine(model_engine_options("e1", 5, 5)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    for n in 0..3 {
        let id = format!("p{n}");
        let parts = format!("a1:40,b2:50,{n}c:10");
        let response = gateway.generate_from_parts(&parts, &id).await;
        assert_eq!(response.map(|got| got.status), Some(200));
    }
    wait_until("the log lines of all requests", async || {
        site.log_lines("g1", "sent").len() == 3
    })
    .await;
    let lines = site.log_lines("g1", "sent").into_iter();
    let tokens = lines.map(|line| line["saved_tokens"].as_u64()).collect();
    let counted = gateway
        .metric("balsamjunction_expected_cached_tokens_total")
        .await;
    (tokens, counted)
}

// Guards against a setting, or parts in a header, that never reach the selection.
#[actix_rt::test]
async fn requests_expect_the_parts_that_their_engine_has_read() {
    let mut site = TestSite::start().await;
    site.prompt_cache = json!({"deck-model": 10_000});

    let (tokens, counted) = saved_tokens(&mut site).await;

    // 90 tokens are shared; the engine certainly has not read them before the first request.
    assert!(tokens[0].is_some_and(|tokens| tokens < 45), "{tokens:?}");
    assert!(tokens[1] > Some(60) && tokens[2] > Some(60), "{tokens:?}");
    assert!(
        counted.is_some_and(|counted| counted > 120.0),
        "{counted:?}"
    );
}

#[actix_rt::test]
async fn nothing_is_expected_without_the_setting() {
    let mut site = TestSite::start().await;

    let (tokens, counted) = saved_tokens(&mut site).await;

    assert_eq!(tokens, [None, None, None]);
    assert_eq!(counted, Some(0.0));
}
