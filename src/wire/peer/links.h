/// \file
/// Authenticated links between entries: one WebSocket connection for each pair, kept up by the one that dials it.

#pragma once

#include "core/base/time.h"
#include "core/membership/events.h"
#include "runtime/task/eventloop.h"
#include "wire/peer/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnspread::peer
{

struct LinksOptions {
    std::string name; ///< this entry's
    std::uint64_t incarnation = 0;
    std::string listenAddress; ///< IP number and port; port 0 takes a free one
    std::string secret;        ///< shared by all entries, at least 16 bytes
    std::size_t messageBytes = 1024UL * 1024;
    std::size_t queueBytes = 1024UL * 1024; ///< waiting for one slow peer
    std::size_t unauthenticated = 64;       ///< accepted connections that have not proved the secret yet
    Duration pingInterval = std::chrono::seconds(1);
    Duration silence = std::chrono::seconds(3);          ///< a link that heard nothing for so long is ended
    Duration handshakeTimeout = std::chrono::seconds(2); ///< connecting and authenticating
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration longestBackoff = std::chrono::seconds(5);
    std::uint64_t seed = 1; ///< of the jitter of backoffs
};

/// Called in the loop's thread. Links may be used from within, but not destroyed.
struct LinksCallbacks {
    /// A link is authenticated. Called again without \c closed between when a new connection replaces an old one.
    /// What was under way on an old link may be lost: send the peer anew whatever it must know.
    /// \p dialledAddress is empty if the peer dialled.
    std::function<void(const std::string &name, std::uint64_t incarnation, const std::string &dialledAddress)> opened;
    std::function<void(const std::string &name, membership::LinkEnd end)> closed;
    /// A new connection to this address failed; another follows after the backoff.
    std::function<void(const std::string &address)> dialFailed;
    /// Any message but those of the handshake and pings.
    std::function<void(const std::string &from, std::uint64_t incarnation, const Message &message)> received;
};

/// Since the start.
struct LinkCounters {
    struct Traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; ///< encoded messages, without WebSocket and TCP headers
    };
    std::array<Traffic, MessageTypeCount> in;
    std::array<Traffic, MessageTypeCount> out;
    std::array<std::uint64_t, MessageTypeCount> dropped; ///< not sent because the peer was too slow
    std::uint64_t authenticationFailures = 0;
    std::uint64_t malformed = 0; ///< messages that ended their link
    std::uint64_t unknown = 0;   ///< messages of types that this release does not know
    std::uint64_t dialled = 0;
    std::uint64_t dialFailures = 0;
    std::uint64_t reconnects = 0; ///< links opened to a name that had one before
    std::uint64_t silent = 0;     ///< links ended because nothing was heard
    std::uint64_t refused = 0;    ///< connections over the limit of unauthenticated ones
};

class Links
{
public:
    /// Listens at once; throws std::system_error if it can't.
    Links(task::EventLoop &loop, LinksOptions options, LinksCallbacks callbacks);
    ~Links();
    Links(const Links &) = delete;
    auto operator=(const Links &) -> Links & = delete;

    /// The address that is listened on, with the port taken.
    [[nodiscard]] auto listenAddress() const -> const std::string &;

    /// Dials this address, and again whenever there is no link to the entry behind it.
    auto connect(const std::string &address) -> void;
    /// Dials this address no more and ends the link that was dialled to it.
    auto disconnect(const std::string &address) -> void;

    /// False if there is no link to \p name. A message to a slow peer waits within LinksOptions::queueBytes; beyond
    /// that the oldest reports are dropped, quarantine notices never.
    auto send(const std::string &name, const Message &message) -> bool;
    auto broadcast(const Message &message) -> void;

    /// Handshakes from now on carry this incarnation.
    auto setIncarnation(std::uint64_t incarnation) -> void;

    [[nodiscard]] auto linkedNames() const -> std::vector<std::string>;
    [[nodiscard]] auto counters() const -> const LinkCounters &;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburnspread::peer
