#include "src/request_body.h"

#include <algorithm>
#include <utility>

namespace pimento {
namespace {

namespace json = boost::json;

}  // namespace

Refusal BadField(const std::string& field, const std::string& what) {
  return {Reason::kBadRequest, RunState::kNotRun,
          "The field \"" + field + "\" " + what + "."};
}

RequestBody::RequestBody(json::object object) : object_(std::move(object)) {}

RequestBody::RequestBody(const std::string& text) {
  if (text.empty()) return;
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_object()) {
    throw Refusal(Reason::kBadRequest, RunState::kNotRun,
                  "The body is not a JSON object.");
  }
  object_ = parsed.as_object();
}

std::string RequestBody::Text(const char* field, bool required) const {
  const json::value* value = object_.if_contains(field);
  if (value == nullptr) {
    if (required) throw BadField(field, "is missing");
    return "";
  }
  if (!value->is_string()) throw BadField(field, "must be a string");
  std::string text(value->as_string());
  // RPC messages terminate their strings with this byte.
  if (text.find('\0') != std::string::npos) {
    throw BadField(field, "must not contain U+0000");
  }
  return text;
}

uint64_t RequestBody::Number(const char* field,
                             std::optional<uint64_t> fallback, uint64_t min,
                             uint64_t max) const {
  const json::value* value = object_.if_contains(field);
  if (value == nullptr) {
    if (!fallback) throw BadField(field, "is missing");
    return *fallback;
  }
  boost::system::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  if (error || number < min || number > max) {
    throw BadField(field, "must be a whole number from " + std::to_string(min) +
                              " to " + std::to_string(max));
  }
  return number;
}

bool RequestBody::Flag(const char* field) const {
  const json::value* value = object_.if_contains(field);
  if (value == nullptr) return false;
  if (!value->is_bool()) throw BadField(field, "must be true or false");
  return value->as_bool();
}

RequestBody RequestBody::Object(const char* field) const {
  const json::value* value = object_.if_contains(field);
  if (value == nullptr) return RequestBody(json::object{});
  if (!value->is_object()) throw BadField(field, "must be an object");
  return RequestBody(value->as_object());
}

void RequestBody::RequireOnlyFields(
    std::initializer_list<const char*> allowed) const {
  for (const json::key_value_pair& field : object_) {
    const bool known =
        std::any_of(allowed.begin(), allowed.end(),
                    [&](const char* name) { return field.key() == name; });
    if (!known) throw BadField(field.key(), "is not known");
  }
}

}  // namespace pimento
