//! The header fields of a deployment.

use std::fmt;

use base::prelude::*;
use bytes::BytesMut;
use h1::{Request, Response};

use crate::Params;

/// A request on its way to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Outbound<'a> {
    /// Head as the caller sent it.
    pub head: &'a Request,
    /// Size of the body in bytes.
    pub body_len: usize,
    /// Upstream that alone may run it.
    pub upstream_id: &'a str,
    /// Address of the upstream.
    pub address: std::net::SocketAddr,
    /// Client account of the caller.
    pub account: Option<&'a str>,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Rank among the requests at the upstream; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Last event that the caller has, if the stream goes on.
    pub last_event_id: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Whether the answer is to the request that was sent.
    pub matches_request: bool,
    /// Whether the upstream vouches for the answer.
    pub is_signed: bool,
    /// Whether the request did not run and will not.
    pub is_not_run: bool,
    /// Requests that run, that wait, and that run at most.
    pub load: Option<(u32, u32, u32)>,
    /// Time for which the upstream keeps the connection open.
    pub keep_alive: Option<Duration>,
}

/// Header fields by which a deployment's callers and upstreams say what they mean.
pub trait Codec: fmt::Debug {
    /// Reads what a request asks for.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the head.
    fn decode_request(&self, head: &Request) -> Result<Params, &'static str>;

    /// Writes the head of a request to an upstream.
    fn encode_request(&self, outbound: &Outbound<'_>, out: &mut BytesMut);

    /// Reads an answer's head.
    fn decode_response(&self, head: &Response, params: &Params) -> Metadata;

    /// Returns the name of the field with which an answer names its request.
    fn request_id_field(&self) -> &'static str;
}
