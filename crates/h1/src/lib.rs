//! HTTP/1.1 connections that account for every received byte.
//!
//! `httparse` parses the heads. This crate adds what a router needs and a client library hides:
//! how a body is framed, whether bytes follow a response, and whether the peer closed or reset the
//! connection.

pub mod body;
pub mod client;
pub mod conn;
pub mod error;
pub mod frame;
pub mod head;
pub mod socket;
pub mod traffic;

pub use crate::body::Body;
pub use crate::conn::{Conn, Gauge};
pub use crate::error::Error;
pub use crate::head::{Fields, Framing, Request, Response};
pub use crate::socket::Socket;
pub use crate::traffic::Traffic;
