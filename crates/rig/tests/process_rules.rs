//! Guards against an instance that uses `io_uring`, child processes or shared memory.
//!
//! An instance must not use them, but a dependency can start to do so unnoticed.

use std::fs;
use std::path::PathBuf;

use rig::cluster::{Cluster, Shape};
use serde_json::Value;

fn proc_path(cluster: &Cluster, path: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{}/{path}", cluster.routers[0].process.id()))
}

#[ntex::test]
async fn instance_uses_no_io_uring_children_or_shared_memory() {
    let shape = Shape { routers: 1, engines: 1, ..Shape::default() };
    let cluster = Cluster::spawn(&shape, &Value::Null).await.unwrap();
    let mut epolls = 0;
    for entry in fs::read_dir(proc_path(&cluster, "fd")).unwrap() {
        let link = fs::read_link(entry.unwrap().path()).unwrap_or_default();
        let link = link.to_string_lossy().into_owned();
        assert!(!link.contains("io_uring"), "{link}");
        epolls += usize::from(link.contains("eventpoll"));
    }
    assert!(epolls > 0, "the instance has no epoll descriptor");
    for entry in fs::read_dir(proc_path(&cluster, "task")).unwrap() {
        let children = fs::read_to_string(entry.unwrap().path().join("children"));
        assert_eq!(children.unwrap_or_default().trim(), "");
    }
    let maps = fs::read_to_string(proc_path(&cluster, "maps")).unwrap();
    assert!(!maps.contains("/dev/shm") && !maps.contains("/SYSV"));
}
