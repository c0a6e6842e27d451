//! Callers that leave, and servers that stop.

use crate::support::{Script, Server, chat, read_reply};
use bytes::Bytes;
use reedford_front::ShutdownSignals;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

async fn wait_until_begun(server: &Server, count: usize) {
    let mut rx = server.fake.progress.subscribe();
    let begun = rx.wait_for(|progress| progress.begun == count).await;
    assert!(begun.is_ok());
}

#[tokio::test]
async fn a_call_is_dropped_when_its_caller_leaves() {
    let server = Server::start(Script::Wait).await;
    let stream = server.connect(&chat("")).await;
    wait_until_begun(&server, 1).await;
    drop(stream);
    let mut rx = server.fake.progress.subscribe();
    let dropped = rx.wait_for(|progress| progress.dropped == 1).await.is_ok();
    assert!(dropped);
    server.end().await;
}

#[tokio::test]
async fn a_stream_is_dropped_when_its_caller_leaves() {
    let (tx, rx) = mpsc::channel(1);
    let server = Server::start(Script::Stream(rx)).await;
    let stream = server.connect(&chat("")).await;
    wait_until_begun(&server, 1).await;
    drop(stream);
    tx.closed().await;
    server.end().await;
}

#[tokio::test]
async fn a_graceful_stop_finishes_whole_answers() {
    let server = Server::start(Script::Wait).await;
    let mut stream = server.connect(&chat("")).await;
    wait_until_begun(&server, 1).await;
    server.stop.graceful.cancel();
    // The listener is gone before the request has ended.
    while TcpStream::connect(server.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!server.task.is_finished());
    server.fake.go_on.send_replace(true);
    let reply = read_reply(&mut stream).await;
    assert_eq!(
        (reply.status, &*reply.body),
        (Some(200), "{\"whole\":true}")
    );
    server.task.await.expect("ends well");
}

#[tokio::test]
async fn a_graceful_stop_finishes_streams() {
    let (tx, rx) = mpsc::channel(1);
    let server = Server::start(Script::Stream(rx)).await;
    let mut stream = server.connect(&chat("")).await;
    wait_until_begun(&server, 1).await;
    server.stop.graceful.cancel();
    for text in ["data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n"] {
        tx.send(Ok(Bytes::from_static(text.as_bytes())))
            .await
            .expect("is read");
    }
    drop(tx);
    let reply = read_reply(&mut stream).await;
    assert!(reply.body.contains("data: 2"), "{reply:?}");
    assert!(
        reply.body.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"),
        "{reply:?}"
    );
    server.task.await.expect("ends well");
}

#[tokio::test]
async fn a_graceful_stop_answers_what_waits_to_be_accepted() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    let mut streams = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream.write_all(&chat("")).await.expect("sends");
        streams.push(stream);
    }
    let stop = ShutdownSignals::default();
    stop.graceful.cancel();
    let timeout = Duration::from_secs(20);
    let server = Server::start_on(listener, Script::Whole, stop, timeout);
    for mut stream in streams {
        assert_eq!(read_reply(&mut stream).await.status, Some(200));
    }
    server.task.await.expect("ends well");
}

#[tokio::test]
async fn a_graceful_stop_closes_idle_connections() {
    let server = Server::start(Script::Whole).await;
    let request = String::from_utf8(chat("")).expect("is text");
    let request = request.replace("Connection: close\r\n", "");
    let mut stream = server.connect(request.as_bytes()).await;
    let mut seen = Vec::new();
    while !seen.ends_with(b"{\"whole\":true}") {
        assert_ne!(stream.read_buf(&mut seen).await.expect("is open"), 0);
    }
    server.stop.graceful.cancel();
    assert_eq!(read_reply(&mut stream).await.status, None);
    server.task.await.expect("ends well");
}

#[tokio::test]
async fn an_abort_ends_what_is_in_progress() {
    let server = Server::start(Script::Wait).await;
    let mut stream = server.connect(&chat("")).await;
    wait_until_begun(&server, 1).await;
    server.stop.graceful.cancel();
    server.stop.abort.cancel();
    assert_eq!(read_reply(&mut stream).await.status, None);
    assert_eq!(server.fake.progress.borrow().dropped, 1);
    server.task.await.expect("ends well");
}
