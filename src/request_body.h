// Reads and validates the fields of a JSON request body.
//
// An invalid field throws Refusal(kBadRequest) with a message that names it.
//
//   const RequestBody body(request.body);
//   body.RequireOnlyFields({"sequence", "input"});
//   const uint64_t sequence =
//       body.Number("sequence", std::nullopt, 1, 1'000'000);
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>

#include "src/reason.h"

namespace pimento {

class RequestBody {
 public:
  // Parses `text`; an empty text counts as an object without fields. Throws
  // Refusal(kBadRequest) when it is not a JSON object.
  explicit RequestBody(const std::string& text);

  // Returns "" for an optional field that is absent.
  std::string Text(const char* field, bool required) const;
  // Returns a whole number from `min` to `max`. An absent field yields
  // `fallback`; without a fallback the field is required.
  uint64_t Number(const char* field, std::optional<uint64_t> fallback,
                  uint64_t min, uint64_t max) const;
  // Returns false when the field is absent.
  bool Flag(const char* field) const;
  // Returns an object without fields when the field is absent.
  RequestBody Object(const char* field) const;
  // Throws when the body has a field that is not in `allowed`.
  void RequireOnlyFields(std::initializer_list<const char*> allowed) const;

 private:
  explicit RequestBody(boost::json::object object);

  boost::json::object object_;
};

// Returns a Refusal(kBadRequest) with the message `The field "FIELD" WHAT.`
Refusal BadField(const std::string& field, const std::string& what);

}  // namespace pimento
