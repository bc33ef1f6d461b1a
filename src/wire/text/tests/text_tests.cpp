#include "wire/text/base64.h"
#include "wire/text/jsonparts.h"
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

TEST(JsonPartsTests, partsAreSplitAsTheyAreWritten)
{
    const auto object = text::splitJsonObject(R"( { "a" : [1, {"b":"]}"}], "c\"d":"x\\", "e":-1.5e3 , "f":{} } )");
    ASSERT_TRUE(object);
    ASSERT_EQ(object->size(), 4U);
    EXPECT_EQ((*object)[0].name, "a");
    EXPECT_EQ((*object)[0].value, R"([1, {"b":"]}"}])");
    EXPECT_EQ((*object)[1].name, R"(c\"d)");
    EXPECT_EQ((*object)[1].value, R"("x\\")");
    EXPECT_EQ((*object)[2].value, "-1.5e3");
    const auto array = text::splitJsonArray((*object)[0].value);
    ASSERT_TRUE(array);
    EXPECT_EQ(*array, (std::vector<std::string_view>{ "1", R"({"b":"]}"})" }));
    EXPECT_TRUE(text::splitJsonArray("[]")->empty());
    EXPECT_TRUE(text::splitJsonObject("{ }")->empty());
}

TEST(JsonPartsTests, aTextThatEndsEarlyHasNoParts)
{
    const std::string whole = R"({"a":["x\"y",{"b":[1]}],"c":"d"})";
    for (std::size_t length = 0; length < whole.size(); ++length) {
        EXPECT_FALSE(text::splitJsonObject(whole.substr(0, length))) << length;
    }
    EXPECT_FALSE(text::splitJsonObject(whole + "}"));
    EXPECT_FALSE(text::splitJsonArray("[1,]"));
    EXPECT_FALSE(text::splitJsonArray("[1"));
    EXPECT_FALSE(text::splitJsonObject(R"({"a"})"));
}
