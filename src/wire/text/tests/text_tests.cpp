#include "wire/text/base64.h"
#include "wire/text/uripath.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace auburnspread;

RC_GTEST_PROP(TextTests, base64SurvivesAnyBytes, (const std::string &bytes))
{
    RC_ASSERT(text::decodeBase64(text::encodeBase64(bytes)) == bytes);
}

TEST(TextTests, base64IsTheStandardsOwn)
{
    EXPECT_EQ(text::encodeBase64("f"), "Zg==");
    EXPECT_EQ(text::encodeBase64("fo"), "Zm8=");
    EXPECT_EQ(text::encodeBase64("foobar"), "Zm9vYmFy");
    EXPECT_EQ(text::decodeBase64("++//"), "\xfb\xef\xff");
}

/// What callers see: an entry that ends. Padding counts as bytes for the library's decoder, and taking it off what is not
/// there leaves a length that no string has.
TEST(TextTests, paddingWithoutBytesIsNoBase64)
{
    for (const auto *text : { "=", "==", "===", "====", "A===", "========", "AAAA====" }) {
        EXPECT_FALSE(text::decodeBase64(text)) << text;
    }
}

TEST(TextTests, aNameKeepsItsSlashesInAUri)
{
    EXPECT_EQ(text::encodeUriPath("op/a b&c"), "op/a%20b%26c");
    EXPECT_EQ(text::encodeUriPath("/x=1/"), "/x%3D1/");
    EXPECT_EQ(text::encodeUriPath(""), "");
}
