// What pimentopulley's own processes say to each other, apart from the shard
// protocol (replica.h) and membership (membership.h). schema/peer.capnp is the
// form on the wire.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/reason.h"
#include "src/shard_ids.h"

namespace pimento {

// How a request ended. `owner` names a better host after kNotOwner.
struct Outcome {
  Reason reason = Reason::kNone;
  RunState run = RunState::kNotRun;
  std::string message;
  int64_t retry_after_ms = 0;
  std::string owner;

  bool ok() const { return reason == Reason::kNone; }
};

Outcome OutcomeOf(const Refusal& refusal);

struct CreateRequest {
  uint32_t shard = 0;
  std::string id;
  std::string team;
  std::string parent;
  std::string digest;
  uint32_t budget_calls = 0;
  uint64_t budget_tokens = 0;
  int64_t time_ms = 0;
};

struct CallRequest {
  std::string program;
  std::string team;
  uint32_t sequence = 0;
  std::string service;
  std::string path;
  std::string input;
  uint64_t max_tokens = 0;
  // The call is a program of its own: a plain service call.
  bool single = false;
  // Bytes of the answer that the caller has, and the attempt they came from.
  uint64_t offset = 0;
  uint32_t attempt = 0;
  int64_t patience_ms = 0;
  // Joins or reads the call, and never starts it.
  bool read_only = false;
  std::string request_id;
};

struct CallReply {
  Outcome outcome;
  int http_status = 0;
  std::string content_type;
  std::string output;
  uint64_t tokens = 0;
  uint32_t attempt = 0;
  // The call may have run; nobody can tell.
  bool unknown = false;
};

struct ProgramView {
  Outcome outcome;
  std::string json;
};

struct CreditRequest {
  std::string team;
  uint32_t wanted = 1;
  // As in SlotRequest.
  bool relay = false;
};

struct CreditReply {
  Outcome outcome;
  uint32_t granted = 0;
  // Earliest time of the next grant, microseconds since 1970.
  int64_t next_us = 0;
};

struct SlotRequest {
  std::string upstream;
  uint64_t ticket = 0;
  std::string host;
  uint64_t boot = 0;
  std::string team;
  std::string program;
  double weight = 1;
  double cost = 1;
  double attained = 0;
  int64_t patience_ms = 0;
  uint32_t max_queue = 0;
  // True when the host that gets this is to pass it on to the gate's owner.
  bool relay = false;
};

struct SlotReply {
  Outcome outcome;
  uint32_t in_flight = 0;
  uint32_t limit = 0;
  uint32_t queued = 0;
};

struct SlotDone {
  std::string upstream;
  uint64_t ticket = 0;
  bool succeeded = false;
  bool cold_sign = false;
  double tokens = 0;
  double pace_ms = 0;
  // The call never began: give the place in the queue up.
  bool abandoned = false;
  // As in SlotRequest.
  bool relay = false;
};

struct DocumentReply {
  uint64_t generation = 0;
  std::string environment;
  std::string text;
};

struct OwnerReply {
  std::string host;
  std::string rpc_address;
  std::string http_address;
  // HTTP addresses of other live hosts.
  std::vector<std::string> alternates;
};

struct TakeOverRequest {
  uint32_t shard = 0;
  Epoch epoch;
  Member holder;
  MemberList list;
};

}  // namespace pimento
