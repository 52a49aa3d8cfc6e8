#include "Common/Common.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

struct EndpointCase {
  const char *Text;
  bool AllowPortZero;
  bool Valid;
};

class EndpointTest : public testing::TestWithParam<EndpointCase> {};

// Guards against a parser that accepts endpoints with missing parts, numbers
// out of range or trailing characters.
TEST_P(EndpointTest, ParsesValidAndRejectsInvalidText) {
  const EndpointCase &it = GetParam();
  const auto endpoint = parseEndpoint(it.Text, it.AllowPortZero);
  ASSERT_EQ(endpoint.ok(), it.Valid) << it.Text;
  if (it.Valid) {
    EXPECT_EQ(toString(*endpoint), it.Text);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, EndpointTest,
    testing::Values(EndpointCase{"127.0.0.1:80", false, true},
                    EndpointCase{"255.255.255.255:65535", false, true},
                    EndpointCase{"127.0.0.1:0", true, true},
                    EndpointCase{"127.0.0.1:0", false, false},
                    EndpointCase{"127.0.0.1", false, false},
                    EndpointCase{"", false, false},
                    EndpointCase{"127.0.0:80", false, false},
                    EndpointCase{"127.0.0.256:80", false, false},
                    EndpointCase{"127.0.0.1:65536", false, false},
                    EndpointCase{"127.0.0.1:80 ", false, false},
                    EndpointCase{"127.0.0.1:-1", false, false},
                    EndpointCase{"host:80", false, false}));

} // namespace
} // namespace pistachio
