#include "runtime/net/endpoint.h"

#include <gtest/gtest.h>

using namespace auburnspread;

TEST(EndpointTests, addressesSurviveTheWayThroughASocketAddress)
{
    for (const auto *text : { "127.0.0.1:8080", "[::1]:65535", "0.0.0.0:0", "[fe80::1:2]:1" }) {
        const auto endpoint = net::parseEndpoint(text);
        ASSERT_TRUE(endpoint) << text;
        EXPECT_EQ(net::formatAddress(net::toSocketAddress(*endpoint).get()), text);
    }
}

TEST(EndpointTests, anythingElseIsRejected)
{
    for (const auto *text : { "",
                              ":",
                              "127.0.0.1",
                              "127.0.0.1:",
                              "127.0.0.1:65536",
                              "127.0.0.1:-1",
                              "127.0.0.1: 80",
                              " 127.0.0.1:80",
                              "localhost:80",
                              "::1:80",
                              "[]:80",
                              "[127.0.0.1]:80",
                              "[::1]",
                              "127.0.0.1:80x" }) {
        EXPECT_FALSE(net::parseEndpoint(text)) << text;
    }
}
