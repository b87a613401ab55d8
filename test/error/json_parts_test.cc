// Splitting JSON text whose parts cannot all be parsed.
#include "platform/json_parts.h"

#include <doctest/doctest.h>

#include <string>

namespace pimento::platform {
namespace {

using Parts = std::vector<std::string_view>;
using Members = std::vector<std::pair<std::string_view, std::string_view>>;

}  // namespace

TEST_CASE("arrays and objects are split at their own commas only") {
  CHECK(SplitArray("[]") == Parts{});
  CHECK(SplitArray(" [ 1 , \"a,]\" ,\n[2,3], {\"k\":[4]} ] ") ==
        Parts{"1", "\"a,]\"", "[2,3]", "{\"k\":[4]}"});
  CHECK(SplitObject("{}") == Members{});
  CHECK(SplitObject(R"( {"a" : 1, "b:,}":{"c":2}, "d":":"} )") ==
        Members{{"a", "1"}, {"b:,}", R"({"c":2})"}, {"d", "\":\""}});
}

TEST_CASE("a part that cannot be read does not hide the others") {
  // A quotation mark and a backslash behind a backslash, bytes that are no
  // text, surrogates without their partners, more levels than any parser takes.
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& part :
       {std::string(R"("a\"],\\")"), std::string("\"\xff\xfe\x80\""),
        std::string(R"("\udcff\udcfe")"), deep}) {
    const std::string array = "[1," + part + ",2]";
    CHECK(SplitArray(array) == Parts{"1", part, "2"});
    const std::string object = "{\"spec\":" + part + ",\"status\":null}";
    CHECK(SplitObject(object) == Members{{"spec", part}, {"status", "null"}});
  }
}

TEST_CASE("text that is no whole array or object is not split") {
  for (const char* text : {"", "[", "]", "[1", "1]", "[\"a]", "[[1]", "[1]]",
                           "[1]}", "{\"a\":1]", "{}", "null"}) {
    CAPTURE(text);
    CHECK_FALSE(SplitArray(text));
  }
  for (const char* text :
       {"", "{", "}", "{\"a\"}", "{a:1}", "{\"a:1}", "{\"a\":1}}", "[]"}) {
    CAPTURE(text);
    CHECK_FALSE(SplitObject(text));
  }
}

}  // namespace pimento::platform
