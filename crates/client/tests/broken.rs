//! The client against servers that close connections early, played by plain sockets.

use awc::error::SendRequestError;
use balsamjunction_client::{failed_to_connect, new_client};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a server that responds to one request with the given bytes and closes the connection.
/// Returns its URL.
async fn start_server(response: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(response).await;
    });
    format!("http://{address}/")
}

async fn read_body(response: &'static [u8]) -> Result<Vec<u8>, awc::error::PayloadError> {
    let url = start_server(response).await;
    let mut response = new_client(None)
        .get(url)
        .send()
        .await
        .expect("the head is complete");
    response.body().await.map(|body| body.to_vec())
}

#[actix_rt::test]
async fn a_chunked_response_that_ends_between_chunks_is_an_error() {
    let body =
        read_body(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n").await;

    assert!(body.is_err(), "{body:?}");
}

#[actix_rt::test]
async fn a_response_shorter_than_its_content_length_is_an_error() {
    let body = read_body(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc").await;

    assert!(body.is_err(), "{body:?}");
}

#[actix_rt::test]
async fn complete_responses_are_returned_in_full() {
    let chunked =
        read_body(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
            .await;
    let sized = read_body(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;

    assert_eq!(chunked.expect("it is complete"), b"abc");
    assert_eq!(sized.expect("it is complete"), b"abc");
}

#[actix_rt::test]
async fn a_server_that_closes_without_a_response_may_have_run_the_request() {
    let url = start_server(b"").await;

    let response = new_client(None).get(url).send().await;

    let e: SendRequestError = response.expect_err("the server sends no response");

    assert!(!failed_to_connect(&e), "{e}");
}

#[actix_rt::test]
async fn a_refused_connection_counts_as_failed_to_connect() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    drop(listener);

    let e = new_client(None)
        .get(format!("http://{address}/"))
        .send()
        .await;

    assert!(failed_to_connect(&e.expect_err("the port is closed")));
}
