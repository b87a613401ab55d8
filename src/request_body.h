// Reads the fields of a caller's JSON body, each with its bounds. What is wrong
// is a Refusal(kBadRequest) that names the field.
//
//   const RequestBody body(request.body);
//   body.OnlyFields({"sequence", "input"});
//   const uint64_t sequence = body.Number("sequence", std::nullopt, 1,
//   1'000'000);
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
  // An empty text stands for an object without fields.
  explicit RequestBody(const std::string& text);

  std::string Text(const char* field, bool required) const;
  // Without `fallback` the field is required.
  uint64_t Number(const char* field, std::optional<uint64_t> fallback,
                  uint64_t least, uint64_t most) const;
  // False when absent.
  bool Flag(const char* field) const;
  // Without fields when absent.
  RequestBody Object(const char* field) const;
  void OnlyFields(std::initializer_list<const char*> allowed) const;

 private:
  explicit RequestBody(boost::json::object object);

  boost::json::object object_;
};

Refusal BadField(const std::string& field, const std::string& what);

}  // namespace pimento
