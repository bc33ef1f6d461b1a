/// \file
/// Brings the configuration in force to this entry and to its peers: carries out what core/configuration decides.

#pragma once

#include "core/configuration/adoption.h"
#include "entry/messages/messages.h"
#include "runtime/task/eventloop.h"
#include "wire/peer/messages.h"
#include "wire/platform/subscription.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnspread::peer
{
class Links;
}

namespace auburnspread::entry
{

struct ConfigurationKeeperOptions {
    std::string entry;
    std::vector<std::string> peers; ///< peer addresses of the settings: asked before serving
    /// The document is in force on this entry from now on.
    std::function<void(const std::shared_ptr<const configuration::AdoptedDocument> &configuration)> adopted;
    /// A faulty document was met; the entry stays on what it has.
    std::function<void(std::uint64_t version, const std::string &text)> rejected;
};

class ConfigurationKeeper
{
public:
    ConfigurationKeeper(ConfigurationKeeperOptions options, task::EventLoop &loop, peer::Links &links, platform::Store &store);

    /// Asks all sources; to be called once, with the loop about to run.
    auto start() -> void;
    auto feed(const configuration::AdoptionEvent &event) -> void;
    /// A link to a peer stands.
    auto noteLink(const std::string &name, const std::string &dialledAddress) -> void;
    /// A message of a peer about the configuration.
    auto receive(const std::string &from, const peer::Message &message) -> void;

    [[nodiscard]] auto state() const -> const configuration::AdoptionState &;

private:
    /// A manifest or part that a peer sends in pieces.
    struct Transfer {
        std::string bytes;
        TimePoint deadline;
    };
    using TransferKey = std::pair<std::string, std::string>; ///< peer, digest; an empty digest is the manifest

    auto perform(const configuration::AdoptionAction &action) -> void;
    auto fetchManifest(const configuration::Source &source) -> void;
    auto fetchPart(const configuration::FetchPart &wanted) -> void;
    auto watch(bool active) -> void;
    auto takeManifest(const configuration::Source &source, const std::string &bytes) -> void;
    [[nodiscard]] auto nameOf(const std::string &peer) const -> std::string;
    auto askPeer(const std::string &peer, const std::string &digest) -> void;
    auto answerPeer(const std::string &peer, const peer::ConfigurationRequest &request) -> void;
    auto takePiece(const std::string &peer, const peer::ConfigurationPart &piece) -> void;
    auto finishTransfer(const TransferKey &key, const std::string &bytes) -> void;
    auto failTransfer(const TransferKey &key) -> void;
    auto expireTransfers() -> void;

    ConfigurationKeeperOptions options_;
    task::EventLoop &loop_;
    peer::Links &links_;
    platform::Store &store_;
    configuration::AdoptionState state_;
    std::map<TransferKey, Transfer> transfers_;
    std::map<std::string, std::string> names_; ///< of peers, by the address that was dialled
    std::string servedManifest_;               ///< as peers get it
    platform::KeySubscription watch_;
    task::Watch ticker_;
};

} // namespace auburnspread::entry
