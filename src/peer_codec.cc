#include "src/peer_codec.h"

#include <string>

namespace pimento {
namespace {

std::string Text(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

kj::ArrayPtr<const kj::byte> Bytes(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string Bytes(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// A reader of the string's own bytes, which are NUL-terminated as text fields
// require. Valid as long as `text` is.
capnp::Text::Reader TextView(const std::string& text) {
  return {text.c_str(), text.size()};
}

void ToWire(const Record& from, wire::Record::Builder to) {
  to.setKey(TextView(from.key));
  ToWire(from.epoch, to.initEpoch());
  to.setVersion(from.version);
  to.setValue(Bytes(from.value));
}

Record FromWire(wire::Record::Reader from) {
  return {.key = Text(from.getKey()),
          .epoch = pimento::FromWire(from.getEpoch()),
          .version = from.getVersion(),
          .value = Bytes(from.getValue())};
}

template <class ListBuilder>
void RecordsToWire(const std::vector<Record>& from, ListBuilder to) {
  for (unsigned i = 0; i < from.size(); ++i) ToWire(from[i], to[i]);
}

template <class ListReader>
std::vector<Record> RecordsFromWire(ListReader from) {
  std::vector<Record> to;
  to.reserve(from.size());
  for (auto item : from) to.push_back(FromWire(item));
  return to;
}

}  // namespace

void ToWire(const Epoch& from, wire::Epoch::Builder to) {
  to.setMajor(from.major);
  to.setMinor(from.minor);
}

Epoch FromWire(wire::Epoch::Reader from) {
  return {.major = from.getMajor(), .minor = from.getMinor()};
}

void ToWire(const Member& from, wire::Member::Builder to) {
  to.setHost(TextView(from.host));
  to.setBoot(from.boot);
}

Member FromWire(wire::Member::Reader from) {
  return {.host = Text(from.getHost()), .boot = from.getBoot()};
}

void ToWire(const MemberList& from, wire::MemberList::Builder to) {
  ToWire(from.since, to.initSince());
  ToWireList(from.members, to.initMembers(from.members.size()));
}

MemberList FromWire(wire::MemberList::Reader from) {
  return {.since = FromWire(from.getSince()),
          .members = FromWireList<Member>(from.getMembers())};
}

void ToWire(const AppendRequest& from, wire::AppendRequest::Builder to) {
  to.setShard(from.shard);
  ToWire(from.epoch, to.initEpoch());
  ToWire(from.holder, to.initHolder());
  ToWire(from.target, to.initTarget());
  ToWire(from.list, to.initList());
  RecordsToWire(from.records, to.initRecords(from.records.size()));
  to.setReplaceAll(from.replace_all);
  to.setNumber(from.number);
}

AppendRequest FromWire(wire::AppendRequest::Reader from) {
  return {.shard = from.getShard(),
          .epoch = FromWire(from.getEpoch()),
          .holder = FromWire(from.getHolder()),
          .target = FromWire(from.getTarget()),
          .list = FromWire(from.getList()),
          .records = RecordsFromWire(from.getRecords()),
          .replace_all = from.getReplaceAll(),
          .number = from.getNumber()};
}

void ToWire(const AppendReply& from, wire::AppendReply::Builder to) {
  to.setAccepted(from.accepted);
  ToWire(from.sealed, to.initSealed());
}

AppendReply FromWire(wire::AppendReply::Reader from) {
  return {.accepted = from.getAccepted(), .sealed = FromWire(from.getSealed())};
}

void ToWire(const SealRequest& from, wire::SealRequest::Builder to) {
  to.setShard(from.shard);
  ToWire(from.epoch, to.initEpoch());
  ToWire(from.holder, to.initHolder());
  ToWire(from.target, to.initTarget());
  ToWire(from.list, to.initList());
  to.setGrantedByPlatform(from.granted_by_platform);
}

SealRequest FromWire(wire::SealRequest::Reader from) {
  return {.shard = from.getShard(),
          .epoch = FromWire(from.getEpoch()),
          .holder = FromWire(from.getHolder()),
          .target = FromWire(from.getTarget()),
          .list = FromWire(from.getList()),
          .granted_by_platform = from.getGrantedByPlatform()};
}

void ToWire(const SealReply& from, wire::SealReply::Builder to) {
  to.setAccepted(from.accepted);
  ToWire(from.sealed, to.initSealed());
  ToWire(from.list, to.initList());
  ToWireList(from.proposals, to.initProposals(from.proposals.size()));
  RecordsToWire(from.records, to.initRecords(from.records.size()));
}

SealReply FromWire(wire::SealReply::Reader from) {
  return {.accepted = from.getAccepted(),
          .sealed = FromWire(from.getSealed()),
          .list = FromWire(from.getList()),
          .proposals = FromWireList<MemberList>(from.getProposals()),
          .records = RecordsFromWire(from.getRecords())};
}

void ToWire(const HostGossip& from, wire::HostNews::Builder to) {
  const HostInfo& info = from.info;
  to.setHost(TextView(info.host));
  to.setZone(TextView(info.zone));
  to.setRpcAddress(TextView(info.rpc_address));
  to.setHttpAddress(TextView(info.http_address));
  to.setBoot(info.boot);
  to.setCounter(info.counter);
  to.setLeaving(info.leaving);
  to.setGeneration(info.generation);
  auto owned = to.initOwned(info.owned.size());
  for (unsigned i = 0; i < info.owned.size(); ++i) {
    owned[i].setShard(info.owned[i].shard);
    ToWire(info.owned[i].epoch, owned[i].initEpoch());
  }
  to.setState(static_cast<uint8_t>(from.state));
}

HostGossip FromWire(wire::HostNews::Reader from) {
  HostGossip to;
  to.info.host = Text(from.getHost());
  to.info.zone = Text(from.getZone());
  to.info.rpc_address = Text(from.getRpcAddress());
  to.info.http_address = Text(from.getHttpAddress());
  to.info.boot = from.getBoot();
  to.info.counter = from.getCounter();
  to.info.leaving = from.getLeaving();
  to.info.generation = from.getGeneration();
  for (auto owned : from.getOwned()) {
    to.info.owned.push_back(
        {.shard = owned.getShard(), .epoch = FromWire(owned.getEpoch())});
  }
  // A state that this version does not know counts as kSuspect.
  to.state = from.getState() > static_cast<uint8_t>(HostState::kDead)
                 ? HostState::kSuspect
                 : static_cast<HostState>(from.getState());
  return to;
}

void ToWire(const Outcome& from, wire::Outcome::Builder to) {
  to.setReason(TextView(std::string(Name(from.reason))));
  to.setRun(static_cast<uint8_t>(from.run));
  to.setMessage(TextView(from.message));
  to.setRetryAfterMs(from.retry_after_ms);
  to.setOwner(TextView(from.owner));
}

Outcome FromWire(wire::Outcome::Reader from) {
  // A run state that this version does not know is decoded as kUnknown, never
  // as kNotRun: a call that may have run must not be reported as not run.
  const uint8_t run = from.getRun();
  return {.reason = ReasonFromName(Text(from.getReason())),
          .run = run > 2 ? RunState::kUnknown : static_cast<RunState>(run),
          .message = Text(from.getMessage()),
          .retry_after_ms = from.getRetryAfterMs(),
          .owner = Text(from.getOwner())};
}

void ToWire(const CreateRequest& from, wire::CreateRequest::Builder to) {
  to.setShard(from.shard);
  to.setId(TextView(from.id));
  to.setTeam(TextView(from.team));
  to.setParent(TextView(from.parent));
  to.setDigest(TextView(from.digest));
  to.setBudgetCalls(from.budget_calls);
  to.setBudgetTokens(from.budget_tokens);
  to.setTimeMs(from.time_ms);
}

CreateRequest FromWire(wire::CreateRequest::Reader from) {
  return {.shard = from.getShard(),
          .id = Text(from.getId()),
          .team = Text(from.getTeam()),
          .parent = Text(from.getParent()),
          .digest = Text(from.getDigest()),
          .budget_calls = from.getBudgetCalls(),
          .budget_tokens = from.getBudgetTokens(),
          .time_ms = from.getTimeMs()};
}

void ToWire(const CallRequest& from, wire::CallRequest::Builder to) {
  to.setProgram(TextView(from.program));
  to.setTeam(TextView(from.team));
  to.setSequence(from.sequence);
  to.setService(TextView(from.service));
  to.setPath(TextView(from.path));
  to.setInput(TextView(from.input));
  to.setMaxTokens(from.max_tokens);
  to.setSingle(from.single);
  to.setOffset(from.offset);
  to.setAttempt(from.attempt);
  to.setPatienceMs(from.patience_ms);
  to.setReadOnly(from.read_only);
  to.setRequestId(TextView(from.request_id));
}

CallRequest FromWire(wire::CallRequest::Reader from) {
  return {.program = Text(from.getProgram()),
          .team = Text(from.getTeam()),
          .sequence = from.getSequence(),
          .service = Text(from.getService()),
          .path = Text(from.getPath()),
          .input = Text(from.getInput()),
          .max_tokens = from.getMaxTokens(),
          .single = from.getSingle(),
          .offset = from.getOffset(),
          .attempt = from.getAttempt(),
          .patience_ms = from.getPatienceMs(),
          .read_only = from.getReadOnly(),
          .request_id = Text(from.getRequestId())};
}

void ToWire(const CallReply& from, wire::CallReply::Builder to) {
  ToWire(from.outcome, to.initOutcome());
  to.setHttpStatus(static_cast<uint32_t>(from.http_status));
  to.setContentType(TextView(from.content_type));
  to.setOutput(TextView(from.output));
  to.setTokens(from.tokens);
  to.setAttempt(from.attempt);
  to.setUnknown(from.unknown);
}

CallReply FromWire(wire::CallReply::Reader from) {
  return {.outcome = FromWire(from.getOutcome()),
          .http_status = static_cast<int>(from.getHttpStatus()),
          .content_type = Text(from.getContentType()),
          .output = Text(from.getOutput()),
          .tokens = from.getTokens(),
          .attempt = from.getAttempt(),
          .unknown = from.getUnknown()};
}

void ToWire(const ProgramView& from, wire::ProgramView::Builder to) {
  ToWire(from.outcome, to.initOutcome());
  to.setJson(TextView(from.json));
}

ProgramView FromWire(wire::ProgramView::Reader from) {
  return {.outcome = FromWire(from.getOutcome()), .json = Text(from.getJson())};
}

void ToWire(const CreditRequest& from, wire::CreditRequest::Builder to) {
  to.setTeam(TextView(from.team));
  to.setWanted(from.wanted);
  to.setRelay(from.relay);
}

CreditRequest FromWire(wire::CreditRequest::Reader from) {
  return {.team = Text(from.getTeam()),
          .wanted = from.getWanted(),
          .relay = from.getRelay()};
}

void ToWire(const CreditReply& from, wire::CreditReply::Builder to) {
  ToWire(from.outcome, to.initOutcome());
  to.setGranted(from.granted);
  to.setNextUs(from.next_us);
}

CreditReply FromWire(wire::CreditReply::Reader from) {
  return {.outcome = FromWire(from.getOutcome()),
          .granted = from.getGranted(),
          .next_us = from.getNextUs()};
}

void ToWire(const SlotRequest& from, wire::SlotRequest::Builder to) {
  to.setUpstream(TextView(from.upstream));
  to.setTicket(from.ticket);
  to.setHost(TextView(from.host));
  to.setBoot(from.boot);
  to.setTeam(TextView(from.team));
  to.setProgram(TextView(from.program));
  to.setWeight(from.weight);
  to.setCost(from.cost);
  to.setAttained(from.attained);
  to.setPatienceMs(from.patience_ms);
  to.setMaxQueue(from.max_queue);
  to.setRelay(from.relay);
}

SlotRequest FromWire(wire::SlotRequest::Reader from) {
  return {.upstream = Text(from.getUpstream()),
          .ticket = from.getTicket(),
          .host = Text(from.getHost()),
          .boot = from.getBoot(),
          .team = Text(from.getTeam()),
          .program = Text(from.getProgram()),
          .weight = from.getWeight(),
          .cost = from.getCost(),
          .attained = from.getAttained(),
          .patience_ms = from.getPatienceMs(),
          .max_queue = from.getMaxQueue(),
          .relay = from.getRelay()};
}

void ToWire(const SlotReply& from, wire::SlotReply::Builder to) {
  ToWire(from.outcome, to.initOutcome());
  to.setInFlight(from.in_flight);
  to.setLimit(from.limit);
  to.setQueued(from.queued);
}

SlotReply FromWire(wire::SlotReply::Reader from) {
  return {.outcome = FromWire(from.getOutcome()),
          .in_flight = from.getInFlight(),
          .limit = from.getLimit(),
          .queued = from.getQueued()};
}

void ToWire(const SlotDone& from, wire::SlotDone::Builder to) {
  to.setUpstream(TextView(from.upstream));
  to.setTicket(from.ticket);
  to.setSucceeded(from.succeeded);
  to.setColdSign(from.cold_sign);
  to.setTokens(from.tokens);
  to.setPaceMs(from.pace_ms);
  to.setAbandoned(from.abandoned);
  to.setRelay(from.relay);
}

SlotDone FromWire(wire::SlotDone::Reader from) {
  return {.upstream = Text(from.getUpstream()),
          .ticket = from.getTicket(),
          .succeeded = from.getSucceeded(),
          .cold_sign = from.getColdSign(),
          .tokens = from.getTokens(),
          .pace_ms = from.getPaceMs(),
          .abandoned = from.getAbandoned(),
          .relay = from.getRelay()};
}

void ToWire(const DocumentReply& from, wire::Document::Builder to) {
  to.setGeneration(from.generation);
  to.setEnvironment(TextView(from.environment));
  to.setText(TextView(from.text));
}

DocumentReply FromWire(wire::Document::Reader from) {
  return {.generation = from.getGeneration(),
          .environment = Text(from.getEnvironment()),
          .text = Text(from.getText())};
}

void ToWire(const OwnerReply& from, wire::OwnerReply::Builder to) {
  to.setHost(TextView(from.host));
  to.setRpcAddress(TextView(from.rpc_address));
  to.setHttpAddress(TextView(from.http_address));
  auto alternates = to.initAlternates(from.alternates.size());
  for (unsigned i = 0; i < from.alternates.size(); ++i) {
    alternates.set(i, TextView(from.alternates[i]));
  }
}

OwnerReply FromWire(wire::OwnerReply::Reader from) {
  OwnerReply to{.host = Text(from.getHost()),
                .rpc_address = Text(from.getRpcAddress()),
                .http_address = Text(from.getHttpAddress()),
                .alternates = {}};
  for (auto address : from.getAlternates())
    to.alternates.push_back(Text(address));
  return to;
}

}  // namespace pimento
