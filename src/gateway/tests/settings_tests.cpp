#include "gateway/settings/gatewaysettings.h"
#include "runtime/settings/settings.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;

namespace
{

const std::string text = "[gateway]\nname = e1\nfailure_domain = a\n[listen]\ncaller = 127.0.0.1:1\nreadiness = 127.0.0.1:2\naddresses = 127.0.0.1:3\n"
                         "peer = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[platform]\nstore = 127.0.0.1:6\n";

auto read(const std::vector<std::string> &overrides) -> GatewaySettings
{
    return readGatewaySettings(settings::readSettings(gatewaySchema(), { .file = "entry.ini", .text = text, .overrides = overrides }));
}

} // namespace

/// Guards against an entry that exits on the reload of a settings file whose invalid number passed the previous check. Every
/// number is validated when the file is read, so the error is reported and the current settings stay in force.
TEST(GatewaySettingsTests, invalidNumbersAreRejectedWithTheFile)
{
    for (const auto *key : { "vm.core_part",
                             "vm.link_mbps",
                             "bounds.leaving_s",
                             "bounds.retry_ratio",
                             "bounds.retry_window_s",
                             "bounds.retry_allowance",
                             "bounds.keep_addresses_s" }) {
        for (const auto *value : { "x", "-1", "1x", "0x10", "inf", "nan", "1e300" }) {
            EXPECT_THROW(read({ std::string(key) + "=" + value }), settings::InvalidSettings) << key << " " << value;
        }
        EXPECT_NO_THROW(read({ std::string(key) + "=2.5" })) << key;
    }
}

TEST(GatewaySettingsTests, boundsAreReloadableAndNamesAreNot)
{
    const auto current = read({});
    const auto bounds = read({ "bounds.retry_allowance=70", "bounds.key_withdrawal_ms=9000", "bounds.configuration_apply_ms=3000", "log.level=debug" });
    EXPECT_EQ(withReloadableSettings(current, bounds), bounds);
    const auto name = read({ "gateway.name=e2", "bounds.retry_allowance=70" });
    const auto inForce = withReloadableSettings(current, name);
    EXPECT_EQ(inForce.name, "e1");
    EXPECT_EQ(inForce.retryAllowance, 70);
    EXPECT_NE(inForce, name);
}
