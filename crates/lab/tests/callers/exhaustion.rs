//! Each kind of traffic that once exhausted a gateway's memory.

use bytes::Bytes;

use crate::crowd::{head, LoadedSite, Script, MAX_BODY_BYTES};

const PIPELINING_CLIENTS: usize = 40;
const PIPELINED_REQUESTS: usize = 12_000;
const BODY_CLIENTS: usize = 150;
/// One-byte chunks that a client sends; each takes six bytes on the wire.
const SMALL_CHUNKS: usize = 262_144;
/// More connections than the smallest host has descriptors.
const IDLE_CONNECTIONS: usize = 2_700;
const UNFINISHED_HEADS: usize = 1_000;
/// Length of a head that does not end; the server's read buffer holds 128 KiB.
const UNFINISHED_HEAD_BYTES: usize = 125_000;

/// Small requests, whose responses the client does not read.
fn pipelined(n: usize) -> Script {
    let request = head("GET", n, "\r\n");
    let batch = 100;
    Script {
        opening: String::new(),
        repeated: Bytes::from(request.repeat(batch)),
        repetitions: PIPELINED_REQUESTS / batch,
        closing: Bytes::new(),
    }
}

/// A body of the greatest length that stops one byte before its end.
fn short_of_length(n: usize, piece: usize) -> Script {
    Script {
        opening: head(
            "POST",
            n,
            &format!("Content-Length: {MAX_BODY_BYTES}\r\n\r\n"),
        ),
        repeated: Bytes::from(vec![b'b'; piece]),
        repetitions: MAX_BODY_BYTES / piece - 1,
        closing: Bytes::from(vec![b'b'; piece - 1]),
    }
}

/// A body in large chunks without the last one.
fn large_chunks(n: usize) -> Script {
    let size = 65_536;
    let chunk = format!("{size:x}\r\n{}\r\n", "c".repeat(size));
    Script {
        opening: head("POST", n, "Transfer-Encoding: chunked\r\n\r\n"),
        repeated: Bytes::from(chunk),
        repetitions: MAX_BODY_BYTES / size - 1,
        closing: Bytes::new(),
    }
}

/// A body in chunks of one byte without the last one.
fn small_chunks(n: usize) -> Script {
    let batch = 1_024;
    Script {
        opening: head("POST", n, "Transfer-Encoding: chunked\r\n\r\n"),
        repeated: Bytes::from("1\r\nc\r\n".repeat(batch)),
        repetitions: SMALL_CHUNKS / batch,
        closing: Bytes::new(),
    }
}

/// One request, after which the connection is idle.
fn one_request(n: usize) -> Script {
    Script {
        opening: head("GET", n, "\r\n"),
        repeated: Bytes::new(),
        repetitions: 0,
        closing: Bytes::new(),
    }
}

fn unfinished_head(n: usize) -> Script {
    let line = format!("X-Filler: {}\r\n", "h".repeat(2_000));
    Script {
        opening: head("GET", n, ""),
        repetitions: UNFINISHED_HEAD_BYTES / line.len(),
        repeated: Bytes::from(line),
        closing: Bytes::new(),
    }
}

// Every request in the read buffer was parsed at once, although no response was read.
#[actix_rt::test]
async fn pipelined_requests_with_unread_responses_stay_within_the_memory() {
    let mut site = LoadedSite::start().await;
    let scripts: Vec<_> = (0..PIPELINING_CLIENTS).map(pipelined).collect();

    let _connections = site.send(&scripts).await;

    site.assert_serves_within_its_host().await;
}

// Bodies of legal length were held without a bound on their sum.
#[actix_rt::test]
async fn bodies_that_stop_short_stay_within_the_memory() {
    let mut site = LoadedSite::start().await;
    let pieces = [MAX_BODY_BYTES / 4, 8_192];
    let scripts: Vec<_> = (0..BODY_CLIENTS)
        .map(|n| short_of_length(n, pieces[n % 2]))
        .collect();

    let _connections = site.send(&scripts).await;

    site.assert_serves_within_its_host().await;
}

// Chunked bodies were held without a bound on their sum, and each small chunk took a multiple of its length.
#[actix_rt::test]
async fn chunked_bodies_that_stop_short_stay_within_the_memory() {
    let mut site = LoadedSite::start().await;
    let scripts: Vec<_> = (0..BODY_CLIENTS)
        .map(|n| match n % 2 {
            0 => large_chunks(n),
            _ => small_chunks(n),
        })
        .collect();

    let _connections = site.send(&scripts).await;

    site.assert_serves_within_its_host().await;
}

// Bounds by cause must hold together.
#[actix_rt::test]
async fn a_mix_of_such_clients_stays_within_the_memory() {
    let mut site = LoadedSite::start().await;
    let scripts: Vec<_> = (0..BODY_CLIENTS)
        .map(|n| match n % 4 {
            0 => pipelined(n),
            1 => short_of_length(n, 16_384),
            2 => large_chunks(n),
            _ => small_chunks(n),
        })
        .collect();

    let _connections = site.send(&scripts).await;

    site.assert_serves_within_its_host().await;
}

// Heads were buffered far beyond their configured limit while they did not end.
#[actix_rt::test]
async fn heads_that_never_finish_stay_within_the_memory() {
    let mut site = LoadedSite::start().await;
    let scripts: Vec<_> = (0..UNFINISHED_HEADS).map(unfinished_head).collect();

    let _connections = site.send(&scripts).await;

    site.assert_serves_within_its_host().await;
}

// Idle connections used up the descriptors, so that no new connection was accepted.
#[actix_rt::test]
async fn idle_connections_stay_within_the_descriptors() {
    let mut site = LoadedSite::start().await;
    let scripts: Vec<_> = (0..IDLE_CONNECTIONS).map(one_request).collect();

    let _connections = site.send(&scripts).await;

    site.assert_serves_within_its_host().await;
}
