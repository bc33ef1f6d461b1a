#include "core/once/ticket.h"

#include <charconv>

namespace auburnspread::once
{

namespace
{

constexpr std::string_view Scheme = "ticket:";
constexpr char Separator = ':';

/// Takes the part after the last separator off \p text as a number.
auto takeNumber(std::string_view &text) -> std::optional<std::uint64_t>
{
    const auto separator = text.rfind(Separator);
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(separator + 1);
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (digits.empty() || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    text = text.substr(0, separator);
    return number;
}

auto dropExpired(TicketOffice &office, TimePoint now) -> void
{
    while (!office.order.empty()) {
        const auto found = office.issued.find(office.order.front());
        if (found != office.issued.end() && now < found->second.until) {
            return;
        }
        if (found != office.issued.end()) {
            office.issued.erase(found);
        }
        office.order.pop_front();
    }
}

} // namespace

auto formatTicket(const Ticket &ticket) -> std::string
{
    return std::string(Scheme) + ticket.entry + Separator + std::to_string(ticket.incarnation) + Separator + std::to_string(ticket.serial);
}

auto parseTicket(std::string_view key) -> std::optional<Ticket>
{
    if (!key.starts_with(Scheme)) {
        return std::nullopt;
    }
    std::string_view rest = key.substr(Scheme.size());
    const auto serial = takeNumber(rest);
    if (!serial) {
        return std::nullopt;
    }
    const auto incarnation = takeNumber(rest);
    if (!incarnation || rest.empty()) {
        return std::nullopt;
    }
    return Ticket{ .entry = std::string(rest), .incarnation = *incarnation, .serial = *serial };
}

auto issueTicket(TicketOffice &office, std::string_view workspace, TimePoint now) -> std::optional<Ticket>
{
    dropExpired(office, now);
    if (office.issued.size() >= office.options.capacity) {
        return std::nullopt;
    }
    const std::uint64_t serial = office.nextSerial++;
    office.issued[serial] = { .workspace = std::string(workspace), .until = now + office.options.validity, .used = false };
    office.order.push_back(serial);
    return Ticket{ .entry = office.options.entry, .incarnation = office.options.incarnation, .serial = serial };
}

auto useTicket(TicketOffice &office, const Ticket &ticket, std::string_view workspace, TimePoint now) -> TicketVerdict
{
    if (ticket.entry != office.options.entry || ticket.incarnation != office.options.incarnation) {
        return TicketVerdict::OtherEntry;
    }
    if (ticket.serial == 0 || ticket.serial >= office.nextSerial) {
        return TicketVerdict::Invalid;
    }
    dropExpired(office, now);
    const auto found = office.issued.find(ticket.serial);
    if (found == office.issued.end()) {
        return TicketVerdict::Expired;
    }
    if (found->second.workspace != workspace) {
        return TicketVerdict::Invalid;
    }
    if (found->second.used) {
        return TicketVerdict::Used;
    }
    found->second.used = true;
    return TicketVerdict::Run;
}

auto returnTicket(TicketOffice &office, const Ticket &ticket) -> void
{
    const bool ours = ticket.entry == office.options.entry && ticket.incarnation == office.options.incarnation;
    const auto found = office.issued.find(ticket.serial);
    if (ours && found != office.issued.end()) {
        found->second.used = false;
    }
}

} // namespace auburnspread::once
