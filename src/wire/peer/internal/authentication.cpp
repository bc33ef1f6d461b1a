#include "wire/peer/internal/authentication.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace auburnspread::peer::detail
{

namespace
{

/// Names go in with their length, so that no two transcripts read the same.
auto appendIdentity(std::string &text, const Identity &identity) -> void
{
    text += std::to_string(identity.name.size()) + ':' + identity.name + ':' + std::to_string(identity.incarnation) + ';';
}

auto toText(Side prover, const Transcript &transcript) -> std::string
{
    std::string text = "auburnspread peer " + std::to_string(ProtocolVersion);
    text += prover == Side::Dialling ? " dialling;" : " accepting;";
    appendIdentity(text, transcript.dialling);
    appendIdentity(text, transcript.accepting);
    text.append(transcript.dialNonce.begin(), transcript.dialNonce.end());
    text.append(transcript.acceptNonce.begin(), transcript.acceptNonce.end());
    return text;
}

} // namespace

auto makeNonce() -> Nonce
{
    Nonce nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("peer authentication: no random bytes");
    }
    return nonce;
}

auto makeProof(const std::string &secret, Side prover, const Transcript &transcript) -> ProofBytesArray
{
    const auto text = toText(prover, transcript);
    const std::vector<std::uint8_t> bytes(text.begin(), text.end());
    ProofBytesArray proof{};
    unsigned int size = 0;
    const auto *done = HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes.data(), bytes.size(), proof.data(), &size);
    if (done == nullptr || size != proof.size()) {
        throw std::runtime_error("peer authentication: HMAC failed");
    }
    return proof;
}

auto isProof(const ProofBytesArray &proof, const std::string &secret, Side prover, const Transcript &transcript) -> bool
{
    const auto expected = makeProof(secret, prover, transcript);
    return CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

} // namespace auburnspread::peer::detail
