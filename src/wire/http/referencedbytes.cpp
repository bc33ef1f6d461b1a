#include "wire/http/referencedbytes.h"

#include <event2/buffer.h>

#include <utility>

namespace auburnspread::http
{

namespace
{

/// A smaller text is cheaper to copy.
constexpr std::size_t LargeTextBytes = std::size_t{ 16 } * 1024;

using TextPointer = std::shared_ptr<const std::string>;

auto release(const void * /*bytes*/, std::size_t /*size*/, void *owner) -> void
{
    const std::unique_ptr<TextPointer> text(static_cast<TextPointer *>(owner));
}

} // namespace

auto addBytes(evbuffer *buffer, TextPointer text) -> void
{
    if (text->size() < LargeTextBytes) {
        evbuffer_add(buffer, text->data(), text->size());
        return;
    }
    auto owner = std::make_unique<TextPointer>(std::move(text));
    const auto &bytes = **owner;
    if (evbuffer_add_reference(buffer, bytes.data(), bytes.size(), release, owner.get()) == 0) {
        static_cast<void>(owner.release()); // now the buffer's
    }
}

} // namespace auburnspread::http
