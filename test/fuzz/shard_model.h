// A model of one shard for the model checker: replicas, owners and claimants
// that run the production protocol code, and a network that may delay or lose
// any message.
//
// A message that is never delivered is lost, and a host whose messages are not
// delivered is paused. So the choice of which message to deliver next covers
// loss, delay, reordering and pauses.
//
// Checked invariants: a new owner holds every record that an earlier owner
// acknowledged; an owner commits no record that a later owner lacks; the one
// operation is dispatched at most once.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/replica.h"
#include "src/shard_protocol.h"

namespace pimento::model {

// Faults inserted on purpose. The checker must detect each of them.
enum class Mutant {
  kNone,
  // Replicas accept requests addressed to an earlier run of their process.
  kIncarnationsIgnored,
  // A claimant serves as soon as it is sealed.
  kInstallSkipped,
  // Any claim needs only one seal of each list.
  kOneSealEnough,
  // The operation is dispatched before its record is committed.
  kDispatchBeforeCommit,
  // A claim by the standby needs only one seal of each list.
  kStandbyWithoutOtherSeal,
  // Replicas accept any holder at the sealed epoch.
  kTwoHoldersOfOneEpoch,
};

// The maximum number of events of each kind in one history.
struct Budget {
  int platform_claims = 0;
  int standby_claims = 0;
  int consents = 0;
  int replacements = 0;
  int crashes = 0;
  int appends = 2;
};

// A message in flight. `from` and `to` are indices of hosts.
struct Message {
  int from = 0;
  int to = 0;
  std::variant<SealRequest, SealReply, AppendRequest, AppendReply> body;
  // `epoch` and `exchange` match a reply to its claim or append round, as an
  // RPC layer does.
  Epoch epoch;
  int exchange = 0;
  // In a reply: the member that the request was addressed to.
  Member target;
};

class Model {
 public:
  Model(Mutant mutant, Budget budget, int hosts);

  // Number of events that are possible next.
  size_t ChoiceCount() const { return choices_.size(); }
  // Applies event `index`. Returns the invariant that it violated, or "".
  std::string Apply(size_t index);
  std::string Describe(size_t index) const;
  // Equal states have equal fingerprints.
  std::string Fingerprint() const;

 private:
  enum class Kind {
    kDeliver,
    kPlatformClaim,
    kStandbyClaim,
    kConsent,
    kReplace,
    kAppend,
    kCrash
  };
  struct Choice {
    Kind kind;
    int host;
    size_t message;
  };
  // A claim that is collecting seals or, once `installing`, appending to the
  // members of its new list.
  struct ActiveClaim {
    Claim claim;
    Epoch epoch;
    bool installing = false;
    MemberList list;
    std::optional<AppendRound> round;
    std::map<std::string, Record> records;
    int exchange = 0;
  };
  struct Owner {
    Epoch epoch;
    MemberList list;
    std::map<std::string, Record> records;
    std::optional<AppendRound> round;
    int exchange = 0;
  };
  struct Host {
    Member member;
    Replica replica;
    std::optional<ActiveClaim> active_claim;
    std::optional<Owner> owner;
  };

  void ListChoices();
  // Drops replies that no claim or round waits for. They would change nothing
  // but add states to the search.
  void DropUnawaitedReplies();
  std::string Deliver(size_t message);
  std::string OnSealReply(int host, const Message& message);
  std::string OnAppendReply(int host, const Message& message);
  std::string AdvanceClaim(int host);
  std::string StartServing(int host);
  std::string OnCommitted(const Record& record);
  std::string Dispatch();
  void StartClaim(int host, Epoch epoch, MemberList known,
                  std::vector<Member> wanted, bool by_platform,
                  bool by_standby);
  void SendSeals(int host);
  // Returns the `exchange` number of the replies.
  int SendAppends(int host, const MemberList& list, const Epoch& epoch,
                  const std::vector<Record>& records, bool replace_all);
  int HostOf(const Member& member) const;

  Mutant mutant_;
  Budget budget_;
  std::vector<Host> hosts_;
  std::vector<Message> network_;
  std::vector<Choice> choices_;
  // The platform's ownership object.
  Epoch platform_epoch_;
  MemberList platform_list_;
  // Keys of the records that an owner has made visible to callers, with the
  // epoch of that owner.
  std::map<std::string, Epoch> acknowledged_;
  int dispatches_ = 0;
  int exchanges_ = 0;
};

}  // namespace pimento::model
