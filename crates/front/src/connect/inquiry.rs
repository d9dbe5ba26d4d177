//! Connections that certainly lead to the listed incarnation of an upstream.

use std::fmt;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use bytes::BytesMut;
use h1::Conn;
use slog::info;
use tokio::time::{sleep, timeout};

use super::{Error, Opened};
use crate::Front;
use crate::proof::{ENTRY_DELAY, Proof};
use crate::upstream::Upstream;

/// Longest wait for the incarnation that an upstream states; an interrupted stream waits for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest head of a report.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Largest body of a report.
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Longest wait until the list has proven a connection of an upstream that states no incarnation.
///
/// It covers [`ENTRY_DELAY`] and the longest wait of the feed for a change.
const MAX_PROOF_WAIT: Duration = ENTRY_DELAY.saturating_add(Duration::from_millis(1_900));
/// Interval at which a waiting connection is checked.
const PROOF_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why the incarnation of an upstream is not proven.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The upstream has stated that it is another incarnation.
    Another(Incarnation),
    /// The upstream has not answered in time.
    Silent,
    /// Neither the upstream nor the list has proven the incarnation in time.
    Unknown,
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Another(born) => write!(f, "the upstream was started again, born {born}"),
            Self::Silent => f.write_str("the upstream did not state it in time"),
            Self::Unknown => f.write_str("nothing has shown it in time"),
        }
    }
}

/// What an upstream has said of its incarnation.
#[derive(Debug, Clone, Copy)]
enum Statement {
    Born(Incarnation),
    /// It does not say; the connection may be unusable.
    None,
    Silent,
}

/// What is known of the incarnation that wrote the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// It was the listed one.
    Certain,
    /// It was probably the listed one: the upstream does not answer, and its entry has not changed.
    Likely,
    /// It may have been a later one.
    Unknown,
}

impl Front {
    /// Connects to an upstream and makes sure that the connection leads to the listed incarnation.
    ///
    /// The upstream is asked. If it does not state its incarnation, the connection waits until the
    /// list would have shown a later one.
    pub(crate) async fn connect_proven(
        self: &Rc<Self>,
        upstream: &Rc<Upstream>,
        request: &RequestId,
        time_left: Duration,
    ) -> Result<Opened, Error> {
        let started_at = self.clock.now();
        let mut opened = self.connect(upstream, time_left).await?;
        let born = upstream.entry.born;
        if may_ask(upstream) {
            match self.ask_incarnation(upstream, &mut opened.conn, request).await {
                Statement::Born(stated) if stated == born => return Ok(opened),
                Statement::Born(stated) => return Err(Error::Unproven(Doubt::Another(stated))),
                Statement::Silent => return Err(Error::Unproven(Doubt::Silent)),
                Statement::None => {}
            }
            let time_spent = self.clock.now().saturating_sub(started_at);
            opened = self.connect(upstream, time_left.saturating_sub(time_spent)).await?;
        }
        let is_proven = self.wait_certain(upstream, opened.proof, time_left / 2).await;
        if is_proven && opened.conn.is_idle() && !upstream.leaving.get() {
            Ok(opened)
        } else {
            Err(Error::Unproven(Doubt::Unknown))
        }
    }

    /// Finds out whether a connection that has ended led to the listed incarnation of an upstream.
    ///
    /// Incarnations follow each other, so it did if the upstream is still the listed one.
    pub(crate) async fn find_incarnation(
        self: &Rc<Self>,
        upstream: &Rc<Upstream>,
        proof: Proof,
        request: &RequestId,
        time_left: Duration,
    ) -> Origin {
        if self.fleet.is_certain(upstream, proof) {
            return Origin::Certain;
        }
        if self.fleet.listing(upstream).ended_at.is_some() {
            return Origin::Unknown;
        }
        if !upstream.is_available(self.clock.now()) {
            return Origin::Likely;
        }
        if may_ask(upstream) {
            let idle = upstream.acquire_idle(|_| true, self.clock.now());
            let opened = match idle {
                Some((conn, proof)) => Ok(Opened { conn, proof, is_tunnel: false }),
                None => self.connect(upstream, time_left).await,
            };
            let Ok(Opened { mut conn, proof, is_tunnel }) = opened else { return Origin::Likely };
            match self.ask_incarnation(upstream, &mut conn, request).await {
                Statement::Born(stated) if stated == upstream.entry.born => {
                    if !is_tunnel {
                        upstream.release(conn, proof, None, self.clock.now());
                    }
                    return Origin::Certain;
                }
                Statement::Born(_) => return Origin::Unknown,
                Statement::Silent => return Origin::Likely,
                Statement::None => {}
            }
        }
        let is_proven = self.wait_certain(upstream, proof, time_left / 2).await;
        if is_proven { Origin::Certain } else { Origin::Unknown }
    }

    /// Waits until the list has proven a connection, at most `limit`; returns false if it will not.
    async fn wait_certain(&self, upstream: &Upstream, proof: Proof, limit: Duration) -> bool {
        let until = self.clock.now() + MAX_PROOF_WAIT.min(limit);
        loop {
            let listing = self.fleet.listing(upstream);
            if proof.is_certain(listing) {
                return true;
            }
            // A list that is read before this time proves nothing.
            let earliest = proof.opened_at + ENTRY_DELAY;
            let is_hopeless = earliest > until || listing.ended_at.is_some();
            if is_hopeless || self.clock.now() >= until {
                return false;
            }
            sleep(PROOF_CHECK_INTERVAL).await;
        }
    }

    /// Asks an upstream for its incarnation on a connection.
    async fn ask_incarnation(
        &self,
        upstream: &Upstream,
        conn: &mut Conn,
        request: &RequestId,
    ) -> Statement {
        let started_at = self.clock.now();
        let mut message = BytesMut::new();
        self.codec.encode_report_request(upstream.entry.address, &mut message);
        let asking = async {
            let (head, is_whole) = conn.exchange(&message, &[], MAX_HEAD_BYTES).await?;
            let body = conn.read_body(head.framing, MAX_REPORT_BYTES, None).await?;
            let is_usable = is_whole && head.keep_alive && conn.input.is_empty();
            let born = self.codec.decode_report(&head, &body).filter(|_| is_usable);
            Ok::<_, h1::Error>(born)
        };
        let statement = match timeout(REPORT_TIMEOUT, asking).await {
            Ok(Ok(Some(born))) => Statement::Born(born),
            // Upstreams that do not know the path may also close the connection.
            Ok(Ok(None) | Err(_)) => Statement::None,
            Err(_elapsed) => Statement::Silent,
        };
        let now = self.clock.now();
        let entry = &upstream.entry;
        info!(self.log, "upstream asked for its incarnation"; "request" => request.as_ref(),
            "upstream" => entry.id.as_ref(), "listed" => entry.born, "stated" => ?statement,
            "after_ms" => millis(now.saturating_sub(started_at)));
        match statement {
            Statement::Born(born) if born == entry.born => upstream.stated_at.set(Some(started_at)),
            Statement::Born(_) => {
                // The entry of the new incarnation has not been read yet.
                upstream.record_refusal(now);
                upstream.close_idle();
            }
            Statement::None => upstream.is_mute.set(true),
            Statement::Silent => {}
        }
        statement
    }
}

/// Returns true if an upstream can be asked for its incarnation.
fn may_ask(upstream: &Upstream) -> bool {
    upstream.entry.born > 0 && !upstream.is_mute.get()
}
