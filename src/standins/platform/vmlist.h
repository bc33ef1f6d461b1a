/// \file
/// The platform's list of VMs. Pure.

#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace auburnspread::standins
{

struct Vm {
    std::string name;
    std::string address;
    std::string state; ///< live, leaving, or gone: taken off the list
};

struct VmList {
    std::uint64_t index = 1;
    std::map<std::string, Vm> vms;
};

/// \throws std::invalid_argument or nlohmann::json::exception
auto readVm(const nlohmann::json &json) -> Vm;
auto applyVm(VmList &list, const Vm &vm) -> void;
auto toJson(const VmList &list) -> nlohmann::json;

} // namespace auburnspread::standins
