//! Sending of a request to upstreams until one of them begins an answer.

use std::io::ErrorKind;
use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use bytes::{Bytes, BytesMut};
use h1::{Conn, Framing, Request, Response};
use ledger::escrow::Reservation;
use plan::routing::{Kind, Route, Table};
use route::cost::Report;
use route::path::State;
use route::poison::suspect::{self, Admission, Crash, Suspect};
use route::prefix;
use slog::info;
use thiserror::Error;
use tokio::time::timeout;

use crate::codec::{Metadata, Outbound, Statement, Subject};
use crate::connect::{self, Doubt, Opened, Origin, Verdict};
use crate::fleet::Selection;
use crate::memory::Holder;
use crate::proof::Proof;
use crate::serve::STOPPING;
use crate::upstream::{Entry, Flight, Upstream};
use crate::{Front, Params, Refusal};

/// Largest head of an answer from an upstream.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Most answers checked on one connection to find the one that matches the request.
const MAX_STALE_ANSWERS: usize = 3;
/// Largest body that is skipped to reach the next answer on a connection.
const MAX_STALE_BODY_BYTES: usize = 256 << 10;
/// Number of failed connects after which a request is refused.
const MAX_CONNECT_FAILURES: usize = 5;
/// Longest wait for the version at which a stream began.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(700);
/// Retry delay when no upstream could run the request.
const UNAVAILABLE_RETRY: Duration = Duration::from_millis(400);
/// Retry delay while all upstreams of a service are in evacuated domains, which lasts for minutes.
const EVACUATED_RETRY: Duration = Duration::from_secs(2);
/// Part of the time left for which an attempt waits if another attempt may follow.
const ATTEMPT_TIME_RATIO: f64 = 0.45;
/// Lowest status that counts as a failure of the upstream.
const MIN_FAILURE_STATUS: u16 = 500;
/// Status that promises that the request has not run.
const UNAVAILABLE: u16 = 503;
/// Status with which an upstream refuses a request for another upstream.
const MISDIRECTED: u16 = 421;
/// Bounds of one slowness sample, so that an outlier does not dominate the average.
///
/// Slowness is the observed time divided by the expected time.
const SLOWNESS_BOUNDS: std::ops::RangeInclusive<f64> = 0.3..=12.0;

/// Upstreams at which the stream of a request may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Continuation {
    /// The caller has no event yet, so it may begin at any upstream.
    Free,
    /// The caller has events that this software version wrote.
    Version(SoftwareVersion),
    /// The caller has events, and it is not proven which version wrote them.
    Impossible,
}

/// An admitted request and the state of its attempts.
#[derive(Debug)]
pub struct Call {
    /// State that all requests share.
    pub front: Rc<Front>,
    /// Configuration under which the request was admitted.
    pub routing: Rc<Table>,
    /// Route that matches the host and path.
    pub route: Arc<Route>,
    /// Service selected from the targets of the route; empty if it has none.
    pub service: ServiceId,
    /// Client account; `None` if the caller sent no known key.
    pub account: Option<AccountId>,
    /// Tokens reserved for the request; `None` if there are none or once they are settled.
    pub reserved: Option<Reservation>,
    /// Parameters decoded from the request's head.
    pub params: Params,
    /// Expected tokens of the output; 0 for plain requests.
    pub output_tokens: Tokens,
    /// Head as the caller sent it.
    pub head: Request,
    /// Whole body of the request.
    pub body: Bytes,
    /// Account of the bytes that the request holds.
    pub holder: Rc<Holder>,
    /// Time at which the head of the request had been read.
    pub arrival: Duration,
    /// Time by which the answer must have ended.
    pub deadline: Duration,
    /// Ids by which crashes are recorded: the request, then the prompt parts that others may share.
    suspects: Vec<suspect::Id>,
    /// Whether the request is sent only to find out whether it still crashes upstreams.
    is_trial: bool,
    /// Where the stream may go on; always free for requests that no other upstream resumes.
    pub continuation: Continuation,
    /// Upstream that wrote the first event and what proves its incarnation, while both may be wrong.
    begun_at: Option<(Rc<Upstream>, Proof)>,
    tried_upstreams: Vec<UpstreamId>,
    /// Time of the first attempt; `None` before it.
    first_sent_at: Option<Duration>,
    /// Time of the last attempt; zero before the first one.
    last_sent_at: Duration,
    /// Upstream to which the request was sent last; `None` before the first attempt.
    pub last_selection: Option<Selection>,
    /// Time at which the first event or the answer's head arrived; `None` before it.
    pub answered_at: Option<Duration>,
    /// Number of attempts that sent the request to an upstream.
    pub sent_count: usize,
    /// Whether an upstream may have run the request in an attempt that failed.
    pub may_have_run: bool,
}

