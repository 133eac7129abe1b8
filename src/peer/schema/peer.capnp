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
  pinned @7 :Bool;
  method @8 :Text;
  path @9 :Text;
  contentType @10 :Text;
  body @11 :Data;
  idempotencyKey @12 :Text;
  idempotent @13 :Bool;
  streamed @14 :Bool;
  deadlineMs @15 :UInt64;
  revision @16 :UInt64;
  freshnessMs @17 :UInt64;
  service @18 :Text;
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
}

struct Status {
  name @0 :Text;
  incarnation @1 :Data;
  revision @2 :UInt64;
  freshnessMs @3 :UInt64;
  leaving @4 :Bool;
  running @5 :UInt32;
  slots @6 :UInt32;
  flushed @7 :Data;
  suspects @8 :Data;
}

interface Peer {
  run @0 (request :RunRequest) -> (reply :RunReply);
  read @1 (answer :UInt64, offset :UInt64, max :UInt32) -> (reply :ReadReply);
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
