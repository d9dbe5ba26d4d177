//! The proxy shows the faults that it is told to show.

use std::time::{Duration, Instant};

use rig::proxy::{Fault, Link, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which nothing more is expected to arrive.
const SILENCE: Duration = Duration::from_millis(200);

/// Starts an echo server behind a proxy.
async fn echo(runtime: &Runtime) -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            ntex::rt::spawn(async move {
                let (mut read, mut write) = stream.split();
                // The end of a connection is part of what the tests cause.
                tokio::io::copy(&mut read, &mut write).await.unwrap_or_default();
            });
        }
    });
    runtime.link(address).unwrap()
}

async fn exchange(stream: &mut TcpStream) -> bool {
    stream.write_all(b"ping").await.unwrap();
    let mut answer = [0; 4];
    matches!(timeout(SILENCE, stream.read_exact(&mut answer)).await, Ok(Ok(_)))
}

#[ntex::test]
async fn bytes_pass_without_a_fault() {
    let runtime = Runtime::open().unwrap();
    let link = echo(&runtime).await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut stream).await);
}

#[ntex::test]
async fn a_cut_holds_bytes_back_until_it_heals() {
    let runtime = Runtime::open().unwrap();
    let link = echo(&runtime).await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut stream).await);
    link.set_fault(Fault::partition());
    assert!(!exchange(&mut stream).await);
    link.heal();
    let mut late = [0; 4];
    timeout(SILENCE, stream.read_exact(&mut late)).await.unwrap().unwrap();
    assert_eq!(&late, b"ping");
}

#[ntex::test]
async fn a_slow_link_delays_each_direction() {
    let runtime = Runtime::open().unwrap();
    let link = echo(&runtime).await;
    link.set_fault(Fault::slow(Duration::from_millis(40)));
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    let started = Instant::now();
    assert!(exchange(&mut stream).await);
    assert!(started.elapsed() >= Duration::from_millis(80));
}

#[ntex::test]
async fn a_reset_ends_open_connections() {
    let runtime = Runtime::open().unwrap();
    let link = echo(&runtime).await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut stream).await);
    link.reset_connections();
    let ended = timeout(SILENCE, stream.read(&mut [0; 4])).await.unwrap();
    assert_eq!(ended.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    let mut fresh = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut fresh).await);
}