/// An answer whose head has been received.
#[derive(Debug)]
pub struct Answer {
    /// Connection to the upstream, with the bytes received after the head.
    pub conn: Conn,
    /// Head of the answer as the upstream sent it.
    pub head: Response,
    /// Statements decoded from the head of the answer.
    pub metadata: Metadata,
    /// Guard that counts the request in flight at the upstream.
    pub flight: Flight,
    /// Whether the connection may be reused after the answer.
    pub is_reusable: bool,
    sent_at: Duration,
    expected_seconds: f64,
}

/// Why an attempt brought no answer to relay.
#[derive(Debug, Error)]
enum Failure {
    /// The upstream may be a later incarnation than listed; nothing was sent.
    #[error("incarnation unknown: {0}")]
    Unproven(Doubt),
    /// No connection could be opened, or the upstream is leaving; nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The operator has evacuated the domain of the upstream; nothing was sent.
    #[error("evacuated")]
    Evacuated,
    /// The upstream is cold, and other requests were sent meanwhile; nothing was sent.
    #[error("cold")]
    Cold,
    /// Neither this instance nor any that was asked has a path to the service; nothing was sent.
    #[error("no path")]
    NoPath,
    /// The connection hangs, since this instance has lost its path to the upstream.
    #[error("path lost")]
    PathLost,
    /// The kept connection had brought bytes that no request had asked for; nothing was sent.
    #[error("bytes came unasked")]
    Unsolicited,
    /// The connection failed or the answer was unusable after the request was sent.
    #[error("broken: {0}")]
    Exchange(h1::Error),
    /// The upstream stated that it did not run the request.
    #[error("not run: {0}")]
    NotRun(u16),
    /// The head of the answer did not arrive in time.
    #[error("silent")]
    Timeout,
    /// The answer lacks the upstream's signature, so that something else may have written it.
    #[error("unsigned: {0}")]
    Unsigned(u16),
    /// The upstream answered with a status that is a failure.
    #[error("failed: {0}")]
    ServerError(u16),
}

impl From<connect::Error> for Failure {
    fn from(error: connect::Error) -> Self {
        match error {
            connect::Error::Upstream(error) => Self::Connect(error),
            connect::Error::Path => Self::NoPath,
            connect::Error::Unproven(doubt) => Self::Unproven(doubt),
        }
    }
}

impl Call {
    /// Opens the call of an admitted request and selects its service.
    #[expect(clippy::too_many_arguments, reason = "each is the result of another step")]
    #[must_use]
    pub fn open(
        front: &Rc<Front>,
        routing: Rc<Table>,
        route: Arc<Route>,
        account: Option<AccountId>,
        reserved: Option<Reservation>,
        params: Params,
        head: Request,
        body: Bytes,
        holder: Rc<Holder>,
        arrival: Duration,
    ) -> Self {
        let request_hash =
            prefix::mix(prefix::extend_hash(prefix::mix(3), params.stream_id().as_bytes()));
        let service = route.pick_service(request_hash).map_or_else(|| "".into(), Arc::clone);
        let account_name = account.as_deref().unwrap_or_default();
        let mut suspects = vec![suspect::request_id(account_name, &head.target, &body)];
        suspects.extend(params.shared_part_ids());
        let output_tokens = front.fleet.expected_output(&route.name, account.as_ref(), &params);
        let time_limit = params.time_limit(&route);
        Self {
            front: Rc::clone(front),
            routing,
            service,
            route,
            account,
            reserved,
            params,
            output_tokens,
            head,
            body,
            holder,
            arrival,
            deadline: arrival + time_limit,
            suspects,
            is_trial: false,
            continuation: Continuation::Free,
            begun_at: None,
            tried_upstreams: Vec::new(),
            first_sent_at: None,
            last_sent_at: Duration::ZERO,
            last_selection: None,
            answered_at: None,
            sent_count: 0,
            may_have_run: false,
        }
    }

