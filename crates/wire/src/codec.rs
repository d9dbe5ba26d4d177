//! Encoding of messages to Cap'n Proto and back.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;

use crate::generated::peer_capnp as schema;
use crate::message::{
    Connect, Document, Fetch, Gossip, Member, Obstacle, Record, Reply, Request, State, Take, Tunnel,
};
use crate::{Error, MAX_MESSAGE_WORDS};

/// Most entries of a list: longer lists are truncated when sent, rejected when received.
const MAX_LIST_LEN: u32 = 4_096;

/// Encodes a request as the body of a `Sealed` message.
pub(crate) fn encode_request(request: &Request) -> Vec<u8> {
    let mut message = Builder::new_default();
    let root = message.init_root::<schema::request::Builder<'_>>();
    match request {
        Request::Gossip(gossip) => encode_gossip(root.init_gossip(), gossip),
        Request::Take(take) => {
            let mut out = root.init_take();
            out.set_budget(take.budget.as_str());
            out.set_tokens(take.tokens);
            out.set_transfer(take.transfer.as_str());
        }
        Request::Fetch(fetch) => {
            let mut out = root.init_fetch();
            out.set_newer_than(fetch.newer_than);
            out.set_key(fetch.key.as_str());
        }
        Request::Probe(address) => root.init_probe().set_peer_address(address.as_str()),
        Request::Connect(connect) => {
            let mut out = root.init_connect();
            out.set_upstream(connect.upstream.as_str());
            out.set_incarnation(connect.incarnation);
        }
    }
    serialize::write_message_to_words(&message)
}

/// Encodes a reply as the body of a `Sealed` message.
pub(crate) fn encode_reply(reply: &Reply) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<schema::reply::Builder<'_>>();
    match reply {
        Reply::Gossip(gossip) => encode_gossip(root.init_gossip(), gossip),
        Reply::Taken(tokens) => root.set_taken(*tokens),
        Reply::Document(document) => {
            let mut out = root.init_document();
            out.set_version(document.version);
            out.set_body(&document.body);
        }
        Reply::Reached(reached) => root.set_reached(*reached),
        Reply::Refused(reason) => root.set_refused(reason.as_str()),
        Reply::Tunnel(tunnel) => {
            let mut out = root.init_tunnel();
            out.set_ticket(&tunnel.ticket);
            out.set_proven(tunnel.is_proven);
        }
        Reply::Obstacle(obstacle) => root.set_obstacle(match obstacle {
            Obstacle::Path => schema::Obstacle::Path,
            Obstacle::Upstream => schema::Obstacle::Upstream,
            Obstacle::Unlisted => schema::Obstacle::Unlisted,
            Obstacle::Busy => schema::Obstacle::Busy,
        }),
    }
    serialize::write_message_to_words(&message)
}

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

/// Decodes a request whose MAC was verified.
pub(crate) fn decode_request(mut bytes: &[u8]) -> Result<Request, Error> {
    let message = serialize::read_message(&mut bytes, reader_options())?;
    let root = message.get_root::<schema::request::Reader<'_>>()?;
    Ok(match root.which().map_err(not_in_schema)? {
        schema::request::Gossip(gossip) => Request::Gossip(decode_gossip(gossip?)?),
        schema::request::Take(take) => {
            let take = take?;
            Request::Take(Take {
                budget: decode_text(take.get_budget()?)?,
                tokens: take.get_tokens(),
                transfer: decode_text(take.get_transfer()?)?,
            })
        }
        schema::request::Fetch(fetch) => {
            let fetch = fetch?;
            let key = decode_text(fetch.get_key()?)?;
            Request::Fetch(Fetch { newer_than: fetch.get_newer_than(), key })
        }
        schema::request::Probe(probe) => Request::Probe(decode_text(probe?.get_peer_address()?)?),
        schema::request::Connect(connect) => {
            let connect = connect?;
            Request::Connect(Connect {
                upstream: decode_text(connect.get_upstream()?)?,
                incarnation: connect.get_incarnation(),
            })
        }
    })
}

