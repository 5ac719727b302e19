/** \file
 * That compressed bytes come back as they were, and that no others are accepted.
 */
#include "compression.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pomelohub;

TEST_CASE("Bytes come back as they were")
{
    CHECK(rc::check("any bytes",
        [](const std::string& bytes) { RC_ASSERT(decompress(compress(bytes), bytes.size()) == bytes); }));
    std::string large(3'000'000, 'x');
    CHECK(compress(large).size() < large.size() / 100);
    CHECK(decompress(compress(large), large.size()) == large);
}

TEST_CASE("Bytes that were cut or changed, or that hold more than is allowed, are rejected")
{
    std::string text = "one, two, three, four, five, six, seven";
    auto compressed = compress(text);
    for (std::size_t length = 0; length < compressed.size(); ++length)
        CHECK_FALSE(decompress(std::string_view(compressed).substr(0, length), text.size()));
    auto changed = compressed;
    changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ 0x10);
    CHECK_FALSE(decompress(changed, text.size()));
    CHECK_FALSE(decompress(compressed, text.size() - 1));
    CHECK_FALSE(decompress(compress(std::string(3'000'000, 'x')), 100'000));
}
