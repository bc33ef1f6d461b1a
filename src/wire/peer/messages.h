/// \file
/// Messages between entries and their encoding: an envelope `{v, type, from, incarnation, body}` in CBOR.

#pragma once

#include "core/base/ids.h"
#include "core/membership/member.h"
#include "core/membership/tabledigest.h"
#include "core/routing/events.h"
#include "wire/peer/messagetype.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::peer
{

constexpr std::uint32_t ProtocolVersion = 1;
constexpr std::size_t NonceBytes = 16;
constexpr std::size_t ProofBytes = 32;

/// Bounds of a decoded message; a message beyond them is malformed.
constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t MaxListEntries = 4096;
constexpr std::size_t MaxPartBytes = 256UL * 1024;

using Nonce = std::array<std::uint8_t, NonceBytes>;
using ProofBytesArray = std::array<std::uint8_t, ProofBytes>;

/// First message, from the dialling side.
struct Hello {
    Nonce nonce{};
};

/// The accepting side's answer to Hello: proves the secret first.
struct Challenge {
    Nonce nonce{};
    ProofBytesArray proof{};
};

/// The dialling side's answer to Challenge.
struct Proof {
    ProofBytesArray proof{};
};

/// Sent by the dialling side; the accepting side answers Pong with the same number.
struct Ping {
    std::uint32_t number = 0;
};

struct Pong {
    std::uint32_t number = 0;
};

/// Member records, or the table digest, or both.
struct Members {
    std::vector<membership::MemberRecord> records;
    std::optional<membership::TableDigest> digest;
};

/// What the sending entry holds. The entry's name is the envelope's.
struct Report {
    routing::PeerReported report;
};

/// The numbers that the sender's indexed reports use from now on: \c names from \c first on. 0 starts over.
struct Names {
    std::uint32_t first = 0;
    std::vector<std::string> names;
};

/// A Report with numbers in place of names. Links turn a Report into it and back.
struct IndexedReport {
    struct BackendUse {
        std::uint32_t name = 0;
        std::uint32_t inFlight = 0;
    };
    struct ModelDemand {
        std::uint32_t name = 0;
        std::uint32_t waiting = 0;
        std::uint32_t inFlight = 0;
    };
    struct WorkspaceUse {
        std::uint32_t name = 0;
        std::uint32_t requests = 0;
        std::uint32_t tokens = 0;
        std::uint32_t inFlight = 0;
    };
    std::vector<BackendUse> backends;
    std::vector<ModelDemand> demand;
    std::vector<WorkspaceUse> workspaces;
};

struct Quarantine {
    routing::QuarantineHeard notice;
};

/// The sender, at the envelope's incarnation, takes no new requests.
struct Leaving {
};

/// The sender has this configuration in force.
struct Configuration {
    std::uint64_t version = 0;
    std::string digest;
};

/// Asks for a part of the configuration, or for the manifest if \c digest is empty, from \c offset on.
struct ConfigurationRequest {
    std::string digest;
    std::uint32_t offset = 0;
};

/// A piece of a part, at most MaxPartBytes; \c total is the part's whole size, 0 if the sender lacks it.
struct ConfigurationPart {
    std::string digest;        ///< empty: the manifest
    std::uint64_t version = 0; ///< of the manifest
    std::uint32_t offset = 0;
    std::uint32_t total = 0;
    std::string bytes;
};

/// A type that this release does not know; ignored and counted.
struct Unknown {
};

/// In the order of MessageType, Unknown last.
using Message = std::variant<Hello,
                             Challenge,
                             Proof,
                             Ping,
                             Pong,
                             Members,
                             Report,
                             Names,
                             IndexedReport,
                             Quarantine,
                             Leaving,
                             Configuration,
                             ConfigurationRequest,
                             ConfigurationPart,
                             Unknown>;

struct Envelope {
    std::string from;
    std::uint64_t incarnation = 0;
    Message message;
};

class DecodeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Nothing for Unknown.
auto typeOf(const Message &message) -> std::optional<MessageType>;

auto encode(const Envelope &envelope) -> std::string;

/// Throws DecodeError naming the field if the bytes are not a message within the bounds. Takes memory in
/// proportion to \p bytes and stack for a fixed depth, whatever they contain.
auto decode(std::string_view bytes) -> Envelope;

} // namespace auburnspread::peer
