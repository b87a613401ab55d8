// Errors in documents and settings: each message names the file, line, section
// and key, and the values that are allowed.
#include <doctest/doctest.h>

#include <string>

#include "src/document.h"
#include "src/errors.h"
#include "src/settings.h"

namespace pimento {
namespace {

std::string ErrorOf(const std::string& text) {
  try {
    Document::Parse(text, "d.ini");
  } catch (const UserError& e) {
    return e.what();
  }
  return "";
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string kHead = "[environment]\nname = trial\n";

}  // namespace

TEST_CASE("the error for an unknown section lists the allowed sections") {
  const std::string error = ErrorOf(kHead + "[teem a]\nrate = 1/s\n");
  CHECK(Has(error, "d.ini:3: [teem a]"));
  CHECK(Has(error, "[team NAME]"));
}

TEST_CASE("the error for an unknown key lists the allowed keys") {
  const std::string error =
      ErrorOf(kHead + "[team a]\nrate = 1/s\nburst = 1\nbursts = 2\n");
  CHECK(Has(error, "d.ini:6: [team a] bursts"));
  CHECK(Has(error, "allowed are rate, burst"));
}

TEST_CASE("the error for a bad unit names the value and the expected form") {
  const std::string error = ErrorOf(kHead + "[team a]\nrate = 20\nburst = 1\n");
  CHECK(Has(error, "d.ini:4: [team a] rate: The value \"20\""));
  CHECK(Has(error, "20/s"));
}

TEST_CASE("the error for a value out of range names the range") {
  const std::string error =
      ErrorOf(kHead + "[team a]\nrate = 20/s\nburst = 0\n");
  CHECK(Has(error, "d.ini:5: [team a] burst"));
  CHECK(Has(error, "from 1 to 1000000"));
}

TEST_CASE("a missing key and a missing section are named") {
  CHECK(Has(ErrorOf(kHead + "[team a]\nburst = 1\n"),
            "[team a] rate: This key is missing."));
  CHECK(Has(ErrorOf("[zone z]\n"), "[environment] This section is missing."));
}

TEST_CASE("a duplicate key is refused with its line") {
  const std::string error =
      ErrorOf(kHead + "[team a]\nrate = 1/s\nrate = 2/s\nburst = 1\n");
  CHECK(Has(error, "d.ini:5:"));
  CHECK(Has(error, "duplicate"));
}

TEST_CASE("undeclared services and zones are named") {
  const std::string error = ErrorOf(
      kHead +
      "[team a]\nrate = 1/s\nburst = 1\nservices = nothing\n"
      "[upstream e]\nservice = chat\naddress = 127.0.0.1:1\nzone = z9\n");
  CHECK(Has(error, "The service \"nothing\" is not declared."));
  CHECK(Has(error, "The service \"chat\" is not declared."));
  CHECK(Has(error, "The zone \"z9\" is not declared."));
}

TEST_CASE("a key of two teams and a plain-text key are refused") {
  const std::string digest = KeyDigest("k");
  const std::string team = "]\nrate = 1/s\nburst = 1\nkeys = ";
  CHECK(Has(ErrorOf(kHead + "[team a" + team + digest + "\n[team b" + team +
                    digest + "\n"),
            "belongs to the team \"a\" already"));
  CHECK(Has(ErrorOf(kHead + "[team a" + team + "my-secret\n"),
            "expected a SHA-256 digest"));
}

TEST_CASE("all faults of a document are reported at once") {
  const std::string error =
      ErrorOf(kHead + "[team a]\nrate = x\nburst = y\nweight = z\n");
  CHECK(Has(error, "[team a] rate"));
  CHECK(Has(error, "[team a] burst"));
  CHECK(Has(error, "[team a] weight"));
}

TEST_CASE("settings that cannot be read throw UserError") {
  CHECK_THROWS_AS(ReadEntrySettings("no-such-file.ini"), UserError);
  CHECK_THROWS_AS(ReadSchedulerSettings("no-such-file.ini"), UserError);
}

}  // namespace pimento
