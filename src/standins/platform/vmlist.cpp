#include "standins/platform/vmlist.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace auburnspread::standins
{

auto readVm(const nlohmann::json &json) -> Vm
{
    Vm vm{ .name = json.at("name").get<std::string>(), .address = json.value("address", ""), .state = json.at("state").get<std::string>() };
    if (vm.state != "live" && vm.state != "leaving" && vm.state != "gone") {
        throw std::invalid_argument("a VM's state is live, leaving or gone");
    }
    return vm;
}

auto applyVm(VmList &list, const Vm &vm) -> void
{
    ++list.index;
    if (vm.state == "gone") {
        list.vms.erase(vm.name);
        return;
    }
    list.vms[vm.name] = vm;
}

auto toJson(const VmList &list) -> nlohmann::json
{
    auto json = nlohmann::json::array();
    for (const auto &[name, vm] : list.vms) {
        json.push_back({ { "name", vm.name }, { "address", vm.address }, { "state", vm.state } });
    }
    return json;
}

} // namespace auburnspread::standins
