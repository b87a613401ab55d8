#include "test/fuzz/shard_model.h"

#include <algorithm>
#include <sstream>

namespace pimento::model {
namespace {

constexpr const char* kOperation = "x";

std::string ToString(const Epoch& epoch) {
  return std::to_string(epoch.major) + "." + std::to_string(epoch.minor);
}

std::string ToString(const Member& member) {
  return member.host + std::to_string(member.boot);
}

std::string ToString(const MemberList& list) {
  std::string text = ToString(list.since) + "[";
  for (const Member& member : list.members) text += ToString(member);
  return text + "]";
}

std::string ToString(const std::map<std::string, Record>& records) {
  std::string text;
  for (const auto& [key, record] : records) {
    text += key + ToString(record.epoch) + "v" + std::to_string(record.version);
  }
  return text;
}

std::string ToString(const std::vector<Record>& records) {
  std::string text;
  for (const Record& record : records)
    text += record.key + ToString(record.epoch);
  return text;
}

std::string ToString(const SealRequest& r) {
  return "S" + ToString(r.epoch) + ToString(r.holder) + ToString(r.target) +
         ToString(r.list) + (r.granted_by_platform ? "p" : "");
}
std::string ToString(const SealReply& r) {
  std::string text = "s" + std::to_string(r.accepted) + ToString(r.sealed) +
                     ToString(r.list) + ToString(r.records);
  for (const MemberList& list : r.proposals) text += ToString(list);
  return text;
}
std::string ToString(const AppendRequest& r) {
  return "A" + ToString(r.epoch) + ToString(r.holder) + ToString(r.target) +
         ToString(r.list) + ToString(r.records) + (r.replace_all ? "r" : "") +
         std::to_string(r.number);
}
std::string ToString(const AppendReply& r) {
  return "a" + std::to_string(r.accepted) + ToString(r.sealed);
}

ReplicaRules RulesFor(Mutant mutant) {
  return {.check_incarnation = mutant != Mutant::kIncarnationsIgnored,
          .check_holder = mutant != Mutant::kTwoHoldersOfOneEpoch,
          .check_standby = true};
}

}  // namespace

Model::Model(Mutant mutant, Budget budget, int hosts)
    : mutant_(mutant), budget_(budget) {
  for (int i = 0; i < hosts; ++i) {
    const Member member{.host = std::string(1, static_cast<char>('A' + i)),
                        .boot = 1};
    hosts_.push_back({.member = member,
                      .replica = Replica(member, RulesFor(mutant)),
                      .active_claim = std::nullopt,
                      .owner = std::nullopt});
  }
  const Epoch first{.major = 1, .minor = 0};
  const MemberList list{
      .since = first,
      .members = {hosts_[0].member, hosts_[1].member, hosts_[2].member}};
  platform_epoch_ = first;
  platform_list_ = list;
  for (int i = 0; i < 3; ++i) {
    hosts_[i].replica.Append({.shard = 0,
                              .epoch = first,
                              .holder = hosts_[0].member,
                              .target = hosts_[i].member,
                              .list = list,
                              .records = {}});
  }
  hosts_[0].owner =
      Owner{.epoch = first, .list = list, .records = {}, .round = std::nullopt};
  ListChoices();
}

int Model::HostOf(const Member& member) const {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].member.host == member.host) return static_cast<int>(i);
  }
  return 0;
}

void Model::ListChoices() {
  choices_.clear();
  for (size_t i = 0; i < network_.size(); ++i) {
    choices_.push_back({Kind::kDeliver, network_[i].to, i});
  }
  for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
    const Host& host = hosts_[i];
    const MemberList& list = host.replica.list();
    const bool idle = !host.active_claim && !host.owner;
    const bool member = std::find(list.members.begin(), list.members.end(),
                                  host.member) != list.members.end();
    if (budget_.platform_claims > 0 && idle && i > 0) {
      choices_.push_back({Kind::kPlatformClaim, i, 0});
    }
    const bool standby = member && list.members[1] == host.member;
    if (budget_.standby_claims > 0 && idle && standby) {
      choices_.push_back({Kind::kStandbyClaim, i, 0});
    }
    const bool serving = host.owner && !host.owner->round && !host.active_claim;
    if (budget_.consents > 0 && serving) {
      choices_.push_back({Kind::kConsent, i, 0});
    }
    if (budget_.replacements > 0 && serving && hosts_.size() > 3) {
      choices_.push_back({Kind::kReplace, i, 0});
    }
    const bool wants = host.owner &&
                       !host.owner->records.contains(kOperation) &&
                       !host.owner->round && !host.active_claim;
    if (budget_.appends > 0 && wants) {
      choices_.push_back({Kind::kAppend, i, 0});
    }
    if (budget_.crashes > 0) choices_.push_back({Kind::kCrash, i, 0});
  }
}

