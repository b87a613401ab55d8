// Many gateways that learn late of each other's calls, upstreams with a few
// slots, a short queue and bounded memory, programs whose prompts grow and that
// retry: a burst, then the load that was served before it.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/slot_share.h"
#include "src/upstream_table.h"

namespace {

using namespace pimento;

constexpr int kGateways = 55;
constexpr int kUpstreams = 45;
constexpr int kSlots = 6;
constexpr int kQueue = 18;
constexpr int64_t kMemoryTokens = 48'584;
constexpr int64_t kSharedTokens = 512;
constexpr int64_t kTurnTokens = 400;
constexpr int64_t kOutputTokens = 70;
constexpr int64_t kTokensPerMs = 100;
constexpr int64_t kProduceMs = 235;
constexpr int64_t kToolMs = 150;
constexpr int64_t kTimeoutMs = 3'000;
constexpr int64_t kGossipMs = 450;
constexpr int64_t kStepMs = 5;
constexpr int kAttempts = 2;
constexpr int kTries = 3;

struct Program {
  int id = 0;
  int turns = 0;
  int64_t begun_ms = 0;
  int64_t ended_ms = 0;
  int turn = 0;
  int tries = 0;
  bool failed = false;
  std::vector<PromptPart> prompt = {};
};

struct Call {
  Program* program = nullptr;
  int gateway = 0;
  int64_t began_ms = 0;
  int64_t sent_ms = 0;
  std::set<std::string> tried = {};
  std::string holder = {};
  uint64_t hash = 0;
};

struct Running {
  Call call = {};
  int64_t ends_ms = 0;
};

struct Engine {
  std::vector<Running> running = {};
  std::deque<Call> queue = {};
  // Programs whose prompts are kept, least recently used first.
  std::list<std::pair<int, int64_t>> kept = {};

  // Tokens of the prompt that have to be read; keeps the prompt.
  int64_t Read(const Program& program) {
    int64_t tokens = 0;
    for (const PromptPart& part : program.prompt) tokens += part.tokens;
    const int64_t whole = tokens;
    for (auto it = kept.begin(); it != kept.end(); ++it) {
      if (it->first != program.id) continue;
      tokens -= it->second;
      kept.erase(it);
      break;
    }
    kept.emplace_back(program.id, whole);
    int64_t held = 0;
    for (const auto& prompt : kept) held += prompt.second;
    while (held > kMemoryTokens) {
      held -= kept.front().second;
      kept.pop_front();
    }
    return std::max(kTurnTokens, tokens);
  }
  // The queue moves up. Reading a prompt delays all that runs.
  void Admit(int64_t now_ms) {
    while (running.size() < kSlots && !queue.empty()) {
      const int64_t read_ms = Read(*queue.front().program) / kTokensPerMs;
      for (Running& other : running) other.ends_ms += read_ms;
      running.push_back({.call = std::move(queue.front()),
                         .ends_ms = now_ms + read_ms + kProduceMs});
      queue.pop_front();
    }
  }
};

struct Gateway {
  UpstreamTable table{{.zone = "a"}};
  std::deque<Call> waiting = {};
  std::vector<UpstreamLoad> told = {};
};

class Fleet {
 public:
  Fleet() {
    for (int i = 0; i < kGateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>());
      for (int e = 0; e < kUpstreams; ++e) {
        gateways_.back()->table.Put({.id = "u" + std::to_string(e),
                                     .service = "talk",
                                     .address = "10.0.0.1:80",
                                     .zone = "a",
                                     .slots = kSlots,
                                     .started_at_ms = 1},
                                    0);
      }
      gateways_.back()->table.set_gateway_count(kGateways);
    }
  }

  void Run(int64_t until_ms, double programs_per_s) {
    for (; now_ms_ < until_ms; now_ms_ += kStepMs) {
      due_ += programs_per_s * kStepMs / 1'000;
      for (; due_ >= 1; due_ -= 1) Begin();
      while (!later_.empty() && later_.begin()->first <= now_ms_) {
        Call call = std::move(later_.begin()->second);
        later_.erase(later_.begin());
        gateways_[call.gateway]->waiting.push_back(std::move(call));
      }
      Gossip();
      for (auto& gateway : gateways_) Place(*gateway);
      for (int e = 0; e < kUpstreams; ++e) Finish(e);
    }
  }