    /// Returns the time until the deadline, zero once it has passed.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.front.clock.now())
    }

    /// Returns true if the deadline passed longer than `grace` ago.
    #[must_use]
    pub fn is_overdue(&self, grace: Duration) -> bool {
        self.front.clock.now() > self.deadline + grace
    }

    /// Sends the request until an upstream begins an answer to relay.
    ///
    /// A stream resumes after the event `last_event_id`.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no upstream begins an answer.
    pub async fn send(&mut self, last_event_id: Option<u64>) -> Result<Answer, Refusal> {
        if self.front.fleet.is_service_evacuated(&self.service) {
            return Err(self.unavailable_refusal());
        }
        match self.front.suspects.admit(&self.service, &self.suspects).await {
            Admission::Granted => {}
            Admission::Trial => self.is_trial = true,
            Admission::Refused => return Err(self.poison_refusal()),
        }
        self.prove_origin().await;
        let mut failed_connects = 0;
        loop {
            let time_left = self.time_left();
            if time_left.is_zero() {
                return Err(self.deadline_refusal());
            }
            let now = self.front.clock.now();
            let selection = self.select(now);
            let Some(selection) = selection else {
                if failed_connects > 0 {
                    self.front.record_no_exit(&self.service);
                }
                return Err(self.unavailable_refusal());
            };
            selection.upstream.record_request(|| self.front.roster.limit_share(), now);
            if self.sent_count == 0 && failed_connects == 0 {
                self.record_request(now);
            }
            let id = Arc::clone(&selection.upstream.entry.id);
            let failure = match self.attempt(&selection, last_event_id, time_left).await {
                Ok(answer) if answer.metadata.is_not_run => {
                    let status = answer.head.status;
                    if status != MISDIRECTED {
                        selection.upstream.record_rejection(self.front.clock.now());
                    }
                    self.recycle(answer).await;
                    Failure::NotRun(status)
                }
                Ok(answer) if answer.head.status < MIN_FAILURE_STATUS => {
                    // If the answer is interrupted, another upstream must resume it.
                    self.tried_upstreams.push(id);
                    return Ok(answer);
                }
                Ok(answer) => {
                    let failure = Failure::ServerError(answer.head.status);
                    self.record_failure(&selection, &failure);
                    self.tried_upstreams.push(id);
                    let other = self.select(self.front.clock.now());
                    if other.is_none() || !self.may_send_again(&failure) {
                        return Ok(answer);
                    }
                    self.may_have_run = true;
                    continue;
                }
                Err(failure) => failure,
            };
            self.record_failure(&selection, &failure);
            // Another connection to the same upstream may be sound.
            if !matches!(failure, Failure::Unsolicited) {
                self.tried_upstreams.push(id);
            }
            if matches!(failure, Failure::NoPath) {
                return Err(self.no_path_refusal());
            }
            if matches!(failure, Failure::Evacuated | Failure::Cold) {
                continue;
            }
            if matches!(failure, Failure::Connect(_) | Failure::Unproven(_) | Failure::Unsolicited)
            {
                failed_connects += 1;
                if failed_connects >= MAX_CONNECT_FAILURES {
                    self.front.record_no_exit(&self.service);
                    return Err(self.unavailable_refusal());
                }
                continue;
            }
            self.may_have_run |= !matches!(failure, Failure::NotRun(_));
            if let Failure::Exchange(error) = &failure {
                self.detect_crash(&selection.upstream, error, false).await;
                if self.front.suspects.is_refused(&self.service, &self.suspects) {
                    return Err(self.poison_refusal());
                }
            }
            if !self.may_send_again(&failure) {
                return Err(self.final_refusal(&failure));
            }
        }
    }

    /// Selects the upstream of the next attempt; `None` if there is none.
    fn select(&self, now: Duration) -> Option<Selection> {
        let front = &self.front;
        let brittle_limit = front.fleet.brittle_limit(&self.service);
        let is_generation = self.params.generation.is_some();
        let has_room = |upstream: &Upstream| {
            front.admits_cold(upstream, now)
                && brittle_limit.is_none_or(|limit| {
                    let rank = front.roster.rank(&upstream.entry.id);
                    upstream.admits_brittle(limit, rank, is_generation, now)
                })
        };
        let select = |admits: &dyn Fn(&Upstream) -> bool| {
            let admits = |upstream: &Upstream| admits(upstream) && has_room(upstream);
            let (output, tried) = (self.output_tokens, &self.tried_upstreams);
            front.fleet.select(&self.service, &self.params, output, tried, admits, now)
        };
        let is_announced =
            |entry: &Entry| front.origins.is_announced(&entry.service, &entry.version);
        match &self.continuation {
            Continuation::Free if self.route.kind == Kind::Resumable => {
                // A stream that begins at an unknown incarnation cannot go on elsewhere.
                select(&|upstream| is_announced(&upstream.entry) && upstream.is_as_listed(now))
                    .or_else(|| select(&|upstream| is_announced(&upstream.entry)))
            }
            Continuation::Free => select(&|_| true),
            Continuation::Version(version) => select(&|upstream| {
                upstream.entry.version == *version
                    && (front.fleet.is_likely_as_listed(upstream, now)
                        || upstream.has_idle(|proof| front.fleet.is_certain(upstream, proof), now))
            }),
            Continuation::Impossible => None,
        }
    }

    /// Finds the software version at which the stream began that the caller takes up.
    ///
    /// Returns the id of the event after which the stream goes on; `None` for a new stream.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the version is not proven.
    pub async fn find_origin(&mut self) -> Result<Option<u64>, Refusal> {
        if self.route.kind != Kind::Resumable || !self.params.is_resumption() {
            return Ok(None);
        }
        let front = Rc::clone(&self.front);
        let stream = self.params.resumed_request.as_deref();
        let finding = front.origins.find(stream, &self.service);
        let found = timeout(ORIGIN_TIMEOUT.min(self.time_left()), finding).await;
        info!(front.log, "stream taken up"; "request" => self.params.request_id.as_ref(),
            "stream" => stream, "last_event" => self.params.last_event_id,
            "version" => ?found);
        match found {
            Ok(Ok(Some(version))) => {
                self.continuation = Continuation::Version(version);
                Ok(self.params.last_event_id)
            }
            Ok(Ok(None)) => Err(Refusal::not_run(503, "stream_origin_unknown")),
            Ok(Err(_)) | Err(_) => {
                Err(Refusal::not_run(503, "stream_origin_unreachable")
                    .retry_after(UNAVAILABLE_RETRY))
            }
        }
    }

    /// Notes which upstream wrote the first event of an answer that is relayed.
    ///
    /// Returns false if the event must not follow those that the caller already has.
    pub fn record_origin(&mut self, flight: &Flight) -> bool {
        if self.route.kind != Kind::Resumable {
            return true;
        }
        let upstream = flight.upstream();
        let version = &upstream.entry.version;
        let listing = self.front.fleet.listing(upstream);
        match &self.continuation {
            Continuation::Free if flight.proof().is_likely(listing) && !version.is_empty() => {
                self.continuation = Continuation::Version(Arc::clone(version));
                self.begun_at = Some((Rc::clone(upstream), flight.proof()));
            }
            Continuation::Free => self.continuation = Continuation::Impossible,
            Continuation::Version(first)
                if flight.proof().is_certain(listing) && first == version => {}
            Continuation::Version(_) | Continuation::Impossible => return false,
        }
        if let Continuation::Version(version) = &self.continuation {
            self.front.origins.record(self.params.stream_id(), &self.service, version);
        }
        true
    }

    /// Withdraws the version at which the stream began if the list has shown that it was wrong.
    ///
    /// The upstream may have started again just before the stream began, and its entry was late.
    pub fn review_origin(&mut self) {
        let is_wrong = self
            .begun_at
            .as_ref()
            .is_some_and(|(upstream, proof)| !proof.is_likely(self.front.fleet.listing(upstream)));
        if is_wrong {
            ntex::rt::spawn(self.withdraw_origin());
        }
    }

    /// Makes sure of the version at which the stream began, before it goes on elsewhere.
    async fn prove_origin(&mut self) {
        let Some((upstream, proof)) = self.begun_at.clone() else { return };
        let request = &self.params.request_id;
        let finding = self.front.find_incarnation(&upstream, proof, request, self.time_left());
        match finding.await {
            Origin::Certain => self.begun_at = None,
            Origin::Likely => {}
            // The caller must not take the stream up at another instance before the row is written.
            Origin::Unknown => self.withdraw_origin().await,
        }
    }

    /// Withdraws the version at which the stream began; the future tells the other instances.
    fn withdraw_origin(&mut self) -> impl Future<Output = ()> + use<> {
        let begun_at = self.begun_at.take();
        self.continuation = Continuation::Impossible;
        let front = Rc::clone(&self.front);
        let (stream, service) = (Arc::clone(self.params.stream_id()), Arc::clone(&self.service));
        info!(front.log, "origin of a stream withdrawn";
            "request" => self.params.request_id.as_ref(), "stream" => stream.as_ref(),
            "upstream" => begun_at.as_ref().map(|(upstream, _)| upstream.entry.id.to_string()));
        async move {
            let revoking = front.origins.revoke(&stream, &service);
            if !matches!(timeout(ORIGIN_TIMEOUT, revoking).await, Ok(Ok(()))) {
                info!(front.log, "withdrawal of an origin not written"; "stream" => stream.as_ref());
            }
        }
    }

    /// Returns true, and consumes a retry, if another upstream may get the request.
    fn may_send_again(&self, failure: &Failure) -> bool {
        let is_safe = matches!(failure, Failure::NotRun(_)) || self.route.kind.is_repeatable();
        is_safe
            && !self.is_trial
            && self.sent_count < self.route.max_attempts
            && self.consume_retry()
    }

    /// Consumes a retry of the service; returns false if its limit is reached.
    fn consume_retry(&self) -> bool {
        let front = &self.front;
        let mut retry_limiters = front.retry_limiters.borrow_mut();
        let limiter = retry_limiters.entry(Arc::clone(&self.service)).or_default();
        limiter.try_retry(&front.retry_limits, front.roster.sharing_instances(), front.clock.now())
    }

    /// Returns true, and consumes a retry, if an interrupted answer may be resumed.
    #[must_use]
    pub fn may_resume(&mut self) -> bool {
        self.review_origin();
        self.can_go_on() && self.consume_retry()
    }

    /// Returns true if another upstream could continue the answer.
    #[must_use]
    pub fn can_go_on(&self) -> bool {
        self.route.kind.is_repeatable()
            && !self.is_trial
            && self.continuation != Continuation::Impossible
            && self.sent_count < self.route.max_attempts
    }

    fn record_request(&self, now: Duration) {
        let mut retry_limiters = self.front.retry_limiters.borrow_mut();
        let limiter = retry_limiters.entry(Arc::clone(&self.service)).or_default();
        limiter.record_request(&self.front.retry_limits, now);
    }

    fn poison_refusal(&self) -> Refusal {
        if self.may_have_run {
            Refusal::unknown(502, "crashes_upstreams")
        } else {
            Refusal::not_run(502, "crashes_upstreams")
        }
    }

    /// Clears the prompt parts of suspicion, because the answer to the request has begun.
    pub fn record_begun_answer(&self) {
        self.front.suspects.record_answer(&self.service, &self.suspects[1..]);
    }

    /// Clears the request and its prompt parts of suspicion, because its answer is complete.
    pub fn record_whole_answer(&self) {
        self.front.suspects.record_answer(&self.service, &self.suspects);
    }

    async fn attempt(
        &mut self,
        selection: &Selection,
        last_event_id: Option<u64>,
        time_left: Duration,
    ) -> Result<Answer, Failure> {
        let front = Rc::clone(&self.front);
        let upstream = &selection.upstream;
        let now = front.clock.now();
        let needs_proof = matches!(self.continuation, Continuation::Version(_));
        if upstream.has_lost_idle(now) {
            front.record_loss(upstream, "idle connections closed");
        }
        let admits = |proof| !needs_proof || front.fleet.is_certain(upstream, proof);
        let idle = upstream.acquire_idle(admits, now);
        let is_reused = idle.is_some();
        let opened = if let Some((conn, proof)) = idle {
            Opened { conn, proof, is_tunnel: false }
        } else if needs_proof {
            let request = &self.params.request_id;
            front.connect_proven(upstream, request, time_left).await.map_err(Failure::from)?
        } else {
            front.connect(upstream, time_left).await.map_err(Failure::from)?
        };
        let Opened { mut conn, proof, is_tunnel } = opened;
        let is_kept = conn.is_used();
        if upstream.leaving.get() {
            return Err(Failure::Connect(ErrorKind::NotConnected.into()));
        }
        // The row may have been read while the connection was opened.
        if front.fleet.is_evacuated(upstream) {
            return Err(Failure::Evacuated);
        }
        let now = front.clock.now();
        if !front.admits_cold(upstream, now) {
            if !is_tunnel {
                upstream.release(conn, proof, None, now);
            }
            return Err(Failure::Cold);
        }
        upstream.record_sent(now);
        if let Some(reserved) = &mut self.reserved {
            reserved.mark_started();
        }
        self.sent_count += 1;
        self.last_selection = Some(selection.clone());
        let sent_at = front.clock.now();
        let flight = Flight::open(Rc::clone(upstream), selection.work, proof, !is_tunnel, sent_at);
        let message = self.encode_request(upstream, last_event_id);
        let may_send_more =
            self.route.kind.is_repeatable() && self.sent_count < self.route.max_attempts;
        let attempt_timeout = if may_send_more {
            self.time_left().mul_f64(ATTEMPT_TIME_RATIO)
        } else {
            self.time_left()
        };
        self.first_sent_at.get_or_insert(sent_at);
        self.last_sent_at = sent_at;
        let exchange = timeout(attempt_timeout, self.exchange(upstream, &mut conn, &message));
        let result = tokio::select! {
            biased;
            result = exchange => result,
            () = flight.wait_cut_off(), if may_send_more => return Err(Failure::PathLost),
        };
        let (head, metadata, is_reusable) = match result {
            Ok(Ok((head, metadata, is_reusable))) => (head, metadata, is_reusable && !is_tunnel),
            Ok(Err(h1::Error::Unsolicited)) => {
                self.sent_count -= 1;
                if is_kept {
                    upstream.close_idle();
                    return Err(Failure::Unsolicited);
                }
                return Err(Failure::Connect(ErrorKind::InvalidData.into()));
            }
            Ok(Err(error)) => return Err(Failure::Exchange(error)),
            Err(_) => {
                // Open connections can go silent together, and each would cost a request as much.
                if is_reused {
                    upstream.close_idle();
                }
                return Err(Failure::Timeout);
            }
        };
        if !is_answer_of_upstream(upstream, head.status, &metadata) {
            return Err(Failure::Unsigned(head.status));
        }
        let now = front.clock.now();
        flight.record_answered(now);
        if let Some((running, waiting, _)) = metadata.load {
            let slowness = metadata.slowness;
            upstream.record_load(Report { running, waiting, slowness }, now);
        }
        let expected_seconds = selection.expected_seconds;
        Ok(Answer { conn, head, metadata, flight, is_reusable, sent_at, expected_seconds })
    }

    /// Returns the head of the message to an upstream; the body follows it uncopied.
    fn encode_request(&self, upstream: &Upstream, last_event_id: Option<u64>) -> BytesMut {
        let mut message = BytesMut::with_capacity(1024);
        let rank = self.account.as_ref().and_then(|id| self.routing.accounts.get(id)?.priority);
        let outbound = Outbound {
            head: &self.head,
            body_len: self.body.len(),
            upstream_id: &upstream.entry.id,
            address: upstream.entry.address,
            account: self.account.as_deref(),
            time_left: self.time_left(),
            priority: Some(rank.unwrap_or(self.route.priority)),
            last_event_id,
        };
        self.front.codec.encode_request(&outbound, &mut message);
        message
    }

    /// Sends the request and reads the head of its answer, skipping answers to earlier ones.
    ///
    /// On a connection that has carried an earlier request, only an answer that names this one
    /// counts, or a failure that claims nothing: any other may have been written for the earlier one.
    async fn exchange(
        &self,
        upstream: &Upstream,
        conn: &mut Conn,
        message: &[u8],
    ) -> Result<(Response, Metadata, bool), h1::Error> {
        let is_kept = conn.is_used();
        let (mut head, mut is_whole) = conn.exchange(message, &self.body, MAX_HEAD_BYTES).await?;
        if self.head.method == "HEAD" {
            // The length is that of the body that a GET would return; none follows.
            head.framing = Framing::Length(0);
        }
        let mut is_first = true;
        for _ in 0..MAX_STALE_ANSWERS {
            let metadata = self.front.codec.decode_response(&head, &self.params);
            let is_known = metadata.is_signed || metadata.is_not_run || upstream.has_signed.get();
            if head.status != MISDIRECTED && is_known {
                self.apply_statement(upstream, &metadata);
            }
            // Something that is no upstream need not repeat the id of the request.
            let is_stranger =
                !metadata.is_signed && !metadata.is_not_run && !upstream.has_signed.get();
            let is_own = match metadata.subject {
                Subject::Named => true,
                Subject::Unnamed => !is_kept && is_first,
                Subject::Other => false,
            };
            // It may be that of an earlier request, but says neither that this one ran nor that not.
            let is_bare_failure = metadata.subject == Subject::Unnamed
                && is_failure_before_run(head.status, &metadata);
            if is_stranger || is_own || is_bare_failure {
                let is_reusable = is_whole && is_first && head.keep_alive && is_own;
                return Ok((head, metadata, is_reusable));
            }
            if !is_whole || metadata.subject == Subject::Unnamed {
                break;
            }
            conn.read_body(head.framing, MAX_STALE_BODY_BYTES, None).await?;
            is_first = false;
            (head, is_whole) = conn.exchange(&[], &[], MAX_HEAD_BYTES).await?;
        }
        Err(h1::Error::Malformed("no answer names the request"))
    }

    /// Applies what an answer states about its upstream.
    fn apply_statement(&self, upstream: &Upstream, metadata: &Metadata) {
        let Statement { is_leaving, pause, limit_per_s, brittle_limit, cold_remaining } =
            metadata.statement;
        let now = self.front.clock.now();
        let share = limit_per_s.map_or(0.0, |_| self.front.roster.limit_share());
        // A refusal need not repeat the limit, so it does not lift one.
        if (limit_per_s.is_some() || !metadata.is_not_run)
            && upstream.record_limit(limit_per_s, share, now)
        {
            info!(self.front.log, "limit of an upstream changed";
                "upstream" => upstream.entry.id.as_ref(), "limit_per_s" => limit_per_s,
                "share" => share, "request" => self.params.request_id.as_ref());
        }
        if self.front.fleet.record_brittle(&upstream.entry.service, brittle_limit) {
            info!(self.front.log, "upstreams changed between brittle and sound";
                "service" => upstream.entry.service.as_ref(), "limit" => brittle_limit,
                "request" => self.params.request_id.as_ref());
        }
        if let Some(remaining) = cold_remaining {
            self.front.record_cold(upstream, remaining, "answer");
        }
        if is_leaving && upstream.record_leaving() {
            info!(self.front.log, "upstream leaves"; "upstream" => upstream.entry.id.as_ref(),
                "request" => self.params.request_id.as_ref());
        }
        if let Some(pause) = pause {
            upstream.record_pause(pause, now);
            info!(self.front.log, "upstream asks for a pause";
                "upstream" => upstream.entry.id.as_ref(), "pause_ms" => millis(pause),
                "request" => self.params.request_id.as_ref());
        }
    }

    /// Updates the health of the upstream after a failure, and logs it.
    fn record_failure(&self, selection: &Selection, failure: &Failure) {
        let now = self.front.clock.now();
        let upstream = &selection.upstream;
        match failure {
            // The packets of the connect may wait in the full link of this instance.
            Failure::Connect(error)
                if error.kind() == ErrorKind::TimedOut && self.front.is_congested() => {}
            Failure::Connect(error) => {
                if self.front.path_state(&self.service) == State::Works
                    || error.kind() == ErrorKind::HostUnreachable
                {
                    upstream.eject(now);
                }
            }
            // Another upstream uses the address now.
            Failure::NotRun(MISDIRECTED) => upstream.eject(now),
            // Something that is no upstream may use the address.
            Failure::Unsigned(_) if !upstream.has_signed.get() => upstream.eject_stranger(now),
            // The upstream is full, and its answer has reported its load, or the fault is not its own.
            Failure::NotRun(_)
            | Failure::Unproven(_)
            | Failure::Evacuated
            | Failure::Cold
            | Failure::NoPath
            | Failure::Unsolicited
            | Failure::PathLost => {}
            Failure::Exchange(_)
            | Failure::Timeout
            | Failure::Unsigned(_)
            | Failure::ServerError(_) => {
                upstream.record_failure(now);
            }
        }
        info!(self.front.log, "attempt failed"; "request" => self.params.request_id.as_ref(),
            "upstream" => upstream.entry.id.as_ref(), "failure" => %failure,
            "fleet" => self.front.fleet.version(), "among" => selection.candidate_count,
            "expected_ms" => selection.expected_seconds * 1e3, "sent" => self.sent_count,
            "after_ms" => millis(now.saturating_sub(self.arrival)));
    }

    /// Reports a crash if a connection was lost and a new connect fails.
    ///
    /// The crash is known at this instance when the future ends, and written to the shared records
    /// afterwards. If the answer had begun, the parts of the prompt are not its cause.
    pub async fn detect_crash(&self, upstream: &Rc<Upstream>, error: &h1::Error, has_begun: bool) {
        if !matches!(error, h1::Error::UnexpectedEof | h1::Error::Io(_)) {
            return;
        }
        let front = &self.front;
        let entry = &upstream.entry;
        let run_id = format!("{}@{}", entry.id, entry.born);
        front.record_loss(upstream, "connection lost");
        let error = match front.verify(upstream).await {
            // The upstream still accepts connections: it lost an answer but did not crash.
            Verdict::Up(Opened { conn, proof, .. }) => {
                return upstream.release(conn, proof, None, front.clock.now());
            }
            Verdict::PathLost => {
                info!(front.log, "connection lost with the path";
                    "request" => self.params.request_id.as_ref(), "upstream" => entry.id.as_ref());
                return;
            }
            Verdict::Down(error) => error,
        };
        let now = front.clock.now();
        upstream.eject(now);
        info!(front.log, "upstream crashed"; "request" => self.params.request_id.as_ref(),
            "upstream" => entry.id.as_ref(), "error" => %error, "has_begun" => has_begun,
            "suspects" => format!("{:x?}", self.suspects));
        // Two attempts of one request do not tell which of its parts is the cause.
        let first_sent_at = self.first_sent_at.unwrap_or(now);
        let sent_at = [self.last_sent_at].into_iter().chain(std::iter::repeat(first_sent_at));
        let count = if has_begun { 1 } else { self.suspects.len() };
        let suspects = self.suspects.iter().zip(sent_at).take(count);
        front.suspects.record_crash(&Crash {
            service: Arc::clone(&self.service),
            suspects: suspects
                .map(|(id, sent_at)| Suspect { id: *id, sent_before: now.saturating_sub(sent_at) })
                .collect(),
            run_id,
        });
    }

    /// Skips the rest of an answer that is not relayed, and releases the connection.
    async fn recycle(&self, answer: Answer) {
        let Answer { mut conn, head, metadata, is_reusable, flight, .. } = answer;
        if is_reusable && conn.read_body(head.framing, MAX_STALE_BODY_BYTES, None).await.is_ok() {
            let now = self.front.clock.now();
            flight.release(conn, metadata.keep_alive, now);
        }
    }

    fn deadline_refusal(&self) -> Refusal {
        if self.may_have_run || self.sent_count > 0 {
            Refusal::unknown(504, "deadline_exceeded")
        } else {
            Refusal::not_run(504, "deadline_exceeded")
        }
    }

    /// Returns the refusal of a request that the end of a planned stop has interrupted.
    #[must_use]
    pub fn stopped_refusal(&self) -> Refusal {
        if self.sent_count > 0 { Refusal::unknown(502, "instance_stopped") } else { STOPPING }
    }

    /// Returns the time after which an upstream may have room for the request.
    fn unavailable_retry(&self) -> Duration {
        let wait = self.front.fleet.wait(&self.service, self.front.clock.now());
        wait.unwrap_or(UNAVAILABLE_RETRY)
    }

    fn no_path_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::unknown(502, "path_lost");
        }
        Refusal::not_run(503, "no_path").retry_after(UNAVAILABLE_RETRY)
    }

    fn unavailable_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::unknown(502, "upstream_failed");
        }
        if self.front.fleet.is_service_evacuated(&self.service) {
            return evacuated_refusal();
        }
        if let Some(retry_after) = self.front.cold_retry(&self.service) {
            return Refusal::not_run(503, "upstreams_cold").retry_after(retry_after);
        }
        Refusal::not_run(503, "no_upstream").retry_after(self.unavailable_retry())
    }

    fn final_refusal(&self, failure: &Failure) -> Refusal {
        match failure {
            _ if self.may_have_run && self.time_left().is_zero() => self.deadline_refusal(),
            _ if self.may_have_run => Refusal::unknown(502, "upstream_failed"),
            _ => Refusal::not_run(503, "upstream_full").retry_after(self.unavailable_retry()),
        }
    }
}

