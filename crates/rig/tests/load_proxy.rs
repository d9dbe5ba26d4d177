//! The proxy of the experiments injects the faults that are set on a link.
//!
//! A proxy without an effect would let every fault scenario pass.

use std::time::{Duration, Instant};

use rig::proxy::{Fault, Link, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which missing bytes count as held back by the proxy.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts an echo server behind a proxy.
async fn echo_behind_proxy(runtime: &Runtime) -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            ntex::rt::spawn(async move {
                let (mut read, mut write) = stream.split();
                // The tests close and reset connections on purpose, so errors are ignored.
                tokio::io::copy(&mut read, &mut write).await.unwrap_or_default();
            });
        }
    });
    runtime.link(address).unwrap()
}

async fn exchange(stream: &mut TcpStream) -> bool {
    stream.write_all(b"ping").await.unwrap();
    let mut answer = [0; 4];
    matches!(timeout(READ_TIMEOUT, stream.read_exact(&mut answer)).await, Ok(Ok(_)))
}

#[ntex::test]
async fn a_link_without_a_fault_forwards_bytes() {
    let runtime = Runtime::open().unwrap();
    let link = echo_behind_proxy(&runtime).await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut stream).await);
}

#[ntex::test]
async fn a_cut_link_holds_bytes_until_it_is_healed() {
    let runtime = Runtime::open().unwrap();
    let link = echo_behind_proxy(&runtime).await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut stream).await);
    link.set_fault(Fault::partition());
    assert!(!exchange(&mut stream).await);
    link.heal();
    let mut late = [0; 4];
    timeout(READ_TIMEOUT, stream.read_exact(&mut late)).await.unwrap().unwrap();
    assert_eq!(&late, b"ping");
}

#[ntex::test]
async fn a_slow_link_delays_each_direction() {
    let runtime = Runtime::open().unwrap();
    let link = echo_behind_proxy(&runtime).await;
    link.set_fault(Fault::slow(Duration::from_millis(40)));
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    let started = Instant::now();
    assert!(exchange(&mut stream).await);
    assert!(started.elapsed() >= Duration::from_millis(80));
}

#[ntex::test]
async fn a_reset_closes_open_connections_and_accepts_new_ones() {
    let runtime = Runtime::open().unwrap();
    let link = echo_behind_proxy(&runtime).await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut stream).await);
    link.reset_connections();
    let ended = timeout(READ_TIMEOUT, stream.read(&mut [0; 4])).await.unwrap();
    assert_eq!(ended.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    let mut fresh = TcpStream::connect(link.address).await.unwrap();
    assert!(exchange(&mut fresh).await);
}
