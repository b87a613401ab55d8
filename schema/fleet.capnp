@0xd1f0c3a2b7e49586;
# Messages between hosts on the users' platform: gossip between gateways, and
# calls to the archive that stores turns and token budgets.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pimento::wire");

# Gossip message that each gateway sends to all others, several times a second,
# by UDP.
struct GatewayNews {
  host @0 :Text;
  # Start of the process, Unix microseconds.
  boot @1 :UInt64;
  sequence @2 :UInt64;
  zone @3 :Text;
  callersAddress @4 :Text;
  ready @5 :Bool;
  # Version of the desired state in force, and the time since it was known to be
  # the newest.
  stateVersion @6 :Int64;
  stateAgeMs @7 :Int64;
  loads @8 :List(UpstreamUse);
  # Usage counters that changed recently, and a few others in round-robin order.
  teams @9 :List(TeamUse);
  # Acknowledges the newest message received from each peer: a gateway that finds
  # one of its own here knows that this message was written after that one was
  # sent. The upper 48 bits are a hash of the peer's host and start time, the
  # lower 16 bits the message's sequence number.
  echoes @10 :List(UInt64);
  # True while the gateway is overloaded.
  strained @11 :Bool;
  # No longer set or read: earlier versions reported the time since the store
  # last answered the gateway. The default reads as an answer just now.
  storeSilentMs @12 :Int64;
  # Hashes of programs whose first request this gateway admitted recently.
  programs @13 :List(UInt64);
  # True for a message that only carries `teams`, `rateAsks`, `rateReplies` and
  # `crashes` and is sent between two regular ones; the other fields then keep
  # their last values.
  teamsOnly @14 :Bool;
  # Requests to the receiver, and replies to its requests, about rate limits
  # that it decides on. Sent in messages of their own, with teamsOnly.
  rateAsks @15 :List(RateAsk);
  rateReplies @16 :List(RateReply);
  # Hashes of upstream processes whose responses to the sender stated that they
  # are about to stop, while their entries in the store do not.
  leavingUpstreams @17 :List(UInt64);
  # How long an answer of the store to the gateway has been overdue; 0 if none is.
  storeOverdueMs @18 :Int64;
  # Requests that were in flight on upstreams when those crashed.
  crashes @19 :List(CrashNews);
  # What the sender saw of the versions of services that are being rolled out.
  rollouts @20 :List(VersionSample);
  # What the sender learned about upstreams that served it recently.
  paces @21 :List(UpstreamPace);
  # Callers that the host can carry in relation to others, 0 if not stated.
  callerWeight @22 :UInt16;
  rolloutSteps @23 :List(VersionStep);
}

# Counters of one version of a service on one route, since the sender started.
struct VersionSample {
  # Hashes of the names.
  service @0 :UInt64;
  version @1 :UInt64;
  route @2 :UInt64;
  answers @3 :UInt32;
  failures @4 :UInt32;
  # Sum of the answers' durations.
  totalMs @5 :UInt64;
  # Answers by their time per event, in steps of half an octave from 1 ms.
  times @6 :List(UInt32);
}

# Which state of an order to change versions the sender follows.
struct VersionStep {
  # Hash of the service's name.
  service @0 :UInt64;
  # Store revision of the order.
  revision @1 :UInt64;
  # The sender's calls in flight on the versions to be replaced.
  oldInFlight @2 :UInt32;
}

struct UpstreamPace {
  # Hash of the upstream's id and start.
  process @0 :UInt64;
  # Prompt tokens read in a millisecond, hundredths; 0 if unknown.
  readCenti @1 :UInt16;
  # Time per event of a call that runs alone, hundredths of a millisecond; 0 if
  # unknown.
  eventCentiMs @2 :UInt16;
}

struct CrashNews {
  # Hash of the request's path, caller and body.
  request @0 :UInt64;
  # Hash of the upstream's id and start.
  process @1 :UInt64;
  # How much the crash counts against the request; 255 when the request has run
  # to its end since.
  weight @2 :UInt8;
  # Time since the request's last crash.
  ageMs @3 :UInt32;
}