/// Decodes a reply whose MAC was verified.
pub(crate) fn decode_reply(mut bytes: &[u8]) -> Result<Reply, Error> {
    let message = serialize::read_message(&mut bytes, reader_options())?;
    let root = message.get_root::<schema::reply::Reader<'_>>()?;
    Ok(match root.which().map_err(not_in_schema)? {
        schema::reply::Gossip(gossip) => Reply::Gossip(decode_gossip(gossip?)?),
        schema::reply::Taken(tokens) => Reply::Taken(tokens),
        schema::reply::Document(document) => {
            let document = document?;
            let body = document.get_body()?.to_vec();
            Reply::Document(Document { version: document.get_version(), body })
        }
        schema::reply::Reached(reached) => Reply::Reached(reached),
        schema::reply::Refused(reason) => Reply::Refused(decode_text(reason?)?),
        schema::reply::Tunnel(tunnel) => {
            let tunnel = tunnel?;
            let ticket = tunnel.get_ticket()?.try_into();
            let ticket =
                ticket.map_err(|_length| Error::Malformed("the length of a ticket".into()))?;
            Reply::Tunnel(Tunnel { ticket, is_proven: tunnel.get_proven() })
        }
        schema::reply::Obstacle(obstacle) => {
            Reply::Obstacle(match obstacle.map_err(not_in_schema)? {
                schema::Obstacle::Path => Obstacle::Path,
                schema::Obstacle::Upstream => Obstacle::Upstream,
                schema::Obstacle::Unlisted => Obstacle::Unlisted,
                schema::Obstacle::Busy => Obstacle::Busy,
            })
        }
    })
}

fn not_in_schema(error: capnp::NotInSchema) -> Error {
    Error::Malformed(error.to_string())
}

fn decode_text(reader: capnp::text::Reader<'_>) -> Result<String, Error> {
    reader.to_string().map_err(|error| Error::Malformed(error.to_string()))
}

fn list_len(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(MAX_LIST_LEN).min(MAX_LIST_LEN)
}

fn encode_gossip(mut out: schema::gossip::Builder<'_>, gossip: &Gossip) {
    out.set_version(gossip.version);
    let mut members = out.reborrow().init_members(list_len(gossip.members.len()));
    for (index, member) in (0..members.len()).zip(&gossip.members) {
        encode_member(members.reborrow().get(index), member);
    }
    let mut records = out.init_records(list_len(gossip.records.len()));
    for (index, record) in (0..records.len()).zip(&gossip.records) {
        let mut out = records.reborrow().get(index);
        out.set_topic(record.topic);
        out.set_key(&record.key);
        out.set_value(&record.value);
        out.set_expires(record.expires);
    }
}

fn encode_member(mut out: schema::member::Builder<'_>, member: &Member) {
    out.set_instance(member.instance.as_str());
    out.set_incarnation(member.incarnation);
    out.set_address(member.address.as_str());
    out.set_peer_address(member.peer_address.as_str());
    out.set_domain(member.domain.as_str());
    out.set_state(match member.state {
        State::Alive => schema::State::Alive,
        State::Suspect => schema::State::Suspect,
        State::Leaving => schema::State::Leaving,
        State::Dead => schema::State::Dead,
    });
    out.set_beat(member.beat);
    out.set_version(member.version);
    out.set_load(member.load);
    out.set_since(member.since);
}

fn decode_gossip(gossip: schema::gossip::Reader<'_>) -> Result<Gossip, Error> {
    let (members, records) = (gossip.get_members()?, gossip.get_records()?);
    if members.len() > MAX_LIST_LEN || records.len() > MAX_LIST_LEN {
        return Err(Error::Malformed("a list is too long".into()));
    }
    Ok(Gossip {
        version: gossip.get_version(),
        members: members.iter().map(decode_member).collect::<Result<_, _>>()?,
        records: records.iter().map(decode_record).collect::<Result<_, _>>()?,
    })
}

fn decode_member(member: schema::member::Reader<'_>) -> Result<Member, Error> {
    Ok(Member {
        instance: decode_text(member.get_instance()?)?,
        incarnation: member.get_incarnation(),
        address: decode_text(member.get_address()?)?,
        peer_address: decode_text(member.get_peer_address()?)?,
        domain: decode_text(member.get_domain()?)?,
        state: match member.get_state().map_err(not_in_schema)? {
            schema::State::Alive => State::Alive,
            schema::State::Suspect => State::Suspect,
            schema::State::Leaving => State::Leaving,
            schema::State::Dead => State::Dead,
        },
        beat: member.get_beat(),
        version: member.get_version(),
        load: member.get_load(),
        since: member.get_since(),
    })
}

fn decode_record(record: schema::record::Reader<'_>) -> Result<Record, Error> {
    Ok(Record {
        topic: record.get_topic(),
        key: record.get_key()?.to_vec(),
        value: record.get_value()?.to_vec(),
        expires: record.get_expires(),
    })
}
