// A test of the whole system failed although nothing was wrong with the system: one of its entries did not start. The test had looked
// for a free port, let go of it, and told the entry to listen there. The ports that the kernel hands out by itself go to every
// outgoing connection on the machine too, and one of another test took this port in between. The entry's log settled it:
//
//     {"level":"error","event":"not-started","step":"start","error":"peer links: listen on 127.0.0.1:44625: Address already in use"}

#include "failuretests/site.h"
#include "runtime/net/endpoint.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::failuretests;

namespace
{

/// The first of the ports that the kernel gives to sockets that name none.
auto firstEphemeralPort() -> int
{
    std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
    int first = 0;
    file >> first;
    return first;
}

auto addressesOf(Site &site) -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (const auto &[name, standIn] : site.standIns) {
        addresses.insert(addresses.end(), { standIn->address, standIn->control });
    }
    for (const auto &[name, entry] : site.entries) {
        addresses.insert(addresses.end(), { entry->callerAddress, entry->adminAddress, entry->peerAddress });
    }
    for (const auto &[name, placer] : site.placers) {
        addresses.push_back(placer->adminAddress);
    }
    return addresses;
}

} // namespace

TEST(SiteTests, noConnectionOfAnotherProcessTakesAPortOfTheSite)
{
    Site site;
    site.startEntry("entry-1");
    site.startPlacer("placer-1");
    const auto addresses = addressesOf(site);
    for (const auto &address : addresses) {
        EXPECT_LT(net::parseEndpoint(address).value().port, firstEphemeralPort()) << address;
    }
    EXPECT_EQ(std::set(addresses.begin(), addresses.end()).size(), addresses.size()) << "each has its own";
}
