@0xd1f0c3a2b7e49586;
# Messages between hosts on the users' platform: news among gateways, and calls
# of the archive that keeps turns and budgets.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pimento::wire");

# What one gateway tells all others, several times a second, by datagram.
struct GatewayNews {
  host @0 :Text;
  # Start of the process, Unix microseconds.
  boot @1 :UInt64;
  sequence @2 :UInt64;
  zone @3 :Text;
  callersAddress @4 :Text;
  ready @5 :Bool;
  # Version of the desired state in force, and how long ago it was known to be
  # the newest.
  stateVersion @6 :Int64;
  stateAgeMs @7 :Int64;
  loads @8 :List(UpstreamUse);
  # Teams whose use changed lately, and a few others in turn.
  teams @9 :List(TeamUse);
  # The newest news that this gateway has of each other one: whoever finds its
  # own number here knows that this was written after it was sent. In the upper
  # 48 bits a hash of host and start, in the lower 16 the news' number.
  echoes @10 :List(UInt64);
  # True while the gateway is behind with its work.
  strained @11 :Bool;
  # How long ago the store last answered it.
  storeSilentMs @12 :Int64;
  # Hashes of programs that this gateway saw first, lately.
  programs @13 :List(UInt64);
  # True for news of teams alone, sent at once; all else is as last told.
  teamsOnly @14 :Bool;
}

struct UpstreamUse {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  inFlight @1 :UInt32;
}

struct TeamUse {
  # Hash of the team's name.
  team @0 :UInt64;
  # Requests admitted since the gateway started, less those that did not run.
  admitted @1 :Int32;
  # Programs whose first request was admitted here.
  started @2 :Int32;
}

struct ArchiveCall {
  # Version of the member list that the caller goes by.
  listVersion @0 :UInt64;
  union {
    reserve @1 :Reservation;
    # Reads a program's reservations.
    collect @2 :Text;
    settle @3 :Reservation;
    keep @4 :TurnRecord;
    # Reads a turn and those before it.
    history @5 :HistoryCall;
    # Refuses callers with an older list from now on.
    fence @6 :UInt64;
    # Reads a page of all records.
    copy @7 :UInt64;
    ping @8 :Void;
  }
}

# Tokens that one turn of a program may use, or did use.
struct Reservation {
  program @0 :Text;
  turn @1 :Text;
  tokens @2 :UInt64;
  settled @3 :Bool;
}

struct TurnRecord {
  turn @0 :Text;
  previous @1 :Text;
  team @2 :Text;
  input @3 :Data;
  output @4 :Data;
  # Where it ran: that upstream may hold its prompt.
  upstream @5 :Text;
  retainMs @6 :UInt64;
  # The turn's reservation, settled with the record; no program, none.
  program @7 :Text;
  tokens @8 :UInt64;
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
    # This member is still copying: what it lacks may exist.
    notIntact @2;
    failed @3;
  }
  verdict @0 :Verdict;
  memberId @1 :UInt64;
  listVersion @2 :UInt64;
  intact @3 :Bool;
  reservations @4 :List(Reservation);
  turns @5 :List(TurnRecord);
  # The first turn that this member lacks; empty when the chain is whole.
  missing @6 :Text;
  # Position after the last record of a copy, and whether more follow.
  next @7 :UInt64;
  more @8 :Bool;
  members @9 :Text;
  # How long ago the store last answered the member.
  storeSilentMs @10 :Int64;
}
