#include "failuretests/crowd/crowdplay.h"

#include "failuretests/crowd/processusage.h"

#include <algorithm>
#include <iostream>

namespace auburnspread::failuretests
{

auto playCrowd(Process &process, const CrowdOptions &crowd) -> CrowdUsage
{
    const auto pid = process.pid();
    const auto host = crowd.address.substr(0, crowd.address.find(':'));
    CrowdUsage usage{ .descriptorsBefore = openDescriptors(pid) };
    {
        Crowd clients(crowd);
        clients.run([&]() {
            usage.peakBytes = std::max(usage.peakBytes, residentBytes(pid) + unreadBytes(pid, host));
            usage.descriptors = std::max(usage.descriptors, openDescriptors(pid));
        });
    }
    usage.peakBytes = std::max(usage.peakBytes, peakResidentBytes(pid));
    constexpr std::size_t Megabyte = std::size_t{ 1024 } * 1024;
    std::cout << "peak: " << usage.peakBytes / Megabyte << " MB, " << usage.descriptors << " descriptors\n";
    return usage;
}

} // namespace auburnspread::failuretests
