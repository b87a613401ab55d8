# RPC interface between the schedulers and entries of pimentopulley.
# src/peer_messages.h, src/replica.h and src/membership.h describe the messages.
@0xd1c3a5f0b7e24c91;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pimento::wire");

struct Epoch { major @0 :UInt64; minor @1 :UInt64; }
struct Member { host @0 :Text; boot @1 :UInt64; }
struct MemberList { since @0 :Epoch; members @1 :List(Member); }
struct Record { key @0 :Text; epoch @1 :Epoch; version @2 :UInt64; value @3 :Data; }

struct AppendRequest {
  shard @0 :UInt32;
  epoch @1 :Epoch;
  holder @2 :Member;
  target @3 :Member;
  list @4 :MemberList;
  records @5 :List(Record);
  replaceAll @6 :Bool;
  number @7 :UInt64;
}
struct AppendReply { accepted @0 :Bool; sealed @1 :Epoch; }

struct SealRequest {
  shard @0 :UInt32;
  epoch @1 :Epoch;
  holder @2 :Member;
  target @3 :Member;
  list @4 :MemberList;
  grantedByPlatform @5 :Bool;
}
struct SealReply {
  accepted @0 :Bool;
  sealed @1 :Epoch;
  list @2 :MemberList;
  proposals @3 :List(MemberList);
  records @4 :List(Record);
}

struct OwnedShard { shard @0 :UInt32; epoch @1 :Epoch; }
struct HostNews {
  host @0 :Text;
  zone @1 :Text;
  rpcAddress @2 :Text;
  httpAddress @3 :Text;
  boot @4 :UInt64;
  counter @5 :UInt64;
  leaving @6 :Bool;
  generation @7 :UInt64;
  owned @8 :List(OwnedShard);
  state @9 :UInt8;
}

# Whether a request succeeded. A refusal carries the name of its reason and
# whether the call ran.
struct Outcome {
  reason @0 :Text;
  run @1 :UInt8;
  message @2 :Text;
  retryAfterMs @3 :Int64;
  # After the reason "not_owner": the host that owns the shard, if known.
  owner @4 :Text;
}

struct CreateRequest {
  shard @0 :UInt32;
  id @1 :Text;
  team @2 :Text;
  parent @3 :Text;
  digest @4 :Text;
  budgetCalls @5 :UInt32;
  budgetTokens @6 :UInt64;
  timeMs @7 :Int64;
}
struct CallRequest {
  program @0 :Text;
  team @1 :Text;
  sequence @2 :UInt32;
  service @3 :Text;
  path @4 :Text;
  input @5 :Text;
  maxTokens @6 :UInt64;
  # True for a plain service call: the program is created with this call as its
  # only one.
  single @7 :Bool;
  # Bytes of the answer that the caller already has, and the attempt that
  # produced them.
  offset @8 :UInt64;
  attempt @9 :UInt32;
  patienceMs @10 :Int64;
  # Joins a running call or reads a recorded answer, but never starts the call.
  readOnly @11 :Bool;
  requestId @12 :Text;
}
struct CallReply {
  outcome @0 :Outcome;
  httpStatus @1 :UInt32;
  contentType @2 :Text;
  output @3 :Text;
  tokens @4 :UInt64;
  attempt @5 :UInt32;
  unknown @6 :Bool;
}
struct ProgramView {
  outcome @0 :Outcome;
  # State of the program, as the caller receives it.
  json @1 :Text;
}

struct CreditRequest {
  team @0 :Text;
  wanted @1 :UInt32;
  # True when the receiver is a relay: it forwards the request to the owner of
  # the token bucket.
  relay @2 :Bool;
}
struct CreditReply { outcome @0 :Outcome; granted @1 :UInt32; nextUs @2 :Int64; }

struct SlotRequest {
  upstream @0 :Text;
  ticket @1 :UInt64;
  host @2 :Text;
  boot @3 :UInt64;
  team @4 :Text;
  program @5 :Text;
  weight @6 :Float64;
  cost @7 :Float64;
  attained @8 :Float64;
  patienceMs @9 :Int64;
  maxQueue @10 :UInt32;
  # True when the receiver is a relay: it forwards the request to the owner of
  # the gate.
  relay @11 :Bool;
}
struct SlotReply {
  outcome @0 :Outcome;
  inFlight @1 :UInt32;
  limit @2 :UInt32;
  queued @3 :UInt32;
}
struct SlotDone {
  upstream @0 :Text;
  ticket @1 :UInt64;
  succeeded @2 :Bool;
  coldSign @3 :Bool;
  tokens @4 :Float64;
  paceMs @5 :Float64;
  # The call was never started: gives up its slot or its place in the queue.
  abandoned @6 :Bool;
  # True when the receiver is a relay: it forwards the report to the owner of
  # the gate.
  relay @7 :Bool;
}

struct Document { generation @0 :UInt64; environment @1 :Text; text @2 :Text; }

struct OwnerReply { host @0 :Text; rpcAddress @1 :Text; httpAddress @2 :Text; alternates @3 :List(Text); }

interface Sink {
  # Receives a piece of the answer that attempt `attempt` produces, from byte
  # `offset` of that answer.
  write @0 (attempt :UInt32, offset :UInt64, text :Text) -> ();
}

interface Peer {
  append @0 (request :AppendRequest) -> (reply :AppendReply);
  seal @1 (request :SealRequest) -> (reply :SealReply);
  gossip @2 (from :Text, news :List(HostNews)) -> (news :List(HostNews));
  # Probes the host at `rpcAddress` on behalf of the caller. With an empty
  # address, checks that the receiver itself answers.
  probe @3 (rpcAddress :Text) -> (alive :Bool);
  create @4 (request :CreateRequest) -> (view :ProgramView);
  call @5 (request :CallRequest, sink :Sink) -> (reply :CallReply);
  view @6 (program :Text, team :Text) -> (view :ProgramView);
  end @7 (program :Text, team :Text) -> (view :ProgramView);
  credits @8 (request :CreditRequest) -> (reply :CreditReply);
  slot @9 (request :SlotRequest) -> (reply :SlotReply);
  slotDone @10 (request :SlotDone) -> ();
  # Returns the calls that the receiver has in flight at `upstream`.
  inFlight @11 (upstream :Text) -> (slots :List(SlotRequest));
  # Returns the environment document once its generation exceeds `after`, or the
  # latest one after `waitMs`.
  document @12 (after :UInt64, waitMs :Int64) -> (document :Document);
  owner @13 (shard :UInt32) -> (reply :OwnerReply);
  # Asks the receiver to take over the shard, with the present owner's consent.
  takeOver @14 (shard :UInt32, epoch :Epoch, holder :Member, list :MemberList) -> (accepted :Bool);
}
