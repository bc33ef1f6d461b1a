/// \file
/// Reads and submits the configuration document over the platform's service, for operators' programs. Everything runs
/// in the thread of one event loop; callbacks come later, never from within a call.

#pragma once

#include "core/configuration/collection.h"
#include "core/configuration/manifest.h"
#include "core/configuration/submission.h"
#include "runtime/task/eventloop.h"
#include "wire/platform/store.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace auburnspread::administration
{

/// The document in force according to the platform's service.
struct InForce {
    configuration::Manifest manifest;
    std::shared_ptr<const configuration::AdoptedDocument> configuration; ///< null: there is none yet
};

/// Why nothing could be read: step, peer and cause in one line.
struct ReadFailure {
    std::string text;
};

using InForceResult = std::variant<InForce, ReadFailure>;
using OnInForce = std::function<void(const InForceResult &result)>;
using OnSubmitted = std::function<void(const configuration::SubmissionFinished &result)>;
using OnCollected = std::function<void(std::size_t removed)>;

class ConfigurationClient
{
public:
    /// \p store must outlive this object and every call.
    ConfigurationClient(task::EventLoop &loop, platform::Store &store);
    ~ConfigurationClient();
    ConfigurationClient(const ConfigurationClient &) = delete;
    auto operator=(const ConfigurationClient &) -> ConfigurationClient & = delete;

    /// Parts read before are not read again.
    auto readInForce(OnInForce onInForce) -> void;
    auto submit(const configuration::SubmissionRequest &request, OnSubmitted onSubmitted) -> void;
    /// One look for parts that no manifest names; those that stayed so for the grace are removed.
    auto collect(OnCollected onCollected) -> void;

private:
    class Reading;
    class Submitting;
    class Collecting;

    task::EventLoop &loop_;
    platform::Store &store_;
    std::shared_ptr<configuration::PartContents> known_; ///< parts of the document read last
    std::shared_ptr<configuration::CollectionState> collection_;
};

/// 32 random hex digits: the nonce of a submission.
auto makeNonce() -> std::string;

} // namespace auburnspread::administration
