// RPC messages between the processes of pimentopulley, except those of the
// shard protocol (replica.h) and of membership (membership.h).
// schema/peer.capnp defines their wire form.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/reason.h"
#include "src/shard_ids.h"

namespace pimento {

// Whether a request succeeded, and if not, why and whether it ran.
struct Outcome {
  // kNone on success.
  Reason reason = Reason::kNone;
  RunState run = RunState::kNotRun;
  std::string message;
  int64_t retry_after_ms = 0;
  // After kNotOwner: the host that owns the shard; empty if unknown.
  std::string owner;

  bool ok() const { return reason == Reason::kNone; }
};

// The outcome of a request that `refusal` ended. `owner` stays empty.
Outcome OutcomeOf(const Refusal& refusal);

// Creates a program in `shard`.
struct CreateRequest {
  uint32_t shard = 0;
  std::string id;
  std::string team;
  // Program that this one takes its budget from; empty if there is none.
  std::string parent;
  // Digest of the request, which tells a retry from another request with the
  // same `id`.
  std::string digest;
  uint32_t budget_calls = 0;
  uint64_t budget_tokens = 0;
  // Time budget of the program, milliseconds from its creation.
  int64_t time_ms = 0;
};

// Starts call `sequence` of a program, joins it while it runs, or reads its
// recorded answer.
struct CallRequest {
  std::string program;
  std::string team;
  uint32_t sequence = 0;
  std::string service;
  std::string path;
  std::string input;
  uint64_t max_tokens = 0;
  // True for a plain service call: the program is created with this call as its
  // only one.
  bool single = false;
  // Bytes of the answer that the caller already has, and the attempt that
  // produced them.
  uint64_t offset = 0;
  uint32_t attempt = 0;
  // How long the caller waits, milliseconds; 0 stands for the default.
  int64_t patience_ms = 0;
  // Joins a running call or reads a recorded answer, but never starts the call.
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
  // True when it cannot be determined whether the call ran.
  bool unknown = false;
};

// State of a program, as JSON for the caller.
struct ProgramView {
  Outcome outcome;
  std::string json;
};

// Asks the owner of a team's token bucket for up to `wanted` grants. One grant
// admits one call.
struct CreditRequest {
  std::string team;
  uint32_t wanted = 1;
  // True when the receiver is a relay: it forwards the request to the owner.
  bool relay = false;
};

struct CreditReply {
  Outcome outcome;
  uint32_t granted = 0;
  // Earliest time of the next grant, microseconds since 1970.
  int64_t next_us = 0;
};

// Asks the owner of an upstream's gate for a slot: permission for one call in
// flight. Also lists a call that is in flight already, in the answer to
// InFlight().
struct SlotRequest {
  std::string upstream;
  // Number of the request, unique within the sending process.
  uint64_t ticket = 0;
  // Host that sends the call, and the boot number of its process.
  std::string host;
  uint64_t boot = 0;
  std::string team;
  std::string program;
  // Weight of the team in fair queueing.
  double weight = 1;
  // Expected cost of the call, tokens.
  double cost = 1;
  // Tokens served to the program so far.
  double attained = 0;
  // How long the call may wait in the queue, milliseconds.
  int64_t patience_ms = 0;
  // Queue length at which the call is refused rather than queued.
  uint32_t max_queue = 0;
  // True when the receiver is a relay: it forwards the request to the owner.
  bool relay = false;
};

// Grants a slot, with the load of the upstream at that time.
struct SlotReply {
  Outcome outcome;
  uint32_t in_flight = 0;
  uint32_t limit = 0;
  uint32_t queued = 0;
};

// Reports to the owner of an upstream's gate how the call that held a slot
// ended, and gives the slot back.
struct SlotDone {
  std::string upstream;
  uint64_t ticket = 0;
  bool succeeded = false;
  // True when the failure suggests a cold start of the upstream (see
  // upstream_gate.h).
  bool cold_sign = false;
  double tokens = 0;
  // Milliseconds per token, or for the whole call if the upstream has no
  // tokens.
  double pace_ms = 0;
  // The call was never started: gives up its slot or its place in the queue.
  bool abandoned = false;
  // As in SlotRequest.
  bool relay = false;
};

// The environment document at `generation`.
struct DocumentReply {
  uint64_t generation = 0;
  std::string environment;
  std::string text;
};

// The owner of a shard.
struct OwnerReply {
  std::string host;
  std::string rpc_address;
  std::string http_address;
  // HTTP addresses of other live hosts.
  std::vector<std::string> alternates;
};

// Sent by the owner of a shard, which consents that the receiver takes it over.
struct TakeOverRequest {
  uint32_t shard = 0;
  // Epoch of the new ownership: one minor step above the sender's.
  Epoch epoch;
  // The present owner and member list.
  Member holder;
  MemberList list;
};

}  // namespace pimento