/// Returns the refusal of a request whose service has upstreams in evacuated domains only.
pub(crate) fn evacuated_refusal() -> Refusal {
    Refusal::not_run(503, "evacuated").retry_after(EVACUATED_RETRY)
}

/// Returns true if an answer comes from the upstream itself, and notes that it signs its answers.
///
/// Refusals of the protocol carry no signature. All other answers that a run has produced do; an
/// upstream that has signed others may fail before a run. A 503 without a statement that the request
/// has not run must not be passed on, since it would promise that.
fn is_answer_of_upstream(upstream: &Upstream, status: u16, metadata: &Metadata) -> bool {
    if metadata.is_signed {
        upstream.has_signed.set(true);
    }
    let is_own_failure = is_failure_before_run(status, metadata) && upstream.has_signed.get();
    metadata.is_signed || metadata.is_not_run || is_own_failure
}

/// Returns true for a failure that no run has signed and that makes no statement on the run.
fn is_failure_before_run(status: u16, metadata: &Metadata) -> bool {
    let is_failure = status >= MIN_FAILURE_STATUS && status != UNAVAILABLE;
    is_failure && !metadata.is_signed && !metadata.is_not_run
}

impl Answer {
    /// Records the time since the request was sent, divided by the expected time.
    pub fn record_slowness(&self, now: Duration) {
        let time = now.saturating_sub(self.sent_at).as_secs_f64();
        let slowness = (time / self.expected_seconds.max(0.005))
            .clamp(*SLOWNESS_BOUNDS.start(), *SLOWNESS_BOUNDS.end());
        self.flight.upstream().record_answer(slowness, now);
    }
}
