//! Interface to the header fields of a deployment.

use std::fmt;

use base::prelude::*;
use bytes::BytesMut;
use h1::{Request, Response};

use crate::Params;

/// A request whose head is encoded for an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Outbound<'a> {
    /// Head as the caller sent it.
    pub head: &'a Request,
    /// Length of the body in bytes.
    pub body_len: usize,
    /// Id of the only upstream that may run the request.
    pub upstream_id: &'a str,
    /// Address to which the request is sent.
    pub address: std::net::SocketAddr,
    /// Client account of the caller; `None` if it sent no known key.
    pub account: Option<&'a str>,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Rank among the requests at the upstream; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the last event that the caller received, if the stream resumes.
    pub last_event_id: Option<u64>,
}

/// Request that an answer belongs to, as its head states it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Subject {
    /// The request that was sent.
    Named,
    /// A request without a name, the one that was sent if the connection has carried no other.
    Unnamed,
    /// Another request, or none.
    #[default]
    Other,
}

/// Statements in the head of an upstream's answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Metadata {
    /// Which request the answer belongs to.
    pub subject: Subject,
    /// Whether the upstream signed the answer.
    pub is_signed: bool,
    /// Whether the upstream states that the request did not run and never will.
    pub is_not_run: bool,
    /// Running requests, waiting requests and slots of the upstream, in this order.
    pub load: Option<(u32, u32, u32)>,
    /// Time that work takes there now, relative to its usual time; `None` if not stated.
    pub slowness: Option<f64>,
    /// Time for which the upstream keeps the idle connection open, if stated.
    pub keep_alive: Option<Duration>,
    /// What the upstream states about itself, whichever request the answer belongs to.
    pub statement: Statement,
}

/// Statement of an upstream about the requests that it accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// Whether the upstream leaves and must get no new requests.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests of this instance, if it refused one.
    pub pause: Option<Duration>,
    /// Requests per second that the upstream accepts from all instances together.
    pub limit_per_s: Option<f64>,
    /// Requests per second that a brittle upstream can turn away; `None` if it is not brittle.
    pub brittle_limit: Option<usize>,
    /// Time for which the upstream stays cold; `None` if it states none.
    pub cold_remaining: Option<Duration>,
}

/// Decodes and encodes the header fields of a deployment.
pub trait Codec: fmt::Debug {
    /// Decodes the parameters of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the head, for the log.
    fn decode_request(&self, head: &Request) -> Result<Params, &'static str>;

    /// Appends the head of a request for an upstream to `out`.
    fn encode_request(&self, outbound: &Outbound<'_>, out: &mut BytesMut);

    /// Decodes the head of an upstream's answer to the request of `params`.
    fn decode_response(&self, head: &Response, params: &Params) -> Metadata;

    /// Appends a request by which an upstream is asked for what it states about itself.
    fn encode_report_request(&self, address: std::net::SocketAddr, out: &mut BytesMut);

    /// Decodes the incarnation in the answer of an upstream that was asked; `None` without one.
    fn decode_report(&self, head: &Response, body: &[u8]) -> Option<Incarnation>;

    /// Returns the name of the field that carries the request id in answers.
    fn request_id_field(&self) -> &'static str;
}
