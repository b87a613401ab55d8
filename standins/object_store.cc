// Stand-in for the metadata store of the users' platform: objects by kind and
// name, lists in pages, conditional writes, watches, history that is dropped,
// lost answers. Names may be any bytes. Targets are decoded as servers do it,
// with a plus sign in the query as a blank; one that is no valid target is
// answered 400.
//
// Switches: down, silent, slow_ms, lose_answers (count of writes whose answer
// is lost after they took effect), lose_before (count of writes that are done
// `late_ms` after their answer was lost), cut_watch_ms (a watch that has waited
// for so long is broken off), hang_watches (watches that wait now are never
// answered, not even after the switch is off), page_items (objects in a page of
// a list, 500 if not set). POST /compact drops the history; POST
// /raw?kind=K&name=N puts an object whose text is the body, as it is; POST
// /refuse?name=N has writes to objects of that name answered 403; POST
// /restart also breaks off what waits, and all calls for the next
// `down_ms`; GET /calls counts calls.
#include <algorithm>
#include <boost/url.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "src/worker_thread.h"
#include "standins/standin_main.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace urls = boost::urls;
using namespace pimento;

constexpr int64_t kSilenceMs = 30'000;
constexpr int64_t kWatchPollMs = 10;
constexpr int64_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
// Steps of the path before an object's kind.
constexpr const char* kRoot[] = {"-", "objects"};

struct Object {
  json::value value;
  // Replaces the value's text when it is not empty.
  std::string raw = {};
  std::string Text() const {
    return raw.empty() ? json::serialize(value) : raw;
  }
};

struct Change {
  uint64_t revision = 0;
  std::string kind;
  std::string text;
  bool deleted = false;
};

// The parts of a target, decoded.
struct Target {
  std::string kind;
  std::string name;
  bool status = false;
  std::map<std::string, std::string> query;

  std::string Query(const std::string& key,
                    const std::string& fallback = "") const {
    const auto it = query.find(key);
    return it == query.end() ? fallback : it->second;
  }
};

// Empty for what is no target of an object.
std::optional<Target> ParseTarget(const std::string& text) {
  const auto parsed = urls::parse_origin_form(text);
  if (!parsed) return std::nullopt;
  Target target;
  size_t step = 0;
  for (const std::string segment : parsed->segments()) {
    const size_t at = step++;
    if (at < std::size(kRoot)) {
      if (segment != kRoot[at]) return std::nullopt;
    } else if (at == std::size(kRoot)) {
      target.kind = segment;
    } else if (at == std::size(kRoot) + 1) {
      target.name = segment;
    } else if (segment == "status" && !target.status) {
      target.status = true;
    } else {
      return std::nullopt;
    }
  }
  if (target.kind.empty()) return std::nullopt;
  for (const auto param : parsed->params())
    target.query[param.key] = param.value;
  return target;
}