struct RateAsk {
  # Hash of the team's name or of the upstream's id.
  limit @0 :UInt64;
  # Identifies the request among those of the sender's process.
  id @1 :UInt64;
  # RateAskKind and ProgramStatus of the request.
  kind @2 :UInt8;
  program @3 :UInt8;
  # For an upstream: the requests a second that it accepts.
  perSecond @4 :Float64;
}

struct RateReply {
  id @0 :UInt64;
  # 0 when granted, otherwise the time after which a retry may be granted; -1
  # when the receiver of the request does not know the limit.
  waitMs @1 :Int32;
  # What is left of a team's tokens, thousandths, for the log.
  tokensMilli @2 :Int32;
}

struct UpstreamUse {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  inFlight @1 :UInt32;
  # Tokens that these calls hold there, prompt and output.
  tokens @2 :UInt32;
}

struct TeamUse {
  # Hash of the team's name.
  team @0 :UInt64;
  # Requests admitted since the gateway started, minus those that did not run.
  admitted @1 :Int32;
  # Programs whose first request was admitted here.
  started @2 :Int32;
}

struct ArchiveCall {
  # Version of the member list that the caller uses.
  listVersion @0 :UInt64;
  union {
    reserve @1 :Reservation;
    # Reads a program's reservations.
    collect @2 :Text;
    settle @3 :Reservation;
    keep @4 :TurnRecord;
    # Reads a turn and its predecessors.
    history @5 :HistoryCall;
    # Rejects callers with an older list from now on.
    fence @6 :UInt64;
    # Reads a page of all records.
    copy @7 :UInt64;
    ping @8 :Void;
    # Reads the hashes of the records from this position on.
    digest @9 :UInt64;
    # Reads the records at these positions of a digest.
    fetch @10 :FetchCall;
  }
  # In the journal only: when the entry was written, by the member's uptime and
  # by Unix time, milliseconds.
  uptimeMs @11 :UInt64;
  unixMs @12 :UInt64;
  # Of a digest or a fetch: all records that the member holds, for one that
  # joins.
  whole @13 :Bool;
}

struct FetchCall {
  # The run of the member in which the positions hold.
  run @0 :UInt64;
  positions @1 :List(UInt64);
}

# Tokens that one turn of a program may use or, once settled, has used.
struct Reservation {
  program @0 :Text;
  turn @1 :Text;
  tokens @2 :UInt64;
  settled @3 :Bool;
  # Whose turn it is; empty on a route that is open to all.
  team @4 :Text;
  # In a copy: how long its source would have kept it; 0 in a new record.
  remainingMs @5 :UInt64;
}

struct TurnRecord {
  turn @0 :Text;
  previous @1 :Text;
  team @2 :Text;
  input @3 :Data;
  output @4 :Data;
  # The upstream that ran the turn and may have its prompt cached.
  upstream @5 :Text;
  retainMs @6 :UInt64;
  # The reservation that is settled together with the record; none when `program`
  # is empty.
  program @7 :Text;
  tokens @8 :UInt64;
  # As in Reservation.
  remainingMs @9 :UInt64;
}

struct HistoryCall {
  turn @0 :Text;
  team @1 :Text;
}

struct ArchiveReply {
  enum Verdict {
    done @0;
    # The caller's member list is out of date; `members` has the newer one.
    staleList @1;
    # The member is still copying records, so one that it lacks may exist.
    notIntact @2;
    failed @3;
    # The member, or the team's share of it, is full.
    full @4;
  }
  verdict @0 :Verdict;
  memberId @1 :UInt64;
  listVersion @2 :UInt64;
  intact @3 :Bool;
  reservations @4 :List(Reservation);
  turns @5 :List(TurnRecord);
  # The first turn of the chain that the member lacks; empty when it has all.
  missing @6 :Text;
  # Position after the last record of a copy, and whether more follow.
  next @7 :UInt64;
  more @8 :Bool;
  members @9 :Text;
  # No longer set or read, as in GatewayNews.
  storeSilentMs @10 :Int64;
  # How long an answer of the store to the member has been overdue; 0 if none is.
  storeOverdueMs @11 :Int64;
  # Of a digest: the run of the member in which positions hold, and hashes of
  # records with their positions.
  run @12 :UInt64;
  hashes @13 :List(UInt64);
  positions @14 :List(UInt64);
  # Whether the call's `whole` was understood.
  whole @15 :Bool;
}
