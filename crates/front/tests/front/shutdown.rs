//! Callers that disconnect, and servers that shut down.

use crate::support::{NextResponse, Server, chat, read_response};
use bytes::Bytes;
use reedford_front::ShutdownSignals;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

async fn wait_until_started(server: &Server, count: usize) {
    let mut rx = server.handler.progress.subscribe();
    let started = rx.wait_for(|progress| progress.started == count).await;
    assert!(started.is_ok());
}

#[tokio::test]
async fn a_call_is_dropped_when_its_caller_disconnects() {
    let server = Server::start(NextResponse::Wait).await;
    let stream = server.connect(&chat("")).await;
    wait_until_started(&server, 1).await;
    drop(stream);
    let mut rx = server.handler.progress.subscribe();
    let dropped = rx.wait_for(|progress| progress.dropped == 1).await.is_ok();
    assert!(dropped);
    server.abort().await;
}

#[tokio::test]
async fn a_stream_is_dropped_when_its_caller_disconnects() {
    let (tx, rx) = mpsc::channel(1);
    let server = Server::start(NextResponse::Stream(rx)).await;
    let stream = server.connect(&chat("")).await;
    wait_until_started(&server, 1).await;
    drop(stream);
    tx.closed().await;
    server.abort().await;
}

#[tokio::test]
async fn a_graceful_shutdown_completes_buffered_responses() {
    let server = Server::start(NextResponse::Wait).await;
    let mut stream = server.connect(&chat("")).await;
    wait_until_started(&server, 1).await;
    server.shutdown.graceful.cancel();
    // The listener is closed while the request is still in progress.
    while TcpStream::connect(server.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!server.task.is_finished());
    server.handler.resume.send_replace(true);
    let response = read_response(&mut stream).await;
    assert_eq!(
        (response.status, &*response.body),
        (Some(200), "{\"whole\":true}")
    );
    server.task.await.expect("the server does not panic");
}

#[tokio::test]
async fn a_graceful_shutdown_completes_streams() {
    let (tx, rx) = mpsc::channel(1);
    let server = Server::start(NextResponse::Stream(rx)).await;
    let mut stream = server.connect(&chat("")).await;
    wait_until_started(&server, 1).await;
    server.shutdown.graceful.cancel();
    for text in ["data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n"] {
        tx.send(Ok(Bytes::from_static(text.as_bytes())))
            .await
            .expect("is read");
    }
    drop(tx);
    let response = read_response(&mut stream).await;
    assert!(response.body.contains("data: 2"), "{response:?}");
    assert!(
        response.body.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"),
        "{response:?}"
    );
    server.task.await.expect("the server does not panic");
}

#[tokio::test]
async fn a_graceful_shutdown_serves_connections_in_the_backlog() {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(addr).await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let mut streams = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the client connects");
        stream.write_all(&chat("")).await.expect("sends");
        streams.push(stream);
    }
    let shutdown = ShutdownSignals::default();
    shutdown.graceful.cancel();
    let timeout = Duration::from_secs(20);
    let server = Server::start_on(listener, NextResponse::Buffered, shutdown, timeout);
    for mut stream in streams {
        assert_eq!(read_response(&mut stream).await.status, Some(200));
    }
    server.task.await.expect("the server does not panic");
}

#[tokio::test]
async fn a_graceful_shutdown_closes_idle_connections() {
    let server = Server::start(NextResponse::Buffered).await;
    let request = String::from_utf8(chat("")).expect("is text");
    let request = request.replace("Connection: close\r\n", "");
    let mut stream = server.connect(request.as_bytes()).await;
    let mut received = Vec::new();
    while !received.ends_with(b"{\"whole\":true}") {
        assert_ne!(stream.read_buf(&mut received).await.expect("is open"), 0);
    }
    server.shutdown.graceful.cancel();
    assert_eq!(read_response(&mut stream).await.status, None);
    server.task.await.expect("the server does not panic");
}

#[tokio::test]
async fn an_abort_drops_requests_in_progress() {
    let server = Server::start(NextResponse::Wait).await;
    let mut stream = server.connect(&chat("")).await;
    wait_until_started(&server, 1).await;
    server.shutdown.graceful.cancel();
    server.shutdown.abort.cancel();
    assert_eq!(read_response(&mut stream).await.status, None);
    assert_eq!(server.handler.progress.borrow().dropped, 1);
    server.task.await.expect("the server does not panic");
}