  // Of the programs that began in the span, those that end within 1.6 times of
  // what they take on idle engines.
  double InTime(int64_t from_ms, int64_t to_ms) const {
    double begun = 0;
    double in_time = 0;
    for (const auto& program : programs_) {
      if (program->begun_ms < from_ms || program->begun_ms >= to_ms) continue;
      ++begun;
      const int64_t idle_ms = program->turns * (kProduceMs + 10 + kToolMs);
      if (program->ended_ms > 0 && !program->failed &&
          program->ended_ms - program->begun_ms < idle_ms * 8 / 5) {
        ++in_time;
      }
    }
    return in_time / begun;
  }
  int64_t sent() const { return sent_; }
  int64_t turned_away() const { return turned_away_; }

 private:
  void Begin() {
    programs_.push_back(std::make_unique<Program>());
    Program& program = *programs_.back();
    program.id = static_cast<int>(programs_.size());
    program.turns = random_() % 4 == 0 ? 3 + static_cast<int>(random_() % 20)
                                       : 2 + static_cast<int>(random_() % 5);
    program.begun_ms = now_ms_;
    program.prompt.push_back({.id = 1, .tokens = kSharedTokens});
    NextTurn(program, now_ms_, {});
  }

  void NextTurn(Program& program, int64_t at_ms, std::string holder) {
    ++program.turn;
    program.tries = 0;
    program.prompt.push_back(
        {.id = static_cast<uint64_t>(program.id * 100 + program.turn),
         .tokens = kTurnTokens});
    Submit(program, at_ms, std::move(holder));
  }

  void Submit(Program& program, int64_t at_ms, std::string holder) {
    later_.emplace(at_ms,
                   Call{.program = &program,
                        .gateway = static_cast<int>(random_() % kGateways),
                        .began_ms = at_ms,
                        .holder = std::move(holder),
                        .hash = random_()});
  }

  // Each gateway tells all others, one after the other.
  void Gossip() {
    for (int i = 0; i < kGateways; ++i) {
      const int64_t phase_ms = i * kGossipMs / kGateways / kStepMs * kStepMs;
      if (now_ms_ % kGossipMs == phase_ms) {
        gateways_[i]->told = gateways_[i]->table.LocalLoad();
      }
    }
    if (now_ms_ % 50 != 0) return;
    std::unordered_map<uint64_t, UpstreamLoad> all;
    for (const auto& gateway : gateways_) {
      for (const UpstreamLoad& load : gateway->told) {
        all[load.upstream].in_flight += load.in_flight;
      }
    }
    for (auto& gateway : gateways_) {
      auto others = all;
      for (const UpstreamLoad& load : gateway->told) {
        others[load.upstream].in_flight -= load.in_flight;
      }
      gateway->table.set_peer_load(others);
    }
  }

  void Place(Gateway& gateway) {
    while (!gateway.waiting.empty()) {
      Call call = std::move(gateway.waiting.front());
      gateway.waiting.pop_front();
      if (now_ms_ - call.began_ms > kTimeoutMs) {
        Refused(call);
        continue;
      }
      int64_t tokens = 0;
      for (const PromptPart& part : call.program->prompt) tokens += part.tokens;
      const PlacementInput input{.service = "talk",
                                 .prompt = &call.program->prompt,
                                 .output_tokens = kOutputTokens,
                                 .tokens_per_event = 14,
                                 .prompt_holder = call.holder,
                                 .tried = call.tried,
                                 .prompt_tokens = tokens,
                                 .call_hash = call.hash};
      const auto choice = gateway.table.Choose(input, now_ms_);
      if (choice.verdict != UpstreamTable::Verdict::kChosen) {
        gateway.waiting.push_front(std::move(call));
        return;
      }
      const std::string& id = choice.upstream.id;
      gateway.table.OnCallStarted(id, input, now_ms_);
      call.tried.insert(id);
      call.sent_ms = now_ms_;
      ++sent_;
      Engine& engine = engines_[std::stoi(id.substr(1))];
      if (engine.running.size() + engine.queue.size() < kSlots + kQueue) {
        engine.queue.push_back(std::move(call));
        engine.Admit(now_ms_);
        continue;
      }
      ++turned_away_;
      gateway.table.OnCallFinished(id, {.outcome = CallOutcome::kRefused},
                                   now_ms_);
      if (call.tried.size() >= kAttempts) {
        Refused(call);
      } else {
        gateway.waiting.push_front(std::move(call));
      }
    }
  }

