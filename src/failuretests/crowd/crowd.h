/// \file
/// Clients that open connections together, send as much as the other side takes, and read little or nothing.

#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace auburnspread::failuretests
{

struct CrowdOptions {
    std::string address; ///< of the listener
    std::size_t connections = 0;
    std::string beginning;            ///< what each connection sends first
    std::string repeated;             ///< what it sends again and again after that; empty: nothing
    std::size_t bytesEach = 0;        ///< that a connection sends at most
    std::size_t readBytes = 0;        ///< that it reads in each round; 0: none
    std::size_t beginPerRound = 1000; ///< connections that begin to send in a round
    std::size_t rounds = 40;          ///< of 50 ms, without a byte sent, after which the crowd is done
};

class Crowd
{
public:
    /// Opens the connections. \throws std::runtime_error
    explicit Crowd(CrowdOptions options);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    auto operator=(const Crowd &) -> Crowd & = delete;

    /// Sends until no connection gets on for a while or all are closed, and calls \p onRound in each round.
    auto run(const std::function<void()> &onRound) -> void;

private:
    struct Member {
        int descriptor = -1; ///< -1: closed
        std::size_t sent = 0;
    };

    auto send(Member &member) const -> std::size_t;
    auto read(Member &member) const -> void;
    static auto close(Member &member) -> void;

    CrowdOptions options_;
    std::vector<Member> members_;
};

} // namespace auburnspread::failuretests
