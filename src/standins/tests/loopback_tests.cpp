#include "standins/testing/loopback.h"

#include "runtime/net/endpoint.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::standins;

/// Two test programs may want the same number: the kernel gives each process number anew after some time. A program that one of them
/// starts would find its port taken by the other.
TEST(LoopbackTests, aNetworkThatIsTakenIsNotGivenTwice)
{
    const auto hostOf = [](LoopbackNetwork &network) { return net::parseEndpoint(network.takeAddress()).value().host; };
    LoopbackNetwork first(0);
    LoopbackNetwork second(0);
    EXPECT_NE(hostOf(first), hostOf(second));
}