void Model::DropUnawaitedReplies() {
  std::erase_if(network_, [this](const Message& message) {
    const Host& host = hosts_[message.to];
    if (std::holds_alternative<SealReply>(message.body)) {
      return !host.active_claim || host.active_claim->installing ||
             host.active_claim->epoch != message.epoch;
    }
    if (!std::holds_alternative<AppendReply>(message.body)) return false;
    const bool installs = host.active_claim && host.active_claim->installing &&
                          host.active_claim->exchange == message.exchange;
    const bool appends = host.owner && host.owner->round &&
                         host.owner->exchange == message.exchange;
    return !installs && !appends;
  });
}

std::string Model::Describe(size_t index) const {
  constexpr const char* kNames[] = {
      "deliver", "platform claim", "standby claim", "consent",
      "replace", "append",         "crash"};
  const Choice& choice = choices_[index];
  std::string text = kNames[static_cast<size_t>(choice.kind)];
  text += " " + hosts_[choice.host].member.host;
  if (choice.kind == Kind::kDeliver) {
    text += " " + std::visit([](const auto& body) { return ToString(body); },
                             network_[choice.message].body);
  }
  return text;
}

std::string Model::Apply(size_t index) {
  const Choice choice = choices_[index];
  Host& host = hosts_[choice.host];
  std::string violation;
  switch (choice.kind) {
    case Kind::kDeliver:
      violation = Deliver(choice.message);
      break;
    case Kind::kPlatformClaim: {
      --budget_.platform_claims;
      platform_epoch_ = {
          .major =
              std::max(platform_epoch_.major, host.replica.sealed().major) + 1,
          .minor = 0};
      MemberList known = platform_list_;
      if (host.replica.list().since > known.since) known = host.replica.list();
      StartClaim(choice.host, platform_epoch_, known, {}, true, false);
      break;
    }
    case Kind::kStandbyClaim: {
      --budget_.standby_claims;
      const Epoch sealed = host.replica.sealed();
      StartClaim(choice.host,
                 {.major = sealed.major, .minor = sealed.minor + 1},
                 host.replica.list(), {}, false, true);
      break;
    }
    case Kind::kConsent: {
      --budget_.consents;
      const Owner owner = *host.owner;
      const int to = HostOf(owner.list.members.back());
      if (to == choice.host || hosts_[to].active_claim) break;
      host.replica.ConsentTo(hosts_[to].member);
      StartClaim(to,
                 {.major = owner.epoch.major, .minor = owner.epoch.minor + 1},
                 owner.list, {}, false, false);
      break;
    }
    case Kind::kReplace: {
      --budget_.replacements;
      // A host that is not a member takes the place of the second member.
      const Owner owner = *host.owner;
      std::vector<Member> wanted = {host.member};
      for (const Host& other : hosts_) {
        const bool replaced = other.member == owner.list.members[1];
        if (other.member != host.member && !replaced && wanted.size() < 3) {
          wanted.push_back(other.member);
        }
      }
      host.owner.reset();
      StartClaim(choice.host,
                 {.major = owner.epoch.major, .minor = owner.epoch.minor + 1},
                 owner.list, wanted, false, false);
      break;
    }
    case Kind::kAppend: {
      --budget_.appends;
      Owner& owner = *host.owner;
      const Record record{.key = kOperation,
                          .epoch = owner.epoch,
                          .version = 1,
                          .value = "intent"};
      owner.round.emplace(owner.list);
      owner.exchange =
          SendAppends(choice.host, owner.list, owner.epoch, {record}, false);
      if (mutant_ == Mutant::kDispatchBeforeCommit) violation = Dispatch();
      break;
    }
    case Kind::kCrash: {
      --budget_.crashes;
      ++host.member.boot;
      host.replica = Replica(host.member, RulesFor(mutant_));
      host.active_claim.reset();
      host.owner.reset();
      break;
    }
  }
  DropUnawaitedReplies();
  ListChoices();
  return violation;
}