  void Refused(const Call& call) {
    Program& program = *call.program;
    if (++program.tries >= kTries) {
      program.failed = true;
    } else {
      Submit(program, now_ms_ + 200, call.holder);
    }
  }

  void Finish(int e) {
    Engine& engine = engines_[e];
    const std::string id = "u" + std::to_string(e);
    for (size_t i = 0; i < engine.running.size();) {
      if (engine.running[i].ends_ms > now_ms_) {
        ++i;
        continue;
      }
      const Call call = std::move(engine.running[i].call);
      engine.running.erase(engine.running.begin() + static_cast<long>(i));
      gateways_[call.gateway]->table.OnCallFinished(
          id, {.duration_ms = now_ms_ - call.sent_ms, .events = 5}, now_ms_);
      Program& program = *call.program;
      if (program.turn == program.turns) {
        program.ended_ms = now_ms_;
      } else {
        NextTurn(program, now_ms_ + kToolMs, id);
      }
    }
    engine.Admit(now_ms_);
  }

  int64_t now_ms_ = 0;
  double due_ = 0;
  int64_t sent_ = 0;
  int64_t turned_away_ = 0;
  std::mt19937 random_{7};
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Engine> engines_{kUpstreams};
  std::vector<std::unique_ptr<Program>> programs_;
  std::multimap<int64_t, Call> later_;
};

}  // namespace

TEST_CASE("with half of the slots in use, programs end in time") {
  Fleet fleet;
  fleet.Run(14'000, 75);
  const double in_time = fleet.InTime(1'000, 5'000);
  INFO("in time ", in_time, "; turned away ", fleet.turned_away());
  CHECK(in_time > 0.9);
  CHECK(fleet.turned_away() == 0);
}

TEST_CASE("a burst from many gateways does not fill some upstreams only") {
  Fleet fleet;
  fleet.Run(3'000, 75);
  fleet.Run(8'000, 190);
  fleet.Run(14'000, 75);
  INFO("sent ", fleet.sent(), ", turned away ", fleet.turned_away());
  CHECK(fleet.turned_away() * 50 < fleet.sent());
}

TEST_CASE("a gateway has its part of the slots, and of those that are free") {
  const SlotUse full{.slots = 270, .own = 6, .peers = 400, .gateways = 55};
  CHECK(SlotShare(full) == 6);
  const SlotUse half{.slots = 270, .own = 3, .peers = 147, .gateways = 55};
  CHECK(SlotShare(half) == 9);
  // A gateway that knows of no peer's calls may not take all.
  const SlotUse deaf{.slots = 270, .own = 0, .peers = 0, .gateways = 55};
  CHECK(SlotShare(deaf) == 12);
  const SlotUse few{.slots = 2, .own = 0, .peers = 9, .gateways = 55};
  CHECK(SlotShare(few) == 1);
}

TEST_CASE("calls consider a few upstreams, and others a little later") {
  int considered = 0;
  int changed = 0;
  for (uint64_t call = 0; call < 1'000; ++call) {
    const Draw draw{.call = call, .upstream = 9, .upstreams = 45};
    Draw later = draw;
    later.now_ms = 100;
    considered += IsCandidate(draw) ? 1 : 0;
    changed += IsCandidate(draw) != IsCandidate(later) ? 1 : 0;
  }
  CHECK(considered > 40);
  CHECK(considered < 95);
  CHECK(changed > 60);
  CHECK(IsCandidate({.call = 1, .upstream = 2, .upstreams = 3}));
}
