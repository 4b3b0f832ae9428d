//! What the client makes of servers that break off, against plain sockets.

use awc::error::SendRequestError;
use balsamjunction_client::{failed_to_connect, new_client};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// A server that answers one request with the given bytes and closes.
async fn answering(answer: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(answer).await;
    });
    format!("http://{address}/")
}

async fn body(answer: &'static [u8]) -> Result<Vec<u8>, awc::error::PayloadError> {
    let url = answering(answer).await;
    let mut response = new_client(None)
        .get(url)
        .send()
        .await
        .expect("the head is whole");
    response.body().await.map(|body| body.to_vec())
}

#[actix_rt::test]
async fn a_chunked_answer_that_ends_between_chunks_is_an_error() {
    let answer = body(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n").await;

    assert!(answer.is_err(), "{answer:?}");
}

#[actix_rt::test]
async fn an_answer_shorter_than_its_length_is_an_error() {
    let answer = body(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc").await;

    assert!(answer.is_err(), "{answer:?}");
}

#[actix_rt::test]
async fn whole_answers_are_given_whole() {
    let chunked =
        body(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n").await;
    let sized = body(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;

    assert_eq!(chunked.expect("it is whole"), b"abc");
    assert_eq!(sized.expect("it is whole"), b"abc");
}

#[actix_rt::test]
async fn a_server_that_closes_without_an_answer_may_have_run_the_request() {
    let url = answering(b"").await;

    let answer = new_client(None).get(url).send().await;

    let e: SendRequestError = answer.expect_err("no answer comes");

    assert!(!failed_to_connect(&e), "{e}");
}

#[actix_rt::test]
async fn a_refused_connection_ran_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    drop(listener);

    let e = new_client(None)
        .get(format!("http://{address}/"))
        .send()
        .await;

    assert!(failed_to_connect(&e.expect_err("nobody listens")));
}
