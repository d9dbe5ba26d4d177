@0xb6d1f0a4c3e52987;

# The link between instances. A connection starts with `hello` and `prove`; every later message
# goes through the session that `prove` returns and carries a sequence number and a MAC.

interface Door {
  hello @0 (hello :Hello) -> (challenge :Challenge);
  prove @1 (proof :Data) -> (session :Session);
}

interface Session {
  call @0 (sealed :Sealed) -> (sealed :Sealed);
}

struct Hello {
  nonce @0 :Data;
  instance @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
  target @4 :Text;
}

struct Challenge {
  nonce @0 :Data;
  incarnation @1 :UInt64;
  proof @2 :Data;
}

struct Sealed {
  sequence @0 :UInt64;
  body @1 :Data;
  mac @2 :Data;
}

struct Request {
  union {
    gossip @0 :Gossip;
    take @1 :Take;
    fetch @2 :Fetch;
    probe @3 :Probe;
    connect @4 :Connect;
  }
}

struct Reply {
  union {
    gossip @0 :Gossip;
    taken @1 :UInt64;
    document @2 :Document;
    reached @3 :Bool;
    refused @4 :Text;
    tunnel @5 :Tunnel;
    obstacle @6 :Obstacle;
  }
}

struct Gossip {
  version @0 :UInt64;
  members @1 :List(Member);
  records @2 :List(Record);
}

enum State {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct Member {
  instance @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  peerAddress @3 :Text;
  domain @4 :Text;
  state @5 :State;
  beat @6 :UInt64;
  version @7 :UInt64;
  load @8 :UInt32;
  since @9 :UInt64;
}

struct Record {
  topic @0 :UInt8;
  key @1 :Data;
  value @2 :Data;
  expires @3 :UInt64;
}

struct Take {
  budget @0 :Text;
  tokens @1 :UInt64;
  transfer @2 :Text;
}

struct Fetch {
  newerThan @0 :UInt64;
  key @1 :Text;
}

struct Document {
  version @0 :UInt64;
  body @1 :Data;
}

struct Probe {
  peerAddress @0 :Text;
}

struct Connect {
  upstream @0 :Text;
  incarnation @1 :UInt64;
}

struct Tunnel {
  ticket @0 :Data;
  proven @1 :Bool;
}

enum Obstacle {
  path @0;
  upstream @1;
  unlisted @2;
  busy @3;
}
