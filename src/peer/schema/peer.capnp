@0xd1c6c2f5b7a94e31;
# The protocol between a gateway (client) and an agent (server).
# SCHEMA_VERSION in src/peer/mod.rs counts incompatible changes.

annotation rustParentModule @0xabee386cd1450364 (file) :Text;

$rustParentModule("peer");

enum Ran {
  notRun @0;
  ran @1;
  unknown @2;
}

struct Refusal {
  ran @0 :Ran;
  code @1 :Text;
  message @2 :Text;
  retryAfterMs @3 :UInt64;
  resendSafe @4 :Bool;
}

struct RunRequest {
  gateway @0 :Data;
  seq @1 :UInt64;
  step @2 :UInt16;
  attempt @3 :UInt16;
  account @4 :Text;
  class @5 :Text;
  version @6 :Text;
  service @7 :Text;
  pinned @8 :Bool;
  method @9 :Text;
  path @10 :Text;
  contentType @11 :Text;
  body @12 :Data;
  idempotencyKey @13 :Text;
  idempotent @14 :Bool;
  wait @15 :Bool;
  # Whether the request may wait for a slot; otherwise it is refused as busy if none is free.
  deadlineMs @16 :UInt64;
  revision @17 :UInt64;
}

struct Accepted {
  answer @0 :UInt64;
}

struct RunReply {
  union {
    accepted @0 :Accepted;
    refused @1 :Refusal;
    older @2 :UInt64;
    # The agent holds an older sheet; its revision.
    newer @3 :UInt64;
    # The agent holds a newer sheet; its revision.
    busy @4 :UInt32;
    # No slot is free; the requests that run or wait.
  }
}

struct Head {
  status @0 :UInt16;
  contentType @1 :Text;
}

struct Chunk {
  offset @0 :UInt64;
  bytes @1 :Data;
}

struct End {
  length @0 :UInt64;
  digest @1 :Data;
  charge @2 :Data;
  replayed @3 :Bool;
}

struct Failure {
  refusal @0 :Refusal;
  crashed @1 :Bool;
  offset @2 :UInt64;
}

struct ReadReply {
  head @0 :Head;
  union {
    pending @1 :Void;
    chunk @2 :Chunk;
    end @3 :End;
    failed @4 :Failure;
    gone @5 :Void;
  }
  attempt @6 :UInt32;
  running @7 :UInt32;
  # Requests that run or wait at the agent.
}

struct Status {
  name @0 :Text;
  incarnation @1 :Data;
  revision @2 :UInt64;
  leaving @3 :Bool;
  running @4 :UInt32;
  flushed @5 :Data;
  suspects @6 :Data;
}

interface Peer {
  run @0 (request :RunRequest) -> (reply :RunReply);
  read @1 (answer :UInt64, offset :UInt64, max :UInt32, lingerMs :UInt32) -> (reply :ReadReply);
  ack @2 (answer :UInt64) -> ();
  cancel @3 (answer :UInt64) -> ();
  status @4 (gateway :Status) -> (agent :Status);
  exchange @5 (messages :Data) -> (messages :Data);
  # Messages of the sheet's dissemination as JSON.
  suspects @6 (reports :Data) -> ();
  order @7 (fence :UInt64, order :Data) -> (reply :Data);
}

interface Bootstrap {
  hello @0 (schema :UInt16, nonce :Data) -> (schema :UInt16, nonce :Data, proof :Data);
  open @1 (proof :Data) -> (peer :Peer);
}
