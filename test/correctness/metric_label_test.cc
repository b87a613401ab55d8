// Labels of metrics whose values others chose.
#include <doctest/doctest.h>

#include <string>

#include "src/metrics.h"

namespace pimento {

// A quotation mark or a line break in a name made the page of metrics
// unreadable as a whole.
TEST_CASE("labels of metrics are escaped") {
  CHECK(MetricLabel("plain-1 %zz") == "plain-1 %zz");
  CHECK(MetricLabel("a\"b") == "a\\\"b");
  CHECK(MetricLabel("a\nb") == "a\\nb");
  CHECK(MetricLabel("a\\b") == "a\\\\b");
  CHECK(MetricLabel("\\\"\n") == "\\\\\\\"\\n");
}

}  // namespace pimento