void Model::StartClaim(int index, Epoch epoch, MemberList known,
                       std::vector<Member> wanted, bool by_platform,
                       bool by_standby) {
  const bool weak = mutant_ == Mutant::kOneSealEnough ||
                    (mutant_ == Mutant::kStandbyWithoutOtherSeal && by_standby);
  ClaimOptions options{.shard = 0,
                       .self = hosts_[index].member,
                       .epoch = epoch,
                       .known = std::move(known),
                       .wanted = std::move(wanted),
                       .granted_by_platform = by_platform,
                       .quorum = weak ? size_t{1} : kQuorum};
  hosts_[index].active_claim = ActiveClaim{.claim = Claim(std::move(options)),
                                           .epoch = epoch,
                                           .list = {},
                                           .round = std::nullopt,
                                           .records = {}};
  SendSeals(index);
}

void Model::SendSeals(int index) {
  std::vector<SealRequest> requests =
      hosts_[index].active_claim->claim.TakeRequests();
  for (const SealRequest& request : requests) {
    network_.push_back(
        {index, HostOf(request.target), request, request.epoch, 0, {}});
  }
}

int Model::SendAppends(int index, const MemberList& list, const Epoch& epoch,
                       const std::vector<Record>& records, bool replace_all) {
  ++exchanges_;
  for (const AppendRequest& request :
       MakeAppends(0, epoch, hosts_[index].member, list, records, replace_all,
                   replace_all ? 0 : 1)) {
    network_.push_back(
        {index, HostOf(request.target), request, epoch, exchanges_, {}});
  }
  return exchanges_;
}

std::string Model::Deliver(size_t index) {
  const Message message = network_[index];
  network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  Host& host = hosts_[message.to];
  if (const auto* seal = std::get_if<SealRequest>(&message.body)) {
    const SealReply reply = host.replica.Seal(*seal);
    // An owner steps down as soon as its own replica accepts another holder.
    if (reply.accepted && host.owner && seal->holder != host.member) {
      host.owner.reset();
    }
    network_.push_back(
        {message.to, message.from, reply, message.epoch, 0, seal->target});
    return "";
  }
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    const AppendReply reply = host.replica.Append(*append);
    network_.push_back({message.to, message.from, reply, message.epoch,
                        message.exchange, append->target});
    return "";
  }
  if (std::holds_alternative<SealReply>(message.body)) {
    return OnSealReply(message.to, message);
  }
  return OnAppendReply(message.to, message);
}

std::string Model::OnSealReply(int index, const Message& message) {
  Host& host = hosts_[index];
  if (!host.active_claim || host.active_claim->epoch != message.epoch)
    return "";
  if (host.active_claim->installing) return "";
  host.active_claim->claim.OnReply(message.target,
                                   std::get<SealReply>(message.body));
  return AdvanceClaim(index);
}

std::string Model::OnAppendReply(int index, const Message& message) {
  Host& host = hosts_[index];
  const auto& reply = std::get<AppendReply>(message.body);
  const Member from = message.target;
  if (host.active_claim && host.active_claim->installing &&
      host.active_claim->exchange == message.exchange) {
    host.active_claim->round->OnReply(from, reply, message.epoch);
    return AdvanceClaim(index);
  }
  if (!host.owner || !host.owner->round ||
      host.owner->exchange != message.exchange) {
    return "";
  }
  Owner& owner = *host.owner;
  owner.round->OnReply(from, reply, message.epoch);
  if (owner.round->Fenced()) {
    host.owner.reset();
    return "";
  }
  if (!owner.round->Committed()) return "";
  owner.round.reset();
  const Record record{
      .key = kOperation, .epoch = owner.epoch, .version = 1, .value = "intent"};
  owner.records[kOperation] = record;
  const std::string violation = OnCommitted(record);
  if (!violation.empty() || mutant_ == Mutant::kDispatchBeforeCommit) {
    return violation;
  }
  return Dispatch();
}

