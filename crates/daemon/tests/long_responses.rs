//! Responses to a sidecar that are longer than they may be, from a plain socket.

use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

use balsamjunction_client::new_client;
use balsamjunction_daemon::platform::{store_http::HttpWeightStore, WeightStore};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// The longest chunk that the caller of the test accepts.
const MAX_CHUNK_BYTES: usize = 4_096;
/// Bytes that the server can write although nobody reads them, since they are in the buffers of the sockets.
const MAX_SOCKET_BYTES: usize = 16 * 1_024 * 1_024;

// A sidecar collected up to 64 MiB of a chunk whose length it knew, several chunks at a time.
#[actix_rt::test]
async fn a_chunk_without_end_is_read_up_to_its_length() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("it has an address");
    let written = Arc::new(AtomicUsize::new(0));
    let counter = written.clone();
    let server = actix_rt::spawn(async move {
        let (mut tcp, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 4_096];
        let _ = tcp.read(&mut request).await;
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut written = tcp.write_all(head).await;
        let filler = b"8\r\nendless \r\n".repeat(1_024);
        while written.is_ok() {
            written = tcp.write_all(&filler).await;
            counter.fetch_add(filler.len(), Ordering::AcqRel);
        }
    });

    let store = HttpWeightStore::new(new_client(None), address);
    let chunk = store.chunk("v1", 0, MAX_CHUNK_BYTES).await;

    server.await.expect("the server ends with its connection");
    assert!(chunk.is_err());
    let written = written.load(Ordering::Acquire);
    assert!(written < MAX_SOCKET_BYTES, "{written} bytes");
}