// Text that may hold bytes that are no text.
json::value ParseLoosely(const std::string& text) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return json::parse(text, {}, options);
}

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
    if (request.path == "/raw") {
      PutRaw(request);
      HttpResponse answer{.body = "{}"};
      co_await responder.Send(answer);
      co_return;
    }
    if (request.path == "/refuse") {
      refused_names_.insert(request.Query("name"));
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
    const auto target = ParseTarget(request.target);
    if (!target) {
      answer.status = 400;
    } else if (!target->Query("watch").empty()) {
      auto changes = co_await Watch(*target);
      if (!changes) {
        responder.Abort();
        co_return;
      }
      answer = std::move(*changes);
    } else if (request.method == "GET") {
      answer = Read(*target);
    } else {
      if (switches_.Take("lose_before")) {
        responder.Abort();
        co_await Sleep(switches_.Number("late_ms"));
        Write(*target, request);
        co_return;
      }
      answer = Write(*target, request);
      if (switches_.Take("lose_answers")) {
        responder.Abort();
        co_return;
      }
    }
    co_await responder.Send(answer);
  }

 private:
  using Kind = std::map<std::string, Object>;

  HttpResponse Read(const Target& target) {
    const Kind& kind = kinds_[target.kind];
    if (target.name.empty()) return List(kind, target.Query("after"));
    const auto it = kind.find(target.name);
    if (it == kind.end()) return {.status = 404};
    return {.body = it->second.Text()};
  }

  // A page has the objects whose names come after `after`.
  HttpResponse List(const Kind& kind, const std::string& after) const {
    const int64_t set = switches_.Number("page_items");
    const auto max_items = static_cast<size_t>(set > 0 ? set : kPageItems);
    std::string items;
    size_t count = 0;
    auto it = after.empty() ? kind.begin() : kind.upper_bound(after);
    for (; it != kind.end() && count < max_items; ++it, ++count) {
      const std::string text = it->second.Text();
      if (count > 0 && items.size() + text.size() > kPageBytes) break;
      items += (count > 0 ? "," : "") + text;
    }
    return {.body = "{\"items\":[" + items +
                    "],\"more\":" + (it != kind.end() ? "true" : "false") +
                    ",\"store_revision\":" + std::to_string(revision_) + "}"};
  }

  void PutRaw(const HttpRequest& request) {
    const std::string kind = request.Query("kind");
    const std::string name = request.Query("name");
    Object& object = kinds_[kind][name];
    object.value = {{"metadata", {{"name", name}, {"revision", revision_ + 1}}},
                    {"spec", nullptr},
                    {"status", nullptr}};
    object.raw = request.body;
    Record(kind, object, false);
  }

  void Restart(int64_t down_ms) {
    history_.clear();
    dropped_before_ = revision_;
    ++starts_;
    down_until_ms_ = NowMs() + down_ms;
  }

  // Empty when the watch is broken off.
  asio::awaitable<std::optional<HttpResponse>> Watch(Target target) {
    const uint64_t since = std::stoull(target.Query("watch"));
    const int64_t begin = NowMs();
    const int64_t end = begin + std::stoll(target.Query("wait_ms", "0"));
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
      std::string events;
      for (const Change& change : history_) {
        if (change.revision <= since || change.kind != target.kind) continue;
        events +=
            (events.empty() ? "{\"object\":" : ",{\"object\":") + change.text +
            (change.deleted ? ",\"deleted\":true}" : ",\"deleted\":false}");
      }
      if (!events.empty() || NowMs() >= end || switches_.On("down")) {
        HttpResponse answer;
        answer.body = "{\"events\":[" + events +
                      "],\"store_revision\":" + std::to_string(revision_) + "}";
        co_return answer;
      }
      co_await Sleep(kWatchPollMs);
    }
  }

  HttpResponse Write(Target target, const HttpRequest& request) {
    Kind& kind = kinds_[target.kind];
    json::object body;
    if (!request.body.empty()) body = ParseLoosely(request.body).as_object();
    const json::value* metadata = body.if_contains("metadata");
    if (request.method == "POST") {
      target.name = std::string(metadata->at("name").as_string());
      const auto held = kind.find(target.name);
      if (held != kind.end())
        return {.status = 409, .body = held->second.Text()};
      return Put(target, kind, body, 0);
    }
    if (refused_names_.count(target.name) > 0) return {.status = 403};
    const auto held = kind.find(target.name);
    if (held == kind.end()) return {.status = 404};
    const auto* wanted = metadata == nullptr
                             ? nullptr
                             : metadata->as_object().if_contains("revision");
    const uint64_t at =
        held->second.value.at("metadata").at("revision").to_number<uint64_t>();
    if (wanted != nullptr && wanted->to_number<uint64_t>() != at)
      return {.status = 409, .body = held->second.Text()};
    if (request.method == "DELETE") {
      Record(target.kind, held->second, true);
      kind.erase(held);
      return {};
    }
    return Put(target, kind, body, at);
  }

  HttpResponse Put(const Target& target, Kind& kind, const json::object& body,
                   uint64_t at) {
    Object& object = kind[target.name];
    json::value& value = object.value;
    if (at == 0)
      value = {{"metadata", {{"name", target.name}}},
               {"spec", nullptr},
               {"status", nullptr}};
    const char* part = target.status ? "status" : "spec";
    const json::value next =
        body.contains(part) ? body.at(part) : json::value(nullptr);
    // A write that changes nothing is no change.
    if (at != 0 && value.at(part) == next) return {.body = object.Text()};
    value.as_object()[part] = next;
    value.at("metadata").as_object()["revision"] = revision_ + 1;
    object.raw.clear();
    Record(target.kind, object, false);
    return {.body = object.Text()};
  }

  void Record(const std::string& kind, const Object& object, bool deleted) {
    history_.push_back({++revision_, kind, object.Text(), deleted});
  }

  standin::Switches& switches_;
  std::map<std::string, Kind> kinds_;
  // Names of objects that are not written.
  std::set<std::string> refused_names_;
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
