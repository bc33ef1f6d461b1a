/// \file
/// How a document is submitted: `(state, event, now) -> actions`. Parts are written first, then the manifest is
/// replaced by compare-and-swap on the one that the operator edited, so a submission takes effect whole or not at
/// all and exactly one of two that conflict wins. A write whose reply was lost is settled by reading back.

#pragma once

#include "core/base/time.h"
#include "core/configuration/differences.h"
#include "core/configuration/document.h"
#include "core/configuration/manifest.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::configuration
{

/// A manifest with the index that the platform's service gave it; index 0 stands for an absent one.
struct StoredManifest {
    std::optional<Manifest> manifest;
    std::uint64_t index = 0;
};

struct SubmissionRequest {
    Document document;
    Document edited;                 ///< what the operator began from; ignored if editedVersion is 0
    std::uint64_t editedVersion = 0; ///< 0: there was no document
    std::uint64_t highestSeen = 0;   ///< highest version that any node reports; above the platform's if that lost data
    std::string author;
    std::string nonce; ///< unique; at least 16 random characters
};

struct SubmissionStarted {
};

struct ManifestRead {
    StoredManifest stored;
};

struct PartWritten {
    std::string digest;
};

/// The service answered the compare-and-swap.
struct ManifestWritten {
    bool swapped = false;
};

struct PartRead {
    std::string digest;
    std::string content; ///< checked against the digest
};

/// No answer to the last call of this kind, or an error: whether a write took effect is not known.
struct CallFailed {
    enum class Call {
        ReadManifest,
        WritePart,
        WriteManifest,
        ReadPart,
    };
    Call call{};
    std::string digest; ///< of the part
};

struct SubmissionTick {
};

using SubmissionEvent = std::variant<SubmissionStarted, ManifestRead, PartWritten, ManifestWritten, PartRead, CallFailed, SubmissionTick>;

struct ReadManifest {
};

/// Unconditional: content is named by its digest, so a repeat is harmless.
struct WritePart {
    std::string digest;
    std::string value; ///< see encodePart
};

struct WriteManifest {
    std::string value;
    std::uint64_t index = 0; ///< to compare with; 0: only if absent
};

struct ReadPart {
    std::string digest;
};

enum class SubmissionOutcome {
    Accepted,  ///< in force as a whole
    Unchanged, ///< the document in force is this one already
    Conflict,  ///< another submission came first; nothing of this one is in force
    TooLarge,  ///< a part does not fit; nothing was written
    NotDone,   ///< the platform's service does not answer; the document is not in force and will not be
    Unknown,   ///< the manifest was written but no answer came; it may be in force
};

auto submissionOutcomeName(SubmissionOutcome outcome) -> std::string_view;

/// The last action. On a conflict both changes are told, each against the edited document.
struct SubmissionFinished {
    SubmissionOutcome outcome{};
    std::uint64_t version = 0; ///< accepted or unchanged: the version in force; conflict: that of the other document
    std::string digest;
    std::string text;
    std::string otherAuthor;
    std::vector<Change> theirs;
    std::vector<Change> ours;
};

using SubmissionAction = std::variant<ReadManifest, WritePart, WriteManifest, ReadPart, SubmissionFinished>;
using SubmissionActions = std::vector<SubmissionAction>;

struct SubmissionOptions {
    std::size_t concurrentCalls = 8;
    std::uint32_t maximumFailures = 8; ///< delays before the submission gives up
    Duration retryDelay = std::chrono::milliseconds(250);
    Duration timeLimit = std::chrono::minutes(10); ///< well below the collector's grace: older parts may be gone
};

enum class SubmissionPhase {
    ReadingManifest,
    WritingParts,
    WritingManifest,
    ReadingBack, ///< after a manifest write without an answer, or one that was refused
    ReadingTheirs,
    Finished,
};

struct SubmissionState {
    SubmissionRequest request;
    SubmissionOptions options;
    SubmissionPhase phase = SubmissionPhase::ReadingManifest;
    SplitDocument parts;
    StoredManifest base;            ///< what the compare-and-swap compares with
    std::set<std::string> waiting;  ///< digests of parts to write or read
    std::set<std::string> inFlight; ///< of those, asked
    bool manifestWriteSent = false;
    std::optional<Manifest> theirs;
    PartContents theirParts;
    TimePoint startedAt{};
    std::uint32_t failures = 0; ///< delays so far; calls that fail together count once
    std::optional<TimePoint> retryAt;
};

/// The version that \p request would get: higher than every one that a node may hold.
auto nextVersion(const SubmissionRequest &request) -> std::uint64_t;

/// The manifest that \p request would put in place of \p base.
auto nextManifest(const SubmissionRequest &request, const SplitDocument &parts, const std::optional<Manifest> &base) -> Manifest;

auto handle(SubmissionState &state, const SubmissionEvent &event, TimePoint now) -> SubmissionActions;

} // namespace auburnspread::configuration
