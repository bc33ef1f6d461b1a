/// \file
/// Mutual proof of the shared secret: HMAC-SHA256 over both nonces, names and incarnations, and the side that proves.
/// Without the side, a peer could send back the proof that it was just given and pass as its owner.

#pragma once

#include "wire/peer/messages.h"

#include <cstdint>
#include <string>

namespace auburnspread::peer::detail
{

enum class Side {
    Dialling,
    Accepting,
};

struct Identity {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// What both sides agree on before they prove it.
struct Transcript {
    Identity dialling;
    Identity accepting;
    Nonce dialNonce{};
    Nonce acceptNonce{};
};

/// From the system's generator; throws std::runtime_error if that fails.
auto makeNonce() -> Nonce;

auto makeProof(const std::string &secret, Side prover, const Transcript &transcript) -> ProofBytesArray;

/// Takes the same time wherever the proofs differ.
auto isProof(const ProofBytesArray &proof, const std::string &secret, Side prover, const Transcript &transcript) -> bool;

} // namespace auburnspread::peer::detail
