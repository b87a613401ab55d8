// Stand-in for the metadata store of the users' platform: objects by kind and
// name, conditional writes, watches, history that is dropped, lost answers.
//
// Switches: down, silent, slow_ms, lose_answers (count of writes whose answer
// is lost after they took effect), lose_before (count of writes that are done
// `late_ms` after their answer was lost), cut_watch_ms (a watch that has waited
// for so long is broken off), hang_watches (watches that wait now are never
// answered, not even after the switch is off). POST /compact drops the history;
// POST /restart also breaks off what waits, and all calls for the next
// `down_ms`; GET /calls counts calls.
#include <algorithm>
#include <deque>
#include <map>
#include <optional>

#include "src/worker_thread.h"
#include "standins/standin_main.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace pimento;

constexpr int64_t kSilenceMs = 30'000;
constexpr int64_t kWatchPollMs = 10;
constexpr const char* kPrefix = "/-/objects/";

struct Change {
  uint64_t revision = 0;
  std::string kind;
  json::value object;
  bool deleted = false;
};

class ObjectStore {
 public:
  explicit ObjectStore(standin::Switches& switches) : switches_(switches) {}

  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpResponder& responder) {
    ++calls_;
    if (request.path == "/calls") {
      HttpResponse answer{.body = std::to_string(calls_)};
      co_await responder.Send(answer);
      co_return;
    }
    if (request.path == "/compact") {
      history_.clear();
      dropped_before_ = revision_;
      HttpResponse answer{.body = "{}"};
      co_await responder.Send(answer);
      co_return;
    }
    if (request.path == "/restart") {
      Restart(json::parse(request.body).at("down_ms").to_number<int64_t>());
      HttpResponse answer{.body = "{}"};
      co_await responder.Send(answer);
      co_return;
    }
    if (NowMs() < down_until_ms_) {
      responder.Abort();
      co_return;
    }
    if (switches_.On("silent")) {
      co_await Sleep(kSilenceMs);
      responder.Abort();
      co_return;
    }
    if (switches_.On("down")) {
      HttpResponse answer{.status = 503};
      co_await responder.Send(answer);
      co_return;
    }
    const int64_t slow_ms = switches_.Number("slow_ms");
    if (slow_ms > 0) co_await Sleep(slow_ms);
    HttpResponse answer;
    if (!request.Query("watch").empty()) {
      auto changes = co_await Watch(request);
      if (!changes) {
        responder.Abort();
        co_return;
      }
      answer = std::move(*changes);
    } else if (request.method == "GET") {
      answer = Read(request);
    } else {
      if (switches_.Take("lose_before")) {
        responder.Abort();
        co_await Sleep(switches_.Number("late_ms"));
        Write(request);
        co_return;
      }
      answer = Write(request);
      if (switches_.Take("lose_answers")) {
        responder.Abort();
        co_return;
      }
    }
    co_await responder.Send(answer);
  }

 private:
  struct Place {
    std::string kind;
    std::string name;
    bool status = false;
  };
  using Kind = std::map<std::string, json::value>;

  static Place PlaceOf(const std::string& path) {
    Place place;
    std::string rest = path.substr(std::min(path.size(), strlen(kPrefix)));
    const size_t slash = rest.find('/');
    place.kind = rest.substr(0, slash);
    if (slash == std::string::npos) return place;
    place.name = rest.substr(slash + 1);
    const size_t tail = place.name.find("/status");
    place.status = tail != std::string::npos;
    place.name = place.name.substr(0, tail);
    return place;
  }

  HttpResponse Read(const HttpRequest& request) {
    const Place place = PlaceOf(request.path);
    const Kind& kind = kinds_[place.kind];
    if (!place.name.empty()) {
      const auto it = kind.find(place.name);
      if (it == kind.end()) return {.status = 404};
      return {.body = json::serialize(it->second)};
    }
    json::array items;
    for (const auto& [name, object] : kind) {
      if (name > request.Query("after")) items.push_back(object);
    }
    return {
        .body = json::serialize(json::object{
            {"items", items}, {"more", false}, {"store_revision", revision_}})};
  }

  void Restart(int64_t down_ms) {
    history_.clear();
    dropped_before_ = revision_;
    ++starts_;
    down_until_ms_ = NowMs() + down_ms;
  }

  // Empty when the watch is broken off.
  asio::awaitable<std::optional<HttpResponse>> Watch(
      const HttpRequest& request) {
    const Place place = PlaceOf(request.path);
    const uint64_t since = std::stoull(request.Query("watch"));
    const int64_t begin = NowMs();
    const int64_t end = begin + std::stoll(request.Query("wait_ms", "0"));
    const uint64_t start = starts_;
    for (;;) {
      if (start != starts_) co_return std::nullopt;
      const int64_t cut_ms = switches_.Number("cut_watch_ms");
      if (cut_ms > 0 && NowMs() >= begin + cut_ms) co_return std::nullopt;
      if (switches_.On("hang_watches")) {
        co_await Sleep(kSilenceMs);
        co_return std::nullopt;
      }
      if (since < dropped_before_) co_return HttpResponse{.status = 410};
      json::array events;
      for (const Change& change : history_) {
        if (change.revision <= since || change.kind != place.kind) continue;
        events.push_back(
            {{"object", change.object}, {"deleted", change.deleted}});
      }
      if (!events.empty() || NowMs() >= end || switches_.On("down")) {
        HttpResponse answer;
        answer.body = json::serialize(
            json::object{{"events", events}, {"store_revision", revision_}});
        co_return answer;
      }
      co_await Sleep(kWatchPollMs);
    }
  }

  HttpResponse Write(const HttpRequest& request) {
    Place place = PlaceOf(request.path);
    Kind& kind = kinds_[place.kind];
    json::object body;
    if (!request.body.empty()) body = json::parse(request.body).as_object();
    const json::value* metadata = body.if_contains("metadata");
    if (request.method == "POST") {
      place.name = std::string(metadata->at("name").as_string());
      if (kind.contains(place.name))
        return {.status = 409, .body = json::serialize(kind[place.name])};
      return Put(place, kind, body, 0);
    }
    const auto held = kind.find(place.name);
    if (held == kind.end()) return {.status = 404};
    const auto* wanted = metadata == nullptr
                             ? nullptr
                             : metadata->as_object().if_contains("revision");
    const uint64_t at =
        held->second.at("metadata").at("revision").to_number<uint64_t>();
    if (wanted != nullptr && wanted->to_number<uint64_t>() != at)
      return {.status = 409, .body = json::serialize(held->second)};
    if (request.method == "DELETE") {
      Record(place.kind, held->second, true);
      kind.erase(held);
      return {};
    }
    return Put(place, kind, body, at);
  }

  HttpResponse Put(const Place& place, Kind& kind, const json::object& body,
                   uint64_t at) {
    json::value& object = kind[place.name];
    if (at == 0)
      object = {{"metadata", {{"name", place.name}}},
                {"spec", nullptr},
                {"status", nullptr}};
    const char* part = place.status ? "status" : "spec";
    const json::value next =
        body.contains(part) ? body.at(part) : json::value(nullptr);
    // A write that changes nothing is no change.
    if (at != 0 && object.at(part) == next)
      return {.body = json::serialize(object)};
    object.as_object()[part] = next;
    object.at("metadata").as_object()["revision"] = revision_ + 1;
    Record(place.kind, object, false);
    return {.body = json::serialize(object)};
  }

  void Record(const std::string& kind, const json::value& object,
              bool deleted) {
    history_.push_back({++revision_, kind, object, deleted});
  }

  standin::Switches& switches_;
  std::map<std::string, Kind> kinds_;
  std::deque<Change> history_;
  uint64_t revision_ = 1;
  uint64_t dropped_before_ = 0;
  // Number of restarts, and until when calls are broken off after the last one.
  uint64_t starts_ = 0;
  int64_t down_until_ms_ = 0;
  uint64_t calls_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  standin::Switches switches({});
  ObjectStore store(switches);
  return standin::Main(
      argc, argv, "standin-object-store", switches, [&](asio::io_context&) {
        return [&](const HttpRequest& request, HttpResponder& responder) {
          return store.Handle(request, responder);
        };
      });
}
