// Decoding of input from the platform, callers and upstreams, and rejection of
// invalid input.
#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "platform/boot_settings.h"
#include "platform/call_codec.h"
#include "platform/object_codec.h"
#include "src/event_splitter.h"

namespace {

using namespace pimento;
namespace http = boost::beast::http;

platform::RequestHeader Header(
    const std::vector<std::pair<std::string, std::string>>& fields) {
  platform::RequestHeader header;
  header.method(http::verb::post);
  header.target("/a/b?c=d");
  header.set(http::field::host, "x.example");
  for (const auto& [name, value] : fields) header.insert(name, value);
  return header;
}

boost::json::object UpstreamSpec() {
  return {{"service", "talk"}, {"addr", "10.0.0.9:80"}, {"zone", "a"},
          {"version", "v1"},   {"slots", 16},           {"state", "ready"},
          {"cold_left_ms", 0}, {"sequence", 4},         {"born", 77}};
}

constexpr const char* kSettings =
    "node=front-a-1\nip=10.1.0.11\nzone=a\nport_range=7780,7795\n"
    "platform.addr=10.200.1.7:8362\nlisten.front=10.1.0.11:8368\n"
    "bounds.grace_s=8\nbounds.cold_over=1.5\nnew.field=anything\n";

}  // namespace

