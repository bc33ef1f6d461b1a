/// \file
/// Loopback addresses for what a test starts and that must know its port beforehand, or is to refuse connections for sure.

#pragma once

#include <string>

namespace auburnspread::standins
{

/// A loopback network that no other process takes, for as long as it lives.
///
/// Failure: a test takes a port that is free and lets go of it for the program that is to listen there. Symptom: another process got
/// it in between, for a connection of its own, and the program does not start. Here the network number is held by a socket that stays
/// bound, and the ports lie below those that the kernel hands out by itself.
class LoopbackNetwork
{
public:
    /// The first free one from \p number on.
    explicit LoopbackNetwork(unsigned number);
    ~LoopbackNetwork();
    LoopbackNetwork(const LoopbackNetwork &) = delete;
    auto operator=(const LoopbackNetwork &) -> LoopbackNetwork & = delete;

    /// Not taken before.
    auto takeAddress() -> std::string;

private:
    int claim_;
    std::string host_;
    int nextPort_;
};

/// An address of this process's own network.
auto takeLoopbackAddress() -> std::string;

} // namespace auburnspread::standins
