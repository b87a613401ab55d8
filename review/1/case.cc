// Keys are taken away while the store turns two gateways away and serves the
// others. A third gateway has been removed for good. Do the two go on accepting
// the key?
//
// WAIT_MS: from readiness to the disruption. VARIANT=one: five storage machines
// instead of three; one gateway is turned away, and two are removed.
#include "review/stand_ins.h"

using namespace review;

namespace {

constexpr int64_t kRevokeMs = 5'000;
constexpr int64_t kRejectMs = 9'000;

// Runs programs of single turns through `front` until `stop`.
void RunTurns(const std::string& address, const std::string& prefix,
              std::atomic<bool>& stop) {
  std::vector<std::thread> threads;
  for (int i = 0; !stop; ++i) {
    const std::string id = prefix + std::to_string(i);
    threads.emplace_back([address, id] {
      Request(address, "POST", "/kept/turn", TurnLines(id, "p" + id, "", "key-b"),
              "in", 3'000);
    });
    Pause(150);
  }
  for (std::thread& thread : threads) thread.join();
}

int Run(const Case& options) {
  Fleet fleet(options.root, options.dir);
  Store& store = fleet.store;
  const std::vector<std::string> fronts = {"front-a-1", "front-b-1",
                                           "front-c-1"};
  const bool one = getenv("VARIANT") != nullptr;
  const int rejected = one ? 1 : 2;
  std::vector<std::string> storages = {"storage-a-1", "storage-b-1",
                                       "storage-c-1"};
  if (one) {
    storages.insert(storages.end(), {"storage-a-2", "storage-b-2"});
    fleet.tolerated_machines = 2;
  }
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  for (int i = 0; i < 3; ++i) {
    fleet.AddHost(fronts[i], 1 + i, zones[i]);
  }
  for (size_t i = 0; i < storages.size(); ++i)
    fleet.AddHost(storages[i], 11 + static_cast<int>(i), zones[i % 3]);
  store.Put("config", "main",
            DesiredState(1, {{"tenant-a", {"key-a"}}, {"tenant-b", {"key-b"}}}));
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 2; ++i) {
    engines.push_back(std::make_unique<Engine>(
        store,
        Engine::Options{.id = "i-talk-" + std::to_string(i),
                        .service = "talk",
                        .address = fleet.EngineAddress(31 + i),
                        .zone = zones[i],
                        .slots = 64},
        [](Engine& engine, const Message& request, Connection& connection) {
          engine.Stream(request, connection, 16, 150, "out");
        }));
    engines.push_back(std::make_unique<Engine>(
        store,
        Engine::Options{.id = "i-desk-" + std::to_string(i),
                        .service = "desk",
                        .address = fleet.EngineAddress(41 + i),
                        .zone = zones[i]},
        [](Engine& engine, const Message& request, Connection& connection) {
          engine.Plain(request, connection, 20, "status");
        }));
  }
  for (auto& engine : engines) engine->Register();
  for (const auto& storage : storages) fleet.Start(storage, true);
  for (const auto& front : fronts) fleet.Start(front, true);
  for (const auto& front : fronts) {
    if (fleet.AwaitReady(front, 15'000)) continue;
    record.Line("%s is not ready", front.c_str());
    return 2;
  }
  std::atomic<bool> stop = false;
  std::thread turns_a([&] { RunTurns(fleet.Front(fronts[0]), "ta", stop); });
  std::thread turns_b([&] { RunTurns(fleet.Front(fronts[1]), "tb", stop); });
  const char* wait = getenv("WAIT_MS");
  Pause(wait == nullptr ? 4'500 : std::atoi(wait));

  const int64_t began_ms = NowMs();
  if (options.trouble) {
    for (int i = rejected; i < 3; ++i) {
      fleet.Kill(fronts[i]);
      record.Line("%s is removed for good", fronts[i].c_str());
    }
    for (int i = 0; i < rejected; ++i) {
      store.SetMode(fleet.StoreAddress(fronts[i]), Store::Mode::kBusy);
      record.Line("the store answers 503 to %s", fronts[i].c_str());
    }
  }
  const int64_t revoked_ms = store.Put(
      "config", "main", DesiredState(2, {{"tenant-a", {}}, {"tenant-b", {"key-b"}}}));
  record.Line("acknowledged: version 2 takes key-a of tenant-a away");

  // Requests with the key, one every 50 ms at each gateway.
  std::mutex mutex;
  std::map<std::string, int64_t> sent;  // since the acknowledgement
  std::map<std::string, int> status;
  std::vector<std::thread> requests;
  for (int i = 0; NowMs() < began_ms + kRejectMs; ++i) {
    for (int front = 0; front < rejected; ++front) {
      requests.emplace_back([&, i, front] {
        const std::string id =
            "k" + std::to_string(front) + "-" + std::to_string(i);
        const Message answer =
            Request(fleet.Front(fronts[front]), "GET", "/status/x",
                    IdLine(id) + KeyLine("key-a"), "", 1'200);
        const std::lock_guard lock(mutex);
        sent[id] = answer.sent_ms - revoked_ms;
        status[id] = answer.status;
      });
    }
    Pause(50);
  }
  for (std::thread& request : requests) request.join();
  if (options.trouble) {
    for (int i = 0; i < rejected; ++i)
      store.SetMode(fleet.StoreAddress(fronts[i]), Store::Mode::kServe);
  }
  stop = true;
  turns_a.join();
  turns_b.join();

  std::map<int64_t, std::map<int, int>> by_second;
  for (const auto& [id, at] : sent) ++by_second[at / 1'000][status[id]];
  for (const auto& [second, counts] : by_second) {
    std::string text;
    for (const auto& [code, count] : counts)
      text += " " + std::to_string(code) + ":" + std::to_string(count);
    record.Line("sent %d s after the acknowledgement, status:count%s",
                static_cast<int>(second), text.c_str());
  }
  int late = 0;
  int early = 0;
  int64_t last = 0;
  for (auto& engine : engines) {
    for (const Arrival& arrival : engine->arrivals()) {
      const auto it = sent.find(arrival.request.Header("x-pimentopulley-request-id"));
      if (it == sent.end()) continue;
      if (it->second <= kRevokeMs) {
        ++early;
        continue;
      }
      ++late;
      last = std::max(last, it->second);
      if (late <= 5)
        record.Line("ran at %s: request %s with key-a, sent %d ms after the "
                    "acknowledgement",
                    engine->id().c_str(), it->first.c_str(),
                    static_cast<int>(it->second));
    }
  }
  record.Line("requests with key-a that ran: %d sent within %d ms, %d sent "
              "later (the last %d ms after the acknowledgement)",
              early, static_cast<int>(kRevokeMs), late,
              static_cast<int>(last));
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