std::string Model::AdvanceClaim(int index) {
  Host& host = hosts_[index];
  ActiveClaim& active_claim = *host.active_claim;
  if (active_claim.installing) {
    if (active_claim.round->Fenced()) {
      host.active_claim.reset();
      return "";
    }
    return active_claim.round->Committed() ? StartServing(index) : "";
  }
  if (active_claim.claim.Lost()) {
    host.active_claim.reset();
    return "";
  }
  if (!active_claim.claim.Sealed()) {
    SendSeals(index);
    return "";
  }
  active_claim.list = active_claim.claim.NewList();
  active_claim.records = active_claim.claim.records();
  if (mutant_ == Mutant::kInstallSkipped) return StartServing(index);
  active_claim.installing = true;
  active_claim.round.emplace(active_claim.list);
  std::vector<Record> all;
  for (const auto& [key, record] : active_claim.records) all.push_back(record);
  active_claim.exchange =
      SendAppends(index, active_claim.list, active_claim.epoch, all, true);
  return "";
}

// A claimant becomes the owner and answers callers, which see its records from
// now on.
std::string Model::StartServing(int index) {
  Host& host = hosts_[index];
  host.owner = Owner{.epoch = host.active_claim->epoch,
                     .list = host.active_claim->list,
                     .records = host.active_claim->records,
                     .round = std::nullopt};
  host.active_claim.reset();
  const Owner& owner = *host.owner;
  for (const auto& [key, epoch] : acknowledged_) {
    const bool earlier = epoch < owner.epoch;
    if (earlier && !owner.records.contains(key)) {
      return "the owner at " + ToString(owner.epoch) + " misses " + key +
             ", acknowledged at " + ToString(epoch);
    }
  }
  for (const auto& [key, record] : owner.records) {
    acknowledged_.emplace(key, owner.epoch);
  }
  return "";
}

std::string Model::OnCommitted(const Record& record) {
  acknowledged_.emplace(record.key, record.epoch);
  for (const Host& host : hosts_) {
    const bool later = host.owner && host.owner->epoch > record.epoch;
    if (later && !host.owner->records.contains(record.key)) {
      return "a stale owner committed " + record.key + " at " +
             ToString(record.epoch) + " although there is an owner at " +
             ToString(host.owner->epoch);
    }
  }
  return "";
}

std::string Model::Dispatch() {
  ++dispatches_;
  return dispatches_ > 1 ? "the operation was dispatched twice" : "";
}

std::string Model::Fingerprint() const {
  std::ostringstream text;
  for (const Host& host : hosts_) {
    text << "|" << ToString(host.member) << ToString(host.replica.sealed())
         << ToString(host.replica.holder()) << ToString(host.replica.list())
         << ToString(host.replica.records());
    for (const MemberList& list : host.replica.proposals())
      text << ToString(list);
    if (host.active_claim) {
      const ActiveClaim& active_claim = *host.active_claim;
      text << "T" << active_claim.exchange << ToString(active_claim.epoch)
           << active_claim.installing << ToString(active_claim.claim.NewList())
           << ToString(active_claim.claim.records())
           << active_claim.claim.Fingerprint();
      if (active_claim.round) {
        for (const Member& m : active_claim.round->holders())
          text << ToString(m);
      }
    }
    if (host.owner) {
      text << "O" << ToString(host.owner->epoch) << ToString(host.owner->list)
           << ToString(host.owner->records);
      if (host.owner->round) {
        text << "R" << host.owner->exchange;
        for (const Member& m : host.owner->round->holders())
          text << ToString(m);
      }
    }
  }
  std::vector<std::string> messages;
  for (const Message& message : network_) {
    messages.push_back(
        std::to_string(message.from) + std::to_string(message.to) +
        ToString(message.epoch) + ToString(message.target) + "#" +
        std::to_string(message.exchange) +
        std::visit([](const auto& body) { return ToString(body); },
                   message.body));
  }
  std::sort(messages.begin(), messages.end());
  for (const std::string& message : messages) text << "~" << message;
  text << "P" << ToString(platform_epoch_) << "D" << dispatches_;
  for (const auto& [key, epoch] : acknowledged_) text << key << ToString(epoch);
  text << budget_.platform_claims << budget_.standby_claims << budget_.consents
       << budget_.replacements << budget_.crashes << budget_.appends;
  return text.str();
}

}  // namespace pimento::model