TEST_CASE("a turn's headers become typed fields") {
  const auto head = platform::DecodeCall(
      Header({{"X-Pimentopulley-Request-Id", "e5b2"},
              {"X-Pimentopulley-Program-Id", "3fa8"},
              {"X-Pimentopulley-Token-Budget", "2304"},
              {"X-Pimentopulley-Token-Count", "1840,288"},
              {"X-Pimentopulley-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
              {"X-Pimentopulley-Deadline-Ms", "3000"},
              {"Authorization", "Token secret"}}));
  CHECK(head.request_id == "e5b2");
  CHECK(head.path == "/a/b");
  CHECK(head.key == "secret");
  CHECK(head.token_budget == 2304);
  CHECK(head.max_output_tokens == 288);
  CHECK(head.deadline_ms == 3000);
  REQUIRE(head.prompt.size() == 2);
  CHECK(head.prompt[0].id == 0x5c1e07a2);
  CHECK(head.prompt[1].tokens == 410);
  CHECK_FALSE(head.program_left_ms);
}

TEST_CASE("a negative, missing or malformed number in a header is rejected") {
  using Case = std::pair<std::string, std::string>;
  for (const Case& bad : std::vector<Case>{
           {"X-Pimentopulley-Deadline-Ms", "-1"},
           {"X-Pimentopulley-Deadline-Ms", "12x"},
           {"X-Pimentopulley-Deadline-Ms", "99999999999999999999"},
           {"X-Pimentopulley-Token-Budget", "-5"},
           {"X-Pimentopulley-Token-Budget", "1.5"},
           {"X-Pimentopulley-Finish-Ms", "soon"},
           {"X-Pimentopulley-Token-Count", "12"},
           {"X-Pimentopulley-Token-Count", "12,"},
           {"X-Pimentopulley-Token-Count", "-1,4"},
           {"X-Pimentopulley-Prompt-Prefix", "xyz:4"},
           {"X-Pimentopulley-Prompt-Prefix", "ab"},
           {"X-Pimentopulley-Prompt-Prefix", "ab:-4"}}) {
    CAPTURE(bad.first);
    CAPTURE(bad.second);
    CHECK_THROWS_AS(platform::DecodeCall(Header({bad})), platform::HeaderError);
  }
}

TEST_CASE("absurd sizes of a caller's prompt do not overflow sums") {
  platform::RequestHeader header;
  header.set("X-Pimentopulley-Token-Count", "9223372036854775807,5");
  header.set("X-Pimentopulley-Prompt-Prefix",
             "1:9223372036854775807,2:9223372036854775807");
  header.set("X-Pimentopulley-Finish-Ms", "9223372036854775807");
  const CallHead head = platform::DecodeCall(header);
  constexpr int64_t kMost = 1'000'000'000;
  CHECK(*head.prompt_tokens <= kMost);
  CHECK(*head.program_left_ms <= kMost);
  int64_t tokens = 0;
  for (const PromptPart& part : head.prompt) tokens += part.tokens;
  CHECK(tokens > 0);
  CHECK(tokens <= kMost);
}

TEST_CASE("a caller's key and system headers are not forwarded to upstreams") {
  const auto in = Header({{"Authorization", "Token secret"},
                          {"X-Pimentopulley-Tenant", "forged"},
                          {"X-Pimentopulley-Expect-Instance", "forged"},
                          {"X-Pimentopulley-Expect-Version", "9"},
                          {"X-Pimentopulley-Pin-Ms", "4000"},
                          {"X-Pimentopulley-Kv-Hold", "h"},
                          {"X-Pimentopulley-Kv-Backup", "10.0.0.1:1"},
                          {"Kv-From", "10.0.0.1:1/h"},
                          {"Kv-Fetch", "10.0.0.1:1"},
                          {"X-Pimentopulley-Deadline-Ms", "3000"},
                          {"Connection", "close, X-Hop"},
                          {"X-Hop", "1"},
                          {"Transfer-Encoding", "chunked"},
                          {"X-Other", "kept"},
                          {"X-Other", "twice"}});
  const auto out = platform::HeaderForUpstream(
      in, {.upstream_id = "i-7", .team = "", .deadline_left_ms = 120});
  for (const char* gone :
       {"Authorization", "X-Pimentopulley-Tenant",
        "X-Pimentopulley-Expect-Version", "X-Pimentopulley-Pin-Ms",
        "X-Pimentopulley-Kv-Hold", "X-Pimentopulley-Kv-Backup", "Kv-From",
        "Kv-Fetch", "Connection", "X-Hop", "Transfer-Encoding"}) {
    CAPTURE(gone);
    CHECK(out.count(gone) == 0);
  }
  CHECK(out["X-Pimentopulley-Expect-Instance"] == "i-7");
  CHECK(out["X-Pimentopulley-Deadline-Ms"] == "120");
  CHECK(out.count("X-Other") == 2);
  CHECK(out.target() == "/a/b?c=d");
  const auto with_team = platform::HeaderForUpstream(
      in, {.upstream_id = "i-7", .team = "quilters", .last_event_id = "12"});
  CHECK(with_team["X-Pimentopulley-Tenant"] == "quilters");
  CHECK(with_team["Last-Event-Id"] == "12");
}

TEST_CASE("an incomplete or invalid upstream entry is ignored") {
  CHECK(platform::DecodeUpstream("i-1", UpstreamSpec()));
  CHECK(platform::DecodeUpstream("i-1", UpstreamSpec())->started_at_ms == 77);
  for (const char* key : {"service", "addr", "zone", "version", "slots",
                          "state", "cold_left_ms", "sequence"}) {
    CAPTURE(key);
    auto missing = UpstreamSpec();
    missing.erase(key);
    CHECK_FALSE(platform::DecodeUpstream("i-1", missing));
    auto other_type = UpstreamSpec();
    other_type[key] = boost::json::array{1};
    CHECK_FALSE(platform::DecodeUpstream("i-1", other_type));
  }
  auto unknown = UpstreamSpec();
  unknown["state"] = "dancing";
  CHECK_FALSE(platform::DecodeUpstream("i-1", unknown));
  auto none = UpstreamSpec();
  none["slots"] = 0;
  CHECK_FALSE(platform::DecodeUpstream("i-1", none));
  CHECK_FALSE(platform::DecodeUpstream("i-1", boost::json::value("bytes")));
  CHECK_FALSE(platform::DecodeUpstream("i-1", nullptr));
}

// The id goes into a header field of each request: a line break in it added
// fields of another writer's choice.
TEST_CASE("an upstream whose id breaks a header field is ignored") {
  const std::string with_zero("i\0", 2);
  for (const std::string& id :
       {std::string("i\r\nX-Other: 1"), std::string("i\n"), std::string("\r"),
        std::string("i\t1"), with_zero, std::string("i\x7f")}) {
    CAPTURE(id);
    CHECK_FALSE(platform::DecodeUpstream(id, UpstreamSpec()));
  }
  for (const std::string id : {"a00%", "a02&b=", "a07 z", "a15\xC3\xA9s"})
    CHECK(platform::DecodeUpstream(id, UpstreamSpec()));
}

// The conversion was undefined, or ended the watch with an error of another
// type.
TEST_CASE("numbers of entries that no integer holds are bounded") {
  auto spec = UpstreamSpec();
  spec["slots"] = 1e300;
  spec["cold_left_ms"] = -1e300;
  const auto entry = platform::DecodeUpstream("i-1", spec);
  REQUIRE(entry);
  CHECK(entry->slots == int64_t{1} << 53);
  CHECK(entry->cold_left_ms == -(int64_t{1} << 53));
  for (const char* version : {"1.5", "1e300", "18446744073709551615"}) {
    CAPTURE(version);
    const auto state =
        boost::json::parse(std::string("{\"version\":") + version + "}");
    CHECK_THROWS_AS(platform::DecodeDesiredState(state), StateError);
  }
}

TEST_CASE("the longest path prefix wins, and a split follows its weights") {
  const auto parts = platform::DecodeDesiredState(boost::json::parse(R"({
    "version": 7,
    "routes": [
      {"name":"short","host":"x.example","path_prefix":"/a/","kind":"idempotent","service":"s"},
      {"name":"long","host":"x.example","path_prefix":"/a/b/","kind":"streaming",
       "split":[{"service":"s","weight":90},{"service":"t","weight":10}],
       "keep_context":true,"can_resume":true,"retain_s":60.0,"timeout_ms":3000},
      {"name":"odd","host":"x.example","path_prefix":"/odd/","kind":"unheard","service":"s"}],
    "services": [{"name":"s","cold_per_s":52.0,"engine":{"chunk_tokens":12}}],
    "tenants": [{"name":"q","api_keys":["k1","k2"],"rate_per_s":272,"burst":27,"priority":1}],
    "limits": {"max_header_bytes":16384,"max_body_bytes":100}})"));
  const DesiredState state(parts);
  CHECK(state.FindRoute("x.example:80", "/a/b/c")->name == "long");
  CHECK(state.FindRoute("x.example", "/a/c")->name == "short");
  CHECK(state.FindRoute("x.example", "/b") == nullptr);
  CHECK(state.FindRoute("y.example", "/a/") == nullptr);
  const Route& split = *state.FindRoute("x.example", "/a/b/");
  CHECK(PickService(split, 0.89) == "s");
  CHECK(PickService(split, 0.91) == "t");
  CHECK(split.keeps_history);
  // An unknown kind must not be retried: it may not be idempotent.
  CHECK(state.FindRoute("x.example", "/odd/")->kind ==
        RouteKind::kNonIdempotent);
  CHECK(state.TeamOfKey("k2")->name == "q");
  CHECK(state.TeamOfKey("k3") == nullptr);
  CHECK(state.FindService("s")->tokens_per_event == 12);
  CHECK(state.limits().body_bytes == 100);
  CHECK_THROWS_AS(platform::DecodeDesiredState(boost::json::object{}),
                  StateError);
}

TEST_CASE("settings errors name the file, key, value and what is allowed") {
  const auto settings = platform::ParseBootSettings(kSettings, "boot.conf");
  CHECK(settings.host == "front-a-1");
  CHECK(settings.first_port == 7780);
  CHECK(settings.grace_ms == 8'000);
  CHECK_FALSE(settings.first_start);
  const std::string text = kSettings;
  using Case = std::pair<std::string, std::string>;
  for (const auto& [bad, named] :
       std::vector<Case>{{text + "bounds.revoke_ms=soon\n", "bounds.revoke_ms"},
                         {text + "bounds.revoke_ms=-4\n", "\"-4\""},
                         {text + "bootstrap=maybe\n", "bootstrap"},
                         {text + "port_range=9,7\n", "port_range"},
                         {text + "no equals sign\n", "no equals sign"},
                         {"node=a\n", "ip"}}) {
    CAPTURE(named);
    try {
      platform::ParseBootSettings(bad, "boot.conf");
      FAIL("accepted");
    } catch (const UserError& e) {
      const std::string message = e.what();
      CHECK(message.find("boot.conf") != std::string::npos);
      CHECK(message.find(named) != std::string::npos);
    }
  }
}

TEST_CASE("a stream is split into whole events, whatever pieces it comes in") {
  const std::string text =
      "id: 1\ndata: ab\n\nx-versions: 3\nid: 2\ndata: c\ndata:d\n\nid: 3\nda";
  for (size_t step = 1; step <= text.size(); ++step) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (size_t at = 0; at < text.size(); at += step) {
      for (auto& event : splitter.Feed(text.substr(at, step)))
        events.push_back(std::move(event));
    }
    CAPTURE(step);
    REQUIRE(events.size() == 2);
    CHECK(events[0].raw == "id: 1\ndata: ab\n\n");
    CHECK(events[0].data == "ab");
    CHECK(events[1].id == "2");
    CHECK(events[1].data == "c\nd");
    CHECK(splitter.partial());
  }
}

TEST_CASE("an upstream leaves only where its answer says exactly so") {
  platform::ResponseHeader header;
  header.result(200);
  CHECK_FALSE(platform::DecodeResponse(header).leaving);
  header.set("Server-Leaving", "1");
  CHECK(platform::DecodeResponse(header).leaving);
  for (const std::string value : {"0", "", "1, 1", "yes", "11"}) {
    CAPTURE(value);
    header.set("Server-Leaving", value);
    CHECK_FALSE(platform::DecodeResponse(header).leaving);
  }
}
